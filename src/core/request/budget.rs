//! The retry budget: retries are a share of requests, whatever fails.

use super::super::options::{Mechanism, Options};

/// A token bucket that requests fill and retries empty.
#[derive(Debug)]
pub(super) struct RetryBudget {
    /// Hundredths of a retry.
    balance: u64,
    spent: u64,
    denied: u64,
}

/// Hundredths of a retry in one.
const ONE_RETRY: u64 = 100;

/// Retries that can be saved up, in hundredths.
const MAX_BALANCE: u64 = 512 * ONE_RETRY;

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
            spent: 0,
            denied: 0,
        }
    }
}

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
        self.balance = (self.balance + u64::from(options.retry_percent)).min(MAX_BALANCE);
    }

    /// Takes one retry out; false if there is none.
    pub(super) fn withdraw(&mut self, options: &Options) -> bool {
        if self.balance < ONE_RETRY && options.has(Mechanism::RetryBudget) {
            self.denied += 1;
            return false;
        }
        self.balance = self.balance.saturating_sub(ONE_RETRY);
        self.spent += 1;
        true
    }
}
