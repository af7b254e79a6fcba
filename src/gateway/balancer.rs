//! Load balancing: chooses the runner for a request.
//!
//! A request for a model goes to the head of a group that serves it; any other
//! goes to a runner of the service. Two candidates are drawn at random and the
//! less loaded one is taken, so that daemons with the same view of the load
//! don't all choose the same runner. While all daemons get the same totals of the load, each draws a
//! head by its part of the requests that it should get from all of them (`water_filling`).

use super::{
    admission::{self, AdmissionClass, FullReason, Precedence},
    head_limits::HeadLimits,
    load::Loads,
    notices::Notices,
    outlook::Outlook,
    roster::{HostKey, Roster, RunnerInstance, SLOW_FACTOR},
    spec::Engine,
    water_filling::{self, HeadCost},
};
use crate::core::{
    keys::{Epoch, HallName, HostName, ModelName, ServiceName},
    time::{Span, Time},
};
use rand::{Rng, seq::IndexedRandom};
use std::net::SocketAddr;

/// Cost of a runner in another hall, in requests ahead of this one.
const REMOTE_HALL_COST: f64 = 0.5;

/// What is known of the runners.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Runners and groups.
    pub roster: &'a Roster,
    /// Load of the runners.
    pub loads: &'a Loads,
    /// What runners say of themselves.
    pub notices: &'a Notices,
    /// How many requests the heads of each model may hold.
    pub limits: &'a HeadLimits,
}

/// Criteria for choosing a runner.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Requested model and its engine, if the service serves models.
    pub model: Option<(&'a ModelName, &'a Engine)>,
    /// Admission class of the request.
    pub class: AdmissionClass,
    /// What the request has to leave to others.
    pub precedence: Precedence,
    /// Expected duration of the request at a group that isn't slow.
    pub duration: Span,
    /// Time left until the request's deadline.
    pub remaining: Span,
    /// Hall of this daemon.
    pub hall: &'a HallName,
    /// Runners that were tried already, which are excluded.
    pub tried: &'a [HostKey],
    /// True if only a runner that needs no permit will do.
    pub unlimited: bool,
}

/// Chosen runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Key in the roster.
    pub host: HostKey,
    /// Name of the host.
    pub name: HostName,
    /// Start of the runner, in Unix milliseconds.
    pub born: u64,
    /// Address for requests.
    pub address: SocketAddr,
    /// Epoch of its group, for a model's request.
    pub epoch: Option<Epoch>,
}

impl Endpoint {
    /// Returns the identity of the run that the host's runner is in.
    pub fn instance(&self) -> RunnerInstance {
        (self.name.clone(), self.born)
    }
}

/// Runner that could take a request.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    host: HostKey,
    epoch: Option<Epoch>,
    /// Slowdown factor of its group; 1 for a runner without one.
    slowdown: f64,
}

impl Criteria<'_> {
    /// Returns true unless a group is so slow that the request would end there without a response.
    fn can_finish_at(&self, candidate: &Candidate) -> bool {
        let is_slow = candidate.slowdown >= SLOW_FACTOR;
        // A request that may have run goes on wherever it can.
        let is_new = self.class != AdmissionClass::Resumed;
        !is_slow || !is_new || self.duration.scaled(candidate.slowdown) <= self.remaining
    }
}

/// Reason for which no runner was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChooseError {
    /// No runner serves the request now.
    NoneServing,
    /// All runners that serve the request are at their limit.
    AllFull {
        /// Delay after which the caller should retry.
        retry_delay: Span,
        /// One of these runners.
        host: HostKey,
        /// Reason for which none of them takes the request.
        reason: FullReason,
    },
    /// All runners that serve the request want none now, by their rate limits or pauses.
    HeldBack {
        /// Time until the first of them may take one.
        wait: Span,
    },
}

