//! Divides the weight store's read rate among domains without a shared counter.
//!
//! Half of the rate is divided among all domains by the hosts wanted in them,
//! the other half among the domains whose records show that they are loading.
//! A domain that begins to load announces it in its record and takes a share
//! of the second half only once every daemon must have seen the record, so
//! the shares in use never add up to more than the whole rate.

use super::{
    super::{
        config::{
            View,
            record::{Placement, Stage},
        },
        ctx::Ctx,
        keys::{DomainName, ModelName},
        time::{Span, Time},
    },
    check,
};
use std::collections::BTreeMap;

/// Delay after a configuration change until it is in force on every daemon.
pub(super) const PROPAGATION_DELAY: Span = Span::from_secs(5);

/// Fraction of the rate that is divided among all domains.
const FIXED_FRACTION: f64 = 0.5;

/// One domain's share of the weight store's rate.
#[derive(Debug, Default)]
pub(super) struct RateShare {
    /// Time since which this domain's record has shown a load in progress.
    announced: Option<Time>,
}

/// Commands.
impl RateShare {
    /// Returns the rate at which the domain may load now, in gigabytes per second.
    pub(super) fn rate(&mut self, ctx: &Ctx, view: &View, record: &Placement) -> f64 {
        let total = ctx.options.weight_store;
        let fixed = total * FIXED_FRACTION * fixed_fraction(view, &record.domain);
        if !is_loading(record) {
            self.announced = None;
            return fixed;
        }
        let announced = *self.announced.get_or_insert(ctx.now);
        if ctx.now.since(announced) < PROPAGATION_DELAY {
            return fixed;
        }
        let others = view.placements().map(|v| &v.record);
        let loading = others
            .filter(|other| other.domain != record.domain && is_loading(other))
            .count();
        fixed + total * (1.0 - FIXED_FRACTION) / (loading + 1) as f64
    }
}

/// Returns the gigabytes that each host of a replica reads, by model.
pub(super) fn load_sizes(view: &View) -> BTreeMap<ModelName, f64> {
    let models = view.models();
    models
        .map(|model| (model.name.clone(), f64::from(model.weights_gb)))
        .collect()
}

/// Returns the fraction of all hosts wanted by groups that is wanted in one domain.
fn fixed_fraction(view: &View, domain: &DomainName) -> f64 {
    let mut total_hosts = 0;
    let mut domain_hosts = 0;
    for group in view.groups() {
        let size = check::group_size(view, &group.record).unwrap_or(0);
        total_hosts += size;
        if group.record.domain == *domain {
            domain_hosts += size;
        }
    }
    if total_hosts == 0 {
        return 0.0;
    }
    domain_hosts as f64 / total_hosts as f64
}

fn is_loading(record: &Placement) -> bool {
    let mut groups = record.groups.values();
    groups.any(|group| group.stage == Stage::Loading || group.next.is_some())
}
