//! What the callers' side counts.

use crate::core::metric::Metric;
use std::cell::Cell;

/// Connections open, and counts of what never reached the decision logic.
#[derive(Debug, Default)]
pub(super) struct Counted {
    open: Cell<usize>,
    turned_away: Cell<u64>,
    full: Cell<u64>,
    bad_requests: Cell<u64>,
}

/// Queries.
impl Counted {
    /// Connections open.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    pub(super) fn counts(&self, counts: &mut Vec<Metric>) {
        counts.push(Metric::gauge("connections_open", self.open.get() as u64));
        let kinds = [
            ("connections", &self.turned_away),
            ("calls", &self.full),
            ("bad_request", &self.bad_requests),
        ];
        for (kind, count) in kinds {
            let count = Metric::counter("turned_away_total", count.get());
            counts.push(count.with_label("reason", kind));
        }
    }
}

/// Commands.
impl Counted {
    /// A connection was accepted.
    pub(super) fn opened(&self) {
        self.open.set(self.open.get() + 1);
    }

    /// A connection has ended.
    pub(super) fn closed(&self) {
        self.open.set(self.open.get() - 1);
    }

    /// A connection too many was closed.
    pub(super) fn turned_away(&self) {
        self.turned_away.set(self.turned_away.get() + 1);
    }

    /// A request found too many calls open.
    pub(super) fn full(&self) {
        self.full.set(self.full.get() + 1);
    }

    /// A request made no sense, or didn't come whole.
    pub(super) fn bad_request(&self) {
        self.bad_requests.set(self.bad_requests.get() + 1);
    }
}
