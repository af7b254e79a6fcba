//! Limits that hold over a sliding window.

use crate::core::time::{Span, Time};
use std::collections::VecDeque;

/// Repeats allowed against the requests seen lately.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Span,
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl RetryBudget {
    /// A budget of `ratio` × requests, and a slack, in any `window`.
    pub fn new(ratio: f64, window: Span) -> Self {
        Self {
            ratio,
            window,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Time) {
        expire(&mut self.requests, now, self.window);
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the budget, if there is one left; `slack` is allowed besides.
    pub fn try_take(&mut self, slack: f64, now: Time) -> bool {
        expire(&mut self.requests, now, self.window);
        expire(&mut self.repeats, now, self.window);
        let most = self.ratio * self.requests.len() as f64 + slack;
        if (self.repeats.len() + 1) as f64 > most {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

/// Loads of weights that may begin in any window.
#[derive(Debug)]
pub struct LoadBudget {
    window: Span,
    begun: VecDeque<Time>,
}

impl LoadBudget {
    /// A budget over a window.
    pub fn new(window: Span) -> Self {
        Self {
            window,
            begun: VecDeque::new(),
        }
    }

    /// Takes `count` loads out of the budget of `most` a window, all or none.
    pub fn try_take(&mut self, count: usize, most: usize, now: Time) -> bool {
        expire(&mut self.begun, now, self.window);
        if self.begun.len() + count > most {
            return false;
        }
        self.begun.extend(std::iter::repeat_n(now, count));
        true
    }
}

fn expire(times: &mut VecDeque<Time>, now: Time, window: Span) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
