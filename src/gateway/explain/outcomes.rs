//! Describes what may happen to a request.

use super::report::{AdmissionFacts, OutcomeFacts, Reason, Refused};
use crate::gateway::{
    admission::{FullReason, RetryDelay},
    balancer::{Assessment, Criteria, Outcome, RefusalCause, Verdict},
    responses::Refusal,
    retries::UNAVAILABLE_RETRY_DELAY_MS,
};

/// Describes the outcomes of an assessment.
pub(super) fn describe(assessment: &Assessment, criteria: &Criteria<'_>) -> Vec<OutcomeFacts> {
    let outcomes = assessment.outcomes.iter();
    outcomes
        .map(|outcome| outcome_facts(outcome, criteria))
        .collect()
}

/// Returns the outcome of a request that is refused in any case.
pub(super) fn certain(refusal: Refused) -> OutcomeFacts {
    OutcomeFacts {
        probability: 1.0,
        refusal: Some(refusal),
    }
}

/// Returns a refusal whose retry delay isn't random.
pub(super) fn refused(reason: Reason, refusal: Refusal, retry_ms: Option<u64>) -> Refused {
    Refused {
        reason,
        status: refusal.status().as_u16(),
        retry_ms,
        retry_spread_ms: 0,
    }
}

/// Describes the inputs of the admission that are the same for all heads.
pub(super) fn admission_facts(
    assessment: &Assessment,
    criteria: &Criteria<'_>,
) -> Option<AdmissionFacts> {
    let inputs = assessment.inputs?;
    let precedence = criteria.precedence;
    Some(AdmissionFacts {
        limit: inputs.limit,
        by_totals: inputs.outlook.is_some(),
        expected: inputs.outlook.map_or(0.0, |outlook| outlook.arrivals),
        contended: inputs.contended,
        ahead: precedence.ahead,
        for_ranks: precedence.for_ranks,
        for_accounts: precedence.for_accounts,
    })
}

fn outcome_facts(outcome: &Outcome, criteria: &Criteria<'_>) -> OutcomeFacts {
    let refusal = match &outcome.verdict {
        Verdict::Sent { .. } => None,
        Verdict::Refused(cause) => Some(refusal_facts(*cause, criteria)),
    };
    OutcomeFacts {
        probability: outcome.probability,
        refusal,
    }
}

fn refusal_facts(cause: RefusalCause, criteria: &Criteria<'_>) -> Refused {
    let (reason, delay) = match cause {
        RefusalCause::NoneServing => return none_serving(criteria),
        RefusalCause::HeldBack(delay) => (Reason::HeldBack, delay),
        RefusalCause::AllFull(reason, delay) => (full_reason(reason), delay),
    };
    unavailable(reason, delay)
}

fn unavailable(reason: Reason, delay: RetryDelay) -> Refused {
    let retry_ms = delay.min.as_millis();
    Refused {
        retry_spread_ms: delay.spread.as_millis(),
        ..refused(reason, Refusal::Unavailable { retry_ms }, Some(retry_ms))
    }
}

/// Describes the refusal of a request that no runner serves, maybe because its model is unknown.
fn none_serving(criteria: &Criteria<'_>) -> Refused {
    let is_unknown = criteria
        .model
        .is_some_and(|(model, engine)| engine.replication(model).is_none());
    let retry_ms = UNAVAILABLE_RETRY_DELAY_MS;
    refused(
        match is_unknown {
            true => Reason::UnknownModel,
            false => Reason::NoneServing,
        },
        Refusal::Unavailable { retry_ms },
        Some(retry_ms),
    )
}

fn full_reason(reason: FullReason) -> Reason {
    match reason {
        FullReason::Rank => Reason::Rank,
        FullReason::Account => Reason::Account,
        FullReason::Full => Reason::Full,
        FullReason::Late => Reason::Late,
    }
}
