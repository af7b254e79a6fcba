//! Evidence against one mark: the crashes that it may have caused.

use super::mark::Mark;
use crate::core::{
    keys::{Arrival, Fingerprint},
    time::{Span, Time},
};
use std::collections::{BTreeMap, BTreeSet};

/// Time within which crashes count as one.
const MOMENT: Span = Span::from_millis(50);

/// Different moments at which a request must have crashed runners.
const MIN_REQUEST_MOMENTS: usize = 2;

/// Different arrivals of a request that must have been at crashes.
const MIN_ARRIVALS: usize = 2;

/// Different requests with a part that must have been at crashes.
const MIN_PART_REQUESTS: usize = 2;

/// Number of times that the requests of a part outnumber those of a much narrower one, at least.
const NARROW_FACTOR: usize = 2;

/// Evidence against each suspect.
pub(super) type Involvements = BTreeMap<Mark, Involvement>;

/// Crashes that a mark may have caused.
#[derive(Debug, Default)]
pub(super) struct Involvement {
    /// Times of the crashes.
    pub times: Vec<Time>,
    /// Requests with the mark that were at them.
    pub requests: BTreeSet<Fingerprint>,
    /// Arrivals of the request that the mark stands for.
    pub arrivals: BTreeSet<Arrival>,
    /// Largest number of parts before the part that the mark stands for.
    pub position: usize,
}

impl Involvement {
    /// Returns the number of crashes that the mark explains.
    pub fn weight(&self, mark: Mark) -> usize {
        match mark {
            Mark::Request(_) => self.times.len(),
            Mark::Part(_) => self.moments(),
        }
    }

    /// Returns true if the mark may be blamed, however many crashes it explains.
    pub fn may_be_blamed(&self, mark: Mark) -> bool {
        match mark {
            Mark::Request(_) => {
                self.arrivals.len() >= MIN_ARRIVALS && self.moments() >= MIN_REQUEST_MOMENTS
            }
            Mark::Part(_) => self.requests.len() >= MIN_PART_REQUESTS,
        }
    }

    /// Returns true if a quarantine of the part would refuse fewer requests than one of another
    /// part: fewer with it were at crashes, or it comes later in the same prompts.
    pub fn is_narrower(&self, other: &Self) -> bool {
        match self.requests == other.requests {
            true => self.position > other.position,
            false => self.requests.len() < other.requests.len(),
        }
    }

    /// Returns true if the part is much narrower than another one that explains one crash more at
    /// most.
    pub fn is_nearly_tied(&self, other: &Self) -> bool {
        let is_narrow = self.requests.len() * NARROW_FACTOR <= other.requests.len();
        let is_part = !self.requests.is_empty();
        is_part && is_narrow && self.moments() + 1 >= other.moments()
    }

    /// Returns the number of crashes, of which those within a moment of an earlier one are the same.
    pub fn moments(&self) -> usize {
        self.moments_since(Time::default())
    }

    /// Returns the number of crashes from some time on, as `moments` counts them.
    pub fn moments_since(&self, start: Time) -> usize {
        let times = self.times.iter().copied();
        let mut times: Vec<Time> = times.filter(|time| *time >= start).collect();
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
