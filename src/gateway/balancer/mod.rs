//! Load balancing: chooses the runner for a request.
//!
//! A request for a model goes to the head of a group that serves it; any other
//! goes to a runner of the service. Two candidates are drawn at random and the
//! less loaded one is taken, so that daemons with the same view of the load
//! don't all choose the same runner. While all daemons get the same totals of the
//! load, each draws a head by its part of the requests that it should get from all
//! of them (`water_filling`).
//!
//! `candidates` finds the runners, `admit` decides which of them have room, and
//! `draw` takes one. `choose` and `assess` go through the same three steps:
//! `choose` draws, and `assess` lists what each draw would come to.

mod admit;
mod assess;
mod candidates;
mod criteria;
mod draw;

pub use admit::AdmissionInputs;
pub use assess::{Assessment, Outcome, RefusalCause, Verdict, assess};
pub use criteria::{Candidate, ChooseError, Criteria, Endpoint, Exclusion, Observer, Tier, View};

use super::roster::Roster;
use crate::core::time::Time;
use admit::Admission;
use draw::Sampler;
use rand::Rng;

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
    let found = candidates::find(view, &criteria, now, &mut ())?;
    let admitted = match criteria.model.filter(|_| !found.is_empty()) {
        None => found,
        Some((_, engine)) => {
            let admission = Admission::new(found, view, engine, &criteria, now, &mut ());
            let positions = admission.positions();
            let position = positions.map(|positions| positions.draw(rng));
            match admission.verdict(position) {
                Ok(tier) => admission.into_tier(tier),
                Err(reason) => return Err(admission.refuse(reason, rng)),
            }
        }
    };
    let hall = criteria.hall;
    let sampler = Sampler { view, hall, now };
    let chosen = sampler
        .draw(&admitted, rng)
        .ok_or(ChooseError::NoneServing)?;
    let host = view
        .roster
        .host(chosen.host)
        .ok_or(ChooseError::NoneServing)?;
    Ok(Endpoint {
        host: chosen.host,
        name: host.name.clone(),
        born: host.runner.born,
        address: host.runner.address,
        epoch: chosen.epoch,
    })
}

/// Returns true if a response from a chosen runner may still be expected.
pub fn still_serves(roster: &Roster, endpoint: &Endpoint) -> bool {
    let Some(host) = roster.host(endpoint.host) else {
        return !roster.has_restarted(&endpoint.instance(), endpoint.address);
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

/// Returns true if a stream of a chosen runner is known to have lost what it needs, also if it has
/// not stalled yet. That the entry of a runner is missing doesn't show that, so a plain runner without
/// one is waited for until its response stalls or breaks off.
pub fn has_lost_member(roster: &Roster, endpoint: &Endpoint) -> bool {
    let Some(host) = roster.host(endpoint.host) else {
        return !still_serves(roster, endpoint);
    };
    if host.unlisted_since.is_none() {
        return !still_serves(roster, endpoint);
    }
    let mut groups = roster.groups().iter();
    let group = groups
        .find(|group| Some(group.epoch) == endpoint.epoch && group.head() == Some(endpoint.host));
    group.is_some_and(|group| roster.has_lost_member(group))
}
