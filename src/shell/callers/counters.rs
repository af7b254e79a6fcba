//! Counters of the callers' connections and of rejected requests.

use crate::core::metric::Metric;
use std::cell::Cell;

/// Number of open connections, and counts of what was rejected before it reached the core.
#[derive(Debug, Default)]
pub(super) struct Counters {
    connections: Cell<usize>,
    rejected_connections: Cell<u64>,
    rejected_calls: Cell<u64>,
    bad_requests: Cell<u64>,
}

impl Counters {
    /// Returns the number of open connections.
    pub(super) fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Appends all counts, for the metrics.
    pub(super) fn collect(&self, counts: &mut Vec<Metric>) {
        counts.push(Metric::gauge(
            "connections_open",
            self.connections.get() as u64,
        ));
        let reasons = [
            ("connections", &self.rejected_connections),
            ("calls", &self.rejected_calls),
            ("bad_request", &self.bad_requests),
        ];
        for (reason, count) in reasons {
            let count = Metric::counter("turned_away_total", count.get());
            counts.push(count.with_label("reason", reason));
        }
    }
}

impl Counters {
    /// Counts an accepted connection.
    pub(super) fn open_connection(&self) {
        self.connections.set(self.connections.get() + 1);
    }

    /// Counts a closed connection.
    pub(super) fn close_connection(&self) {
        self.connections.set(self.connections.get() - 1);
    }

    /// Counts a connection rejected because too many are open.
    pub(super) fn reject_connection(&self) {
        self.rejected_connections
            .set(self.rejected_connections.get() + 1);
    }

    /// Counts a call rejected because too many are open.
    pub(super) fn reject_call(&self) {
        self.rejected_calls.set(self.rejected_calls.get() + 1);
    }

    /// Counts a request that was invalid or incomplete.
    pub(super) fn bad_request(&self) {
        self.bad_requests.set(self.bad_requests.get() + 1);
    }
}
