//! Chooses which free hosts stage the weights of which model.
//!
//! A spare is a free host that has a model's weights staged. With a spare, a
//! lost member is replaced in about two seconds instead of many. A further
//! spare of the same model helps only if as many members are lost before the
//! next one is staged, so a domain gets a spare for each of its models before
//! it gets a second one for any of them. Hosts that are to become a group of a
//! model are all worth as much as its first spare.

use super::{
    demand::Needs,
    pool::Pool,
    roster::{HostKey, Roster},
    spec::Replication,
};
use crate::core::keys::{DomainName, ModelName};
use std::collections::BTreeMap;

/// Factor by which each further spare of a model is worth less than the one before.
const SPARE_DISCOUNT_FACTOR: f64 = 4.0;

/// Factor by which a spare must be worth more to another model before it is staged again.
const RESTAGE_FACTOR: f64 = 1.5;

/// A model to be staged on a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Staging<'a> {
    /// The free host.
    pub(super) host: HostKey,
    /// The model to stage.
    pub(super) replication: &'a Replication,
    /// Value of the spare: the model's work for each group times the hosts of a group, less for
    /// each spare that the model has already.
    value: f64,
}

/// Returns the stagings to start, in descending order of their value.
pub(super) fn plan<'a>(
    roster: &Roster,
    needs: &Needs<'a>,
    pools: &BTreeMap<DomainName, Pool>,
) -> Vec<Staging<'a>> {
    let mut out: Vec<Staging<'a>> = pools
        .values()
        .flat_map(|pool| plan_domain(roster, needs, pools, pool))
        .collect();
    out.sort_by(|a, b| b.value.total_cmp(&a.value));
    out
}

fn plan_domain<'a>(
    roster: &Roster,
    needs: &Needs<'a>,
    pools: &BTreeMap<DomainName, Pool>,
    pool: &Pool,
) -> Vec<Staging<'a>> {
    let mut spares = SpareCounts::count(roster, pool);
    let mut out = Vec::new();
    let idle = pool
        .free
        .iter()
        .filter(|key| !pool.loading.contains_key(key));
    for key in idle {
        let staged = staged_model(roster, pool, *key);
        let value = |replication: &Replication| {
            // The host itself doesn't count as another spare of the model that it has staged.
            let own = staged.is_some_and(|model| *model == replication.model);
            spares.value_of_next(needs, pools, pool, replication, usize::from(own))
        };
        let models = needs.engine.models.iter();
        let Some(best) = models.max_by(|a, b| value(a).total_cmp(&value(b))) else {
            continue;
        };
        let is_due = match staged.and_then(|model| needs.engine.replication(model)) {
            None => true,
            Some(current) => {
                let is_spare = pool.group_count(&current.model) > 0;
                is_spare && value(best) > value(current) * RESTAGE_FACTOR
            }
        };
        if is_due {
            out.push(Staging {
                host: *key,
                replication: best,
                value: value(best),
            });
            spares.restage(staged, &best.model);
        }
    }
    out
}

/// Returns the model that a host has staged or is staging.
fn staged_model<'a>(roster: &'a Roster, pool: &'a Pool, key: HostKey) -> Option<&'a ModelName> {
    let staged = || roster.host(key)?.runner.staged.last();
    pool.loading.get(&key).or_else(staged)
}

/// Returns true if the staged hosts of a model are to become its next group, rather than spares.
fn is_group_growing(pool: &Pool, replication: &Replication, staged: usize) -> bool {
    let has_hosts = pool.free.len() >= pool.hosts_needed(replication);
    let has_none = pool.group_count(&replication.model) == 0;
    has_hosts && (has_none || 2 * staged >= usize::from(replication.size))
}

/// Number of free hosts of a domain that have staged, or are staging, each model.
struct SpareCounts(BTreeMap<ModelName, usize>);

impl SpareCounts {
    fn count(roster: &Roster, pool: &Pool) -> Self {
        let mut spares = BTreeMap::new();
        let free = pool.free.iter();
        for model in free.filter_map(|key| staged_model(roster, pool, *key)) {
            *spares.entry(model.clone()).or_default() += 1;
        }
        Self(spares)
    }

    /// Returns the value of one more spare of a model, not counting `own` of those it has.
    fn value_of_next(
        &self,
        needs: &Needs<'_>,
        pools: &BTreeMap<DomainName, Pool>,
        pool: &Pool,
        replication: &Replication,
        own: usize,
    ) -> f64 {
        let staged = self.0.get(&replication.model).copied().unwrap_or_default();
        let others = staged - own.min(staged);
        let risk = needs.work_per_group(replication, pools) * f64::from(replication.size);
        match is_group_growing(pool, replication, others) {
            true => risk,
            false => risk / SPARE_DISCOUNT_FACTOR.powi(others as i32),
        }
    }

    /// Moves one spare to another model.
    fn restage(&mut self, from: Option<&ModelName>, to: &ModelName) {
        if let Some(count) = from.and_then(|model| self.0.get_mut(model)) {
            *count -= 1;
        }
        *self.0.entry(to.clone()).or_default() += 1;
    }
}