/// Chooses a runner.
///
/// # Errors
///
/// Fails if no runner serves the request, or all that do are at their limit.
pub fn choose<R>(
    view: View<'_>,
    criteria: Criteria<'_>,
    now: Time,
    rng: &mut R,
) -> Result<Endpoint, ChooseError>
where
    R: Rng,
{
    let View { roster, loads, .. } = view;
    let mut candidates = match criteria.model {
        Some((model, _)) => serving_heads(roster, criteria.service, model, now),
        None => plain_runners(roster, criteria.service, now),
    };
    candidates.retain(|candidate| !criteria.tried.contains(&candidate.host));
    let mut candidates = not_held_back(candidates, view.notices, criteria.unlimited, now)?;
    let all = candidates.clone();
    candidates.retain(|candidate| !loads.is_avoided(candidate.host, now));
    if candidates.is_empty() {
        candidates = all;
    }
    if let Some((_, engine)) = criteria.model
        && !candidates.is_empty()
    {
        candidates = admit(candidates, view, engine, &criteria, now, rng)?;
    }
    let heads = candidates.iter().map(|candidate| candidate.host);
    let chosen = match Outlook::new(loads, heads, now) {
        Some(outlook) => {
            let requests = outlook.arrivals;
            draw_by_level(&candidates, view, criteria.hall, requests, now, rng)
        }
        None => draw_less_loaded(&candidates, view, criteria.hall, now, rng),
    };
    let chosen = chosen.ok_or(ChooseError::NoneServing)?;
    let host = roster.host(chosen.host).ok_or(ChooseError::NoneServing)?;
    Ok(Endpoint {
        host: chosen.host,
        name: host.name.clone(),
        born: host.runner.born,
        address: host.runner.address,
        epoch: chosen.epoch,
    })
}

/// Returns the candidates that may take a request now, by their rate limits and pauses.
fn not_held_back(
    mut candidates: Vec<Candidate>,
    notices: &Notices,
    unlimited: bool,
    now: Time,
) -> Result<Vec<Candidate>, ChooseError> {
    let waits = candidates
        .iter()
        .map(|candidate| notices.wait(candidate.host, now));
    let Some(wait) = waits.min() else {
        return Ok(candidates);
    };
    candidates.retain(|candidate| {
        let is_limited = notices.limit(candidate.host, now).is_some();
        let is_excluded = unlimited && is_limited;
        !is_excluded && notices.wait(candidate.host, now) == Span::ZERO
    });
    match candidates.is_empty() {
        true => Err(ChooseError::HeldBack { wait }),
        false => Ok(candidates),
    }
}

/// Returns the candidates below their limit that can finish the request in time, only slow ones if
/// there are no others. While the heads are contended, candidates whose free slots are reserved for
/// others are left out.
fn admit<R>(
    candidates: Vec<Candidate>,
    view: View<'_>,
    engine: &Engine,
    criteria: &Criteria<'_>,
    now: Time,
    rng: &mut R,
) -> Result<Vec<Candidate>, ChooseError>
where
    R: Rng,
{
    let loads = view.loads;
    let heads: Vec<HostKey> = candidates.iter().map(|candidate| candidate.host).collect();
    let mut admitted = candidates;
    admitted.retain(|candidate| criteria.can_finish_at(candidate));
    let outlook = Outlook::new(loads, heads.iter().copied(), now);
    let outlook = outlook.filter(|_| criteria.class != AdmissionClass::Resumed);
    match outlook {
        Some(outlook) => admit_by_outlook(&mut admitted, outlook, view, engine, criteria, now, rng),
        None => admitted.retain(|candidate| {
            admission::has_room(candidate.host, loads, engine.slots, criteria.class, now)
        }),
    }
    let precedence = match outlook {
        Some(_) => criteria.precedence.for_position(),
        None => criteria.precedence,
    };
    let (fast, slow): (Vec<Candidate>, Vec<Candidate>) = admitted
        .into_iter()
        .partition(|candidate| candidate.slowdown < SLOW_FACTOR);
    let is_contended = admission::is_contended(&heads, loads, engine.slots, now);
    let mut reason = None;
    for candidates in [fast, slow] {
        if candidates.is_empty() {
            continue;
        }
        let reserved = is_contended
            .then(|| reserved_for_others(&candidates, loads, engine, criteria, precedence, now))
            .flatten();
        match reserved {
            None => return Ok(candidates),
            Some(reserved) => reason = reason.or(Some(reserved)),
        }
    }
    let full = || match outlook {
        Some(_) if precedence.ahead > 0.0 => FullReason::Rank,
        _ => admission::full_reason(&heads, loads, engine.slots, criteria.class, now),
    };
    Err(ChooseError::AllFull {
        retry_delay: admission::retry_delay(&heads, loads, engine, precedence, now, rng),
        host: heads[rng.random_range(0..heads.len())],
        reason: reason.unwrap_or_else(full),
    })
}

/// Returns the reason for which a request must leave the free slots of candidates to others, if it
/// must.
fn reserved_for_others(
    candidates: &[Candidate],
    loads: &Loads,
    engine: &Engine,
    criteria: &Criteria<'_>,
    precedence: Precedence,
    now: Time,
) -> Option<FullReason> {
    let heads: Vec<HostKey> = candidates.iter().map(|candidate| candidate.host).collect();
    let class = criteria.class;
    admission::reserved_for_others(&heads, loads, engine.slots, class, precedence, now)
}

