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

/// Maximum number of times that the delay of a probe doubles.
const MAX_PROBE_DOUBLINGS: u32 = 1;

/// Consecutive failures of one kind of call.
#[derive(Debug)]
pub struct Backoff {
    failures: u32,
    max_doublings: u32,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            failures: 0,
            max_doublings: MAX_DOUBLINGS,
        }
    }
}

impl Backoff {
    /// Creates the backoff of the one kind of call that finds out when the store is back, for which
    /// the other kinds wait.
    pub fn of_probe() -> Self {
        Self {
            max_doublings: MAX_PROBE_DOUBLINGS,
            ..Self::default()
        }
    }

    /// Records a failure and returns the delay before the next call.
    pub fn next_delay(&mut self) -> Duration {
        let doublings = self.max_doublings.min(self.failures);
        self.failures += 1;
        MIN_DELAY * (1 << doublings)
    }

    /// Records a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
