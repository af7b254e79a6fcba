//! Rate of the loads from the weight store that a domain starts.

use super::super::time::{Span, Time};

/// Maximum wait for the weight store before the load budget is checked again.
const MAX_LOAD_WAIT: Span = Span::from_secs(1);

/// Rate limiter for a domain's loads from the weight store, in gigabytes.
///
/// A load is admitted while the balance is not negative, and then charged in full.
#[derive(Debug, Default)]
pub(super) struct LoadBudget {
    balance: f64,
    refilled_at: Option<Time>,
}

impl LoadBudget {
    /// Refills the balance at `rate`, in gigabytes a second, for the time since the last refill.
    pub(super) fn refill(&mut self, now: Time, rate: f64) {
        let since = self.refilled_at.map_or(Span::ZERO, |at| now.since(at));
        self.refilled_at = Some(now);
        self.balance = (self.balance + rate * since.as_secs_f64()).min(0.0);
    }

    /// Returns the time until the next load is admitted at `rate`, in gigabytes a second, at most
    /// [`MAX_LOAD_WAIT`].
    pub(super) fn wait(&self, rate: f64) -> Span {
        let secs = -self.balance / rate.max(f64::MIN_POSITIVE);
        Span((secs * 1e6).min(MAX_LOAD_WAIT.0 as f64) as u64)
    }

    /// Charges a load; returns false if it has to wait.
    pub(super) fn charge(&mut self, gigabytes: f64) -> bool {
        if self.balance < 0.0 {
            return false;
        }
        self.balance -= gigabytes;
        true
    }
}
