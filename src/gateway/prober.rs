//! Probes the members of groups and detects those that no longer answer.
//!
//! A head keeps taking requests for seconds after it has lost a member, and
//! entries in the store lag behind. The holder of the duty therefore probes
//! each member that nothing else proves to be alive, over a connection that is
//! kept open. A member counts as unreachable only after new connections have
//! failed too, and only if its group makes no progress meanwhile: otherwise it
//! is this daemon that doesn't reach it. A member whose address another run has
//! taken is unreachable at once. If a large fraction of members fails at once,
//! this daemon itself is assumed to be cut off, and none is reported.

use super::{
    adapter::Adapter,
    announcements,
    connection::RunnerConnection,
    liveness::{self, Proofs, is_proven_since},
    probe::{Answer, Target, probe_host},
    reach_check,
    roster::{Host, HostKey, ProbeFailure, RunnerInstance, SLOW_FACTOR},
    state::GatewayState,
};
use crate::core::time::Time;
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    marker::PhantomData,
    rc::Rc,
};

/// Probes by member.
#[derive(Default)]
struct Probes {
    entries: BTreeMap<HostKey, Probe>,
}

impl Probes {
    /// Returns the number of probes in flight over new connections.
    fn count_new(&self) -> usize {
        let probes = self.entries.values();
        probes
            .filter(|probe| probe.is_in_flight && probe.is_new)
            .count()
    }

    /// Returns the probes of members that are lost: they failed, and nothing proves since that their
    /// members are alive.
    fn lost(&self, proofs: &Proofs) -> impl Iterator<Item = &Probe> {
        let probes = self.entries.iter();
        let lost = probes.filter(|(key, probe)| {
            let proof = proofs.get(*key).copied();
            let is_alive = !probe.is_replaced && is_proven_since(probe.failed_sent, proof);
            probe.is_unreachable && !is_alive
        });
        lost.map(|(_, probe)| probe)
    }

    fn forget_unanswered(&mut self) {
        let probes = self.entries.values_mut();
        probes
            .filter(|probe| probe.is_unanswered())
            .for_each(|probe| probe.is_unreachable = false);
    }
}

/// Probe state of one member.
struct Probe {
    runner: RunnerInstance,
    /// Connection that is kept open between probes.
    connection: Option<RunnerConnection>,
    /// Time at which the last probe was sent.
    last_sent: Option<Time>,
    /// Time at which the last probe that failed was sent.
    failed_sent: Option<Time>,
    is_in_flight: bool,
    /// True if the probe in flight opens a new connection.
    is_new: bool,
    is_unreachable: bool,
    /// True if another run is at its address.
    is_replaced: bool,
    /// Slowdown factor, rounded to halves.
    slowdown: f64,
}

impl Probe {
    fn is_unanswered(&self) -> bool {
        self.is_unreachable && !self.is_replaced
    }
}

/// Probes the members of groups.
pub struct Prober<A> {
    state: Rc<GatewayState>,
    probes: Rc<RefCell<Probes>>,
    adapter: PhantomData<A>,
}

