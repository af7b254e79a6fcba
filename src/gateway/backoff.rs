//! Delay before a failed call to the store is made again.
//!
//! An outage of the store fails the calls of all daemons at once. If they all
//! repeated them at a fixed rate, the calls would grow with the daemons just
//! when the store can't serve them.

use std::time::Duration;

/// Delay after the first failure.
const MIN_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of times that the delay doubles; a lease outlives two of its failed renewals.
const MAX_DOUBLINGS: u32 = 3;

/// Consecutive failures of one kind of call.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failure and returns the delay before the next call.
    pub fn next_delay(&mut self) -> Duration {
        let doublings = MAX_DOUBLINGS.min(self.failures);
        self.failures += 1;
        MIN_DELAY * (1 << doublings)
    }

    /// Records a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
