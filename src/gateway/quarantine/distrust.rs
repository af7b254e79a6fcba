//! Requests that were at several crashes, until it is known whether they caused them.

use super::mark::Mark;
use crate::core::time::{Span, Time};
use std::collections::BTreeMap;

/// Time for which a request is distrusted.
const DISTRUST_TTL: Span = Span::from_secs(60);

/// Maximum number of distrusted marks.
const MAX_DISTRUSTED: usize = 1_024;

/// Set of distrusted marks.
#[derive(Debug, Default)]
pub struct Distrusted {
    /// Time at which each was last accused.
    marks: BTreeMap<Mark, Time>,
}

impl Distrusted {
    /// Adds a mark.
    pub fn insert(&mut self, mark: Mark, now: Time) {
        self.marks.retain(|_, at| now.since(*at) < DISTRUST_TTL);
        if self.marks.len() < MAX_DISTRUSTED {
            self.marks.insert(mark, now);
        }
    }

    /// Returns true if a mark is distrusted.
    pub fn contains(&self, mark: Mark, now: Time) -> bool {
        let at = self.marks.get(&mark);
        at.is_some_and(|at| now.since(*at) < DISTRUST_TTL)
    }
}
