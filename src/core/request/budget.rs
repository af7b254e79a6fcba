//! Retry budget: limits retries to a fraction of all requests, whatever fails.
//!
//! Without it, retries would amplify an overload.

use super::super::options::{Mechanism, Options};

/// Token bucket that requests fill and retries drain.
#[derive(Debug, Default)]
pub(super) struct RetryBudget {
    /// Hundredths of a retry by which the bucket is below its capacity.
    deficit: u64,
    spent: u64,
    denied: u64,
}

/// Bucket units per retry.
const HUNDREDTHS_PER_RETRY: u64 = 100;

/// Queries.
impl RetryBudget {
    /// Returns the number of retries granted.
    pub(super) fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the number of retries denied because the budget was exhausted.
    pub(super) fn denied(&self) -> u64 {
        self.denied
    }
}

/// Commands.
impl RetryBudget {
    /// Adds the share of a new request to the bucket.
    pub(super) fn deposit(&mut self, options: &Options) {
        self.deficit = self
            .deficit
            .saturating_sub(u64::from(options.retry_percent));
    }

    /// Withdraws one retry; returns false if the budget is exhausted.
    pub(super) fn withdraw(&mut self, options: &Options) -> bool {
        let capacity = u64::from(options.retry_burst) * HUNDREDTHS_PER_RETRY;
        if self.deficit + HUNDREDTHS_PER_RETRY > capacity
            && options.is_enabled(Mechanism::RetryBudget)
        {
            self.denied += 1;
            return false;
        }
        self.deficit += HUNDREDTHS_PER_RETRY;
        self.spent += 1;
        true
    }
}
