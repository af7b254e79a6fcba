//! Signals that a daemon handles for as long as it runs.
//!
//! The handlers stay installed until the process exits. If they lasted only as
//! long as somebody waits for a signal, the next one of a series would meet the
//! default action, which ends the process with all that it has in flight.
//!
//! A thread of its own notes when a signal comes: a busy event loop may learn
//! of it late, and the grace period of a stop has begun by then.

use compio::{BufResult, io::AsyncRead as _, net::UnixStream};
use signal_hook::{
    consts::signal::{SIGHUP, SIGINT, SIGTERM},
    flag,
    low_level::pipe,
};
use std::{
    collections::VecDeque,
    io::{self, Read as _, Write as _},
    os::unix::net,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Instant,
};

/// Signal that a daemon handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Request for a graceful stop.
    Terminate,
    /// Request for a graceful stop from a terminal.
    Interrupt,
    /// Notice that the settings have changed.
    Hangup,
}

impl Signal {
    /// All signals, those that stop the daemon first.
    const ALL: [Signal; 3] = [Signal::Terminate, Signal::Interrupt, Signal::Hangup];

    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Signal::Terminate => "SIGTERM",
            Signal::Interrupt => "SIGINT",
            Signal::Hangup => "SIGHUP",
        }
    }

    fn number(self) -> i32 {
        match self {
            Signal::Terminate => SIGTERM,
            Signal::Interrupt => SIGINT,
            Signal::Hangup => SIGHUP,
        }
    }
}

/// Flag of a kind of signal, set when one has come.
type SignalFlag = (Signal, Arc<AtomicBool>);

/// Signal with the time at which it came.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedSignal {
    /// Kind of signal.
    pub signal: Signal,
    /// Time at which it came.
    pub at: Instant,
}

/// Signals that have come and were not taken yet.
type ReceivedQueue = Arc<Mutex<VecDeque<ReceivedSignal>>>;

/// Installed signal handlers.
#[derive(Debug)]
pub struct Signals {
    /// Gets a byte when signals were added to the queue.
    wakeups: UnixStream,
    received: ReceivedQueue,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Fails if the process has no file descriptors or threads left.
    pub fn install() -> io::Result<Self> {
        let (caught, catcher) = net::UnixStream::pair()?;
        let (wakeups, waker) = net::UnixStream::pair()?;
        wakeups.set_nonblocking(true)?;
        waker.set_nonblocking(true)?;
        let flags: [SignalFlag; 3] = Signal::ALL.map(|signal| (signal, Arc::default()));
        for (signal, flag) in &flags {
            // Handlers run in the order of registration: the flag is set when the byte arrives.
            flag::register(signal.number(), Arc::clone(flag))?;
            pipe::register(signal.number(), catcher.try_clone()?)?;
        }
        let received = ReceivedQueue::default();
        let queue = received.clone();
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || queue_signals(caught, &flags, &queue, waker))?;
        Ok(Self {
            wakeups: UnixStream::from_std(wakeups)?,
            received,
        })
    }

    /// Waits for the next signal; several of one kind may be returned as one.
    ///
    /// # Errors
    ///
    /// Fails if the wakeups can't be read.
    pub async fn next(&mut self) -> io::Result<ReceivedSignal> {
        loop {
            if let Some(signal) = self.take_received() {
                return Ok(signal);
            }
            let BufResult(read, _) = self.wakeups.read([0; 64]).await;
            if read? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take_received(&self) -> Option<ReceivedSignal> {
        let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        received.pop_front()
    }
}

/// Queues signals as they come, those that stop the daemon first, for the lifetime of the process.
fn queue_signals(
    mut caught: net::UnixStream,
    flags: &[SignalFlag],
    queue: &ReceivedQueue,
    mut waker: net::UnixStream,
) {
    loop {
        match caught.read(&mut [0; 64]) {
            Ok(0) => return,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => return,
            Ok(_) => {}
        }
        let at = Instant::now();
        for (signal, flag) in flags {
            if flag.swap(false, Ordering::SeqCst) {
                let mut queue = queue.lock().unwrap_or_else(PoisonError::into_inner);
                queue.push_back(ReceivedSignal {
                    signal: *signal,
                    at,
                });
            }
        }
        // If the pipe is full, there are wakeups enough.
        let _ = waker.write(&[0]);
    }
}
