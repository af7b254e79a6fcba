//! Limits the requests that the heads of a model may hold, so that most of them begin on time.
//!
//! Where prompts are long, requests wait for each other's prefills long before
//! all slots are in use; where they are short, every slot can be used. The limit
//! of a model therefore follows the requests that begin late, as all daemons
//! together report them: it falls while too many do, and otherwise rises to a little
//! below the slots.

use crate::core::{
    keys::ModelName,
    time::{Span, Time},
};
use std::collections::BTreeMap;

/// Fraction of requests that may begin late. Beyond it, one request more makes others late.
const LATE_FRACTION: f64 = 0.3;

/// Change of a limit in a second, as a fraction of the slots, for each unit by which the fraction of late
/// requests differs from the allowed one. If all are late, a limit takes about a second from the largest
/// to the smallest value; if none are, two or three seconds back.
const GAIN: f64 = 0.8;

/// Smallest limit, as a fraction of the slots: no request is refused while most slots are free.
/// Requests to heads that hold fewer are late for another reason than load.
const MIN_FRACTION: f64 = 0.5;

/// Largest limit, as a fraction of the slots. Totals are off by some requests, and one that waits for
/// a slot is late for most objectives.
const MAX_FRACTION: f64 = 0.94;

/// Maximum time between two observations that counts, so that the first one after a gap in the digests
/// doesn't change the limit by much.
const MAX_ELAPSED: Span = Span::from_millis(500);

/// Requests in a second below which none counts as late: too few to tell the load.
const MIN_STARTS_PER_S: f64 = 4.0;

/// Rates at which requests for a model have recently started at its heads.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StartRates {
    /// Requests that started in a second.
    pub per_s: f64,
    /// Requests whose first event came after the objective, in a second.
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
    /// Adjusts the limit of a model to the fraction of requests that have recently begun late.
    pub fn observe(&mut self, model: &ModelName, rates: StartRates, now: Time) {
        let known = self.models.get(model).copied();
        let before = known.unwrap_or(Limit {
            fraction: MAX_FRACTION,
            observed_at: now,
        });
        let elapsed = now.since(before.observed_at).min(MAX_ELAPSED);
        let late = match rates.per_s < MIN_STARTS_PER_S {
            true => 0.0,
            false => (rates.late_per_s / rates.per_s).min(1.0),
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
