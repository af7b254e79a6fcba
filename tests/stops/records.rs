//! Records of what callers saw and how the daemons' processes ended.

use nix::sys::signal::Signal;
use std::{
    process::ExitStatus,
    time::{Duration, Instant},
};

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Stream of a model; may be resumed.
    Stream,
    /// Idempotent request to the plain service.
    Read,
    /// Request to the plain service that may run once.
    Once,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Stream, Kind::Read, Kind::Once];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Stream => "stream",
            Kind::Read => "read",
            Kind::Once => "once",
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// With a whole response.
    Whole,
    /// With a closed connection.
    Cut,
    /// The caller waited no longer.
    GivenUp,
}

/// One request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Identifier, the same at the runners.
    pub id: String,
    /// Kind.
    pub kind: Kind,
    /// Index of the daemon.
    pub daemon: usize,
    /// Time at which its first byte was sent.
    pub begun: Instant,
    /// Time at which its last byte was sent.
    pub sent: Instant,
    /// Time at which it ended.
    pub ended: Instant,
    /// Time that the caller would wait.
    pub deadline: Duration,
    /// Status; 0 if no head of a response arrived.
    pub status: u16,
    /// Ids of the events that arrived.
    pub events: Vec<u64>,
    /// Number of events of the whole stream.
    pub last_event: u64,
    /// How it ended.
    pub end: CallEnd,
}

/// Life of one process of a daemon.
#[derive(Clone, Debug)]
pub struct Life {
    /// Index of the daemon.
    pub daemon: usize,
    /// Time of its start.
    pub started: Instant,
    /// Signals that it was sent, in order.
    pub signals: Vec<(Signal, Instant)>,
    /// Time and status of its end; none if it ran until the run was over.
    pub end: Option<(Instant, ExitStatus)>,
}

impl Life {
    /// Returns the time of the first SIGTERM.
    pub fn stop(&self) -> Option<Instant> {
        let mut signals = self.signals.iter();
        let first = signals.find(|(signal, _)| *signal == Signal::SIGTERM);
        first.map(|(_, at)| *at)
    }
}
