//! Whether the store answers this daemon.
//!
//! An answer to any call proves contact. Contact is lost once the answers have
//! stayed out for longer than the renewals of a lease are apart.

use crate::core::time::{Span, Time};

/// Maximum time between two answers of a store that is in contact; a lease is renewed more often.
const MAX_GAP: Span = Span::from_millis(1_500);

/// Contact of this daemon with the store.
#[derive(Debug, Default)]
pub struct StoreContact {
    /// Time of the last answer, if there was one.
    answered_at: Option<Time>,
    /// Time of the first answer of the present contact, or of the last one.
    since: Time,
}

impl StoreContact {
    /// Records an answer; returns true if the contact had been lost.
    pub fn answered(&mut self, now: Time) -> bool {
        let was_lost = self.is_lost(now);
        self.answered_at = Some(now);
        if was_lost {
            self.since = now;
        }
        was_lost
    }

    /// Returns the time at which the present contact began, or the last one if it is lost.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Returns true while the store doesn't answer.
    pub fn is_lost(&self, now: Time) -> bool {
        let answered = self.answered_at;
        answered.is_none_or(|at| now.since(at) > MAX_GAP)
    }
}