/// Keeps the candidates that have room by the totals of all daemons: the slow ones if this request is
/// one of those for which the others have none, and no candidate if there isn't enough room at all.
fn admit_by_outlook<R>(
    admitted: &mut Vec<Candidate>,
    outlook: Outlook,
    view: View<'_>,
    engine: &Engine,
    criteria: &Criteria<'_>,
    now: Time,
    rng: &mut R,
) where
    R: Rng,
{
    let loads = view.loads;
    let model = criteria.model.map(|(model, _)| model);
    let fraction = model.map_or(1.0, |model| view.limits.fraction(model));
    let limit = admission::max_expected(engine.slots, fraction, criteria.class);
    let room = |candidate: &Candidate| outlook.room(limit, loads.in_flight(candidate.host, now));
    let is_fast = |candidate: &Candidate| candidate.slowdown < SLOW_FACTOR;
    admitted.retain(|candidate| room(candidate) > 0.0);
    let fast_room: f64 = admitted
        .iter()
        .filter(|candidate| is_fast(candidate))
        .map(room)
        .sum();
    let all_room: f64 = admitted.iter().map(room).sum();
    let position = match criteria.class {
        AdmissionClass::Late => outlook.last_position(),
        _ => outlook.draw_position(criteria.precedence, rng),
    };
    admitted.retain(|candidate| match is_fast(candidate) {
        true => position <= fast_room,
        false => position > fast_room && position <= all_room,
    });
}

/// Returns true if a response from a chosen runner may still be expected.
pub fn still_serves(roster: &Roster, endpoint: &Endpoint) -> bool {
    let Some(host) = roster.host(endpoint.host) else {
        return false;
    };
    if host.is_unreachable() {
        return false;
    }
    let Some(epoch) = endpoint.epoch else {
        return true;
    };
    roster.groups().iter().any(|group| {
        let is_current = group.epoch == epoch && group.head() == Some(endpoint.host);
        is_current && group.is_active() && !roster.has_unreachable_member(group)
    })
}

fn serving_heads(
    roster: &Roster,
    service: &ServiceName,
    model: &ModelName,
    now: Time,
) -> Vec<Candidate> {
    roster
        .groups()
        .iter()
        .filter(|group| group.service == *service && group.model == *model)
        .filter(|group| roster.is_serving(group, now))
        .filter_map(|group| {
            Some(Candidate {
                host: group.head()?,
                epoch: Some(group.epoch),
                slowdown: roster.group_slowdown(group),
            })
        })
        .collect()
}

fn plain_runners(roster: &Roster, service: &ServiceName, now: Time) -> Vec<Candidate> {
    roster
        .hosts()
        .filter(|(_, host)| host.runner.service == *service && roster.is_usable(host, now))
        .map(|(key, _)| Candidate {
            host: key,
            epoch: None,
            slowdown: 1.0,
        })
        .collect()
}

/// Draws two candidates and returns the one with less cost.
fn draw_less_loaded<R>(
    candidates: &[Candidate],
    view: View<'_>,
    hall: &HallName,
    now: Time,
    rng: &mut R,
) -> Option<Candidate>
where
    R: Rng,
{
    let drawn = candidates.choose_multiple(rng, 2).copied();
    drawn.min_by(|a, b| {
        let cost = |candidate| cost(view.roster, view.loads, hall, candidate, now);
        cost(a).total_cmp(&cost(b))
    })
}

/// Draws a candidate by its part of the requests that raise all costs to a common level.
fn draw_by_level<R>(
    candidates: &[Candidate],
    view: View<'_>,
    hall: &HallName,
    requests: f64,
    now: Time,
    rng: &mut R,
) -> Option<Candidate>
where
    R: Rng,
{
    let costs = candidates.iter().map(|candidate| HeadCost {
        base: cost(view.roster, view.loads, hall, candidate, now),
        per_request: candidate.slowdown,
    });
    let costs: Vec<HeadCost> = costs.collect();
    // After an idle time no requests are expected yet. One more for each head keeps all daemons from
    // choosing the least loaded one.
    let requests = requests + costs.len() as f64;
    let drawn = water_filling::draw(&costs, requests, rng)?;
    candidates.get(drawn).copied()
}

/// Returns the expected wait at a candidate, in requests, with a surcharge for another hall.
fn cost(roster: &Roster, loads: &Loads, hall: &HallName, candidate: &Candidate, now: Time) -> f64 {
    let host = roster.host(candidate.host);
    let is_remote = host.is_some_and(|host| host.runner.hall != *hall);
    let hall_cost = if is_remote { REMOTE_HALL_COST } else { 0.0 };
    f64::from(loads.in_flight(candidate.host, now) + 1) * candidate.slowdown + hall_cost
}
