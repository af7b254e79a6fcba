//! Tickets used on this daemon, to start each non-idempotent request only once.
//!
//! Ticket numbers grow, so old tickets are dropped by raising a floor: a ticket
//! at or below the floor counts as possibly used. Memory is bounded by
//! [`MAX_TICKETS`] and [`RETENTION_WINDOW`].

use super::super::time::{Span, Time};
use std::collections::{BTreeSet, VecDeque};

/// Window in which a ticket can be used and its use is remembered.
pub(super) const RETENTION_WINDOW: Span = Span::from_secs(15 * 60);

/// Interval between drops of old tickets.
pub(super) const SWEEP_INTERVAL: Span = Span::from_secs(60);

/// Maximum number of tickets remembered.
const MAX_TICKETS: usize = 1 << 16;

/// Numbers of the used tickets above a floor.
#[derive(Debug, Default)]
pub(super) struct UsedTickets {
    numbers: BTreeSet<u64>,
    floor: u64,
    /// The last identifier drawn at each past sweep.
    checkpoints: VecDeque<(Time, u64)>,
}

/// Queries.
impl UsedTickets {
    /// Returns the number of tickets remembered.
    pub(super) fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Returns true if a ticket was used before or is too old to tell.
    pub(super) fn may_be_used(&self, number: u64) -> bool {
        number <= self.floor || self.numbers.contains(&number)
    }
}

/// Commands.
impl UsedTickets {
    /// Marks a ticket as used.
    pub(super) fn mark_used(&mut self, number: u64) {
        self.numbers.insert(number);
        if self.numbers.len() > MAX_TICKETS {
            self.floor = self.numbers.pop_first().unwrap_or(self.floor);
        }
    }

    /// Makes a ticket usable again whose request never ran.
    pub(super) fn release(&mut self, number: u64) {
        self.numbers.remove(&number);
    }

    /// Drops tickets issued before the retention window; `last_id` is the last identifier drawn.
    pub(super) fn sweep(&mut self, now: Time, last_id: u64) {
        self.checkpoints.push_back((now, last_id));
        while let Some(&(at, number)) = self.checkpoints.front() {
            if now.since(at) < RETENTION_WINDOW {
                break;
            }
            self.floor = self.floor.max(number);
            self.checkpoints.pop_front();
        }
        self.numbers = self.numbers.split_off(&(self.floor + 1));
    }
}
