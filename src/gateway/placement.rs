//! Chooses the runner of a request.
//!
//! A model's request goes to the head of a group that serves; any other goes
//! to a runner of the service. Of two candidates drawn by chance the less
//! loaded one is taken, so that daemons with the same picture don't all choose
//! the same runner.

use super::{
    admission::{self, Standing},
    load::Loads,
    roster::{HostKey, Roster, SLOW_FACTOR},
    spec::Engine,
};
use crate::core::{
    keys::{Epoch, HallName, HostName, ModelName, ServiceName},
    time::{Span, Time},
};
use rand::{Rng, seq::IndexedRandom};
use std::net::SocketAddr;

/// What another hall weighs against one request more.
const FAR: f64 = 0.5;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model and how its replicas work, if the service serves models.
    pub model: Option<(&'a ModelName, &'a Engine)>,
    /// How the request stands against its objective.
    pub standing: Standing,
    /// The hall of this daemon.
    pub hall: &'a HallName,
    /// Runners that were tried already.
    pub tried: &'a [HostKey],
}

/// The runner chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its key.
    pub host: HostKey,
    /// Its name.
    pub name: HostName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The epoch of its group, for a model's request.
    pub epoch: Option<Epoch>,
}

/// A runner that could take a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) host: HostKey,
    epoch: Option<Epoch>,
    /// How many times slower than usual it works.
    pace: f64,
}

/// Why no runner was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Nothing serves the request now.
    NoneServing,
    /// Everything that serves it is full.
    AllFull {
        /// When to come back.
        retry: Span,
    },
}

/// Chooses a runner.
///
/// # Errors
///
/// Fails if nothing serves the request, or everything that does is full.
pub fn choose<R>(
    roster: &Roster,
    loads: &Loads,
    wanted: Wanted<'_>,
    now: Time,
    rng: &mut R,
) -> Result<Place, Shortage>
where
    R: Rng,
{
    let mut candidates = match wanted.model {
        Some((model, _)) => heads(roster, wanted.service, model, now),
        None => plain(roster, wanted.service, now),
    };
    candidates.retain(|candidate| !wanted.tried.contains(&candidate.host));
    let all = candidates.clone();
    candidates.retain(|candidate| !loads.is_avoided(candidate.host, now));
    if candidates.is_empty() {
        candidates = all;
    }
    if let Some((_, engine)) = wanted.model
        && !candidates.is_empty()
    {
        candidates = with_places(candidates, loads, engine, wanted.standing, now, rng)?;
    }
    let drawn: Vec<Candidate> = candidates.choose_multiple(rng, 2).copied().collect();
    let chosen = drawn
        .into_iter()
        .min_by(|a, b| {
            let weight = |candidate| weigh(roster, loads, wanted.hall, candidate, now);
            weight(a).total_cmp(&weight(b))
        })
        .ok_or(Shortage::NoneServing)?;
    let host = roster.host(chosen.host).ok_or(Shortage::NoneServing)?;
    Ok(Place {
        host: chosen.host,
        name: host.name.clone(),
        address: host.runner.address,
        epoch: chosen.epoch,
    })
}

/// The candidates that have a place left.
fn with_places<R>(
    candidates: Vec<Candidate>,
    loads: &Loads,
    engine: &Engine,
    standing: Standing,
    now: Time,
    rng: &mut R,
) -> Result<Vec<Candidate>, Shortage>
where
    R: Rng,
{
    let heads: Vec<HostKey> = candidates.iter().map(|candidate| candidate.host).collect();
    let admitted = admission::admit(candidates, loads, engine.slots, standing, now);
    let fast: Vec<Candidate> = admitted
        .iter()
        .filter(|candidate| candidate.pace < SLOW_FACTOR)
        .copied()
        .collect();
    if !fast.is_empty() {
        return Ok(fast);
    }
    if admitted.is_empty() {
        let retry = admission::retry_after(&heads, loads, engine, now, rng);
        return Err(Shortage::AllFull { retry });
    }
    Ok(admitted)
}

/// Whether a group or runner that was chosen may still be waited for.
pub fn still_serves(roster: &Roster, place: &Place) -> bool {
    let Some(host) = roster.host(place.host) else {
        return false;
    };
    if host.is_unreachable() {
        return false;
    }
    let Some(epoch) = place.epoch else {
        return true;
    };
    roster.groups().iter().any(|group| {
        let current = group.epoch == epoch && group.head() == Some(place.host);
        current && group.is_active() && !roster.has_unreachable_member(group)
    })
}

fn heads(roster: &Roster, service: &ServiceName, model: &ModelName, now: Time) -> Vec<Candidate> {
    roster
        .groups()
        .iter()
        .filter(|group| group.service == *service && group.model == *model)
        .filter(|group| roster.is_serving(group, now))
        .filter_map(|group| {
            Some(Candidate {
                host: group.head()?,
                epoch: Some(group.epoch),
                pace: roster.group_pace(group),
            })
        })
        .collect()
}

fn plain(roster: &Roster, service: &ServiceName, now: Time) -> Vec<Candidate> {
    roster
        .hosts()
        .filter(|(_, host)| host.runner.service == *service && roster.is_usable(host, now))
        .map(|(key, _)| Candidate {
            host: key,
            epoch: None,
            pace: 1.0,
        })
        .collect()
}

/// What a request is thought to wait for, in requests; a farther hall weighs a part of one.
fn weigh(roster: &Roster, loads: &Loads, hall: &HallName, candidate: &Candidate, now: Time) -> f64 {
    let host = roster.host(candidate.host);
    let is_far = host.is_some_and(|host| host.runner.hall != *hall);
    let distance = if is_far { FAR } else { 0.0 };
    f64::from(loads.held(candidate.host, now) + 1) * candidate.pace + distance
}
