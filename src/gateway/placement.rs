//! Chooses the runner of a request.
//!
//! A model's request goes to the head of a group that serves; any other goes
//! to a runner of the service. Of two candidates drawn by chance the less
//! loaded one is taken, so that daemons with the same picture don't all choose
//! the same runner.

use super::{
    load::Loads,
    roster::{HostKey, Roster},
};
use crate::core::{
    keys::{Epoch, HallName, HostName, ModelName, ServiceName},
    time::Time,
};
use rand::{Rng, seq::IndexedRandom};
use std::net::SocketAddr;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model, if the service serves models.
    pub model: Option<&'a ModelName>,
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

#[derive(Clone, Copy, Debug)]
struct Candidate {
    host: HostKey,
    epoch: Option<Epoch>,
}

/// Chooses a runner; none if nothing serves the request now.
pub fn choose<R>(
    roster: &Roster,
    loads: &Loads,
    wanted: Wanted<'_>,
    now: Time,
    rng: &mut R,
) -> Option<Place>
where
    R: Rng,
{
    let mut candidates = match wanted.model {
        Some(model) => heads(roster, wanted.service, model, now),
        None => plain(roster, wanted.service, now),
    };
    candidates.retain(|candidate| !wanted.tried.contains(&candidate.host));
    let all = candidates.clone();
    candidates.retain(|candidate| !loads.is_avoided(candidate.host, now));
    if candidates.is_empty() {
        candidates = all;
    }
    let drawn: Vec<Candidate> = candidates.choose_multiple(rng, 2).copied().collect();
    let chosen = drawn
        .into_iter()
        .min_by_key(|candidate| weigh(roster, loads, wanted.hall, candidate.host, now))?;
    let host = roster.host(chosen.host)?;
    Some(Place {
        host: chosen.host,
        name: host.name.clone(),
        address: host.runner.address,
        epoch: chosen.epoch,
    })
}

/// Whether a group or runner that was chosen may still be waited for.
pub fn still_serves(roster: &Roster, place: &Place) -> bool {
    let Some(host) = roster.host(place.host) else {
        return false;
    };
    if roster.is_lost(host) {
        return false;
    }
    let Some(epoch) = place.epoch else {
        return true;
    };
    roster.groups().iter().any(|group| {
        let current = group.epoch == epoch && group.head() == Some(place.host);
        current
            && group.is_active()
            && group
                .members
                .values()
                .all(|key| roster.host(*key).is_some_and(|host| !roster.is_lost(host)))
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
        })
        .collect()
}

/// The load first, then the distance.
fn weigh(roster: &Roster, loads: &Loads, hall: &HallName, host: HostKey, now: Time) -> (u32, bool) {
    let far = roster
        .host(host)
        .is_some_and(|host| host.runner.hall != *hall);
    (loads.held(host, now), far)
}
