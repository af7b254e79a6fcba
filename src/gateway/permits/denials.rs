//! How often a request asks for permits before it looks for a runner without a limit.
//!
//! Each permit takes a round trip. A request that keeps asking would begin late,
//! which costs its caller more than a refusal at once.

use crate::{core::time::Span, gateway::notices::LimitReason};

/// Permits for runners that name a rate limit which a request may be denied.
const MAX_LIMITED: u32 = 3;

/// Permits for cold runners that a request may be denied. All runners may be cold, and as long as
/// the daemons together ask for fewer permits than there are, some runner has one left.
const MAX_COLD: u32 = 4;

/// Part of a route's objective that a request may spend on asking for permits for cold runners.
const ASKING_SHARE: f64 = 0.25;

/// Minimum time that a request may spend on asking for permits for cold runners.
const MIN_ASKING_TIME: Span = Span::from_millis(50);

/// Permits that a request was denied.
#[derive(Clone, Copy, Debug, Default)]
pub struct Denials {
    limited: u32,
    cold: u32,
    /// Time that was spent on asking for permits for cold runners.
    spent: Span,
}

impl Denials {
    /// Records that a permit was denied after some time.
    pub fn record(&mut self, reason: LimitReason, elapsed: Span) {
        match reason {
            LimitReason::Limited => self.limited += 1,
            LimitReason::Cold => {
                self.cold += 1;
                self.spent = self.spent + elapsed;
            }
        }
    }

    /// Returns the time that a request with this objective may still spend on asking for a permit for
    /// a cold runner.
    pub fn time_left(&self, objective: Span) -> Span {
        let max = MIN_ASKING_TIME.max(objective.scaled(ASKING_SHARE));
        max - self.spent
    }

    /// Returns true if a request with this objective should look for a runner without a limit.
    pub fn are_enough(&self, objective: Span) -> bool {
        let is_late = self.cold > 0 && self.time_left(objective) == Span::ZERO;
        is_late || self.limited >= MAX_LIMITED || self.cold >= MAX_COLD
    }
}
