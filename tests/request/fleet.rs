//! Simulation of a plan on a few daemons, with a check of what callers saw against what ran.

use super::{
    harness::{Rig, model_call, service_call},
    plan::{AttemptScript, DaemonFault, Plan, Request, RequestKind},
};
use crate::fakes::kv::{FakeKv, Fault};
use hickoryledge::core::{
    input::{CallRequest, Echo, Failure, Payload, PlatformInput, RunnerInput, Ticket},
    keys::{AttemptId, CallId, DaemonName},
    options::Mechanism,
    output::{CallOutput, Ending, Output, Route, RunnerOutput},
    request::ticket,
    time::{Span, Time},
};
use std::collections::{BTreeMap, BTreeSet};

/// Latency of any connection in one direction.
const HOP_DELAY: Span = Span::from_millis(1);

/// Interval between two parts of a response.
const PART_INTERVAL: Span = Span::from_millis(20);

/// A call at one incarnation of a daemon.
type CallRef = (usize, u64, CallId);

/// An attempt by one incarnation of a daemon.
type AttemptRef = (usize, u64, AttemptId);

/// A scheduled event of the simulation.
enum Event {
    Send { request: usize, daemon: usize },
    CallerGone(CallRef),
    Runner(usize, u64, RunnerInput),
    Platform(usize, u64, PlatformInput),
    DaemonFault(usize, DaemonFault),
    EndIsolation(usize),
    EndOutage,
}

/// Observations of the caller of one call.
#[derive(Clone, Debug, Default)]
struct Observed {
    request: usize,
    text: String,
    endings: Vec<Ending>,
    runs: u32,
    /// True if its daemon crashed while it was open or its caller disconnected.
    abandoned: bool,
    /// The attempt of another daemon that it is relayed for.
    relayed_for: Option<AttemptRef>,
    head_sent: bool,
}

/// Results of a plan, with the number of violations of each kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    pub sent: u64,
    pub complete: u64,
    pub refused: u64,
    pub unknown: u64,
    pub attempts: u64,
    /// Attempts that were relayed to another daemon.
    pub relayed: u64,
    /// Refusals of requests that ran.
    pub false_refusals: u64,
    /// Non-idempotent requests that ran more than once.
    pub duplicate_runs: u64,
    /// Answers with a gap, a repeat or the text of another request.
    pub wrong_text: u64,
    /// Incomplete responses that ended as complete.
    pub truncated: u64,
    /// Calls without an ending or with several.
    pub wrong_endings: u64,
}

impl Outcome {
    /// Returns true if no invariant was violated.
    pub fn has_no_violations(&self) -> bool {
        let violations = [
            self.false_refusals,
            self.duplicate_runs,
            self.wrong_text,
            self.truncated,
            self.wrong_endings,
        ];
        violations == [0; 5]
    }

    /// Adds the outcome of another plan.
    pub fn add(&mut self, other: &Outcome) {
        self.sent += other.sent;
        self.complete += other.complete;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.attempts += other.attempts;
        self.relayed += other.relayed;
        self.false_refusals += other.false_refusals;
        self.duplicate_runs += other.duplicate_runs;
        self.wrong_text += other.wrong_text;
        self.truncated += other.truncated;
        self.wrong_endings += other.wrong_endings;
    }
}

/// A few daemons with their runners and callers.
struct Fleet {
    plan: Plan,
    rigs: Vec<Rig>,
    without: Vec<Mechanism>,
    now: Time,
    kv: FakeKv,
    paused_until: Vec<Time>,
    events: BTreeMap<(Time, u64), Event>,
    serial: u64,
    tickets: BTreeMap<usize, Ticket>,
    observed: BTreeMap<CallRef, Observed>,
    /// Number of times that each request was started on a runner.
    runs: BTreeMap<usize, u32>,
    attempt_counts: BTreeMap<usize, usize>,
    cancelled: BTreeSet<AttemptRef>,
    relays: BTreeMap<AttemptRef, CallRef>,
    outcome: Outcome,
}

/// Runs a plan to its end and returns its outcome.
pub fn run(plan: &Plan, without: &[Mechanism]) -> Outcome {
    let mut fleet = Fleet::new(plan.clone(), without);
    fleet.schedule_plan();
    while fleet.advance() {}
    fleet.evaluate()
}

