//! Evidence against one mark: the crashes that it may have caused.

use super::mark::Mark;
use crate::core::{
    keys::{Arrival, Fingerprint},
    time::{Span, Time},
};
use std::collections::BTreeSet;

/// Time within which crashes count as one.
const MOMENT: Span = Span::from_millis(50);

/// Different moments at which a request must have crashed runners.
const MIN_REQUEST_MOMENTS: usize = 2;

/// Different arrivals of a request that must have been at crashes.
const MIN_ARRIVALS: usize = 2;

/// Different requests with a part that must have been at crashes.
const MIN_PART_REQUESTS: usize = 2;

/// Crashes that a mark may have caused.
#[derive(Debug, Default)]
pub(super) struct Involvement {
    /// Times of the crashes.
    pub times: Vec<Time>,
    /// Requests with the mark that were at them.
    pub requests: BTreeSet<Fingerprint>,
    /// Arrivals of the request that the mark stands for.
    pub arrivals: BTreeSet<Arrival>,
}

impl Involvement {
    /// Returns the number of crashes that count against the mark.
    pub fn weight(&self, mark: Mark) -> usize {
        let moments = self.moments();
        let is_repeated = self.arrivals.len() >= MIN_ARRIVALS && moments >= MIN_REQUEST_MOMENTS;
        let is_shared = self.requests.len() >= MIN_PART_REQUESTS;
        match mark {
            Mark::Request(_) if is_repeated => self.times.len(),
            Mark::Part(_) if is_shared => moments,
            _ => 0,
        }
    }

    /// Returns the number of crashes, of which those within a moment of an earlier one are the same.
    pub fn moments(&self) -> usize {
        let mut times = self.times.clone();
        times.sort();
        let mut count = 0;
        let mut last: Option<Time> = None;
        for time in times {
            if last.is_none_or(|last| time.since(last) >= MOMENT) {
                count += 1;
                last = Some(time);
            }
        }
        count
    }
}
