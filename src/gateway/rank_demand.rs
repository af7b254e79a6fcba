//! Recent demand of each rank for a model, and the slots to leave free for it.
//!
//! A daemon counts the requests of its own callers. Callers choose daemons at
//! random, so the demand on all daemons is that of one, times their number.

use super::decay;
use crate::core::time::{Span, Time};
use std::collections::BTreeMap;

/// Half-life of the weight of a request.
const HALF_LIFE: Span = Span::from_secs(3);

/// Decayed count below which a rank has no demand: that of a single request after ten seconds.
const MIN_COUNT: f64 = 0.1;

/// Time for which requests of other daemons may be missing from the estimate of a head's load.
const ESTIMATE_AGE: Span = Span::from_millis(500);

/// Standard deviations of the arrivals within the estimate's age for which slots are left free. With
/// more, slots stay unused; with fewer, more urgent requests find no free slot.
const RESERVE_DEVIATIONS: f64 = 2.5;

/// Recent requests of a rank.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    /// Requests that arrived.
    requested: f64,
    /// Requests that were sent to a head.
    admitted: f64,
}

/// Recent requests for one model by rank.
#[derive(Clone, Debug, Default)]
pub struct RankDemand {
    counts: BTreeMap<u8, Count>,
    /// Time up to which the counts have decayed.
    updated: Time,
}

impl RankDemand {
    /// Counts a request of a priority that arrived.
    pub fn record_request(&mut self, priority: u8, now: Time) {
        self.decay(now);
        self.counts.entry(priority).or_default().requested += 1.0;
    }

    /// Counts a request of a priority that is sent to a head.
    pub fn record_admission(&mut self, priority: u8, now: Time) {
        self.decay(now);
        self.counts.entry(priority).or_default().admitted += 1.0;
    }

    fn decay(&mut self, now: Time) {
        let factor = self.decay_since_update(now);
        self.updated = now;
        for count in self.counts.values_mut() {
            count.requested *= factor;
            count.admitted *= factor;
        }
        self.counts.retain(|_, count| count.requested >= MIN_COUNT);
    }
}

impl RankDemand {
    /// Returns the requests that arrive in a second, from the callers of one daemon.
    pub fn rate(&self, priority: u8, now: Time) -> f64 {
        let count = self.counts.get(&priority).copied().unwrap_or_default();
        self.rate_of(count, now)
    }

    /// Returns the slots of all heads together that a rank leaves free for more urgent ranks.
    ///
    /// Each gets what covers the spread of its arrivals within the age of the load estimates, and
    /// no more than its requests of `duration` take.
    pub fn reserve(&self, priority: u8, daemons: usize, duration: Span, now: Time) -> f64 {
        let more_urgent = self.counts.range(..priority);
        let rates = more_urgent.map(|(_, count)| self.rate_of(*count, now) * daemons as f64);
        rates.map(|rate| slots_for(rate, duration)).sum()
    }

    /// Returns the fractions of the recent requests that are more urgent than a rank, and of the rank
    /// itself.
    pub fn fractions(&self, priority: u8) -> (f64, f64) {
        let requested = |counts: &Count| counts.requested;
        let total: f64 = self.counts.values().map(requested).sum();
        let more_urgent = self.counts.range(..priority);
        let ahead: f64 = more_urgent.map(|(_, count)| requested(count)).sum();
        let own = self.counts.get(&priority).map_or(0.0, requested);
        match total > 0.0 {
            true => (ahead / total, own / total),
            false => (0.0, 1.0),
        }
    }

    /// Returns the ratio of arrived to admitted requests, of a rank and the more urgent ones; 1 if
    /// all were admitted.
    pub fn backlog_ratio(&self, priority: u8) -> f64 {
        let counts = self.counts.range(..=priority);
        let (requested, admitted) = counts.fold((0.0, 0.0), |(requested, admitted), (_, count)| {
            (requested + count.requested, admitted + count.admitted)
        });
        match requested < 1.0 {
            true => 1.0,
            // Without any admission the ratio would have no bound.
            false => (requested / admitted.max(1.0)).max(1.0),
        }
    }

    fn rate_of(&self, count: Count, now: Time) -> f64 {
        let requested = count.requested * self.decay_since_update(now);
        match requested < MIN_COUNT {
            true => 0.0,
            false => decay::rate(requested, HALF_LIFE),
        }
    }

    fn decay_since_update(&self, now: Time) -> f64 {
        decay::factor(now.since(self.updated), HALF_LIFE)
    }
}

/// Returns the slots to leave free for requests that arrive at this rate at all daemons and last
/// for `duration`.
pub fn slots_for(rate: f64, duration: Span) -> f64 {
    let spread = (rate * ESTIMATE_AGE.as_secs_f64()).sqrt();
    let used = rate * duration.as_secs_f64();
    (RESERVE_DEVIATIONS * spread).min(used)
}
