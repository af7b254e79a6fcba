//! Output of an explanation for people.

use crate::commands::table::{self, Row};
use hickoryledge::gateway::explain::report::{
    AdmissionFacts, CandidateFacts, Explanation, OutcomeFacts, Refused, ServiceFacts, Unknown,
};
use serde::Serialize;

/// Candidate as a row of the table.
#[derive(Serialize)]
struct CandidateRow(CandidateFacts);

/// Prints a summary, and a table of the candidates of each service.
pub fn print(explanation: &Explanation) {
    println!("{}", summary(explanation));
    for service in &explanation.services {
        print_service(service);
    }
    if !explanation.unknown.is_empty() {
        let unknown = explanation.unknown.iter().copied();
        let unknown: Vec<&str> = unknown.map(unknown_text).collect();
        println!("not known: {}", unknown.join("; "));
    }
}

fn summary(explanation: &Explanation) -> String {
    let daemon = &explanation.daemon;
    let version = match explanation.version {
        Some(version) => format!("configuration {version}"),
        None => "no configuration".to_owned(),
    };
    let outcome = match &explanation.refusal {
        Some(refusal) => refusal_text(refusal),
        None => format!("admitted with probability {:.3}", explanation.admitted),
    };
    let route = match &explanation.route {
        Some(route) => format!(", route {}", route.name),
        None => String::new(),
    };
    let account = match &explanation.account {
        Some(account) => format!(", account {account}"),
        None => String::new(),
    };
    format!("{outcome} (daemon {daemon}, {version}{route}{account})")
}

fn print_service(facts: &ServiceFacts) {
    let rank = match facts.rank.is_ranked {
        true => format!(", priority {}", facts.rank.priority),
        false => String::new(),
    };
    let model = match &facts.model {
        Some(model) => format!(", model {model}"),
        None => String::new(),
    };
    println!();
    println!(
        "service {} (probability {:.3}){model}{rank}, expected duration {} ms",
        facts.service, facts.share, facts.duration_ms
    );
    if let Some(admission) = &facts.admission {
        println!("{}", admission_text(admission));
    }
    for outcome in &facts.outcomes {
        println!("{}", outcome_text(outcome));
    }
    let rows = facts.candidates.iter().cloned();
    let rows: Vec<CandidateRow> = rows.map(CandidateRow).collect();
    table::print(false, &rows);
}

fn admission_text(facts: &AdmissionFacts) -> String {
    let limit = facts.limit;
    let basis = match facts.by_totals {
        true => format!("by totals with {:.1} requests expected", facts.expected),
        false => "by this daemon's view".to_owned(),
    };
    let contended = if facts.contended { ", contended" } else { "" };
    format!(
        "limit of a head {limit:.1}, {basis}{contended}; left free: {} for ranks, {} for accounts",
        facts.for_ranks, facts.for_accounts
    )
}

fn outcome_text(outcome: &OutcomeFacts) -> String {
    let text = match &outcome.refusal {
        Some(refusal) => refusal_text(refusal),
        None => "sent".to_owned(),
    };
    format!("{:.3} {text}", outcome.probability)
}

fn refusal_text(refusal: &Refused) -> String {
    let status = refusal.status;
    let reason = json_name(&refusal.reason);
    let retry = refusal.retry_ms.map_or(String::new(), |min| {
        let max = min + refusal.retry_spread_ms;
        format!(", retry after {min} to {max} ms")
    });
    format!("refused: {reason} (status {status}{retry})")
}

impl Row for CandidateRow {
    const HEADERS: &'static [&'static str] = &[
        "HOST", "GROUP", "HALL", "CHOSEN", "REQUESTS", "SLOTS", "SOURCE", "AGE MS", "SLOWDOWN",
        "LIMIT/S", "STATE",
    ];

    fn cells(&self) -> Vec<String> {
        let facts = &self.0;
        let requests = &facts.requests;
        let total = requests.own.saturating_add(requests.others);
        let group = facts.group.as_ref();
        let limit = facts.limit.as_ref();
        vec![
            facts.host.to_string(),
            group.map_or_else(dash, ToString::to_string),
            facts.hall.to_string(),
            format!("{:.3}", facts.probability),
            format!("{total} ({} own)", requests.own),
            facts.slots.to_string(),
            json_name(&requests.source),
            requests.age_ms.map_or_else(dash, |age| age.to_string()),
            format!("{:.1}", facts.slowdown),
            limit.map_or_else(dash, |limit| format!("{:.1}", limit.per_second)),
            state(facts),
        ]
    }
}

/// Returns what keeps a candidate from taking requests, or will do so.
fn state(facts: &CandidateFacts) -> String {
    let mut parts = Vec::new();
    if let Some(excluded) = &facts.excluded {
        parts.push(json_name(excluded));
    }
    if let Some(cold) = &facts.cold {
        let (left, source) = (cold.left_ms, json_name(&cold.source));
        parts.push(format!(
            "cold for {left} ms by {source}, {} ms ago",
            cold.age_ms
        ));
    }
    if let Some(source) = &facts.leaving {
        parts.push(format!("leaving by {}", json_name(source)));
    }
    if facts.stalled {
        parts.push("stalled".to_owned());
    }
    if let Some(age) = facts.unlisted_ms {
        parts.push(format!("no entry for {age} ms"));
    }
    let waits = [
        ("paused", facts.paused_ms),
        ("held back", facts.held_ms),
        ("avoided", facts.backoff_ms),
    ];
    for (kind, left) in waits {
        if left > 0 {
            parts.push(format!("{kind} for {left} ms"));
        }
    }
    match parts.is_empty() {
        true => dash(),
        false => parts.join(", "),
    }
}

/// Returns the name of a value as JSON has it.
fn json_name<T>(value: &T) -> String
where
    T: Serialize,
{
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

fn dash() -> String {
    "-".to_owned()
}

fn unknown_text(unknown: Unknown) -> &'static str {
    match unknown {
        Unknown::OtherDaemons => "what other daemons choose meanwhile",
        Unknown::Quarantine => "whether the request or a part of its prompt is quarantined",
        Unknown::EarlierAttempts => "the caller's timeout and earlier attempts",
        Unknown::Account => "the account: the configuration has none of that name",
        Unknown::Permit => "whether a permit would be granted",
        Unknown::Acceptance => "whether the runner accepts the request",
        Unknown::Relay => "whether another daemon takes it, as this one reaches no runner",
    }
}
