//! Load of several callers of each kind, from the outside.

use super::{
    caller::Caller,
    fleet::Fleet,
    records::{CallRecord, Kind},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

/// Number of callers that request streams.
const STREAM_CALLERS: usize = 24;

/// Number of callers of each kind of request to the plain service.
const PLAIN_CALLERS: usize = 8;

/// Running callers.
pub struct Callers {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<CallRecord>>>,
}

/// Starts the callers.
pub fn start(fleet: &Fleet, seed: u64) -> Callers {
    let is_over = Arc::new(AtomicBool::new(false));
    let kinds = Kind::ALL
        .into_iter()
        .flat_map(|kind| std::iter::repeat_n(kind, caller_count(kind)));
    let threads = kinds.enumerate().map(|(index, kind)| {
        let mut caller = Caller::new(fleet, kind, index, seed);
        let is_over = is_over.clone();
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                caller.call_once();
            }
            caller.records
        })
    });
    Callers {
        threads: threads.collect(),
        is_over,
    }
}

impl Callers {
    /// Waits until each caller's last request has ended, and returns all requests.
    pub fn finish(self) -> Vec<CallRecord> {
        self.is_over.store(true, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        threads
            .flat_map(|thread| thread.join().expect("the caller doesn't panic"))
            .collect()
    }
}

fn caller_count(kind: Kind) -> usize {
    match kind {
        Kind::Stream => STREAM_CALLERS,
        Kind::Read | Kind::Once => PLAIN_CALLERS,
    }
}
