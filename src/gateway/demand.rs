//! How much work callers ask of each model, and which model needs a group most.

use super::{
    pool::Pool,
    spec::{Engine, Replication},
};
use crate::core::{
    keys::{DomainName, ModelName},
    time::{Span, Time},
};
use std::collections::BTreeMap;

/// The time in which observed work loses half of its weight.
const HALF_LIFE: Span = Span::from_secs(6);

/// Observed work below which the configured shares count, in seconds of a group.
const MIN_OBSERVED: f64 = 2.0;

/// How many times needier a model must be to take hosts that are staged for another.
const TAKEOVER: f64 = 1.5;

/// Work asked for lately, in seconds of a group of each model.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    work: BTreeMap<ModelName, f64>,
    at: Time,
}

impl Demand {
    /// Counts a request of so many prompt and answer tokens.
    pub fn count(
        &mut self,
        engine: &Engine,
        model: &ModelName,
        prompt: u32,
        answer: u32,
        now: Time,
    ) {
        let Some(replication) = engine.replication(model) else {
            return;
        };
        self.decay(now);
        let work = engine.replica_time(prompt, answer).as_secs_f64() * replication.pace;
        *self.work.entry(model.clone()).or_default() += work;
    }

    fn decay(&mut self, now: Time) {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(halves);
        self.work.values_mut().for_each(|work| *work *= factor);
        self.at = now;
    }

    fn of(&self, model: &ModelName) -> f64 {
        self.work.get(model).copied().unwrap_or_default()
    }
}

/// What each model of an engine needs.
pub struct Needs<'a> {
    /// The engine.
    pub engine: &'a Engine,
    demand: &'a Demand,
    is_observed: bool,
}

impl<'a> Needs<'a> {
    /// The needs that follow from what was asked.
    pub fn new(engine: &'a Engine, demand: &'a Demand) -> Self {
        let models = engine.models.iter();
        let observed: f64 = models.map(|known| demand.of(&known.model)).sum();
        Self {
            engine,
            demand,
            is_observed: observed >= MIN_OBSERVED,
        }
    }

    /// A model's work for each of its groups, were there one more.
    pub fn of(&self, replication: &Replication, pools: &BTreeMap<DomainName, Pool>) -> f64 {
        let count: u32 = pools
            .values()
            .map(|pool| pool.count(&replication.model))
            .sum();
        let work = match self.is_observed {
            true => self.demand.of(&replication.model),
            // A share of the hosts: larger replicas make fewer groups of it.
            false => replication.share / f64::from(replication.size.max(1)),
        };
        work / f64::from(count + 1)
    }

    /// The models, the one in greatest need first.
    pub fn ranked(&self, pools: &BTreeMap<DomainName, Pool>) -> Vec<&'a Replication> {
        let mut models: Vec<&Replication> = self.engine.models.iter().collect();
        models.sort_by(|a, b| self.of(b, pools).total_cmp(&self.of(a, pools)));
        models
    }

    /// The models whose staged hosts are not to be taken for this one.
    pub fn rivals(
        &self,
        wanted: &Replication,
        pools: &BTreeMap<DomainName, Pool>,
    ) -> Vec<&'a Replication> {
        let own = self.of(wanted, pools);
        let others = self.engine.models.iter();
        others
            .filter(|other| other.model != wanted.model)
            .filter(|other| self.of(other, pools) * TAKEOVER >= own)
            .collect()
    }
}
