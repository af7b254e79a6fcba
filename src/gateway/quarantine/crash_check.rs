//! Finds out whether a runner has crashed whose connection ended.
//!
//! A crashed runner refuses connections. One that lost a single connection takes
//! new ones, and one that is cut off doesn't answer.

use super::{
    exchange,
    reports::{CrashReport, Evidence},
};
use crate::gateway::{
    announcements,
    balancer::Endpoint,
    call::Call,
    connection::{RunnerConnection, SendError},
};
use std::time::Duration;

/// Timeout of the connection that shows whether a runner listens; a request waits for it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Checks a runner that ended a request's connection. If it has crashed, the request is reported,
/// and the run doesn't count if the request can't be the cause.
pub(in crate::gateway) async fn connection_ended(call: &mut Call, endpoint: &Endpoint) {
    let state = call.state.clone();
    let now = state.now();
    let runner = announcements::instance(&state, endpoint.host);
    state
        .quarantine
        .soundness
        .borrow_mut()
        .runner_broke_off(endpoint.host, now);
    let opened = RunnerConnection::open(endpoint.address, CHECK_TIMEOUT).await;
    let is_crash = matches!(opened, Err(SendError::Refused));
    slog::info!(state.log, "runner that ended a connection checked";
        "request" => call.id(),
        "fingerprint" => call.fingerprint.to_string(),
        "host" => endpoint.name.as_str(),
        "opened" => format!("{:?}", opened.as_ref().map(|_| ())),
        "crash" => is_crash);
    if !is_crash {
        return;
    }
    call.has_crashed = true;
    call.excuse_run();
    let Some(runner) = runner else {
        return;
    };
    let evidence = Evidence {
        request: call.fingerprint,
        arrival: call.arrival,
        parts: call.head.shared_parts.clone(),
    };
    exchange::report(&state, CrashReport { runner, evidence });
}
