//! Whether what this daemon knows can be taken as current.
//!
//! It can if the platform's service answered a short while ago, or if at least
//! half of the daemons that ought to be running were heard. At a size where a
//! daemon can't hear all the others in that time, the answers to its probes,
//! which go round all of them in random order, stand for the rest.

use super::super::time::{Span, Time};
use std::collections::VecDeque;

/// The most probe results kept.
const MAX_RESULTS: usize = 64;

/// What was heard of late.
#[derive(Debug, Default)]
pub struct Fresh {
    window: Span,
    platform: Option<Time>,
    probes: VecDeque<(Time, bool)>,
}

/// Queries.
impl Fresh {
    /// Whether the platform's service answered within `window`.
    pub fn reaches_platform(&self, now: Time, window: Span) -> bool {
        self.platform.is_some_and(|at| now.since(at) <= window)
    }

    /// Whether at least half of the daemons that ought to run are heard.
    pub fn hears_peers(&self, now: Time, up: usize, expected: usize) -> bool {
        let (sent, answered) = self.probes_within(now, self.window);
        sent > 0 && expected > 0 && 2 * up * answered >= expected * sent
    }

    /// Whether at least half of the probes of a time were answered.
    pub fn answers(&self, now: Time, window: Span) -> bool {
        let (sent, answered) = self.probes_within(now, window);
        2 * answered >= sent
    }

    /// The probes ended within a time: all, and those that were answered.
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

    /// Whether what this daemon knows can be taken as current.
    pub fn is_fresh(&self, now: Time, up: usize, expected: usize) -> bool {
        self.reaches_platform(now, self.window) || self.hears_peers(now, up, expected)
    }

    /// The time after which nothing heard before still counts.
    pub fn window(&self) -> Span {
        self.window
    }
}

/// Commands.
impl Fresh {
    /// Sets how long something heard counts.
    pub fn set_window(&mut self, window: Span) {
        self.window = window;
    }

    /// Notes that the platform's service answered.
    pub fn on_platform(&mut self, now: Time) {
        self.platform = Some(now);
    }

    /// Notes what came of a probe.
    pub fn on_probe(&mut self, now: Time, was_answered: bool) {
        self.probes.push_back((now, was_answered));
        if self.probes.len() > MAX_RESULTS {
            self.probes.pop_front();
        }
    }
}
