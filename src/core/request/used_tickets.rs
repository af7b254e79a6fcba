//! Which non-idempotent requests were started here, by ticket number.
//!
//! Numbers grow, so what is forgotten is everything below a floor: a ticket
//! under the floor may have been used, and is answered so. Memory is bounded
//! by [`MAX_ENTRIES`] and by [`RETENTION`].

use super::super::time::{Span, Time};
use std::collections::{BTreeSet, VecDeque};

/// How long a ticket can be used and its use be told.
pub(super) const RETENTION: Span = Span::from_secs(15 * 60);

/// How often old entries are dropped.
pub(super) const SWEEP: Span = Span::from_secs(60);

/// The most tickets remembered.
const MAX_ENTRIES: usize = 1 << 16;

/// The tickets used on this daemon.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    used: BTreeSet<u64>,
    floor: u64,
    /// The last number drawn at past sweeps.
    marks: VecDeque<(Time, u64)>,
}

/// Queries.
impl Ledger {
    /// How many tickets are remembered.
    pub(super) fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether a ticket was taken before, or is too old to tell.
    pub(super) fn may_have_taken(&self, number: u64) -> bool {
        number <= self.floor || self.used.contains(&number)
    }
}

/// Commands.
impl Ledger {
    /// Takes a ticket that was not taken before.
    pub(super) fn take(&mut self, number: u64) {
        self.used.insert(number);
        if self.used.len() > MAX_ENTRIES {
            self.floor = self.used.pop_first().unwrap_or(self.floor);
        }
    }

    /// Gives back a ticket whose request never ran.
    pub(super) fn release(&mut self, number: u64) {
        self.used.remove(&number);
    }

    /// Forgets tickets drawn before the retention; `drawn` is the last number drawn.
    pub(super) fn sweep(&mut self, now: Time, drawn: u64) {
        self.marks.push_back((now, drawn));
        while let Some(&(at, number)) = self.marks.front() {
            if now.since(at) < RETENTION {
                break;
            }
            self.floor = self.floor.max(number);
            self.marks.pop_front();
        }
        self.used = self.used.split_off(&(self.floor + 1));
    }
}
