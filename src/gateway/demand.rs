//! Tracks the work that callers request of each model, and ranks models by need.
//!
//! Work is measured in seconds of one group running at full load. The need of
//! a model is its work divided by its number of groups, counting one more.
//!
//! If ranks differ and the hosts don't suffice for all work, the need of a model
//! is raised as far as its next group would serve more urgent work.

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
use std::{
    cell::OnceCell,
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

/// Half-life of the weight of observed work.
const HALF_LIFE: Span = Span::from_secs(6);

/// Observed work, in seconds of a group, below which the configured shares are used instead.
const MIN_OBSERVED_WORK_SECS: f64 = 2.0;

/// Factor by which a model's need must exceed another's to take the hosts staged for it.
const TAKEOVER_FACTOR: f64 = 1.5;

/// Observed work of a rank, in seconds of a group, below which it counts as none.
const MIN_RANK_WORK_SECS: f64 = 0.05;

/// Factor by which work of a rank raises a model's need over work of the next less urgent rank.
const RANK_FACTOR: f64 = 4.0;

/// Number of less urgent ranks from which the factor grows no further.
const MAX_RANK_STEPS: usize = 4;

/// Work by priority, in seconds of a group.
type WorkByRank = BTreeMap<u8, f64>;

/// Recently requested work of each model, in seconds of a group.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    work: BTreeMap<ModelName, WorkByRank>,
    /// Number of daemons that callers choose among, of which this one sees the requests.
    daemons: usize,
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
        let by_rank = self.work.entry(request.model.clone()).or_default();
        *by_rank.entry(request.rank.priority()).or_default() += work;
    }

    fn decay(&mut self, now: Time) {
        let factor = decay::factor(now.since(self.updated), HALF_LIFE);
        let work = self.work.values_mut().flat_map(BTreeMap::values_mut);
        work.for_each(|work| *work *= factor);
        self.updated = now;
    }

    /// Sets the number of daemons that callers choose among.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons;
    }

    fn work_of(&self, model: &ModelName) -> f64 {
        self.by_rank(model).map(|(_, work)| work).sum()
    }

    fn by_rank(&self, model: &ModelName) -> impl Iterator<Item = (u8, f64)> {
        let by_rank = self.work.get(model).into_iter().flatten();
        by_rank.map(|(priority, work)| (*priority, *work))
    }

    /// Returns the number of groups that serve work of all daemons, given that of this one.
    fn groups_for(&self, work: f64) -> f64 {
        decay::rate(work, HALF_LIFE) * self.daemons.max(1) as f64
    }
}

/// Need of each model of an engine for one more group.
pub struct Needs<'a> {
    /// The engine that serves the models.
    pub engine: &'a Engine,
    demand: &'a Demand,
    /// True if enough work was observed to use it instead of the configured shares.
    is_observed: bool,
    /// Priorities of the observed work.
    priorities: BTreeSet<u8>,
    /// True if the hosts don't suffice for all work; derived from the first pools.
    is_short: OnceCell<bool>,
}

impl<'a> Needs<'a> {
    /// Derives the needs from the recent demand.
    pub fn new(engine: &'a Engine, demand: &'a Demand) -> Self {
        let models = engine.models.iter();
        let observed: f64 = models.map(|known| demand.work_of(&known.model)).sum();
        let models = engine.models.iter();
        let by_rank = models.flat_map(|known| demand.by_rank(&known.model));
        Self {
            engine,
            demand,
            is_observed: observed >= MIN_OBSERVED_WORK_SECS,
            priorities: by_rank
                .filter(|(_, work)| *work >= MIN_RANK_WORK_SECS)
                .map(|(priority, _)| priority)
                .collect(),
            is_short: OnceCell::new(),
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
            true => self.ranked_work(replication, count, pools),
            // The share is one of hosts: a model with larger replicas gets fewer groups from it.
            false => replication.share / f64::from(replication.size.max(1)),
        };
        work / f64::from(count + 1)
    }

    /// Returns a model's work, raised if its next group would serve more urgent work than others.
    fn ranked_work(
        &self,
        replication: &Replication,
        count: u32,
        pools: &BTreeMap<DomainName, Pool>,
    ) -> f64 {
        let work = self.demand.work_of(&replication.model);
        let is_ranked = self.priorities.len() > 1;
        if !is_ranked || work <= 0.0 || !self.is_short(pools) {
            return work;
        }
        let most_urgent = rank_factor(self.priorities.len() - 1);
        if count == 0 {
            // No other model's need exceeds that of a model which has no group at all.
            let models = self.engine.models.iter();
            let total: f64 = models.map(|known| self.demand.work_of(&known.model)).sum();
            return total * most_urgent;
        }
        work * (1.0 + self.raise_of_next(replication, count))
    }

    /// Returns the part by which a model's need is raised, as its next group would serve work that is
    /// more urgent than other work.
    fn raise_of_next(&self, replication: &Replication, count: u32) -> f64 {
        // The groups serve the most urgent work; the next one serves what follows it.
        let (from, until) = (f64::from(count), f64::from(count + 1));
        let mut served = 0.0;
        let mut raise = 0.0;
        for (priority, work) in self.demand.by_rank(&replication.model) {
            let groups = self.demand.groups_for(work);
            let overlap = (served + groups).min(until) - f64::max(served, from);
            let above = (Bound::Excluded(priority), Bound::Unbounded);
            let less_urgent = self.priorities.range(above).count();
            raise += overlap.max(0.0) * (rank_factor(less_urgent) - 1.0);
            served += groups;
        }
        raise
    }

    /// Returns true if the hosts don't suffice for groups for all work.
    fn is_short(&self, pools: &BTreeMap<DomainName, Pool>) -> bool {
        *self.is_short.get_or_init(|| {
            let free: usize = pools.values().map(|pool| pool.free.len()).sum();
            self.hosts_needed() > f64::from(self.hosts_in_groups(pools)) + free as f64
        })
    }

    /// Returns the number of hosts in groups that would serve all work.
    fn hosts_needed(&self) -> f64 {
        let models = self.engine.models.iter();
        let hosts = models.map(|known| {
            let groups = self.demand.groups_for(self.demand.work_of(&known.model));
            groups * f64::from(known.size)
        });
        hosts.sum()
    }

    /// Returns the number of hosts in the groups of all models.
    fn hosts_in_groups(&self, pools: &BTreeMap<DomainName, Pool>) -> u32 {
        let models = self.engine.models.iter();
        let hosts = models.flat_map(|known| {
            let counts = pools.values().map(|pool| pool.group_count(&known.model));
            counts.map(|count| count * u32::from(known.size))
        });
        hosts.sum()
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

/// Returns the factor on the need for work that this number of ranks is less urgent than.
fn rank_factor(less_urgent: usize) -> f64 {
    RANK_FACTOR.powi(less_urgent.min(MAX_RANK_STEPS) as i32)
}
