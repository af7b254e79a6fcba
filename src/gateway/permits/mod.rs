//! Permits to send requests to runners that name a rate limit or are cold.
//!
//! A limit holds for all daemons together. One daemon, the authority, counts
//! the requests to a runner; the others ask it before each request. A daemon
//! that gets no permit sends nothing to the runner.

mod authority;
mod bucket;
mod denials;
mod issuer;
mod waiting;

pub use authority::{Authority, Registration, authority};
pub use denials::Denials;
pub use issuer::{Issuer, Verdict};

use super::{
    announcements,
    balancer::Endpoint,
    coldness::ColdClaim,
    datagrams::{Datagram, RunnerNotice},
    notices::{AppliedLimit, LimitReason},
    roster::{HostKey, RunnerInstance},
    state::GatewayState,
};
use crate::{
    core::time::{Span, Time},
    shell::running_time,
};
use metrics::counter;
use std::{cell::RefCell, net::SocketAddr};
use waiting::Waiting;

/// Timeout of a request for a permit.
pub(super) const REQUEST_TIMEOUT: Span = Span::from_millis(100);

/// Time for which a runner gets no requests after its authority didn't answer, as a multiple of the
/// timeout.
const UNANSWERED_WAIT_FACTOR: u64 = 5;

/// Time after which a daemon asks again whose view of the authority differs.
const MISDIRECTED_WAIT: Span = Span::from_millis(250);

/// Time after which a permit for a cold runner is not used any more: late requests would add to
/// those of the next second.
const MAX_PERMIT_AGE: Span = Span::from_millis(150);

/// Permission to send one request to a runner.
#[must_use]
#[derive(Debug)]
pub(super) struct Permit {
    /// Time at which it was asked for, if the runner was cold.
    cold_since: Option<Time>,
}

/// Permits that this daemon issues, and its requests to other daemons.
#[derive(Debug, Default)]
pub struct Permits {
    issuer: RefCell<Issuer>,
    waiting: RefCell<Waiting>,
}

/// Obtains the permit for one request to a runner, for a cold one within `timeout`. After a denial the
/// runner isn't chosen again until its next permit is expected.
///
/// # Errors
///
/// Fails with the reason for the runner's limit if that doesn't allow a request now.
pub(super) async fn acquire(
    state: &GatewayState,
    endpoint: &Endpoint,
    timeout: Span,
) -> Result<Permit, LimitReason> {
    let asked_at = state.now();
    let unlimited = Permit { cold_since: None };
    let Some(limit) = state.notices.borrow().limit(endpoint.host, asked_at) else {
        return Ok(unlimited);
    };
    let Some(runner) = announcements::instance(state, endpoint.host) else {
        return Ok(unlimited);
    };
    let timeout = match limit.reason {
        LimitReason::Limited => REQUEST_TIMEOUT,
        LimitReason::Cold => REQUEST_TIMEOUT.min(timeout),
    };
    let authority = current_authority(state, &runner);
    let answered = match authority {
        Authority::Own => Some(issue(state, &runner, limit, 1.0)),
        Authority::Divided(daemons) => {
            // A store that has come back from an older copy may list none of the daemons.
            let daemons = match limit.reason {
                LimitReason::Limited => daemons,
                LimitReason::Cold => daemons.max(state.count_daemons(asked_at)),
            };
            Some(issue(state, &runner, limit, 1.0 / daemons as f64))
        }
        Authority::Peer(address) => ask(state, address, endpoint.host, runner, timeout).await,
    };
    let (label, wait) = match answered {
        Some(Verdict::Granted) => ("granted", None),
        Some(Verdict::Denied { wait }) => ("denied", Some(wait)),
        None => ("unanswered", Some(timeout.times(UNANSWERED_WAIT_FACTOR))),
    };
    let reason = limit.reason;
    counter!("permits_total", "verdict" => label, "reason" => reason.name()).increment(1);
    let Some(wait) = wait else {
        let is_cold = reason == LimitReason::Cold;
        return Ok(Permit {
            cold_since: is_cold.then_some(asked_at),
        });
    };
    let until = state.now() + wait;
    state.notices.borrow_mut().hold_back(endpoint.host, until);
    Err(reason)
}

