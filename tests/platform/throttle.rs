//! Limit on the processor time of a process, like the quota of a small host.

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Lets a process run for only a part of each period, until it is dropped.
pub struct Throttle {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Throttle {
    /// Starts to stop a process after it has run for `running` of each period.
    pub fn start(process: Pid, running: Duration, period: Duration) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let flag = is_over.clone();
        let thread = thread::spawn(move || {
            // The process may have ended; signals to it fail then.
            while !flag.load(Ordering::Relaxed) {
                let _ = kill(process, Signal::SIGSTOP);
                thread::sleep(period - running);
                let _ = kill(process, Signal::SIGCONT);
                thread::sleep(running);
            }
        });
        Self {
            is_over,
            thread: Some(thread),
        }
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A thread that panicked leaves nothing to wait for.
            let _ = thread.join();
        }
    }
}
