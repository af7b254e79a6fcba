//! Decides which requests a stopping daemon still takes, and when it leaves.
//!
//! A request that must end by its own deadline before the daemon exits is taken at
//! any time. Just after the signal most callers still have the daemon's address;
//! refusing them all would leave them without an answer if other daemons stop
//! too. Until they have learnt of the stop, a request is therefore also taken if
//! it is likely to end in time, even if it runs twice. One that takes longer all
//! the same is answered as timed out while there is time for that: its caller
//! would otherwise wait on a connection that is cut.
//!
//! The daemon leaves at a margin before the end of the grace period, when the
//! process is killed. A host with little processor time runs its processes for a
//! part of each scheduling period only, so that what is due comes late there.

use crate::core::time::{Span, Time};

/// Fraction of the grace period after which few callers still have the daemon's address.
const EARLY_FRACTION: f64 = 3.0 / 8.0;

/// End of the grace period in which connections are closed and nothing is taken any more.
const CLOSE_WINDOW: Span = Span::from_millis(700);

/// Time for which the scheduler may leave a process waiting: the period of its quota, 100 ms by
/// default, after a timer that came as late.
const SCHEDULING_DELAY: Span = Span::from_millis(150);

/// Processor time from the time of the exit to the end of the process.
const EXIT_WORK: Span = Span::from_millis(30);

/// Maximum margin before the end of the grace period.
const MAX_EXIT_MARGIN: Span = Span::from_millis(450);

/// Processor time of a daemon whose settings don't name it, in cores.
const DEFAULT_CORES: f64 = 1.0;

/// Time before the exit at which requests are given up: waiting requests notice it within 100 ms,
/// and their responses are to be written.
const GIVE_UP_TIME: Span = Span::from_millis(200);

/// Time after which other daemons no longer name one whose lease is revoked; they collect changes
/// of the store for up to 0.9 s.
const UNLISTED_AFTER: Span = Span::from_millis(1_000);

/// Maximum time for which callers keep an address, as a multiple of its time to live.
const KEPT_ENTRIES: u64 = 3;

/// Factor on the estimated duration of a request, which may run slowly or twice.
const DURATION_FACTOR: f64 = 2.0;

/// Time until a stream is resumed at another runner after its own has fallen silent.
const RESUME_TIME: Span = Span::from_millis(1_000);

/// Phases of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// End of the time in which likely requests are taken.
    early_until: Time,
    /// Time by which requests must end, and at which connections are closed.
    ends: Time,
    /// Time at which those that haven't ended are answered.
    gives_up: Time,
    /// Time at which the daemon leaves whatever is open.
    exits: Time,
    /// Time at which the process ends if the event loop is too late.
    forced: Time,
}

impl Drain {
    /// Creates the phases of a stop that was requested at `signalled`; `grace` passes from then
    /// until the process is killed, which may use `cores` of processor time.
    pub fn new(grace: Span, cores: f64, signalled: Time) -> Self {
        let margin = exit_margin(cores);
        let exits = signalled + (grace - margin);
        Self {
            early_until: signalled + grace.scaled(EARLY_FRACTION),
            ends: signalled + (grace - CLOSE_WINDOW),
            gives_up: exits - GIVE_UP_TIME,
            exits,
            forced: signalled + (grace - margin.scaled(0.5)),
        }
    }

    /// Returns true if connections are to be closed now: at the latest when requests must have
    /// ended, and without open requests once callers have moved to other daemons.
    ///
    /// The lease was revoked at `revoked`, and callers keep an address for `ttl`.
    pub fn closes(&self, open: usize, revoked: Option<Time>, ttl: Span, now: Time) -> bool {
        let kept = UNLISTED_AFTER + ttl.times(KEPT_ENTRIES);
        let is_unused = revoked.is_some_and(|revoked| now.since(revoked) >= kept);
        now >= self.ends || (open == 0 && is_unused)
    }

    /// Returns the time at which connections are closed at the latest.
    pub fn ends(&self) -> Time {
        self.ends
    }

    /// Returns the time at which the daemon leaves whatever is open.
    pub fn exits(&self) -> Time {
        self.exits
    }

    /// Returns the time at which the process ends if the event loop is too late.
    pub fn forced(&self) -> Time {
        self.forced
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

/// Returns the time that a daemon needs to leave on a host that gives it this much processor time.
fn exit_margin(cores: f64) -> Span {
    let cores = if cores > 0.0 { cores } else { DEFAULT_CORES };
    let margin = SCHEDULING_DELAY + EXIT_WORK.scaled(1.0 / cores);
    margin.min(MAX_EXIT_MARGIN)
}
