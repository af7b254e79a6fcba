//! Token bucket over the requests to one runner.

use super::authority::SETTLE_TIME;
use crate::{
    core::time::{Span, Time},
    gateway::notices::{AppliedLimit, LimitReason},
};

/// Number of unused permits that may add up, besides those of a short time.
const MIN_BURST: f64 = 2.0;

/// Time over which unused permits may add up.
const BURST_WINDOW: Span = Span::from_millis(250);

/// Time over which unused permits for a cold runner may add up. Its limit is checked over each
/// second, and a quarter second's permits on top would leave nothing for requests that are late.
const COLD_BURST_WINDOW: Span = Span::from_millis(50);

/// Minimum rate of permits, in permits a second. A runner that takes no requests gets one now and
/// then, since only a response can end its limit.
const MIN_RATE: f64 = 0.1;

/// Maximum wait of a daemon that is refused a permit while the authority issues only a part of the
/// limit; the authority may issue the whole limit by then.
const MAX_PARTIAL_WAIT: Span = SETTLE_TIME;

/// Permits to send requests to one runner. Starts empty, so that a change of the daemon that issues
/// permits adds none.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    permits: f64,
    filled_at: Time,
}

impl Bucket {
    pub(super) fn new(now: Time) -> Self {
        Self {
            permits: 0.0,
            filled_at: now,
        }
    }

    /// Takes one permit out of a `share` of the limit, or returns the time until there is one.
    pub(super) fn try_take(
        &mut self,
        limit: AppliedLimit,
        share: f64,
        now: Time,
    ) -> Result<(), Span> {
        if share <= 0.0 {
            *self = Self::new(now);
            return Err(MAX_PARTIAL_WAIT);
        }
        let per_second = limit.rate.per_second().max(MIN_RATE);
        let max = max_permits(limit.reason, per_second, share);
        let rate = per_second * share;
        let added = rate * now.since(self.filled_at).as_secs_f64();
        self.permits = (self.permits + added).min(max);
        self.filled_at = now;
        let wait = Span(((1.0 - self.permits) / rate * 1e6) as u64);
        if wait > Span::ZERO {
            let max_wait = if share < 1.0 { MAX_PARTIAL_WAIT } else { wait };
            return Err(wait.min(max_wait));
        }
        self.permits -= 1.0;
        Ok(())
    }

    /// Returns true if nobody has asked for a permit since `time`.
    pub(super) fn is_idle_since(&self, time: Time) -> bool {
        self.filled_at < time
    }
}

/// Returns the number of permits that may add up out of a `share` of a rate.
fn max_permits(reason: LimitReason, per_second: f64, share: f64) -> f64 {
    match reason {
        LimitReason::Limited => MIN_BURST + per_second * share * BURST_WINDOW.as_secs_f64(),
        // Whoever is not certain to be the only authority may add to the permits of another one.
        LimitReason::Cold => {
            let all = MIN_BURST + per_second * COLD_BURST_WINDOW.as_secs_f64();
            (all * share).max(1.0)
        }
    }
}
