//! Explains what the daemon would do with a request now, and why.
//!
//! The explanation is made from the same functions as the decision itself:
//! `RouteTable::authorize`, `selection::with_choice_inputs` and, in place of
//! `balancer::choose`, `balancer::assess`. It changes nothing: it draws no random
//! number, counts no request, asks for no permit and sends nothing to a runner.
//!
//! `report` defines question and answer, `candidates` and `outcomes` describe
//! what was found, and `server` answers queries.

mod candidates;
mod outcomes;
pub mod report;
pub mod server;

use super::{
    admission::AdmissionClass,
    balancer,
    forward::{DEFAULT_TIMEOUT, STOPPING_RETRY_DELAY_MS},
    responses::{Refusal, UNCONFIGURED_RETRY_DELAY_MS},
    routes::{AccessError, RouteTable},
    selection::{self, SelectionRequest},
    spec::Route,
    state::GatewayState,
};
use crate::core::{
    keys::{AccountName, ServiceName},
    time::Time,
};
use outcomes::refused;
use report::{
    CandidateFacts, Explanation, Query, RankFacts, Reason, Refused, RouteFacts, ServiceFacts,
    Unknown,
};

/// Query whose route is known.
#[derive(Clone, Copy)]
struct RoutedQuery<'a> {
    query: &'a Query,
    table: &'a RouteTable,
    route: &'a Route,
    account: Option<&'a AccountName>,
    deadline: Time,
}

/// Explains what the daemon would do with a request.
pub fn explain(state: &GatewayState, query: &Query) -> Explanation {
    let blank = Explanation {
        daemon: state.settings.name.clone(),
        hall: state.settings.hall.clone(),
        version: None,
        route: None,
        account: None,
        admitted: 0.0,
        refusal: None,
        services: Vec::new(),
        unknown: Vec::new(),
    };
    let Some(table) = state.route_table() else {
        let retry_ms = Some(UNCONFIGURED_RETRY_DELAY_MS);
        let refusal = refused(Reason::NotConfigured, Refusal::NotConfigured, retry_ms);
        return Explanation {
            refusal: Some(refusal),
            ..blank
        };
    };
    let version = Some(table.spec().version);
    let named = query.account.as_ref();
    let account = named.and_then(|name| table.account_by_name(name));
    match table.authorize(&query.host, &query.path, account) {
        Err(error) => Explanation {
            version,
            refusal: Some(denied(error)),
            ..blank
        },
        Ok(route) => {
            let routed = RoutedQuery {
                query,
                table: &table,
                route,
                account,
                deadline: state.now() + DEFAULT_TIMEOUT.min(route.timeout),
            };
            let explanation = Explanation {
                version,
                route: Some(route_facts(route)),
                account: account.cloned(),
                ..blank
            };
            with_services(explanation, state, routed)
        }
    }
}

/// Adds what happens to a request at each service of its route.
fn with_services(
    mut explanation: Explanation,
    state: &GatewayState,
    routed: RoutedQuery<'_>,
) -> Explanation {
    let services = routed.route.service_probabilities();
    if services.is_empty() {
        explanation.refusal = Some(refused(Reason::NoService, Refusal::NoRoute, None));
    }
    let facts = services
        .into_iter()
        .filter_map(|(service, share)| service_facts(state, routed, service, share));
    explanation.services = facts.collect();
    let admitted = explanation.services.iter();
    let admitted = admitted.map(|service| service.share * service.admitted);
    explanation.admitted = admitted.sum();
    explanation.unknown = unknown(state, &explanation);
    if routed.query.account.is_some() && routed.account.is_none() {
        explanation.unknown.push(Unknown::Account);
    }
    explanation
}

fn service_facts(
    state: &GatewayState,
    routed: RoutedQuery<'_>,
    service: &ServiceName,
    share: f64,
) -> Option<ServiceFacts> {
    let request = SelectionRequest {
        service,
        model: routed.query.model.as_ref(),
        account: routed.account,
        rank: routed.table.rank(service, routed.route, routed.account),
        class: AdmissionClass::OnTime,
        prompt_tokens: routed.query.prompt_tokens,
        answer_tokens: routed.query.answer_tokens,
        deadline: routed.deadline,
        tried: &[],
        unlimited: false,
    };
    selection::with_choice_inputs(state, &request, |view, criteria, now| {
        let assessment = balancer::assess(view, criteria, now);
        let candidates = candidates::describe(view, &criteria, &assessment, now);
        let is_refused_by_drain = !state.admits(routed.deadline, criteria.duration);
        let facts = ServiceFacts {
            service: service.clone(),
            share,
            model: criteria.model.map(|(model, _)| model.clone()),
            rank: RankFacts {
                priority: request.rank.priority(),
                position: request.rank.position(),
                is_ranked: request.rank.is_ranked(),
            },
            duration_ms: criteria.duration.as_millis(),
            admission: outcomes::admission_facts(&assessment, &criteria),
            admitted: assessment.admitted(),
            outcomes: outcomes::describe(&assessment, &criteria),
            candidates,
        };
        match is_refused_by_drain {
            true => refuse_as_stopping(facts),
            false => facts,
        }
    })
}

/// Replaces the outcomes by the refusal of a stopping daemon.
fn refuse_as_stopping(mut facts: ServiceFacts) -> ServiceFacts {
    let retry_ms = STOPPING_RETRY_DELAY_MS;
    let status = Refusal::Unavailable { retry_ms };
    let refusal = refused(Reason::Stopping, status, Some(retry_ms));
    facts.admitted = 0.0;
    facts.outcomes = vec![outcomes::certain(refusal)];
    for candidate in &mut facts.candidates {
        candidate.probability = 0.0;
    }
    facts
}

/// Returns what may change an outcome and isn't known.
fn unknown(state: &GatewayState, explanation: &Explanation) -> Vec<Unknown> {
    let mut unknown = vec![
        Unknown::OtherDaemons,
        Unknown::Quarantine,
        Unknown::EarlierAttempts,
        Unknown::Acceptance,
    ];
    let services = explanation.services.iter();
    let mut candidates = services.flat_map(|service| &service.candidates);
    let needs_permit =
        |candidate: &CandidateFacts| candidate.probability > 0.0 && candidate.limit.is_some();
    if candidates.any(needs_permit) {
        unknown.push(Unknown::Permit);
    }
    if state.is_cut_off() {
        unknown.push(Unknown::Relay);
    }
    unknown
}

fn route_facts(route: &Route) -> RouteFacts {
    RouteFacts {
        name: route.name.clone(),
        priority: route.priority,
        objective_ms: route.objective.as_millis(),
        timeout_ms: route.timeout.as_millis(),
    }
}

fn denied(error: AccessError) -> Refused {
    let reason = match error {
        AccessError::NoRoute => Reason::NoRoute,
        AccessError::NoAccount => Reason::NoAccount,
    };
    refused(reason, error.into(), None)
}
