//! Records what runners say of themselves, and tells other daemons of it.
//!
//! News goes to the runner's authority, which tells all daemons. A datagram that
//! is lost costs little: each daemon hears the runner itself as soon as it sends
//! it a request.

use super::{
    datagrams::{Datagram, RunnerNotice},
    notices::{LimitChange, Notice, Stated},
    permits::{Authority, current_authority},
    roster::{Host, HostKey, RunnerInstance},
    state::GatewayState,
};
use crate::core::time::Time;
use metrics::counter;

/// Records the notice in a response to a request.
pub(super) fn response_received(state: &GatewayState, host: HostKey, notice: &Notice) {
    if let Stated::Value(span) = notice.pause {
        state.record_pause(host, span);
    }
    let limit_change = match notice.rate_limit {
        Stated::Absent => state.record_rate_limit(host, None, state.now()),
        Stated::Value(limit) => state.record_rate_limit(host, Some(limit), state.now()),
        Stated::Invalid => None,
    };
    let is_leaving = notice.is_leaving && state.record_leaving(host, false);
    spread(state, host, limit_change, is_leaving);
}

/// Records the notice in a response to a probe or an order, which need not say everything.
pub(super) fn control_answered(state: &GatewayState, host: HostKey, notice: &Notice) {
    let limit_change = match notice.rate_limit {
        Stated::Value(limit) => state.record_rate_limit(host, Some(limit), state.now()),
        Stated::Absent | Stated::Invalid => None,
    };
    let is_leaving = notice.is_leaving && state.record_leaving(host, false);
    spread(state, host, limit_change, is_leaving);
}

/// Records what another daemon has heard of a runner; returns the runner's key if it is known.
pub(super) fn accept(state: &GatewayState, notice: &RunnerNotice) -> Option<HostKey> {
    let (name, born) = &notice.runner;
    let host = {
        let roster = state.roster.borrow();
        let (key, host) = roster.host_by_name(name)?;
        (host.runner.born == *born).then_some(key)?
    };
    let heard_at = Time(state.now().0.saturating_sub(notice.age.0));
    let limit_change = state.record_rate_limit(host, notice.rate_limit, heard_at);
    let is_leaving = notice.is_leaving && state.record_leaving(host, true);
    if is_leaving {
        counter!("leaving_hosts_told_total").increment(1);
    }
    if current_authority(state, &notice.runner) == Authority::Own {
        spread(state, host, limit_change, is_leaving);
    }
    Some(host)
}

/// Returns the instance of a runner.
pub(super) fn instance(state: &GatewayState, host: HostKey) -> Option<RunnerInstance> {
    let roster = state.roster.borrow();
    Some(roster.host(host)?.instance())
}

/// Returns what is known of a runner, for another daemon.
pub(super) fn describe(
    state: &GatewayState,
    host: HostKey,
    runner: RunnerInstance,
) -> RunnerNotice {
    let notices = state.notices.borrow();
    let roster = state.roster.borrow();
    RunnerNotice {
        runner,
        rate_limit: notices.rate_limit(host),
        age: notices.age(host, state.now()),
        is_leaving: roster.host(host).is_some_and(Host::says_leaving),
    }
}

/// Passes news of a runner on: that its rate limit has begun or ended, or that it leaves.
fn spread(
    state: &GatewayState,
    host: HostKey,
    limit_change: Option<LimitChange>,
    is_leaving: bool,
) {
    let is_limit_news = limit_change.is_some_and(LimitChange::is_start_or_end);
    if !is_limit_news && !is_leaving {
        return;
    }
    let Some(runner) = instance(state, host) else {
        return;
    };
    match current_authority(state, &runner) {
        Authority::Own => broadcast(state, host, &runner, is_leaving),
        Authority::Peer(address) => {
            let notice = describe(state, host, runner);
            state.outbox.send(address, Datagram::Notice(notice));
        }
        Authority::Divided(_) => {}
    }
}

/// Tells all other daemons what a runner has said; of its rate limit only if they were not told a
/// moment ago.
fn broadcast(state: &GatewayState, host: HostKey, runner: &RunnerInstance, is_leaving: bool) {
    let may_announce = state.notices.borrow_mut().try_announce(host, state.now());
    if !may_announce && !is_leaving {
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
