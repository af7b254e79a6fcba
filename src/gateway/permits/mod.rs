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
    balancer::Endpoint,
    datagrams::{Datagram, RunnerNotice},
    notices::{LimitChange, RateLimit},
    roster::{HostKey, RunnerInstance},
    state::GatewayState,
};
use crate::core::time::{Span, Time};
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
    let Some(runner) = instance(state, endpoint.host) else {
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

fn current_authority(state: &GatewayState, runner: &RunnerInstance) -> Authority {
    authority(&state.settings.name, &state.peers.borrow(), runner)
}

fn instance(state: &GatewayState, host: HostKey) -> Option<RunnerInstance> {
    let roster = state.roster.borrow();
    Some(roster.host(host)?.instance())
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
    let notice = describe(state, host, runner);
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
    let latest = match accept_notice(state, notice) {
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

/// Records what another daemon has heard of a runner; returns the runner's key if it is known.
pub(super) fn accept_notice(state: &GatewayState, notice: &RunnerNotice) -> Option<HostKey> {
    let (name, born) = &notice.runner;
    let host = {
        let roster = state.roster.borrow();
        let (key, host) = roster.host_by_name(name)?;
        (host.runner.born == *born).then_some(key)?
    };
    let heard_at = Time(state.now().0.saturating_sub(notice.age.0));
    let change = state.record_rate_limit(host, notice.rate_limit, heard_at);
    let is_news = change.is_some_and(LimitChange::is_start_or_end);
    if is_news && current_authority(state, &notice.runner) == Authority::Own {
        broadcast(state, host, &notice.runner);
    }
    Some(host)
}

/// Records what a response says of its runner's rate limit, and tells other daemons of news.
pub(super) fn response_received(state: &GatewayState, host: HostKey, limit: Option<RateLimit>) {
    let change = state.record_rate_limit(host, limit, state.now());
    if !change.is_some_and(LimitChange::is_start_or_end) {
        return;
    }
    let Some(runner) = instance(state, host) else {
        return;
    };
    match current_authority(state, &runner) {
        Authority::Own => broadcast(state, host, &runner),
        Authority::Peer(address) => {
            let notice = describe(state, host, runner);
            state.outbox.send(address, Datagram::Notice(notice));
        }
        Authority::Divided(_) => {}
    }
}

/// Tells all other daemons what a runner has said of its rate limit, unless they were told a moment
/// ago; those that are not told hear it from the runner.
fn broadcast(state: &GatewayState, host: HostKey, runner: &RunnerInstance) {
    let now = state.now();
    if !state.notices.borrow_mut().try_announce(host, now) {
        return;
    }
    let peers = state.peers.borrow();
    let others = peers
        .daemons()
        .filter(|(name, _)| **name != state.settings.name);
    for address in others.filter_map(|(_, entry)| entry.peer) {
        let notice = describe(state, host, runner.clone());
        state.outbox.send(address, Datagram::Notice(notice));
    }
}

fn describe(state: &GatewayState, host: HostKey, runner: RunnerInstance) -> RunnerNotice {
    let notices = state.notices.borrow();
    RunnerNotice {
        runner,
        rate_limit: notices.rate_limit(host),
        age: notices.age(host, state.now()),
    }
}