impl Fleet {
    fn new(plan: Plan, without: &[Mechanism]) -> Self {
        let daemons = plan.daemons;
        let mut fleet = Self {
            plan,
            rigs: Vec::new(),
            without: without.to_vec(),
            now: Time(1_000),
            kv: FakeKv::default(),
            paused_until: vec![Time(0); daemons],
            events: BTreeMap::new(),
            serial: 0,
            tickets: BTreeMap::new(),
            observed: BTreeMap::new(),
            runs: BTreeMap::new(),
            attempt_counts: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            relays: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        for index in 0..daemons {
            let rig = fleet.new_rig(index, 1);
            fleet.rigs.push(rig);
        }
        fleet
    }

    /// Creates a daemon that knows the current incarnations of the others.
    fn new_rig(&self, index: usize, incarnation: u64) -> Rig {
        let mut rig = Rig::for_daemon(index as u16 + 1, incarnation, &self.without);
        rig.now = self.now;
        rig.put_groups("m", &[2, 2, 2, 2]);
        rig.put_service("lookup", true, 3);
        rig.put_service("invoices", false, 3);
        for other in (0..self.plan.daemons).filter(|other| *other != index) {
            let incarnation = self.rigs.get(other).map_or(1, |rig| rig.me.incarnation.0);
            rig.put_daemon(other as u16 + 1, incarnation);
        }
        rig
    }

    fn schedule_plan(&mut self) {
        let mut at = 0;
        for (request, planned) in self.plan.requests.clone().into_iter().enumerate() {
            at += planned.after;
            let single = planned.kind == RequestKind::Plain;
            let sends = planned.sends.iter().take(if single { 1 } else { 3 });
            for (daemon, after) in sends {
                let daemon = daemon % self.plan.daemons;
                let after = Span::from_millis(at + after);
                self.schedule(after, Event::Send { request, daemon });
            }
        }
        for (at, daemon, fault) in self.plan.daemon_faults.clone() {
            let daemon = daemon % self.plan.daemons;
            self.schedule(Span::from_millis(at), Event::DaemonFault(daemon, fault));
        }
    }

    fn schedule(&mut self, after: Span, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + after, self.serial), event);
    }

    /// Handles the next event or timer; returns false if there is none.
    fn advance(&mut self) -> bool {
        let open = self.rigs.iter().any(|rig| rig.requests.open_count() > 0);
        let timer = self.next_timer().filter(|_| open);
        let event = self.events.keys().next().copied();
        match (timer, event) {
            (None, None) => return false,
            (Some((at, daemon)), event) if event.is_none_or(|key| at < key.0) => {
                self.now = self.now.max(at);
                let rig = &mut self.rigs[daemon];
                rig.advance(at.since(rig.now));
                self.handle_outputs(daemon);
            }
            (_, Some(key)) => {
                self.now = self.now.max(key.0);
                if let Some(event) = self.events.remove(&key) {
                    self.handle(event);
                }
            }
            (Some(_), None) => return false,
        }
        true
    }

    fn next_timer(&self) -> Option<(Time, usize)> {
        let rigs = self.rigs.iter().zip(&self.paused_until).enumerate();
        rigs.filter_map(|(index, (rig, paused_until))| {
            Some((rig.next_due()?.max(*paused_until), index))
        })
        .min()
    }

    /// Returns the time that an event has to wait if its daemon is paused.
    fn remaining_pause(&self, event: &Event) -> Option<Span> {
        let daemon = match event {
            Event::Send { daemon, .. } => *daemon,
            Event::CallerGone((daemon, ..)) => *daemon,
            Event::Runner(daemon, ..) | Event::Platform(daemon, ..) => *daemon,
            Event::DaemonFault(..) | Event::EndIsolation(_) | Event::EndOutage => return None,
        };
        let until = self.paused_until[daemon];
        (until > self.now).then(|| until.since(self.now))
    }

    fn handle(&mut self, event: Event) {
        if let Some(wait) = self.remaining_pause(&event) {
            self.schedule(wait, event);
            return;
        }
        match event {
            Event::Send { request, daemon } => self.send(request, daemon),
            Event::CallerGone(call_ref) => self.on_caller_gone(call_ref),
            Event::Runner(daemon, incarnation, input) if self.is_current(daemon, incarnation) => {
                self.rig_at(daemon).runner_event(input);
                self.handle_outputs(daemon);
            }
            Event::Platform(daemon, incarnation, input) if self.is_current(daemon, incarnation) => {
                let (id, answer) = match input {
                    PlatformInput::Answered { id, answer } => (id, Some(answer)),
                    PlatformInput::Failed { id } => (id, None),
                    _ => return,
                };
                self.rig_at(daemon).platform_answer(id, answer);
                self.handle_outputs(daemon);
            }
            Event::Runner(..) | Event::Platform(..) => {}
            Event::DaemonFault(daemon, fault) => self.inject_fault(daemon, fault),
            Event::EndIsolation(daemon) => self.rigs[daemon].platform_reachable = true,
            Event::EndOutage => self.kv.fault = Fault::None,
        }
    }

    fn inject_fault(&mut self, daemon: usize, fault: DaemonFault) {
        match fault {
            DaemonFault::Pause(ms) => self.paused_until[daemon] = self.now + Span::from_millis(ms),
            DaemonFault::Restart => self.restart(daemon),
            DaemonFault::Outage(ms) => {
                self.kv.fault = Fault::Refuses;
                self.schedule(Span::from_millis(ms), Event::EndOutage);
            }
            DaemonFault::LostAnswers(count) => self.kv.answers_to_lose += count,
            DaemonFault::Isolated(ms) => {
                self.rigs[daemon].platform_reachable = false;
                self.schedule(Span::from_millis(ms), Event::EndIsolation(daemon));
            }
        }
    }

    /// Replaces a daemon by its next incarnation; calls that were open on it are abandoned.
    fn restart(&mut self, daemon: usize) {
        let incarnation = self.rigs[daemon].me.incarnation.0;
        for (call_ref, observed) in &mut self.observed {
            if call_ref.0 == daemon && call_ref.1 == incarnation && observed.endings.is_empty() {
                observed.abandoned = true;
            }
        }
        self.rigs[daemon] = self.new_rig(daemon, incarnation + 1);
        let broken: Vec<(AttemptRef, CallRef)> = self
            .relays
            .iter()
            .map(|(from, to)| (*from, *to))
            .filter(|(_, to)| to.0 == daemon && to.1 == incarnation)
            .collect();
        for ((from, incarnation, attempt), _) in broken {
            let failure = Failure::Unknown;
            let input = RunnerInput::Failed { attempt, failure };
            self.schedule(HOP_DELAY, Event::Runner(from, incarnation, input));
        }
        for other in (0..self.plan.daemons).filter(|other| *other != daemon) {
            self.rigs[other].put_daemon(daemon as u16 + 1, incarnation + 1);
        }
    }

    fn is_current(&self, daemon: usize, incarnation: u64) -> bool {
        self.rigs[daemon].me.incarnation.0 == incarnation
    }

    /// Returns a daemon, with its clock advanced to the current time.
    fn rig_at(&mut self, daemon: usize) -> &mut Rig {
        let rig = &mut self.rigs[daemon];
        rig.now = rig.now.max(self.now);
        rig
    }

    fn send(&mut self, request: usize, daemon: usize) {
        let planned = self.plan.requests[request].clone();
        let call_request = self.call_request(request, &planned);
        let observed = Observed {
            request,
            ..Observed::default()
        };
        let call_ref = self.call(daemon, call_request, observed);
        self.outcome.sent += 1;
        if let Some(after) = planned.gone_after {
            self.schedule(Span::from_millis(after), Event::CallerGone(call_ref));
        }
    }

    fn call(&mut self, daemon: usize, call_request: CallRequest, observed: Observed) -> CallRef {
        let rig = self.rig_at(daemon);
        let call_ref = (daemon, rig.me.incarnation.0, rig.next_call());
        self.observed.insert(call_ref, observed);
        self.rig_at(daemon).call(call_request);
        self.handle_outputs(daemon);
        call_ref
    }

    fn call_request(&mut self, request: usize, planned: &Request) -> CallRequest {
        let mut call_request = match planned.kind {
            RequestKind::Stream => model_call("m"),
            RequestKind::Lookup => service_call("lookup"),
            RequestKind::Ticketed(_) | RequestKind::Keyed | RequestKind::Plain => {
                service_call("invoices")
            }
        };
        call_request.deadline = Some(planned.deadline);
        match planned.kind {
            RequestKind::Ticketed(daemon) => {
                call_request.ticket = Some(self.ticket(request, daemon))
            }
            RequestKind::Keyed => {
                call_request.idempotency_key = Some(format!("key-{request}").into())
            }
            RequestKind::Stream | RequestKind::Lookup | RequestKind::Plain => {}
        }
        call_request
    }

    fn ticket(&mut self, request: usize, daemon: usize) -> Ticket {
        if let Some(held) = self.tickets.get(&request) {
            return held.clone();
        }
        let mut issued = None;
        let rig = self.rig_at(daemon % self.plan.daemons);
        rig.with(|_, ctx| issued = Some(ticket::issue(ctx, &"clerk".into())));
        let issued = issued.expect("ticket is issued");
        self.tickets.insert(request, issued.clone());
        issued
    }

    fn on_caller_gone(&mut self, call_ref: CallRef) {
        let (daemon, incarnation, call) = call_ref;
        if let Some(observed) = self.observed.get_mut(&call_ref) {
            observed.abandoned = true;
        }
        if self.is_current(daemon, incarnation) {
            self.rig_at(daemon).caller_gone(call);
            self.handle_outputs(daemon);
        }
    }

    /// Carries out the outputs of a daemon.
    fn handle_outputs(&mut self, daemon: usize) {
        let incarnation = self.rigs[daemon].me.incarnation.0;
        for output in std::mem::take(&mut self.rigs[daemon].outputs) {
            match output {
                Output::Call(output) => self.on_call_output(daemon, incarnation, output),
                Output::Platform { id, call } => {
                    let answer = self.kv.call(self.now, daemon, id, call);
                    if let Some(input) = answer {
                        self.schedule(HOP_DELAY, Event::Platform(daemon, incarnation, input));
                    }
                }
                Output::Runner(RunnerOutput::Cancel { attempt }) => {
                    self.cancelled.insert((daemon, incarnation, attempt));
                    if let Some(call_ref) = self.relays.remove(&(daemon, incarnation, attempt)) {
                        self.schedule(HOP_DELAY, Event::CallerGone(call_ref));
                    }
                }
                Output::Runner(RunnerOutput::Attempt {
                    attempt,
                    call,
                    route,
                    resume_at,
                    ..
                }) => {
                    self.outcome.attempts += 1;
                    self.attempt(
                        (daemon, incarnation, attempt),
                        (daemon, incarnation, call),
                        route,
                        resume_at,
                    );
                }
                _ => {}
            }
        }
    }

    fn on_call_output(&mut self, daemon: usize, incarnation: u64, output: CallOutput) {
        let (call, part, ending) = match output {
            CallOutput::Deliver {
                call,
                payload,
                offset,
                tokens,
            } => (call, Some((payload, offset, tokens)), None),
            CallOutput::End { call, ending } => (call, None, Some(ending)),
            CallOutput::Begin { .. } | CallOutput::Entries { .. } => return,
        };
        let Some(observed) = self.observed.get_mut(&(daemon, incarnation, call)) else {
            return;
        };
        let relayed_for = observed.relayed_for;
        if let Some((payload, offset, tokens)) = part {
            observed.text.push_str(&String::from_utf8_lossy(&payload.0));
            let first = !std::mem::replace(&mut observed.head_sent, true);
            if let Some((from, incarnation, attempt)) = relayed_for {
                if first {
                    let echo = Echo {
                        attempt: Some(attempt),
                        epoch: None,
                    };
                    let input = RunnerInput::Accepted { attempt, echo };
                    self.schedule(HOP_DELAY, Event::Runner(from, incarnation, input));
                }
                let input = RunnerInput::Chunk {
                    attempt,
                    offset,
                    tokens,
                    payload,
                };
                self.schedule(HOP_DELAY, Event::Runner(from, incarnation, input));
            }
        }
        if let Some(ending) = ending {
            self.on_end((daemon, incarnation, call), relayed_for, ending);
        }
    }

    fn on_end(&mut self, call_ref: CallRef, relayed_for: Option<AttemptRef>, ending: Ending) {
        if let Some((from, incarnation, attempt)) = relayed_for {
            let input = match &ending {
                Ending::Complete => RunnerInput::Finished { attempt },
                Ending::Refused { .. } => RunnerInput::Failed {
                    attempt,
                    failure: Failure::Declined,
                },
                Ending::Unknown(_) => RunnerInput::Failed {
                    attempt,
                    failure: Failure::Unknown,
                },
            };
            self.relays.remove(&(from, incarnation, attempt));
            self.schedule(HOP_DELAY, Event::Runner(from, incarnation, input));
        }
        let Some(observed) = self.observed.get_mut(&call_ref) else {
            return;
        };
        if let Ending::Refused { .. } = &ending {
            let request = &self.plan.requests[observed.request];
            let ran_before = self
                .runs
                .get(&observed.request)
                .is_some_and(|runs| *runs > 0);
            let ticket_used = matches!(request.kind, RequestKind::Ticketed(_)) && ran_before;
            self.outcome.false_refusals += u64::from(observed.runs > 0 || ticket_used);
        }
        observed.endings.push(ending);
    }

    /// Delivers an attempt to its runner or daemon, or fails it before, by its script.
    fn attempt(&mut self, from: AttemptRef, call_ref: CallRef, route: Route, resume_at: u32) {
        let Some(observed) = self.observed.get(&call_ref) else {
            return;
        };
        let request = observed.request;
        let count = self.attempt_counts.entry(request).or_default();
        let scripts = &self.plan.requests[request].scripts;
        let script = scripts.get(*count).copied().unwrap_or(AttemptScript::Good);
        *count += 1;
        if let Route::Daemon { daemon, .. } = &route {
            self.outcome.relayed += 1;
            self.relay(from, request, daemon, script);
            return;
        }
        let failure_before_run = match script {
            AttemptScript::NotSent => Some(Failure::NotSent),
            AttemptScript::Declined => Some(Failure::Declined),
            _ => None,
        };
        if let Some(failure) = failure_before_run {
            self.schedule_input(from, HOP_DELAY, |attempt| RunnerInput::Failed {
                attempt,
                failure,
            });
            return;
        }
        *self.runs.entry(request).or_default() += 1;
        self.record_run(call_ref);
        self.respond(from, request, &route, resume_at, script);
    }

    /// Records a run for a call and for the call that it was relayed for.
    fn record_run(&mut self, call_ref: CallRef) {
        let Some(observed) = self.observed.get_mut(&call_ref) else {
            return;
        };
        observed.runs += 1;
        let request = observed.request;
        let Some((from, incarnation, _)) = observed.relayed_for else {
            return;
        };
        let origins = self.observed.iter_mut();
        for (_, observed) in
            origins.filter(|(p, s)| p.0 == from && p.1 == incarnation && s.request == request)
        {
            observed.runs += 1;
        }
    }

    fn relay(
        &mut self,
        from: AttemptRef,
        request: usize,
        daemon: &DaemonName,
        script: AttemptScript,
    ) {
        let target = self.rigs.iter().position(|rig| rig.me.name == *daemon);
        let is_unsent = script == AttemptScript::NotSent;
        let Some(target) = target.filter(|_| !is_unsent) else {
            let failure = Failure::NotSent;
            self.schedule_input(from, HOP_DELAY, |attempt| RunnerInput::Failed {
                attempt,
                failure,
            });
            return;
        };
        let planned = self.plan.requests[request].clone();
        let mut call_request = self.call_request(request, &planned);
        call_request.relayed_by = Some(self.rigs[from.0].me.name.clone());
        let observed = Observed {
            request,
            relayed_for: Some(from),
            ..Observed::default()
        };
        if self.paused_until[target] > self.now {
            return;
        }
        let rig = self.rig_at(target);
        let call_ref = (target, rig.me.incarnation.0, rig.next_call());
        self.relays.insert(from, call_ref);
        self.call(target, call_request, observed);
        if matches!(script, AttemptScript::Cut(_)) {
            self.relays.remove(&from);
            if let Some(observed) = self.observed.get_mut(&call_ref) {
                observed.relayed_for = None;
            }
            self.schedule(HOP_DELAY, Event::CallerGone(call_ref));
            let failure = Failure::Unknown;
            self.schedule_input(from, HOP_DELAY, |attempt| RunnerInput::Failed {
                attempt,
                failure,
            });
        }
    }

    /// Schedules a runner's response to an attempt, by its script.
    fn respond(
        &mut self,
        from: AttemptRef,
        request: usize,
        route: &Route,
        resume_at: u32,
        script: AttemptScript,
    ) {
        let epoch = match route {
            Route::Group { epoch, .. } => Some(*epoch),
            _ => None,
        };
        let delay = match script {
            AttemptScript::Late(ms) => Span::from_millis(ms),
            _ => HOP_DELAY,
        };
        let echoed = match script {
            AttemptScript::WrongAttempt => AttemptId(from.2.0 + 1_000_000),
            _ => from.2,
        };
        let other = usize::from(script == AttemptScript::WrongAttempt);
        match script {
            AttemptScript::Status => {
                let failure = Failure::Status(500);
                self.schedule_input(from, HOP_DELAY, |attempt| RunnerInput::Failed {
                    attempt,
                    failure,
                });
                return;
            }
            AttemptScript::Stall(0) => return,
            AttemptScript::Cut(0) => {
                let failure = Failure::Cut;
                self.schedule_input(from, HOP_DELAY, |attempt| RunnerInput::Failed {
                    attempt,
                    failure,
                });
                return;
            }
            _ => {}
        }
        let echo = Echo {
            attempt: Some(echoed),
            epoch,
        };
        self.schedule_input(from, delay, |attempt| RunnerInput::Accepted {
            attempt,
            echo,
        });
        let is_stream = epoch.is_some();
        let parts = if is_stream { token_count(request) } else { 1 };
        let mut at = delay;
        let first = if is_stream { resume_at } else { 0 };
        for (count, position) in (first..parts).enumerate() {
            at = at + PART_INTERVAL;
            let count = count as u32;
            match script {
                AttemptScript::Cut(limit) if count >= limit || !is_stream => {
                    let failure = Failure::Cut;
                    self.schedule_input(from, at, |attempt| RunnerInput::Failed {
                        attempt,
                        failure,
                    });
                    return;
                }
                AttemptScript::Stall(limit) if count >= limit || !is_stream => return,
                AttemptScript::Gap(limit) if count == limit && position + 1 < parts => continue,
                _ => {}
            }
            let copies = if script == AttemptScript::Repeat(count) && is_stream {
                2
            } else {
                1
            };
            for _ in 0..copies {
                let payload = Payload(part_text(request + other, position).into());
                self.schedule_input(from, at, |attempt| RunnerInput::Chunk {
                    attempt,
                    offset: if is_stream { position } else { 0 },
                    tokens: u32::from(is_stream),
                    payload,
                });
            }
        }
        self.schedule_input(from, at + PART_INTERVAL, |attempt| RunnerInput::Finished {
            attempt,
        });
    }

    fn schedule_input<F>(
        &mut self,
        (daemon, incarnation, attempt): AttemptRef,
        after: Span,
        input: F,
    ) where
        F: FnOnce(AttemptId) -> RunnerInput,
    {
        self.schedule(after, Event::Runner(daemon, incarnation, input(attempt)));
    }

    /// Compares what callers saw with what ran.
    fn evaluate(mut self) -> Outcome {
        let outcome = &mut self.outcome;
        for observed in self.observed.values() {
            let planned = &self.plan.requests[observed.request];
            let parts = if planned.kind == RequestKind::Stream {
                token_count(observed.request)
            } else {
                1
            };
            let whole: String = (0..parts).map(|p| part_text(observed.request, p)).collect();
            let valid = if observed.abandoned {
                observed.endings.len() <= 1
            } else {
                observed.endings.len() == 1
            };
            outcome.wrong_endings += u64::from(!valid);
            outcome.wrong_text += u64::from(!whole.starts_with(&observed.text));
            match observed.endings.first() {
                Some(Ending::Complete) => {
                    outcome.complete += 1;
                    outcome.truncated += u64::from(observed.text != whole);
                }
                Some(Ending::Refused { .. }) => outcome.refused += 1,
                Some(Ending::Unknown(_)) => outcome.unknown += 1,
                None => {}
            }
        }
        for (request, runs) in &self.runs {
            let single_start = !matches!(
                self.plan.requests[*request].kind,
                RequestKind::Stream | RequestKind::Lookup
            );
            outcome.duplicate_runs += u64::from(single_start && *runs > 1);
        }
        self.outcome
    }
}

/// Returns the number of tokens in a request's whole response.
fn token_count(request: usize) -> u32 {
    3 + request as u32 % 6
}

/// Returns the text of one part of a request's response.
fn part_text(request: usize, position: u32) -> String {
    format!("[{request}.{position}]")
}
