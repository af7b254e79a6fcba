//! Chooses which free hosts stage which model's weights.
//!
//! A staged spare turns a loss of many seconds into one of about two. Each
//! further spare of the same model helps only if as many members are lost
//! before the next one is staged, so that a domain has a spare for each of its
//! models before it has two for one.

use super::{
    demand::Needs,
    pool::Pool,
    roster::{HostKey, Roster},
    spec::Replication,
};
use crate::core::keys::{DomainName, ModelName};
use std::collections::BTreeMap;

/// How many times less each further spare of a model is worth.
const NEXT_SPARE: f64 = 4.0;

/// How many times more a spare must be worth to another model to be staged anew.
const RESTAGE: f64 = 1.5;

/// A host that is to stage a model's weights.
#[derive(Clone, Copy, Debug)]
pub(super) struct Staging<'a> {
    /// The host.
    pub(super) host: HostKey,
    /// The model.
    pub(super) replication: &'a Replication,
    /// What it is worth, in work of a group.
    worth: f64,
}

/// Which free hosts are to stage which model, those worth most first.
pub(super) fn plan<'a>(
    roster: &Roster,
    needs: &Needs<'a>,
    pools: &BTreeMap<DomainName, Pool>,
) -> Vec<Staging<'a>> {
    let mut out: Vec<Staging<'a>> = pools
        .values()
        .flat_map(|pool| plan_domain(roster, needs, pools, pool))
        .collect();
    out.sort_by(|a, b| b.worth.total_cmp(&a.worth));
    out
}

fn plan_domain<'a>(
    roster: &Roster,
    needs: &Needs<'a>,
    pools: &BTreeMap<DomainName, Pool>,
    pool: &Pool,
) -> Vec<Staging<'a>> {
    let mut spares = Spares::count(roster, pool);
    let mut out = Vec::new();
    let idle = pool
        .free
        .iter()
        .filter(|key| !pool.loading.contains_key(key));
    for key in idle {
        let staged = staged_on(roster, pool, *key);
        let worth = |replication: &Replication| {
            // A host gives no second spare to its own model.
            let own = staged.is_some_and(|model| *model == replication.model);
            spares.worth(needs, pools, replication, usize::from(own))
        };
        let models = needs.engine.models.iter();
        let Some(best) = models.max_by(|a, b| worth(a).total_cmp(&worth(b))) else {
            continue;
        };
        let is_due = match staged.and_then(|model| needs.engine.replication(model)) {
            None => true,
            Some(held) => {
                let is_spare = pool.count(&held.model) > 0;
                is_spare && worth(best) > worth(held) * RESTAGE
            }
        };
        if is_due {
            out.push(Staging {
                host: *key,
                replication: best,
                worth: worth(best),
            });
            spares.move_one(staged, &best.model);
        }
    }
    out
}

/// The model that a host has staged or is staging.
fn staged_on<'a>(roster: &'a Roster, pool: &'a Pool, key: HostKey) -> Option<&'a ModelName> {
    let staged = || roster.host(key)?.runner.staged.last();
    pool.loading.get(&key).or_else(staged)
}

/// Free hosts that have each model staged, or soon will.
struct Spares(BTreeMap<ModelName, usize>);

impl Spares {
    fn count(roster: &Roster, pool: &Pool) -> Self {
        let mut spares = BTreeMap::new();
        let free = pool.free.iter();
        for model in free.filter_map(|key| staged_on(roster, pool, *key)) {
            *spares.entry(model.clone()).or_default() += 1;
        }
        Self(spares)
    }

    /// What one more spare is worth to a model beside those that it has, less `own`.
    fn worth(
        &self,
        needs: &Needs<'_>,
        pools: &BTreeMap<DomainName, Pool>,
        replication: &Replication,
        own: usize,
    ) -> f64 {
        let staged = self.0.get(&replication.model).copied().unwrap_or_default();
        let risk = needs.of(replication, pools) * f64::from(replication.size);
        risk / NEXT_SPARE.powi((staged - own.min(staged)) as i32)
    }

    fn move_one(&mut self, from: Option<&ModelName>, to: &ModelName) {
        if let Some(count) = from.and_then(|model| self.0.get_mut(model)) {
            *count -= 1;
        }
        *self.0.entry(to.clone()).or_default() += 1;
    }
}