/// Returns the permit for a request that is sent now, after the connection to the runner was
/// opened. Another one is needed if the runner has become cold meanwhile, or if much time has
/// passed; none if the runner's limit doesn't allow the request any more.
pub(super) async fn renew(
    state: &GatewayState,
    endpoint: &Endpoint,
    permit: Permit,
) -> Option<Permit> {
    let now = state.now();
    let is_cold = state.notices.borrow().coldness.is_cold(endpoint.host, now);
    let is_recent = |since| now.since(since) <= MAX_PERMIT_AGE;
    if !is_cold || permit.cold_since.is_some_and(is_recent) {
        return Some(permit);
    }
    acquire(state, endpoint, REQUEST_TIMEOUT).await.ok()
}

/// Returns the authority for a runner, as this daemon sees it.
pub(super) fn current_authority(state: &GatewayState, runner: &RunnerInstance) -> Authority {
    authority(&state.settings.name, &state.peers.borrow(), runner)
}

/// Issues a permit out of this daemon's part of a limit.
fn issue(state: &GatewayState, runner: &RunnerInstance, limit: AppliedLimit, part: f64) -> Verdict {
    let now = state.now();
    let share = {
        let (own, peers) = (&state.settings.name, state.peers.borrow());
        state.registration.get().share(own, &peers, runner, now) * part
    };
    let mut issuer = state.permits.issuer.borrow_mut();
    issuer.issue(runner, limit, share, now)
}

/// Asks the authority for a permit; returns nothing if it doesn't answer in time.
async fn ask(
    state: &GatewayState,
    authority: SocketAddr,
    host: HostKey,
    runner: RunnerInstance,
    timeout: Span,
) -> Option<Verdict> {
    let (id, answer) = state.permits.waiting.borrow_mut().insert();
    let notice = announcements::describe(state, host, runner);
    let cold = state.notices.borrow().coldness.claim(host, state.now());
    // Daemons of an earlier build know only the former.
    let request = match cold {
        None => Datagram::PermitRequest { id, notice },
        Some(cold) => Datagram::ColdPermitRequest { id, notice, cold },
    };
    state.outbox.send(authority, request);
    let answered = running_time::within(timeout.into(), answer).await;
    state.permits.waiting.borrow_mut().remove(id);
    answered?.ok()
}

/// Answers another daemon's request for a permit. What the sender knows of the runner counts too:
/// this daemon may not have heard yet that it is cold.
pub(super) fn answer_request(
    state: &GatewayState,
    id: u64,
    notice: &RunnerNotice,
    cold: Option<ColdClaim>,
    from: SocketAddr,
) {
    let claimed = cold.map(|cold| AppliedLimit::cold(cold.limit));
    let known = match announcements::accept(state, notice) {
        Some(host) => {
            if let Some(cold) = cold {
                state.record_cold_claim(host, cold.left);
            }
            state.notices.borrow().limit(host, state.now())
        }
        None => notice.rate_limit.map(AppliedLimit::from),
    };
    let latest = AppliedLimit::lower(known, claimed);
    let verdict = match (current_authority(state, &notice.runner), latest) {
        (_, None) => Verdict::Granted,
        (Authority::Own, Some(limit)) => issue(state, &notice.runner, limit, 1.0),
        _ => Verdict::Denied {
            wait: MISDIRECTED_WAIT,
        },
    };
    let response = Datagram::PermitResponse { id, verdict };
    state.outbox.send(from, response);
}

/// Passes the response of an authority to the request that waits for it.
pub(super) fn accept_response(state: &GatewayState, id: u64, verdict: Verdict) {
    state.permits.waiting.borrow_mut().resolve(id, verdict);
}
