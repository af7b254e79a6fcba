//! Permits to send requests to runners that name a rate limit.
//!
//! A limit holds for all daemons together. One daemon, the authority, counts
//! the requests to a runner; the others ask it before each request. A daemon
//! that gets no permit sends nothing to the runner.

mod authority;
mod bucket;
mod issuer;
mod waiting;

pub use authority::{Authority, Registration, authority};
pub use issuer::{Issuer, Verdict};

use super::{
    announcements,
    balancer::Endpoint,
    datagrams::{Datagram, RunnerNotice},
    notices::RateLimit,
    roster::{HostKey, RunnerInstance},
    state::GatewayState,
};
use crate::core::time::Span;
use metrics::counter;
use std::{cell::RefCell, net::SocketAddr, time::Duration};
use waiting::Waiting;

/// Timeout of a request for a permit.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a runner gets no requests after its authority didn't answer.
const UNANSWERED_WAIT: Span = Span::from_millis(500);

/// Time after which a daemon asks again whose view of the authority differs.
const MISDIRECTED_WAIT: Span = Span::from_millis(250);

/// Permission to send one request to a runner.
#[must_use]
#[derive(Debug)]
pub(super) struct Permit(());

/// Permits that this daemon issues, and its requests to other daemons.
#[derive(Debug, Default)]
pub struct Permits {
    issuer: RefCell<Issuer>,
    waiting: RefCell<Waiting>,
}

/// Obtains the permit for one request to a runner; none if its rate limit doesn't allow one now.
/// The runner isn't chosen again until its next permit is expected.
pub(super) async fn acquire(state: &GatewayState, endpoint: &Endpoint) -> Option<Permit> {
    let Some(limit) = state.notices.borrow().rate_limit(endpoint.host) else {
        return Some(Permit(()));
    };
    let Some(runner) = announcements::instance(state, endpoint.host) else {
        return Some(Permit(()));
    };
    let authority = current_authority(state, &runner);
    let answered = match authority {
        Authority::Own => Some(issue(state, &runner, limit, 1.0)),
        Authority::Divided(daemons) => Some(issue(state, &runner, limit, 1.0 / daemons as f64)),
        Authority::Peer(address) => ask(state, address, endpoint.host, runner).await,
    };
    let (label, wait) = match answered {
        Some(Verdict::Granted) => ("granted", None),
        Some(Verdict::Denied { wait }) => ("denied", Some(wait)),
        None => ("unanswered", Some(UNANSWERED_WAIT)),
    };
    counter!("permits_total", "verdict" => label).increment(1);
    let Some(wait) = wait else {
        return Some(Permit(()));
    };
    let until = state.now() + wait;
    state.notices.borrow_mut().hold_back(endpoint.host, until);
    None
}

/// Returns the authority for a runner, as this daemon sees it.
pub(super) fn current_authority(state: &GatewayState, runner: &RunnerInstance) -> Authority {
    authority(&state.settings.name, &state.peers.borrow(), runner)
}

/// Issues a permit out of this daemon's part of a limit.
fn issue(state: &GatewayState, runner: &RunnerInstance, limit: RateLimit, part: f64) -> Verdict {
    let now = state.now();
    let share = state.registration.get().share(now) * part;
    let mut issuer = state.permits.issuer.borrow_mut();
    issuer.issue(runner, limit, share, now)
}

/// Asks the authority for a permit; returns nothing if it doesn't answer in time.
async fn ask(
    state: &GatewayState,
    authority: SocketAddr,
    host: HostKey,
    runner: RunnerInstance,
) -> Option<Verdict> {
    let (id, answer) = state.permits.waiting.borrow_mut().insert();
    let notice = announcements::describe(state, host, runner);
    let request = Datagram::PermitRequest { id, notice };
    state.outbox.send(authority, request);
    let answered = compio::time::timeout(REQUEST_TIMEOUT, answer).await;
    state.permits.waiting.borrow_mut().remove(id);
    answered.ok()?.ok()
}

/// Answers another daemon's request for a permit.
pub(super) fn answer_request(
    state: &GatewayState,
    id: u64,
    notice: &RunnerNotice,
    from: SocketAddr,
) {
    let latest = match announcements::accept(state, notice) {
        Some(host) => state.notices.borrow().rate_limit(host),
        None => notice.rate_limit,
    };
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
