//! Records what runners say of themselves, and tells other daemons of it.
//!
//! News goes to the runner's authority, which tells all daemons. A datagram that
//! is lost costs little: each daemon hears the runner itself as soon as it sends
//! it a request.

use super::{
    coldness::ColdClaim,
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
    record_cold_left(state, host, notice);
}

/// Records the notice in a response to a probe or an order, which need not say everything.
pub(super) fn control_answered(state: &GatewayState, host: HostKey, notice: &Notice) {
    let limit_change = match notice.rate_limit {
        Stated::Value(limit) => state.record_rate_limit(host, Some(limit), state.now()),
        Stated::Absent | Stated::Invalid => None,
    };
    let is_leaving = notice.is_leaving && state.record_leaving(host, false);
    spread(state, host, limit_change, is_leaving);
    record_cold_left(state, host, notice);
}

/// Records the time for which a runner stays cold, if its response states it.
fn record_cold_left(state: &GatewayState, host: HostKey, notice: &Notice) {
    let Stated::Value(left) = notice.cold_left else {
        return;
    };
    let is_start = state.record_cold_response(host, left);
    let claim = state.notices.borrow().coldness.claim(host, state.now());
    let announcement = claim.filter(|_| is_start).zip(instance(state, host));
    let Some((cold, runner)) = announcement else {
        return;
    };
    match current_authority(state, &runner) {
        Authority::Own => broadcast_cold(state, host, &runner, cold),
        Authority::Peer(address) => {
            let datagram = Datagram::Cold { runner, cold };
            state.outbox.send(address, datagram);
        }
        Authority::Divided(_) => {}
    }
}

/// Records that a runner is cold, as another daemon says; its authority tells all daemons.
pub(super) fn accept_cold(state: &GatewayState, runner: &RunnerInstance, cold: ColdClaim) {
    let Some(host) = known_host(state, runner) else {
        return;
    };
    let is_start = state.record_cold_claim(host, cold.left);
    if is_start && current_authority(state, runner) == Authority::Own {
        broadcast_cold(state, host, runner, cold);
    }
}

/// Tells all other daemons that a runner is cold, unless they were told a moment ago.
fn broadcast_cold(state: &GatewayState, host: HostKey, runner: &RunnerInstance, cold: ColdClaim) {
    let may_announce = {
        let mut notices = state.notices.borrow_mut();
        notices.coldness.try_announce(host, state.now())
    };
    if may_announce {
        send_to_others(state, || Datagram::Cold {
            runner: runner.clone(),
            cold,
        });
    }
}

/// Returns the key of a runner instance if it is known.
fn known_host(state: &GatewayState, (name, born): &RunnerInstance) -> Option<HostKey> {
    let roster = state.roster.borrow();
    let (key, host) = roster.host_by_name(name)?;
    (host.runner.born == *born).then_some(key)
}

/// Sends a datagram to each other daemon.
fn send_to_others<F>(state: &GatewayState, datagram: F)
where
    F: Fn() -> Datagram,
{
    let peers = state.peers.borrow();
    let others = peers
        .daemons()
        .filter(|(name, _)| **name != state.settings.name);
    for address in others.filter_map(|(_, entry)| entry.peer) {
        state.outbox.send(address, datagram());
    }
}

/// Records what another daemon has heard of a runner; returns the runner's key if it is known.
pub(super) fn accept(state: &GatewayState, notice: &RunnerNotice) -> Option<HostKey> {
    let host = known_host(state, &notice.runner)?;
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

/// Notifies peers that a runner's rate limit has begun or ended, or that it leaves.
fn spread(
    state: &GatewayState,
    host: HostKey,
    limit_change: Option<LimitChange>,
    is_leaving: bool,
) {
    let is_limit_change = limit_change.is_some_and(LimitChange::is_start_or_end);
    if !is_limit_change && !is_leaving {
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
    send_to_others(state, || {
        Datagram::Notice(describe(state, host, runner.clone()))
    });
}
