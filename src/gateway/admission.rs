//! Admission control: decides whether a request for a model is sent now or refused.
//!
//! Under overload a queue makes every request late, and a late request is worth
//! little. A group head therefore gets no more requests than it can run at
//! once, and the rest are refused immediately with a time to retry after. A
//! request that has already missed its objective only gets slots that would
//! otherwise stay free, and while the heads are nearly full, a less urgent one
//! leaves slots for more urgent ones (`contention`). Where daemons exchange
//! totals of the load, the heads of a model have a lower limit (`head_limits`).

use super::{load::Loads, roster::HostKey, shares::SharePart, spec::Engine};
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

/// Minimum time before a refused caller retries; repairs take two seconds.
const MIN_RETRY_DELAY: Span = Span::from_millis(1_200);

/// Maximum random addition to the retry delay, so that callers don't return together.
pub(super) const RETRY_SPREAD: Span = Span::from_millis(1_000);

/// Fraction of the heads' slots that are taken while requests contend for the others.
const CONTENTION_FRACTION: f64 = 0.75;

/// Maximum fraction of the heads' slots that a request leaves free for others.
const MAX_RESERVE_FRACTION: f64 = 0.25;

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

impl AdmissionClass {
    /// Returns the class of a request that hasn't run, by the time that its caller has waited.
    pub fn before_run(waited: Span, objective: Span) -> Self {
        match waited > objective {
            true => Self::Late,
            false => Self::OnTime,
        }
    }
}

/// What a request has to leave to others. By default it leaves nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Precedence {
    /// Fraction of the recent requests for the model that are more urgent, and are admitted before.
    pub ahead: f64,
    /// Fraction of the recent requests for the model that are of the same rank.
    pub own: f64,
    /// How much of the account's requests is within its share, and comes before the rest of its rank;
    /// none if all accounts are treated alike.
    pub share: Option<SharePart>,
    /// Slots of all heads together to leave free for more urgent ranks.
    pub for_ranks: u32,
    /// Further slots to leave free for accounts that are below their share.
    pub for_accounts: u32,
    /// Addition to the retry delay, by which more urgent callers return earlier.
    pub retry_offset: Span,
    /// Maximum random addition to the retry delay.
    pub retry_spread: Span,
}

impl Default for Precedence {
    fn default() -> Self {
        Self {
            ahead: 0.0,
            own: 1.0,
            share: None,
            for_ranks: 0,
            for_accounts: 0,
            retry_offset: Span::ZERO,
            retry_spread: RETRY_SPREAD,
        }
    }
}

impl Precedence {
    /// Drops the reserves that a request's position among the expected ones already accounts for: those
    /// for ranks, and those for accounts if its account's share is known.
    pub(super) fn without_position_reserves(self) -> Self {
        Self {
            for_ranks: 0,
            for_accounts: match self.share {
                Some(_) => 0,
                None => self.for_accounts,
            },
            ..self
        }
    }
}

/// Reason for which the heads that serve a model take no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullReason {
    /// The free slots are left to more urgent ranks.
    Rank,
    /// The free slots are left to accounts that are below their share.
    Account,
    /// No slot is free.
    Full,
    /// The free slots are left to requests that can still meet their objective.
    Late,
}

impl FullReason {
    /// Returns the label value in metrics.
    pub fn name(self) -> &'static str {
        match self {
            FullReason::Rank => "rank",
            FullReason::Account => "account",
            FullReason::Full => "full",
            FullReason::Late => "late",
        }
    }
}

/// Returns the maximum number of requests that a head may hold, including the next one.
pub fn max_in_flight(slots: u32, class: AdmissionClass) -> u32 {
    match class {
        AdmissionClass::Resumed => u32::MAX,
        AdmissionClass::OnTime => slots + MAX_QUEUED,
        AdmissionClass::Late => slots - (f64::from(slots) * LATE_RESERVE_FRACTION) as u32,
    }
}

