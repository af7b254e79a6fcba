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

/// Which hosts of a domain are to stage which model.
pub(super) fn plan(
    roster: &Roster,
    needs: &Needs<'_>,
    pools: &BTreeMap<DomainName, Pool>,
    pool: &Pool,
) -> Vec<(HostKey, ModelName)> {
    let mut spares = Spares::count(roster, pool);
    let mut out = Vec::new();
    for key in &pool.free {
        let staged = staged_on(roster, *key);
        let worth = |replication: &&Replication| {
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
                is_spare && worth(&best) > worth(&held) * RESTAGE
            }
        };
        if is_due {
            spares.move_one(staged, &best.model);
            out.push((*key, best.model.clone()));
        }
    }
    out
}

fn staged_on(roster: &Roster, key: HostKey) -> Option<&ModelName> {
    roster.host(key)?.runner.staged.last()
}

/// Free hosts that have each model staged.
struct Spares(BTreeMap<ModelName, usize>);

impl Spares {
    fn count(roster: &Roster, pool: &Pool) -> Self {
        let mut spares = BTreeMap::new();
        for model in pool.free.iter().filter_map(|key| staged_on(roster, *key)) {
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
