//! Whether the runners that start together have all appeared.
//!
//! The first groups formed of half of them would leave the others a poorer choice.

use crate::core::time::{Span, Time};

/// How long no further runner may have appeared before the first group is formed.
const SURVEY_QUIET: Span = Span::from_millis(600);

/// How long the first group waits for runners at the most, once there are requests.
const SURVEY_LIMIT: Span = Span::from_millis(3_000);

/// The same before the first request: many runners that start together need seconds to appear.
const SURVEY_LIMIT_EARLY: Span = Span::from_millis(6_000);

/// Whether the runners that started together have all appeared.
#[derive(Debug, Default)]
pub(super) struct Survey {
    began: Option<Time>,
    hosts: usize,
    /// When a further host was seen last.
    grown: Time,
    is_over: bool,
}

impl Survey {
    /// Takes in how many runners are known; whether they are all there.
    pub(super) fn look(&mut self, hosts: usize, is_busy: bool, now: Time) -> bool {
        let began = *self.began.get_or_insert(now);
        if hosts > self.hosts {
            self.grown = now;
        }
        self.hosts = hosts;
        let is_quiet = hosts > 0 && now.since(self.grown) >= SURVEY_QUIET;
        let limit = match is_busy {
            true => SURVEY_LIMIT,
            false => SURVEY_LIMIT_EARLY,
        };
        self.is_over |= is_quiet || now.since(began) >= limit;
        self.is_over
    }
}
