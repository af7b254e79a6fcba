//! Counters of the callers' connections and of refused requests.

use crate::core::metric::Metric;
use std::cell::Cell;

/// Number of open connections, and counts of what was refused before it reached the core.
#[derive(Debug, Default)]
pub(super) struct Counters {
    connections: Cell<usize>,
    refused_connections: Cell<u64>,
    refused_calls: Cell<u64>,
    bad_requests: Cell<u64>,
}

impl Counters {
    /// Returns the number of open connections.
    pub(super) fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Appends the metrics of the connections.
    pub(super) fn collect(&self, metrics: &mut Vec<Metric>) {
        metrics.push(Metric::gauge(
            "connections_open",
            self.connections.get() as u64,
        ));
        let reasons = [
            ("connections", &self.refused_connections),
            ("calls", &self.refused_calls),
            ("bad_request", &self.bad_requests),
        ];
        for (reason, count) in reasons {
            let metric = Metric::counter("turned_away_total", count.get());
            metrics.push(metric.with_label("reason", reason));
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

    /// Counts a connection refused because too many are open.
    pub(super) fn refuse_connection(&self) {
        self.refused_connections
            .set(self.refused_connections.get() + 1);
    }

    /// Counts a call refused because too many are open.
    pub(super) fn refuse_call(&self) {
        self.refused_calls.set(self.refused_calls.get() + 1);
    }

    /// Counts a request that was invalid or incomplete.
    pub(super) fn bad_request(&self) {
        self.bad_requests.set(self.bad_requests.get() + 1);
    }
}
