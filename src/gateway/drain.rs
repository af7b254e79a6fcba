//! Decides which requests a stopping daemon still takes.
//!
//! A request that must end by its own deadline before the daemon exits is taken at
//! any time. Just after the signal most callers still have the daemon's address;
//! refusing them all would leave them without an answer if other daemons stop
//! too. Until they have learnt of the stop, a request is therefore also taken if
//! it is likely to end in time, even if it runs twice. One that takes longer all
//! the same is answered as timed out while there is time for that: its caller
//! would otherwise wait on a connection that is cut.

use crate::core::time::{Span, Time};

/// Fraction of the grace period after which few callers still have the daemon's address.
const EARLY_FRACTION: f64 = 3.0 / 8.0;

/// Fraction of the time for closing connections that is left once requests are given up.
const GIVE_UP_FRACTION: f64 = 0.6;

/// Factor on the estimated duration of a request, which may run slowly or twice.
const DURATION_FACTOR: f64 = 2.0;

/// Time until a stream is resumed at another runner after its own has fallen silent.
const RESUME_TIME: Span = Span::from_millis(1_000);

/// Phase of a stop in which requests are still taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// End of the time in which likely requests are taken.
    early_until: Time,
    /// Time by which requests must end.
    ends: Time,
    /// Time at which those that haven't ended are answered.
    gives_up: Time,
}

impl Drain {
    /// Creates the phase of a stop that begins now; `grace` passes until the process is killed, and
    /// `closing` of it is needed to close the connections.
    pub fn new(grace: Span, closing: Span, now: Time) -> Self {
        Self {
            early_until: now + grace.scaled(EARLY_FRACTION),
            ends: now + (grace - closing),
            gives_up: now + (grace - closing.scaled(GIVE_UP_FRACTION)),
        }
    }

    /// Returns true if requests that haven't been answered are answered now, as the exit is near.
    pub fn has_given_up(&self, now: Time) -> bool {
        now >= self.gives_up
    }

    /// Returns true if a request with this deadline and estimated duration is taken now.
    pub fn admits(&self, deadline: Time, estimate: Span, now: Time) -> bool {
        let must_end = deadline <= self.ends;
        let time_needed = estimate.scaled(DURATION_FACTOR) + RESUME_TIME;
        let is_likely = now < self.early_until && now + time_needed <= self.ends;
        must_end || is_likely
    }
}
