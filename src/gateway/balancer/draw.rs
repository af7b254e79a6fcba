//! Draws one of the candidates that take a request.
//!
//! Of two random ones the less loaded one is taken; while all daemons get the same totals of the
//! load, each candidate is drawn by its part of the requests that all daemons expect.

use super::criteria::{Candidate, View};
use crate::{
    core::{keys::HallName, time::Time},
    gateway::{
        outlook::Outlook,
        water_filling::{self, HeadCost},
    },
};
use rand::{Rng, seq::IndexedRandom};

/// Cost of a runner in another hall, in requests ahead of this one.
const REMOTE_HALL_COST: f64 = 0.5;

/// Draws candidates by their cost to this daemon.
#[derive(Clone, Copy)]
pub(super) struct Sampler<'a> {
    /// What is known of the runners.
    pub(super) view: View<'a>,
    /// Hall of the daemon.
    pub(super) hall: &'a HallName,
    /// Current time.
    pub(super) now: Time,
}

impl Sampler<'_> {
    /// Draws a candidate; none if there are none.
    pub(super) fn draw<R>(&self, candidates: &[Candidate], rng: &mut R) -> Option<Candidate>
    where
        R: Rng,
    {
        match self.expected_requests(candidates) {
            Some(requests) => {
                let costs = self.head_costs(candidates);
                let drawn = water_filling::draw(&costs, requests, rng)?;
                candidates.get(drawn).copied()
            }
            None => {
                let drawn = candidates.choose_multiple(rng, 2).copied();
                drawn.min_by(|a, b| self.cost(a).total_cmp(&self.cost(b)))
            }
        }
    }

    /// Returns the probability of each candidate to be drawn.
    pub(super) fn probabilities(&self, candidates: &[Candidate]) -> Vec<f64> {
        match self.expected_requests(candidates) {
            Some(requests) => {
                let costs = self.head_costs(candidates);
                water_filling::probabilities(&costs, requests)
            }
            None => self.pair_probabilities(candidates),
        }
    }

    /// Returns the probability of each candidate to be drawn among two and to have less cost than
    /// the other one. Of two with the same cost the first one drawn is taken.
    fn pair_probabilities(&self, candidates: &[Candidate]) -> Vec<f64> {
        let count = candidates.len();
        if count < 2 {
            return vec![1.0; count];
        }
        let costs: Vec<f64> = candidates.iter().map(|one| self.cost(one)).collect();
        let mut sorted = costs.clone();
        sorted.sort_by(f64::total_cmp);
        let pairs = (count * (count - 1)) as f64 / 2.0;
        let won = |cost: f64| {
            let cheaper = sorted.partition_point(|other| *other < cost);
            let not_dearer = sorted.partition_point(|other| *other <= cost);
            let equal = not_dearer - cheaper - 1;
            (count - not_dearer) as f64 + equal as f64 / 2.0
        };
        costs.iter().map(|cost| won(*cost) / pairs).collect()
    }

    /// Returns the requests that all daemons are expected to send to the candidates; none without
    /// totals.
    fn expected_requests(&self, candidates: &[Candidate]) -> Option<f64> {
        let heads = candidates.iter().map(|candidate| candidate.host);
        let outlook = Outlook::new(self.view.loads, heads, self.now)?;
        // After an idle time no requests are expected yet. One more for each head keeps all daemons
        // from choosing the least loaded one.
        Some(outlook.arrivals + candidates.len() as f64)
    }

    fn head_costs(&self, candidates: &[Candidate]) -> Vec<HeadCost> {
        let costs = candidates.iter().map(|candidate| HeadCost {
            base: self.cost(candidate),
            per_request: candidate.slowdown,
        });
        costs.collect()
    }

    /// Returns the expected wait at a candidate, in requests, with a surcharge for another hall.
    fn cost(&self, candidate: &Candidate) -> f64 {
        let host = self.view.roster.host(candidate.host);
        let is_remote = host.is_some_and(|host| host.runner.hall != *self.hall);
        let hall_cost = if is_remote { REMOTE_HALL_COST } else { 0.0 };
        let in_flight = self.view.loads.in_flight(candidate.host, self.now);
        f64::from(in_flight + 1) * candidate.slowdown + hall_cost
    }
}