/// Returns the maximum number of requests that a head may hold by the totals of all daemons, given
/// the fraction of its slots that may be used.
pub fn max_expected(slots: u32, fraction: f64, class: AdmissionClass) -> f64 {
    f64::from(max_in_flight(slots, class).min(slots)) * fraction
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

/// Returns the reason for which no head has room for a request of this class.
pub(super) fn full_reason(
    heads: &[HostKey],
    loads: &Loads,
    slots: u32,
    class: AdmissionClass,
    now: Time,
) -> FullReason {
    let has_room_on_time = |head| has_room(head, loads, slots, AdmissionClass::OnTime, now);
    let is_late = class == AdmissionClass::Late;
    match is_late && heads.iter().copied().any(has_room_on_time) {
        true => FullReason::Late,
        false => FullReason::Full,
    }
}

/// Returns true if enough slots of the heads are taken that requests contend for the others.
pub(super) fn is_contended(heads: &[HostKey], loads: &Loads, slots: u32, now: Time) -> bool {
    let taken = heads
        .iter()
        .map(|head| loads.in_flight(*head, now).min(slots));
    let taken: u32 = taken.sum();
    f64::from(taken) >= f64::from(slots) * heads.len() as f64 * CONTENTION_FRACTION
}

/// Returns the reason for which a request has to leave the free slots of contended heads to others,
/// if it has to.
///
/// The heads count together: a request that finds one of them full goes to another one.
pub(super) fn reserved_for_others(
    heads: &[HostKey],
    loads: &Loads,
    slots: u32,
    class: AdmissionClass,
    precedence: Precedence,
    now: Time,
) -> Option<FullReason> {
    if class == AdmissionClass::Resumed {
        return None;
    }
    let limit = max_in_flight(slots, class);
    let free = heads
        .iter()
        .map(|head| limit.saturating_sub(loads.in_flight(*head, now)));
    let free: u32 = free.sum();
    let max_reserve = f64::from(slots) * heads.len() as f64 * MAX_RESERVE_FRACTION;
    let for_ranks = precedence.for_ranks.min(max_reserve as u32);
    let reserve = (for_ranks + precedence.for_accounts).min(max_reserve as u32);
    match free {
        _ if reserve == 0 => None,
        free if free <= for_ranks => Some(FullReason::Rank),
        free if free <= reserve => Some(FullReason::Account),
        _ => None,
    }
}

/// Delay after which a refused caller should retry, before the random part is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDelay {
    /// Shortest delay.
    pub min: Span,
    /// Maximum random addition, so that callers don't return together.
    pub spread: Span,
}

impl RetryDelay {
    /// Draws a delay.
    pub fn draw<R>(self, rng: &mut R) -> Span
    where
        R: Rng,
    {
        let addition = rng.random_range(0..self.spread.as_millis().max(1));
        self.min + Span::from_millis(addition)
    }
}

/// Returns the delay after which a refused caller should retry.
///
/// By then the least loaded head must have worked off its requests beyond its slots. Callers of less
/// urgent ranks return later, and spread over more time the more of them are refused.
pub(super) fn retry_delay(
    heads: &[HostKey],
    loads: &Loads,
    engine: &Engine,
    precedence: Precedence,
    now: Time,
) -> RetryDelay {
    let excess = heads
        .iter()
        .map(|head| loads.in_flight(*head, now).saturating_sub(engine.slots))
        .min()
        .unwrap_or_default();
    let drain_time = engine.mean_request_time().times(u64::from(excess));
    RetryDelay {
        min: MIN_RETRY_DELAY.max(drain_time) + precedence.retry_offset,
        spread: precedence.retry_spread,
    }
}

/// Returns the delay after which a caller should retry that was refused because its runners want no
/// request before `wait` has passed.
pub(super) fn held_back_retry_delay(wait: Span) -> RetryDelay {
    RetryDelay {
        min: MIN_RETRY_DELAY.max(wait),
        spread: RETRY_SPREAD,
    }
}
