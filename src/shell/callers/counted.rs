//! What the callers' side counts.

use {crate::core::count::Count, std::cell::Cell};

/// Counts of requests that never reached the decision logic.
#[derive(Debug, Default)]
pub(super) struct Counted {
    turned_away: Cell<u64>,
    full: Cell<u64>,
    bad_requests: Cell<u64>,
}

/// Queries.
impl Counted {
    pub(super) fn counts(&self, counts: &mut Vec<Count>) {
        let kinds = [
            ("connections", &self.turned_away),
            ("calls", &self.full),
            ("bad_request", &self.bad_requests),
        ];
        for (kind, count) in kinds {
            let count = Count::counter("turned_away_total", count.get());
            counts.push(count.labelled("reason", kind));
        }
    }
}

/// Commands.
impl Counted {
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
