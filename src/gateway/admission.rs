//! Decides whether a model's request is sent now or turned away.
//!
//! Under overload a queue makes every request late, and a request that is late
//! is worth little: a head therefore gets no more requests than it can run at
//! once, and the rest are told at once when to come back. A request that has
//! missed its objective already only gets places that would stay free.

use super::{balancer::Candidate, load::Loads, roster::HostKey, spec::Engine};
use crate::core::{
    keys::ModelName,
    time::{Span, Time},
};
use rand::Rng;

/// Requests that a head may have beyond its slots: figures are some hundred milliseconds old.
const OVERHANG: u32 = 2;

/// The part of a head's slots that late requests leave free for others.
const LATE_RESERVE: f64 = 0.2;

/// The shortest time after which a caller that was turned away comes back; repairs take two seconds.
const RETRY_MIN: Span = Span::from_millis(1_200);

/// How much later at the most it comes back, so that callers don't return together.
const RETRY_SPREAD_MS: u64 = 1_000;

/// What a request takes besides reading and writing: connecting, and waiting for a slot.
const START_TIME: Span = Span::from_millis(300);

/// How long a request to a plain service may last.
const PLAIN_TIME: Span = Span::from_millis(1_000);

/// How a request stands against its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionClass {
    /// It may have begun to run, and goes on at another head.
    Resumed,
    /// It can still be on time.
    OnTime,
    /// It has missed its objective.
    Late,
}

/// The most requests that a head may hold when another one is sent.
pub fn most_held(slots: u32, standing: AdmissionClass) -> u32 {
    match standing {
        AdmissionClass::Resumed => u32::MAX,
        AdmissionClass::OnTime => slots + OVERHANG,
        AdmissionClass::Late => slots - (f64::from(slots) * LATE_RESERVE) as u32,
    }
}

/// The time that a daemon that stops must have left to take a request.
pub fn time_needed(engine: Option<(&Engine, &ModelName)>, prompt: u32, answer: u32) -> Span {
    let replication = engine.and_then(|(engine, model)| {
        let replication = engine.replication(model)?;
        Some((engine, replication))
    });
    let Some((engine, replication)) = replication else {
        return PLAIN_TIME;
    };
    START_TIME + engine.duration(replication, prompt, answer)
}

/// The candidates that may take a request of this standing.
pub(super) fn admit(
    candidates: Vec<Candidate>,
    loads: &Loads,
    slots: u32,
    standing: AdmissionClass,
    now: Time,
) -> Vec<Candidate> {
    let most = most_held(slots, standing);
    candidates
        .into_iter()
        .filter(|candidate| loads.held(candidate.host, now) < most)
        .collect()
}

/// When a caller that was turned away should come back.
///
/// The excess over the slots must have been worked off by then.
pub(super) fn retry_after<R>(
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
        .map(|head| loads.held(*head, now).saturating_sub(engine.slots))
        .min()
        .unwrap_or_default();
    let drain = engine.request_time().times(u64::from(excess));
    let spread = Span::from_millis(rng.random_range(0..RETRY_SPREAD_MS));
    RETRY_MIN.max(drain) + spread
}