impl<A> Prober<A>
where
    A: Adapter,
{
    /// Creates a prober that has sent no probe yet.
    pub fn new(state: Rc<GatewayState>) -> Self {
        Self {
            state,
            probes: Rc::default(),
            adapter: PhantomData,
        }
    }

    /// Sends the probes that are due; returns which members are proven to be alive.
    pub fn step(&self) -> Proofs {
        let now = self.state.now();
        self.sync_members();
        let proofs = {
            let state = &self.state;
            let mut reported = state.progress.borrow_mut();
            reported.expire(now);
            liveness::proofs(&state.roster.borrow(), &state.loads.borrow(), &reported)
        };
        let is_due = |key: &HostKey, probe: &Probe| {
            let proof = proofs.get(key).copied();
            !probe.is_in_flight && liveness::is_probe_due(probe.last_sent, proof, now)
        };
        let selected = {
            let probes = self.probes.borrow();
            let due = probes
                .entries
                .iter()
                .filter(|(key, probe)| is_due(key, probe));
            let due = due.map(|(key, probe)| (*key, probe.connection.is_some()));
            liveness::select_probes(due, probes.count_new())
        };
        for key in selected {
            self.probe(key, now);
        }
        proofs
    }

    /// Returns the lost runner instances; only those whose addresses answer if this daemon itself is
    /// cut off. Then all must fail again to count, since those that answer first would leave the
    /// others behind.
    pub fn unreachable(&self, proofs: &Proofs) -> BTreeSet<RunnerInstance> {
        let mut probes = self.probes.borrow_mut();
        let unanswered = probes.lost(proofs).filter(|probe| probe.is_unanswered());
        if liveness::is_cut_off(unanswered.count(), probes.entries.len()) {
            probes.forget_unanswered();
        }
        let lost = probes.lost(proofs);
        lost.map(|probe| probe.runner.clone()).collect()
    }

    /// Returns the slow runner instances and their slowdown factors.
    pub fn slow(&self) -> BTreeMap<RunnerInstance, f64> {
        let probes = self.probes.borrow();
        let slow = probes
            .entries
            .values()
            .filter(|probe| probe.slowdown >= SLOW_FACTOR);
        slow.map(|probe| (probe.runner.clone(), probe.slowdown))
            .collect()
    }

    /// Adds probes for new members and drops those of former members.
    fn sync_members(&self) {
        let roster = self.state.roster.borrow();
        let members: BTreeMap<HostKey, &Host> = roster
            .hosts()
            .filter(|(_, host)| host.runner.member.is_some() || host.is_unreachable())
            .collect();
        let mut probes = self.probes.borrow_mut();
        probes.entries.retain(|key, _| members.contains_key(key));
        for (key, host) in members {
            probes.entries.entry(key).or_insert_with(|| Probe {
                runner: host.instance(),
                connection: None,
                last_sent: None,
                failed_sent: None,
                is_in_flight: false,
                is_new: false,
                is_unreachable: host.is_unreachable(),
                is_replaced: false,
                slowdown: host.slowdown(),
            });
        }
    }

    /// Sends a probe to one member; its outcome is recorded when it is known.
    fn probe(&self, key: HostKey, now: Time) {
        let Some(address) = self
            .state
            .roster
            .borrow()
            .host(key)
            .map(|host| host.runner.address)
        else {
            return;
        };
        let mut probes = self.probes.borrow_mut();
        let Some(probe) = probes.entries.get_mut(&key) else {
            return;
        };
        probe.last_sent = Some(now);
        probe.is_in_flight = true;
        let kept = probe.connection.take();
        probe.is_new = kept.is_none();
        let target = Target {
            runner: probe.runner.clone(),
            address,
        };
        let (state, probes) = (self.state.clone(), self.probes.clone());
        compio::runtime::spawn(async move {
            let outcome = probe_host::<A>(&target, kept).await;
            record_outcome(&state, &probes, key, outcome);
        })
        .detach();
    }
}

/// Records the outcome of a probe and the report of the runner.
fn record_outcome(
    state: &Rc<GatewayState>,
    probes: &RefCell<Probes>,
    key: HostKey,
    outcome: Result<Answer, ProbeFailure>,
) {
    let mut probes = probes.borrow_mut();
    let Some(probe) = probes.entries.get_mut(&key) else {
        return;
    };
    probe.is_in_flight = false;
    match outcome {
        Ok(_) | Err(ProbeFailure::Replaced) if probe.is_new => state.runner_connected(),
        Ok(_) | Err(ProbeFailure::Replaced) => {}
        Err(_) => reach_check::runner_unreached(state, key),
    }
    let is_unreachable = outcome.is_err();
    if is_unreachable != probe.is_unreachable {
        slog::info!(state.log, "reachability of member changed";
            "host" => probe.runner.0.as_str(),
            "lost" => is_unreachable,
            "failure" => outcome.as_ref().err().map(|failure| format!("{failure:?}")));
    }
    probe.is_unreachable = is_unreachable;
    probe.is_replaced = matches!(outcome, Err(ProbeFailure::Replaced));
    let answer = match outcome {
        Ok(answer) => answer,
        Err(failure) => {
            probe.failed_sent = probe.last_sent;
            let mut roster = state.roster.borrow_mut();
            return roster.probe_failed(key, failure);
        }
    };
    probe.connection = Some(answer.connection);
    announcements::control_answered(state, key, &answer.notice);
    match answer.report {
        Ok(report) => {
            // Rounded to halves, as each change of the value causes a write to the store.
            probe.slowdown = (report.slowdown * 2.0).round() / 2.0;
            let mut roster = state.roster.borrow_mut();
            roster.probe_answered(key, report.member, state.now());
        }
        Err(error) => slog::warn!(state.log, "member sent an invalid report";
            "host" => probe.runner.0.as_str(), "cause" => error.to_string()),
    }
}
