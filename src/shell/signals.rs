//! Signals that a daemon handles for as long as it runs.
//!
//! The handlers stay installed until the process exits. If they lasted only as
//! long as somebody waits for a signal, the next one of a series would meet the
//! default action, which ends the process with all that it has in flight.

use compio::{BufResult, io::AsyncRead as _, net::UnixStream};
use signal_hook::{
    consts::signal::{SIGHUP, SIGINT, SIGTERM},
    flag,
    low_level::pipe,
};
use std::{
    io,
    os::unix::net,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
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

/// Installed signal handlers.
#[derive(Debug)]
pub struct Signals {
    /// Gets a byte with each signal.
    wakeups: UnixStream,
    /// Flags of the signals that have come and were not taken yet.
    received: [(Signal, Arc<AtomicBool>); 3],
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Fails if the process has no file descriptors left.
    pub fn install() -> io::Result<Self> {
        let (wakeups, writer) = net::UnixStream::pair()?;
        wakeups.set_nonblocking(true)?;
        let received = Signal::ALL.map(|signal| (signal, Arc::default()));
        for (signal, flag) in &received {
            // Handlers run in the order of registration: the flag is set when the byte arrives.
            flag::register(signal.number(), Arc::clone(flag))?;
            pipe::register(signal.number(), writer.try_clone()?)?;
        }
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
    pub async fn next(&mut self) -> io::Result<Signal> {
        loop {
            if let Some(signal) = self.take_received() {
                return Ok(signal);
            }
            let BufResult(read, _) = self.wakeups.read([0; 64]).await;
            read?;
        }
    }

    fn take_received(&self) -> Option<Signal> {
        let taken = self
            .received
            .iter()
            .find(|(_, flag)| flag.swap(false, Ordering::SeqCst));
        taken.map(|(signal, _)| *signal)
    }
}
