//! Admission control: decides whether a request for a model is sent now or refused.
//!
//! Under overload a queue makes every request late, and a late request is worth
//! little. A group head therefore gets no more requests than it can run at
//! once, and the rest are refused immediately with a time to retry after. A
//! request that has already missed its objective only gets slots that would
//! otherwise stay free.

use super::{load::Loads, roster::HostKey, spec::Engine};
use crate::core::{
    keys::ModelName,
    time::{Span, Time},
};
use rand::Rng;

/// Maximum number of requests that a head may hold beyond its slots, because load reports are
/// some hundred milliseconds old.
const MAX_QUEUED: u32 = 2;

/// Fraction of a head's slots that late requests leave free for others.
const LATE_RESERVE_FRACTION: f64 = 0.2;

/// Fraction of a head's slots that is left free on average if admission goes by totals of all
/// daemons, which are off by some requests: one that waits for a slot is late for most objectives.
const TOTALS_MARGIN_FRACTION: f64 = 0.125;

/// Minimum time before a refused caller retries; repairs take two seconds.
const MIN_RETRY_DELAY: Span = Span::from_millis(1_200);

/// Maximum random addition to the retry delay, so that callers don't return together.
const MAX_RETRY_JITTER_MS: u64 = 1_000;

/// Time that a request takes besides prefill and decode: connecting, and waiting for a slot.
const START_OVERHEAD: Span = Span::from_millis(300);

/// Maximum duration of a request to a plain service.
const MAX_PLAIN_DURATION: Span = Span::from_millis(1_000);

/// Class of a request for admission, by its progress against its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionClass {
    /// May have started to run, and continues at another head.
    Resumed,
    /// Can still meet its objective.
    OnTime,
    /// Has missed its objective.
    Late,
}

/// Returns the maximum number of requests that a head may hold, including the next one.
pub fn max_in_flight(slots: u32, class: AdmissionClass) -> u32 {
    match class {
        AdmissionClass::Resumed => u32::MAX,
        AdmissionClass::OnTime => slots + MAX_QUEUED,
        AdmissionClass::Late => slots - (f64::from(slots) * LATE_RESERVE_FRACTION) as u32,
    }
}

/// Returns the number of requests that a head may be expected to hold, if it is estimated from totals
/// of all daemons.
pub fn max_expected(slots: u32, class: AdmissionClass) -> f64 {
    let max = f64::from(slots) * (1.0 - TOTALS_MARGIN_FRACTION);
    max.min(f64::from(max_in_flight(slots, class)))
}

/// Returns the estimated duration of a request.
pub fn expected_duration(
    engine: Option<(&Engine, &ModelName)>,
    prompt_tokens: u32,
    answer_tokens: u32,
) -> Span {
    let replication = engine.and_then(|(engine, model)| {
        let replication = engine.replication(model)?;
        Some((engine, replication))
    });
    let Some((engine, replication)) = replication else {
        return MAX_PLAIN_DURATION;
    };
    START_OVERHEAD + engine.request_duration(replication, prompt_tokens, answer_tokens)
}

/// Returns true if a head may take a request of this class.
pub(super) fn has_room(
    head: HostKey,
    loads: &Loads,
    slots: u32,
    class: AdmissionClass,
    now: Time,
) -> bool {
    loads.in_flight(head, now) < max_in_flight(slots, class)
}

/// Returns the delay after which a refused caller should retry.
///
/// By then the least loaded head must have worked off its requests beyond its slots.
pub(super) fn retry_delay<R>(
    heads: &[HostKey],
    loads: &Loads,
    engine: &Engine,
    now: Time,
    rng: &mut R,
) -> Span
where
    R: Rng,
{
    let excess = heads
        .iter()
        .map(|head| loads.in_flight(*head, now).saturating_sub(engine.slots))
        .min()
        .unwrap_or_default();
    let drain_time = engine.mean_request_time().times(u64::from(excess));
    MIN_RETRY_DELAY.max(drain_time) + retry_jitter(rng)
}

/// Returns the delay after which a caller should retry that was refused because its runners want no
/// request before `wait` has passed.
pub(super) fn held_back_retry_delay<R>(wait: Span, rng: &mut R) -> Span
where
    R: Rng,
{
    MIN_RETRY_DELAY.max(wait) + retry_jitter(rng)
}

fn retry_jitter<R>(rng: &mut R) -> Span
where
    R: Rng,
{
    Span::from_millis(rng.random_range(0..MAX_RETRY_JITTER_MS))
}
