//! Finds out whether a runner has crashed whose connection ended.
//!
//! A crashed runner refuses connections, at once or a moment later, or is back at
//! once as a new run. One that lost a single connection takes new ones, and one
//! that is cut off doesn't answer.

use super::{
    exchange,
    reports::{CrashReport, Evidence},
    restarts::RECHECK_DELAY,
};
use crate::gateway::{
    balancer::Endpoint,
    call::Call,
    connection::{RunnerConnection, SendError},
    reach_check,
    roster::Host,
    state::GatewayState,
};
use std::{rc::Rc, time::Duration};

/// Timeout of the connection that shows whether a runner listens; a request waits for it.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Checks a runner that ended a request's connection. If it has crashed, the request is reported,
/// and the run doesn't count if the request can't be the cause.
pub(in crate::gateway) async fn connection_ended(call: &mut Call, endpoint: &Endpoint) {
    let state = call.state.clone();
    let now = state.now();
    state
        .quarantine
        .soundness
        .borrow_mut()
        .runner_broke_off(endpoint.host, now);
    let opened = RunnerConnection::open(endpoint.address, CHECK_TIMEOUT).await;
    match opened {
        Ok(_) => state.runner_connected(),
        Err(_) => reach_check::runner_unreached(&state, endpoint.host),
    }
    let is_crash = is_crash(&state, &opened).await;
    slog::info!(state.log, "runner that ended a connection checked";
        "request" => call.id(),
        "fingerprint" => call.fingerprint.to_string(),
        "host" => endpoint.name.as_str(),
        "opened" => format!("{:?}", opened.as_ref().map(|_| ())),
        "crash" => is_crash);
    let runner = endpoint.instance();
    let evidence = Evidence {
        request: call.fingerprint,
        arrival: call.arrival,
        parts: call.head.shared_parts.clone(),
    };
    if is_crash {
        call.has_crashed = true;
        call.excuse_run();
        exchange::report(&state, CrashReport { runner, evidence });
    } else if opened.is_ok() && !is_leaving(&state, endpoint) {
        {
            let mut restarts = state.quarantine.restarts.borrow_mut();
            restarts.push(runner, endpoint.address, evidence, now);
        }
        compio::runtime::spawn(check_again(state)).detach();
    }
}

/// Checks runners again that still listened when they ended a connection, and reports the requests
/// of those that have crashed.
async fn check_again(state: Rc<GatewayState>) {
    compio::time::sleep(RECHECK_DELAY.into()).await;
    let due = {
        let mut restarts = state.quarantine.restarts.borrow_mut();
        restarts.take_unchecked(state.now())
    };
    for (runner, address) in due {
        let opened = RunnerConnection::open(address, CHECK_TIMEOUT).await;
        if is_crash(&state, &opened).await {
            exchange::report_crashed(&state, |pending, _| *pending == runner);
        }
    }
}

/// Returns true if a connection was refused because the runner has crashed.
async fn is_crash(state: &GatewayState, opened: &Result<RunnerConnection, SendError>) -> bool {
    // A daemon that is cut off itself may be refused by runners that are well.
    matches!(opened, Err(SendError::Refused)) && !reach_check::is_surely_cut_off(state).await
}

/// Returns true if a runner was about to leave, and so ended its connections.
fn is_leaving(state: &GatewayState, endpoint: &Endpoint) -> bool {
    let roster = state.roster.borrow();
    roster.host(endpoint.host).is_some_and(Host::is_draining)
}
