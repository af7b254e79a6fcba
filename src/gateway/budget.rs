//! Limits on the number of events within a sliding window.

use crate::core::time::{Span, Time};
use std::collections::VecDeque;

/// Period over which the largest count is remembered, at least; the store refuses some daemons for a
/// shorter time.
const PEAK_PERIOD: Span = Span::from_secs(60);

/// Largest recent count of daemons. Daemons that are no longer listed may still serve, and use their
/// shares.
#[derive(Debug, Default)]
pub struct PeakCount {
    peak: usize,
    /// Largest count of the period before.
    previous_peak: usize,
    period_start: Time,
}

impl PeakCount {
    /// Records the current count and returns the largest recent one.
    pub fn record(&mut self, count: usize, now: Time) -> usize {
        if now.since(self.period_start) >= PEAK_PERIOD {
            self.previous_peak = self.peak;
            self.peak = 0;
            self.period_start = now;
        }
        self.peak = self.peak.max(count);
        self.peak.max(self.previous_peak)
    }
}

/// Retry budget in proportion to the recent requests.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Span,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries for each request within `window`.
    pub fn new(ratio: f64, window: Span) -> Self {
        Self {
            ratio,
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Time) {
        expire(&mut self.requests, now, self.window);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the budget and returns false if none is left; `slack` retries are
    /// allowed on top of the ratio.
    pub fn try_take(&mut self, slack: f64, now: Time) -> bool {
        expire(&mut self.requests, now, self.window);
        expire(&mut self.retries, now, self.window);
        let max = self.ratio * self.requests.len() as f64 + slack;
        if (self.retries.len() + 1) as f64 > max {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

/// Budget of weight loads that may start within a window.
#[derive(Debug)]
pub struct LoadBudget {
    window: Span,
    started: VecDeque<Time>,
}

impl LoadBudget {
    /// Creates a budget over a window.
    pub fn new(window: Span) -> Self {
        Self {
            window,
            started: VecDeque::new(),
        }
    }

    /// Takes `count` loads, all or none, out of a budget of `max` for each window; false if too
    /// few are left.
    pub fn try_take(&mut self, count: usize, max: usize, now: Time) -> bool {
        expire(&mut self.started, now, self.window);
        if self.started.len() + count > max {
            return false;
        }
        self.started.extend(std::iter::repeat_n(now, count));
        true
    }
}

fn expire(times: &mut VecDeque<Time>, now: Time, window: Span) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
