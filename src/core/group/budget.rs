//! The weight store's rate, divided over the domains without a shared counter.
//!
//! Half of the rate is split among all domains by the hosts wanted in them;
//! the other half among the domains whose records show that they are loading.
//! A domain that begins to load announces it with its record and takes a
//! share of the second half only once every daemon must have seen it, so the
//! shares in use never add up to more than the whole.

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

/// How long a change may take to be in force on every daemon.
pub(super) const SPREAD: Span = Span::from_secs(5);

/// The part of the rate that is split among all domains.
const FIXED_PART: f64 = 0.5;

/// One domain's claim on the weight store.
#[derive(Debug, Default)]
pub(super) struct Share {
    /// When this domain's record last began to show loading.
    announced: Option<Time>,
}

/// Commands.
impl Share {
    /// Gigabytes a second that the domain may load now.
    pub(super) fn rate(&mut self, ctx: &Ctx, view: &View, record: &Placement) -> f64 {
        let total = ctx.options.weight_store;
        let fixed = total * FIXED_PART * fixed_part(view, &record.domain);
        if !is_loading(record) {
            self.announced = None;
            return fixed;
        }
        let announced = *self.announced.get_or_insert(ctx.now);
        if ctx.now.since(announced) < SPREAD {
            return fixed;
        }
        let others = view.placements().map(|v| &v.record);
        let loading = others
            .filter(|other| other.domain != record.domain && is_loading(other))
            .count();
        fixed + total * (1.0 - FIXED_PART) / (loading + 1) as f64
    }
}

/// Gigabytes that each host of a replica reads, by model.
pub(super) fn weights(view: &View) -> BTreeMap<ModelName, f64> {
    let models = view.models();
    models
        .map(|model| (model.name.clone(), f64::from(model.weights_gb)))
        .collect()
}

/// The part of all hosts wanted that is wanted in a domain.
fn fixed_part(view: &View, domain: &DomainName) -> f64 {
    let mut all = 0;
    let mut here = 0;
    for group in view.groups() {
        let size = check::size_of(view, &group.record).unwrap_or(0);
        all += size;
        if group.record.domain == *domain {
            here += size;
        }
    }
    if all == 0 {
        return 0.0;
    }
    here as f64 / all as f64
}

fn is_loading(record: &Placement) -> bool {
    let mut groups = record.groups.values();
    groups.any(|group| group.stage == Stage::Loading || group.next.is_some())
}
