//! Freshness of this daemon's state.
//!
//! The state is fresh if the platform's store answered recently, or if at
//! least half of the expected daemons are reachable. A large cluster can't be
//! probed completely within the freshness window, so the answered fraction of
//! the recent probes, which visit all members in random order, stands for all.

use super::super::time::{Span, Time};
use std::collections::VecDeque;

/// Maximum number of probe results kept.
const MAX_RESULTS: usize = 64;

/// Recent contact with the platform's store and the other daemons.
#[derive(Debug, Default)]
pub struct Freshness {
    window: Span,
    platform: Option<Time>,
    probes: VecDeque<(Time, bool)>,
}

/// Queries.
impl Freshness {
    /// Returns true if the platform's store answered within `window`.
    pub fn reaches_platform(&self, now: Time, window: Span) -> bool {
        self.platform.is_some_and(|at| now.since(at) <= window)
    }

    /// Returns true if an estimated half or more of the expected daemons are reachable.
    pub fn reaches_peers(&self, now: Time, up: usize, expected: usize) -> bool {
        let (sent, answered) = self.probes_within(now, self.window);
        sent > 0 && expected > 0 && 2 * up * answered >= expected * sent
    }

    /// Returns true if at least half of the probes that ended within `window` were answered.
    pub fn half_answered(&self, now: Time, window: Span) -> bool {
        let (sent, answered) = self.probes_within(now, window);
        2 * answered >= sent
    }

    /// Counts the probes that ended within `window`, and those of them that were answered.
    fn probes_within(&self, now: Time, window: Span) -> (usize, usize) {
        let recent = self.probes.iter();
        let recent = recent.filter(|(at, _)| now.since(*at) <= window);
        let (mut sent, mut answered) = (0, 0);
        for (_, was_answered) in recent {
            sent += 1;
            answered += usize::from(*was_answered);
        }
        (sent, answered)
    }

    /// Returns true if this daemon's state is recent enough to act on.
    pub fn is_fresh(&self, now: Time, up: usize, expected: usize) -> bool {
        self.reaches_platform(now, self.window) || self.reaches_peers(now, up, expected)
    }

    /// Returns the freshness window.
    pub fn window(&self) -> Span {
        self.window
    }
}

/// Commands.
impl Freshness {
    /// Sets the time for which an answer keeps the state fresh.
    pub fn set_window(&mut self, window: Span) {
        self.window = window;
    }

    /// Records an answer of the platform's store.
    pub fn record_platform(&mut self, now: Time) {
        self.platform = Some(now);
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, now: Time, was_answered: bool) {
        self.probes.push_back((now, was_answered));
        if self.probes.len() > MAX_RESULTS {
            self.probes.pop_front();
        }
    }
}
