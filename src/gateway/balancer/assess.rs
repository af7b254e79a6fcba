//! What a choice would come to for each draw, without drawing.

use super::{
    admit::{Admission, AdmissionInputs},
    candidates,
    criteria::{Candidate, ChooseError, Criteria, Exclusion, Observer, Tier, View},
    draw::Sampler,
};
use crate::{
    core::time::Time,
    gateway::{
        admission::{self, FullReason, RetryDelay},
        roster::HostKey,
    },
};
use std::collections::BTreeMap;

/// What a choice would come to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Assessment {
    /// Runners that serve the request and are left out, with the reasons.
    pub left_out: Vec<(HostKey, Exclusion)>,
    /// Inputs of the admission; none if the request isn't for a model, or no head could take it.
    pub inputs: Option<AdmissionInputs>,
    /// Verdicts by the request's position among the expected ones, lowest positions first.
    pub outcomes: Vec<Outcome>,
}

/// Verdict for some of the positions that a request may draw.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Highest of these positions.
    pub until: f64,
    /// Probability of these positions.
    pub probability: f64,
    /// What happens to the request.
    pub verdict: Verdict,
}

/// What happens to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is sent to one of these runners.
    Sent {
        /// Whether the runners are slow.
        tier: Tier,
        /// Probability that each of them is drawn, once the request is admitted.
        runners: Vec<(HostKey, f64)>,
    },
    /// It is refused.
    Refused(RefusalCause),
}

/// Reason for which a request is refused, and when its caller should retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RefusalCause {
    /// No runner serves the request.
    NoneServing,
    /// All runners that serve the request want none now.
    HeldBack(RetryDelay),
    /// All runners that serve the request are at their limit.
    AllFull(FullReason, RetryDelay),
}

impl Assessment {
    /// Returns the probability that the request is admitted.
    pub fn admitted(&self) -> f64 {
        let outcomes = self.outcomes.iter();
        let sent = outcomes.filter(|outcome| matches!(outcome.verdict, Verdict::Sent { .. }));
        sent.map(|outcome| outcome.probability).sum()
    }

    /// Returns the probability with which each runner is chosen; runners that take nothing are left out.
    pub fn chosen(&self) -> BTreeMap<HostKey, f64> {
        let mut chosen = BTreeMap::new();
        for outcome in &self.outcomes {
            let Verdict::Sent { runners, .. } = &outcome.verdict else {
                continue;
            };
            for (host, drawn) in runners {
                *chosen.entry(*host).or_default() += drawn * outcome.probability;
            }
        }
        chosen
    }
}

impl Observer for Vec<(HostKey, Exclusion)> {
    fn left_out(&mut self, host: HostKey, cause: Exclusion) {
        self.push((host, cause));
    }
}

/// Returns what `choose` would come to with these inputs, whatever it draws.
pub fn assess(view: View<'_>, criteria: Criteria<'_>, now: Time) -> Assessment {
    let mut left_out = Vec::new();
    let mut inputs = None;
    let hall = criteria.hall;
    let sampler = Sampler { view, hall, now };
    let outcomes = match candidates::find(view, &criteria, now, &mut left_out) {
        Err(error) => vec![certain(refused(error))],
        Ok(found) => match criteria.model.filter(|_| !found.is_empty()) {
            None => vec![certain(sent(&sampler, &found, Tier::Fast))],
            Some((_, engine)) => {
                let left_out = &mut left_out;
                let admission = Admission::new(found, view, engine, &criteria, now, left_out);
                inputs = Some(admission.inputs());
                by_position(&admission, &sampler)
            }
        },
    };
    Assessment {
        left_out,
        inputs,
        outcomes,
    }
}

/// Returns the verdicts of all positions that a request may draw.
fn by_position(admission: &Admission<'_>, sampler: &Sampler<'_>) -> Vec<Outcome> {
    let (Some(positions), Some(bounds)) = (admission.positions(), admission.bounds()) else {
        return vec![certain(verdict(admission, sampler, None))];
    };
    let mut outcomes = Vec::new();
    let mut below = 0.0;
    // Between two bounds the verdict is that at the higher one.
    for until in bounds.into_iter().chain([f64::INFINITY]) {
        let fraction = positions.fraction_until(until);
        if fraction > below {
            outcomes.push(Outcome {
                until,
                probability: fraction - below,
                verdict: verdict(admission, sampler, Some(until)),
            });
            below = fraction;
        }
    }
    outcomes
}

fn verdict(admission: &Admission<'_>, sampler: &Sampler<'_>, position: Option<f64>) -> Verdict {
    match admission.verdict(position) {
        Ok(tier) => sent(sampler, &admission.tier(tier), tier),
        Err(reason) => Verdict::Refused(RefusalCause::AllFull(reason, admission.retry_delay())),
    }
}

fn sent(sampler: &Sampler<'_>, candidates: &[Candidate], tier: Tier) -> Verdict {
    if candidates.is_empty() {
        return Verdict::Refused(RefusalCause::NoneServing);
    }
    let hosts = candidates.iter().map(|candidate| candidate.host);
    let runners = hosts.zip(sampler.probabilities(candidates)).collect();
    Verdict::Sent { tier, runners }
}

fn refused(error: ChooseError) -> Verdict {
    Verdict::Refused(match error {
        ChooseError::HeldBack { wait } => {
            RefusalCause::HeldBack(admission::held_back_retry_delay(wait))
        }
        ChooseError::NoneServing | ChooseError::AllFull { .. } => RefusalCause::NoneServing,
    })
}

fn certain(verdict: Verdict) -> Outcome {
    Outcome {
        until: f64::INFINITY,
        probability: 1.0,
        verdict,
    }
}
