//! How many requests the heads of a model may hold before most of them begin late.
//!
//! Where prompts are long, requests wait for each other's prefills long before
//! all slots are in use; where they are short, every slot can be used. The limit
//! of a model therefore follows the requests that begin late, as all daemons
//! together report them: it falls while too many do, and rises again up to the slots.

use crate::core::{
    keys::ModelName,
    time::{Span, Time},
};
use std::collections::BTreeMap;

/// Fraction of requests that may begin late. Beyond it, one request more makes others late.
const LATE_FRACTION: f64 = 0.3;

/// Change of a limit in a second, as a fraction of the slots, if all requests begin late.
const GAIN: f64 = 0.8;

/// Smallest limit, as a fraction of the slots: lateness below it has another cause than load.
const MIN_FRACTION: f64 = 0.4;

/// Largest limit, as a fraction of the slots. Totals are off by some requests, and one that waits for
/// a slot is late for most objectives.
const MAX_FRACTION: f64 = 0.94;

/// Longest time between two observations that counts.
const MAX_ELAPSED: Span = Span::from_millis(500);

/// Requests in a second below which their lateness says nothing of the load.
const MIN_BEGUN_PER_S: f64 = 4.0;

/// Requests of a model that heads have begun recently.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Begun {
    /// Requests in a second.
    pub per_s: f64,
    /// Those whose first event came after the objective, in a second.
    pub late_per_s: f64,
}

/// Limits of all models, as fractions of a head's slots.
#[derive(Clone, Debug, Default)]
pub struct HeadLimits {
    models: BTreeMap<ModelName, Limit>,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    fraction: f64,
    observed_at: Time,
}

impl HeadLimits {
    /// Adjusts the limit of a model to the requests that have begun at its heads recently.
    pub fn observe(&mut self, model: &ModelName, begun: Begun, now: Time) {
        let known = self.models.get(model).copied();
        let before = known.unwrap_or(Limit {
            fraction: MAX_FRACTION,
            observed_at: now,
        });
        let elapsed = now.since(before.observed_at).min(MAX_ELAPSED);
        let late = match begun.per_s < MIN_BEGUN_PER_S {
            true => 0.0,
            false => (begun.late_per_s / begun.per_s).min(1.0),
        };
        let change = GAIN * (LATE_FRACTION - late) * elapsed.as_secs_f64();
        let limit = Limit {
            fraction: (before.fraction + change).clamp(MIN_FRACTION, MAX_FRACTION),
            observed_at: now,
        };
        self.models.insert(model.clone(), limit);
    }

    /// Returns the limit of a model as a fraction of a head's slots.
    pub fn fraction(&self, model: &ModelName) -> f64 {
        let known = self.models.get(model);
        known.map_or(MAX_FRACTION, |limit| limit.fraction)
    }
}
