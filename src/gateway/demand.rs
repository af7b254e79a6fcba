//! Tracks the work that callers request of each model, and ranks models by need.
//!
//! Work is measured in seconds of one group running at full load. The need of
//! a model is its work divided by its number of groups, counting one more.

use super::{
    contention::Request,
    decay,
    pool::Pool,
    spec::{Engine, Replication},
};
use crate::core::{
    keys::{DomainName, ModelName},
    time::{Span, Time},
};
use std::collections::BTreeMap;

/// Half-life of the weight of observed work.
const HALF_LIFE: Span = Span::from_secs(6);

/// Observed work, in seconds of a group, below which the configured shares are used instead.
const MIN_OBSERVED_WORK_SECS: f64 = 2.0;

/// Factor by which a model's need must exceed another's to take the hosts staged for it.
const TAKEOVER_FACTOR: f64 = 1.5;

/// Recently requested work of each model, in seconds of a group.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    work: BTreeMap<ModelName, f64>,
    /// Time up to which the work has decayed.
    updated: Time,
}

impl Demand {
    /// Adds the work of a request.
    pub fn count(&mut self, request: &Request<'_>, now: Time) {
        let Some(replication) = request.engine.replication(request.model) else {
            return;
        };
        self.decay(now);
        let work = request.work().as_secs_f64() * replication.pace;
        *self.work.entry(request.model.clone()).or_default() += work;
    }

    fn decay(&mut self, now: Time) {
        let factor = decay::factor(now.since(self.updated), HALF_LIFE);
        self.work.values_mut().for_each(|work| *work *= factor);
        self.updated = now;
    }

    fn work_of(&self, model: &ModelName) -> f64 {
        self.work.get(model).copied().unwrap_or_default()
    }
}

/// Need of each model of an engine for one more group.
pub struct Needs<'a> {
    /// The engine that serves the models.
    pub engine: &'a Engine,
    demand: &'a Demand,
    /// True if enough work was observed to use it instead of the configured shares.
    is_observed: bool,
}

impl<'a> Needs<'a> {
    /// Derives the needs from the recent demand.
    pub fn new(engine: &'a Engine, demand: &'a Demand) -> Self {
        let models = engine.models.iter();
        let observed: f64 = models.map(|known| demand.work_of(&known.model)).sum();
        Self {
            engine,
            demand,
            is_observed: observed >= MIN_OBSERVED_WORK_SECS,
        }
    }

    /// Returns the work that each group of a model would have if there were one more.
    pub fn work_per_group(
        &self,
        replication: &Replication,
        pools: &BTreeMap<DomainName, Pool>,
    ) -> f64 {
        let count: u32 = pools
            .values()
            .map(|pool| pool.group_count(&replication.model))
            .sum();
        let work = match self.is_observed {
            true => self.demand.work_of(&replication.model),
            // The share is one of hosts: a model with larger replicas gets fewer groups from it.
            false => replication.share / f64::from(replication.size.max(1)),
        };
        work / f64::from(count + 1)
    }

    /// Returns the models in descending order of need.
    pub fn ranked(&self, pools: &BTreeMap<DomainName, Pool>) -> Vec<&'a Replication> {
        let mut models: Vec<&Replication> = self.engine.models.iter().collect();
        models.sort_by(|a, b| {
            self.work_per_group(b, pools)
                .total_cmp(&self.work_per_group(a, pools))
        });
        models
    }

    /// Returns the models whose staged hosts a group of the wanted model must leave alone.
    pub fn protected(
        &self,
        wanted: &Replication,
        pools: &BTreeMap<DomainName, Pool>,
    ) -> Vec<&'a Replication> {
        let own = self.work_per_group(wanted, pools);
        let others = self.engine.models.iter();
        others
            .filter(|other| other.model != wanted.model)
            .filter(|other| self.work_per_group(other, pools) * TAKEOVER_FACTOR >= own)
            .collect()
    }
}
