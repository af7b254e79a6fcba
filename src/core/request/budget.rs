//! The retry budget: retries are a share of requests, whatever fails.

use super::super::options::{Mechanism, Options};

/// A token bucket that requests fill and retries empty.
#[derive(Debug, Default)]
pub(super) struct RetryBudget {
    /// Hundredths of a retry that are missing from a full bucket.
    missing: u64,
    spent: u64,
    denied: u64,
}

/// Hundredths of a retry in one.
const ONE_RETRY: u64 = 100;

/// Queries.
impl RetryBudget {
    /// Retries made.
    pub(super) fn spent(&self) -> u64 {
        self.spent
    }

    /// Retries not made for want of budget.
    pub(super) fn denied(&self) -> u64 {
        self.denied
    }
}

/// Commands.
impl RetryBudget {
    /// Notes a new request.
    pub(super) fn deposit(&mut self, options: &Options) {
        self.missing = self
            .missing
            .saturating_sub(u64::from(options.retry_percent));
    }

    /// Takes one retry out; false if there is none.
    pub(super) fn withdraw(&mut self, options: &Options) -> bool {
        let full = u64::from(options.retry_burst) * ONE_RETRY;
        if self.missing + ONE_RETRY > full && options.has(Mechanism::RetryBudget) {
            self.denied += 1;
            return false;
        }
        self.missing += ONE_RETRY;
        self.spent += 1;
        true
    }
}
