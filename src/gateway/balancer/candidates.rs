//! Finds the runners that could take a request.

use super::criteria::{Candidate, ChooseError, Criteria, Exclusion, Observer, View};
use crate::{
    core::{
        keys::{ModelName, ServiceName},
        time::{Span, Time},
    },
    gateway::roster::Roster,
};

/// Returns the runners that serve a request and may be sent one now. Those that failed a moment ago
/// are among them only if there are no others.
///
/// # Errors
///
/// Fails if all runners that serve the request want none now.
pub(super) fn find<O>(
    view: View<'_>,
    criteria: &Criteria<'_>,
    now: Time,
    observer: &mut O,
) -> Result<Vec<Candidate>, ChooseError>
where
    O: Observer,
{
    let mut candidates = match criteria.model {
        Some((model, _)) => serving_heads(view.roster, criteria.service, model, now),
        None => plain_runners(view.roster, criteria.service, now),
    };
    retain(&mut candidates, Exclusion::Tried, observer, |candidate| {
        !criteria.tried.contains(&candidate.host)
    });
    retain_ready(&mut candidates, view, criteria.unlimited, now, observer)?;
    let is_avoided = |candidate: &Candidate| view.loads.is_avoided(candidate.host, now);
    if !candidates.iter().all(is_avoided) {
        retain(&mut candidates, Exclusion::Avoided, observer, |candidate| {
            !is_avoided(candidate)
        });
    }
    Ok(candidates)
}

/// Keeps the candidates that fulfill a condition, and reports the others.
pub(super) fn retain<O, F>(
    candidates: &mut Vec<Candidate>,
    cause: Exclusion,
    observer: &mut O,
    keeps: F,
) where
    O: Observer,
    F: Fn(&Candidate) -> bool,
{
    candidates.retain(|candidate| {
        let is_kept = keeps(candidate);
        if !is_kept {
            observer.left_out(candidate.host, cause);
        }
        is_kept
    });
}

/// Keeps the candidates that may take a request now, by their rate limits and pauses.
fn retain_ready<O>(
    candidates: &mut Vec<Candidate>,
    view: View<'_>,
    unlimited: bool,
    now: Time,
    observer: &mut O,
) -> Result<(), ChooseError>
where
    O: Observer,
{
    let notices = view.notices;
    let waits = candidates
        .iter()
        .map(|candidate| notices.wait(candidate.host, now));
    let Some(wait) = waits.min() else {
        return Ok(());
    };
    retain(candidates, Exclusion::HeldBack, observer, |candidate| {
        notices.wait(candidate.host, now) == Span::ZERO
    });
    retain(candidates, Exclusion::NeedsPermit, observer, |candidate| {
        !unlimited || notices.limit(candidate.host, now).is_none()
    });
    match candidates.is_empty() {
        true => Err(ChooseError::HeldBack { wait }),
        false => Ok(()),
    }
}

fn serving_heads(
    roster: &Roster,
    service: &ServiceName,
    model: &ModelName,
    now: Time,
) -> Vec<Candidate> {
    roster
        .groups_of(service, model)
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
        .runners_of(service)
        .filter(|(_, host)| roster.is_usable(host, now))
        .map(|(key, _)| Candidate {
            host: key,
            epoch: None,
            slowdown: 1.0,
        })
        .collect()
}
