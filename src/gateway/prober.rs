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
    adapter::{Adapter, DecodeError, ProbeReport, ResponseHead},
    announcements,
    connection::{CONNECT_TIMEOUT, RunnerConnection, SendError},
    liveness::{self, Proofs, is_proven_since},
    notices::Notice,
    reach_check,
    roster::{Host, HostKey, ProbeFailure, RunnerInstance, SLOW_FACTOR},
    state::GatewayState,
};
use crate::core::time::Time;
use futures_util::future::join;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    marker::PhantomData,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// Timeout of a probe over the connection that is kept open.
const REUSED_CONNECTION_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a probe over a new connection.
const NEW_CONNECTION_TIMEOUT: Duration = Duration::from_millis(350);

/// Largest report that is read.
const MAX_REPORT_BYTES: usize = 256 << 10;

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

/// Runner instance that a probe is meant for, and where it was last known to be.
struct Target {
    runner: RunnerInstance,
    address: SocketAddr,
}

impl Target {
    /// Returns true if another host says that the probe isn't meant for it.
    fn is_refused(&self, status: StatusCode, head: &ResponseHead) -> bool {
        let is_own = head.sender.as_ref() == Some(&self.runner.0);
        status == StatusCode::MISDIRECTED_REQUEST && !is_own
    }

    /// Returns true if a response is certain to come from another run.
    fn is_replaced(&self, head: &ResponseHead, report: Option<&ProbeReport>) -> bool {
        let (name, born) = &self.runner;
        let has_other_name = head.sender.as_ref().is_some_and(|sender| sender != name);
        let reported = report.and_then(|report| report.born);
        let has_other_start = *born != 0 && reported.is_some_and(|other| other != *born);
        has_other_name || has_other_start
    }
}

/// Response to a probe.
struct Answer {
    connection: RunnerConnection,
    report: Result<ProbeReport, DecodeError>,
    notice: Notice,
}

/// Probes a host over the kept connection and, if that fails, over new ones.
async fn probe_host<A>(
    target: &Target,
    kept: Option<RunnerConnection>,
) -> Result<Answer, ProbeFailure>
where
    A: Adapter,
{
    if let Some(connection) = kept
        && let Ok(answered) = with_timeout(
            REUSED_CONNECTION_TIMEOUT,
            fetch_report::<A>(connection, target),
        )
        .await
    {
        return Ok(answered);
    }
    let probe_anew = || async {
        let opened = RunnerConnection::open(target.address, CONNECT_TIMEOUT).await;
        fetch_report::<A>(opened.map_err(probe_failure)?, target).await
    };
    // Two at once, so that a single lost packet isn't taken for a failure of the member.
    let (first, second) = join(
        with_timeout(NEW_CONNECTION_TIMEOUT, probe_anew()),
        with_timeout(NEW_CONNECTION_TIMEOUT, probe_anew()),
    )
    .await;
    match (first, second) {
        (Ok(answered), _) | (_, Ok(answered)) => Ok(answered),
        (Err(ProbeFailure::Replaced), _) | (_, Err(ProbeFailure::Replaced)) => {
            Err(ProbeFailure::Replaced)
        }
        (Err(ProbeFailure::Faulty), _) | (_, Err(ProbeFailure::Faulty)) => {
            Err(ProbeFailure::Faulty)
        }
        (Err(ProbeFailure::Refused), _) | (_, Err(ProbeFailure::Refused)) => {
            Err(ProbeFailure::Refused)
        }
        _ => Err(ProbeFailure::Silent),
    }
}

async fn with_timeout<F, T>(timeout: Duration, probe: F) -> Result<T, ProbeFailure>
where
    F: Future<Output = Result<T, ProbeFailure>>,
{
    let answered = compio::time::timeout(timeout, probe).await;
    answered.unwrap_or(Err(ProbeFailure::Silent))
}

fn probe_failure(error: SendError) -> ProbeFailure {
    match error {
        SendError::NotSent => ProbeFailure::Silent,
        SendError::Refused => ProbeFailure::Refused,
        // A connection that was cut had been established, so something listens.
        SendError::Cut => ProbeFailure::Faulty,
    }
}

async fn fetch_report<A>(
    mut connection: RunnerConnection,
    target: &Target,
) -> Result<Answer, ProbeFailure>
where
    A: Adapter,
{
    let mut request = Request::get(A::probe_path())
        .header("host", target.address.to_string())
        .body(Full::default())
        .expect("the probe request is valid");
    A::set_expected_host(request.headers_mut(), &target.runner.0);
    let response = connection.send(request).await.map_err(probe_failure)?;
    let (parts, body) = response.into_parts();
    let head = A::decode_response(&parts);
    if target.is_refused(parts.status, &head) || target.is_replaced(&head, None) {
        return Err(ProbeFailure::Replaced);
    }
    if !parts.status.is_success() {
        return Err(ProbeFailure::Faulty);
    }
    let body = Limited::new(body, MAX_REPORT_BYTES).collect();
    let whole = body.await.map_err(|_| ProbeFailure::Faulty)?;
    let report = A::decode_report(&whole.to_bytes());
    if target.is_replaced(&head, report.as_ref().ok()) {
        return Err(ProbeFailure::Replaced);
    }
    Ok(Answer {
        connection,
        report,
        notice: head.notice,
    })
}
