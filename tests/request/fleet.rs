//! Hands a plan to a few daemons, and checks what callers saw against what ran.

use super::{
    harness::{Rig, model_call, service_call},
    plan::{Fate, Kind, Plan, Request, Trouble},
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

/// One way over any connection.
const HOP: Span = Span::from_millis(1);

/// Between two parts of an answer.
const PART: Span = Span::from_millis(20);

/// A call at one run of a daemon.
type Place = (usize, u64, CallId);

/// An attempt by one run of a daemon.
type Try = (usize, u64, AttemptId);

enum Event {
    Send { request: usize, daemon: usize },
    Gone(Place),
    Runner(usize, u64, RunnerInput),
    Platform(usize, u64, PlatformInput),
    Trouble(usize, Trouble),
    Recover(usize),
    Heal,
}

/// What one caller saw.
#[derive(Clone, Debug, Default)]
struct Seen {
    request: usize,
    text: String,
    endings: Vec<Ending>,
    runs: u32,
    /// Whether its daemon died with it open, or its caller went away.
    lost: bool,
    /// The attempt that it is relayed for.
    relayed: Option<Try>,
    begun: bool,
}

/// What came of a plan.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    pub sent: u64,
    pub complete: u64,
    pub refused: u64,
    pub unknown: u64,
    pub attempts: u64,
    /// Attempts that went to another daemon.
    pub relayed: u64,
    /// Refusals of what did run.
    pub false_refusals: u64,
    /// Non-idempotent requests that ran more than once.
    pub duplicate_runs: u64,
    /// Answers with a gap, a repeat or another's text.
    pub wrong_text: u64,
    /// Parts of answers that were passed off as whole.
    pub truncated: u64,
    /// Calls without an ending, or with several.
    pub wrong_endings: u64,
}

impl Outcome {
    /// Whether everything that must hold does.
    pub fn has_no_violations(&self) -> bool {
        let bad = [
            self.false_refusals,
            self.duplicate_runs,
            self.wrong_text,
            self.truncated,
            self.wrong_endings,
        ];
        bad == [0; 5]
    }

    /// Adds another plan's outcome.
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

/// A few daemons, their runners and callers.
struct Fleet {
    plan: Plan,
    rigs: Vec<Rig>,
    without: Vec<Mechanism>,
    now: Time,
    kv: FakeKv,
    paused: Vec<Time>,
    events: BTreeMap<(Time, u64), Event>,
    serial: u64,
    tickets: BTreeMap<usize, Ticket>,
    seen: BTreeMap<Place, Seen>,
    /// How often each request was begun.
    runs: BTreeMap<usize, u32>,
    tries: BTreeMap<usize, usize>,
    cancelled: BTreeSet<Try>,
    relays: BTreeMap<Try, Place>,
    outcome: Outcome,
}

/// Runs a plan to its end, and says what came of it.
pub fn run(plan: &Plan, without: &[Mechanism]) -> Outcome {
    let mut fleet = Fleet::new(plan.clone(), without);
    fleet.schedule();
    while fleet.advance() {}
    fleet.judge()
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
            paused: vec![Time(0); daemons],
            events: BTreeMap::new(),
            serial: 0,
            tickets: BTreeMap::new(),
            seen: BTreeMap::new(),
            runs: BTreeMap::new(),
            tries: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            relays: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        for index in 0..daemons {
            let rig = fleet.rig(index, 1);
            fleet.rigs.push(rig);
        }
        fleet
    }

    fn rig(&self, index: usize, incarnation: u64) -> Rig {
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

    fn schedule(&mut self) {
        let mut at = 0;
        for (request, planned) in self.plan.requests.clone().into_iter().enumerate() {
            at += planned.after;
            let single = planned.kind == Kind::Plain;
            let sends = planned.sends.iter().take(if single { 1 } else { 3 });
            for (daemon, after) in sends {
                let daemon = daemon % self.plan.daemons;
                let after = Span::from_millis(at + after);
                self.later(after, Event::Send { request, daemon });
            }
        }
        for (at, daemon, trouble) in self.plan.troubles.clone() {
            let daemon = daemon % self.plan.daemons;
            self.later(Span::from_millis(at), Event::Trouble(daemon, trouble));
        }
    }

    fn later(&mut self, after: Span, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + after, self.serial), event);
    }

    /// Takes what comes next; false once nothing does.
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
                self.collect(daemon);
            }
            (_, Some(key)) => {
                self.now = self.now.max(key.0);
                if let Some(event) = self.events.remove(&key) {
                    self.take(event);
                }
            }
            (Some(_), None) => return false,
        }
        true
    }

    fn next_timer(&self) -> Option<(Time, usize)> {
        let rigs = self.rigs.iter().zip(&self.paused).enumerate();
        rigs.filter_map(|(index, (rig, paused))| Some((rig.next_due()?.max(*paused), index)))
            .min()
    }

    /// The daemon an event is for, if it has to wait for the end of a pause.
    fn waits(&self, event: &Event) -> Option<Span> {
        let daemon = match event {
            Event::Send { daemon, .. } => *daemon,
            Event::Gone((daemon, ..)) => *daemon,
            Event::Runner(daemon, ..) | Event::Platform(daemon, ..) => *daemon,
            Event::Trouble(..) | Event::Recover(_) | Event::Heal => return None,
        };
        let until = self.paused[daemon];
        (until > self.now).then(|| until.since(self.now))
    }

    fn take(&mut self, event: Event) {
        if let Some(wait) = self.waits(&event) {
            self.later(wait, event);
            return;
        }
        match event {
            Event::Send { request, daemon } => self.send(request, daemon),
            Event::Gone(place) => self.gone(place),
            Event::Runner(daemon, run, input) if self.is_run(daemon, run) => {
                self.rig_at(daemon).runner_event(input);
                self.collect(daemon);
            }
            Event::Platform(daemon, run, input) if self.is_run(daemon, run) => {
                let (id, answer) = match input {
                    PlatformInput::Answered { id, answer } => (id, Some(answer)),
                    PlatformInput::Failed { id } => (id, None),
                    _ => return,
                };
                self.rig_at(daemon).platform(id, answer);
                self.collect(daemon);
            }
            Event::Runner(..) | Event::Platform(..) => {}
            Event::Trouble(daemon, trouble) => self.trouble(daemon, trouble),
            Event::Recover(daemon) => self.rigs[daemon].is_heard = true,
            Event::Heal => self.kv.fault = Fault::Nothing,
        }
    }

    fn trouble(&mut self, daemon: usize, trouble: Trouble) {
        match trouble {
            Trouble::Pause(ms) => self.paused[daemon] = self.now + Span::from_millis(ms),
            Trouble::Restart => self.restart(daemon),
            Trouble::Outage(ms) => {
                self.kv.fault = Fault::Refuses;
                self.later(Span::from_millis(ms), Event::Heal);
            }
            Trouble::LostAnswers(count) => self.kv.lose += count,
            Trouble::Deaf(ms) => {
                self.rigs[daemon].is_heard = false;
                self.later(Span::from_millis(ms), Event::Recover(daemon));
            }
        }
    }

    fn restart(&mut self, daemon: usize) {
        let run = self.rigs[daemon].me.incarnation.0;
        for (place, seen) in &mut self.seen {
            if place.0 == daemon && place.1 == run && seen.endings.is_empty() {
                seen.lost = true;
            }
        }
        self.rigs[daemon] = self.rig(daemon, run + 1);
        let broken: Vec<(Try, Place)> = self
            .relays
            .iter()
            .map(|(from, to)| (*from, *to))
            .filter(|(_, to)| to.0 == daemon && to.1 == run)
            .collect();
        for ((from, run, attempt), _) in broken {
            let failure = Failure::Unknown;
            let input = RunnerInput::Failed { attempt, failure };
            self.later(HOP, Event::Runner(from, run, input));
        }
        for other in (0..self.plan.daemons).filter(|other| *other != daemon) {
            self.rigs[other].put_daemon(daemon as u16 + 1, run + 1);
        }
    }

    fn is_run(&self, daemon: usize, run: u64) -> bool {
        self.rigs[daemon].me.incarnation.0 == run
    }

    fn rig_at(&mut self, daemon: usize) -> &mut Rig {
        let rig = &mut self.rigs[daemon];
        rig.now = rig.now.max(self.now);
        rig
    }

    fn send(&mut self, request: usize, daemon: usize) {
        let planned = self.plan.requests[request].clone();
        let asked = self.asked(request, &planned);
        let seen = Seen {
            request,
            ..Seen::default()
        };
        let place = self.call(daemon, asked, seen);
        self.outcome.sent += 1;
        if let Some(after) = planned.gone {
            self.later(Span::from_millis(after), Event::Gone(place));
        }
    }

    fn call(&mut self, daemon: usize, asked: CallRequest, seen: Seen) -> Place {
        let rig = self.rig_at(daemon);
        let place = (daemon, rig.me.incarnation.0, rig.next_call());
        self.seen.insert(place, seen);
        self.rig_at(daemon).call(asked);
        self.collect(daemon);
        place
    }

    fn asked(&mut self, request: usize, planned: &Request) -> CallRequest {
        let mut asked = match planned.kind {
            Kind::Stream => model_call("m"),
            Kind::Lookup => service_call("lookup"),
            Kind::Ticketed(_) | Kind::Keyed | Kind::Plain => service_call("invoices"),
        };
        asked.deadline = Some(planned.deadline);
        match planned.kind {
            Kind::Ticketed(daemon) => asked.ticket = Some(self.ticket(request, daemon)),
            Kind::Keyed => asked.idempotency_key = Some(format!("key-{request}").into()),
            Kind::Stream | Kind::Lookup | Kind::Plain => {}
        }
        asked
    }

    fn ticket(&mut self, request: usize, daemon: usize) -> Ticket {
        if let Some(held) = self.tickets.get(&request) {
            return held.clone();
        }
        let mut drawn = None;
        let rig = self.rig_at(daemon % self.plan.daemons);
        rig.with(|_, ctx| drawn = Some(ticket::issue(ctx, &"clerk".into())));
        let drawn = drawn.expect("ticket is drawn");
        self.tickets.insert(request, drawn.clone());
        drawn
    }

    fn gone(&mut self, place: Place) {
        let (daemon, run, call) = place;
        if let Some(seen) = self.seen.get_mut(&place) {
            seen.lost = true;
        }
        if self.is_run(daemon, run) {
            self.rig_at(daemon).gone(call);
            self.collect(daemon);
        }
    }

    /// Carries out what a daemon asked for.
    fn collect(&mut self, daemon: usize) {
        let run = self.rigs[daemon].me.incarnation.0;
        for output in std::mem::take(&mut self.rigs[daemon].outputs) {
            match output {
                Output::Call(output) => self.on_caller(daemon, run, output),
                Output::Platform { id, call } => {
                    let answer = self.kv.call(self.now, daemon, id, call);
                    if let Some(input) = answer {
                        self.later(HOP, Event::Platform(daemon, run, input));
                    }
                }
                Output::Runner(RunnerOutput::Cancel { attempt }) => {
                    self.cancelled.insert((daemon, run, attempt));
                    if let Some(place) = self.relays.remove(&(daemon, run, attempt)) {
                        self.later(HOP, Event::Gone(place));
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
                        (daemon, run, attempt),
                        (daemon, run, call),
                        route,
                        resume_at,
                    );
                }
                _ => {}
            }
        }
    }

    fn on_caller(&mut self, daemon: usize, run: u64, output: CallOutput) {
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
        let Some(seen) = self.seen.get_mut(&(daemon, run, call)) else {
            return;
        };
        let relayed = seen.relayed;
        if let Some((payload, offset, tokens)) = part {
            seen.text.push_str(&String::from_utf8_lossy(&payload.0));
            let first = !std::mem::replace(&mut seen.begun, true);
            if let Some((from, run, attempt)) = relayed {
                if first {
                    let echo = Echo {
                        attempt: Some(attempt),
                        epoch: None,
                    };
                    let input = RunnerInput::Accepted { attempt, echo };
                    self.later(HOP, Event::Runner(from, run, input));
                }
                let input = RunnerInput::Chunk {
                    attempt,
                    offset,
                    tokens,
                    payload,
                };
                self.later(HOP, Event::Runner(from, run, input));
            }
        }
        if let Some(ending) = ending {
            self.on_end((daemon, run, call), relayed, ending);
        }
    }

    fn on_end(&mut self, place: Place, relayed: Option<Try>, ending: Ending) {
        if let Some((from, run, attempt)) = relayed {
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
            self.relays.remove(&(from, run, attempt));
            self.later(HOP, Event::Runner(from, run, input));
        }
        let Some(seen) = self.seen.get_mut(&place) else {
            return;
        };
        if let Ending::Refused { .. } = &ending {
            let request = &self.plan.requests[seen.request];
            let ran_before = self.runs.get(&seen.request).is_some_and(|runs| *runs > 0);
            let named = matches!(request.kind, Kind::Ticketed(_)) && ran_before;
            self.outcome.false_refusals += u64::from(seen.runs > 0 || named);
        }
        seen.endings.push(ending);
    }

    /// An attempt reaches the other side, or doesn't.
    fn attempt(&mut self, from: Try, place: Place, route: Route, resume_at: u32) {
        let Some(seen) = self.seen.get(&place) else {
            return;
        };
        let request = seen.request;
        let tries = self.tries.entry(request).or_default();
        let fates = &self.plan.requests[request].fates;
        let fate = fates.get(*tries).copied().unwrap_or(Fate::Good);
        *tries += 1;
        if let Route::Daemon { daemon, .. } = &route {
            self.outcome.relayed += 1;
            self.relay(from, request, daemon, fate);
            return;
        }
        let early = match fate {
            Fate::NotSent => Some(Failure::NotSent),
            Fate::Declined => Some(Failure::Declined),
            _ => None,
        };
        if let Some(failure) = early {
            self.answer(from, HOP, |attempt| RunnerInput::Failed {
                attempt,
                failure,
            });
            return;
        }
        *self.runs.entry(request).or_default() += 1;
        self.note_run(place);
        self.respond(from, request, &route, resume_at, fate);
    }

    /// Notes a run for a call, and for the call that it was relayed for.
    fn note_run(&mut self, place: Place) {
        let Some(seen) = self.seen.get_mut(&place) else {
            return;
        };
        seen.runs += 1;
        let request = seen.request;
        let Some((from, run, _)) = seen.relayed else {
            return;
        };
        let origins = self.seen.iter_mut();
        for (_, seen) in origins.filter(|(p, s)| p.0 == from && p.1 == run && s.request == request)
        {
            seen.runs += 1;
        }
    }

    fn relay(&mut self, from: Try, request: usize, daemon: &DaemonName, fate: Fate) {
        let target = self.rigs.iter().position(|rig| rig.me.name == *daemon);
        let is_unsent = fate == Fate::NotSent;
        let Some(target) = target.filter(|_| !is_unsent) else {
            let failure = Failure::NotSent;
            self.answer(from, HOP, |attempt| RunnerInput::Failed {
                attempt,
                failure,
            });
            return;
        };
        let planned = self.plan.requests[request].clone();
        let mut asked = self.asked(request, &planned);
        asked.relayed_by = Some(self.rigs[from.0].me.name.clone());
        let seen = Seen {
            request,
            relayed: Some(from),
            ..Seen::default()
        };
        if self.paused[target] > self.now {
            return;
        }
        let rig = self.rig_at(target);
        let place = (target, rig.me.incarnation.0, rig.next_call());
        self.relays.insert(from, place);
        self.call(target, asked, seen);
        if matches!(fate, Fate::Cut(_)) {
            self.relays.remove(&from);
            if let Some(seen) = self.seen.get_mut(&place) {
                seen.relayed = None;
            }
            self.later(HOP, Event::Gone(place));
            let failure = Failure::Unknown;
            self.answer(from, HOP, |attempt| RunnerInput::Failed {
                attempt,
                failure,
            });
        }
    }

    /// Lets a runner answer an attempt, as its fate says.
    fn respond(&mut self, from: Try, request: usize, route: &Route, resume_at: u32, fate: Fate) {
        let epoch = match route {
            Route::Group { epoch, .. } => Some(*epoch),
            _ => None,
        };
        let delay = match fate {
            Fate::Late(ms) => Span::from_millis(ms),
            _ => HOP,
        };
        let told = match fate {
            Fate::Crossed => AttemptId(from.2.0 + 1_000_000),
            _ => from.2,
        };
        let other = usize::from(fate == Fate::Crossed);
        match fate {
            Fate::Status => {
                let failure = Failure::Status(500);
                self.answer(from, HOP, |attempt| RunnerInput::Failed {
                    attempt,
                    failure,
                });
                return;
            }
            Fate::Stall(0) => return,
            Fate::Cut(0) => {
                let failure = Failure::Cut;
                self.answer(from, HOP, |attempt| RunnerInput::Failed {
                    attempt,
                    failure,
                });
                return;
            }
            _ => {}
        }
        let echo = Echo {
            attempt: Some(told),
            epoch,
        };
        self.answer(from, delay, |attempt| RunnerInput::Accepted {
            attempt,
            echo,
        });
        let is_stream = epoch.is_some();
        let parts = if is_stream { length(request) } else { 1 };
        let mut at = delay;
        let first = if is_stream { resume_at } else { 0 };
        for (count, position) in (first..parts).enumerate() {
            at = at + PART;
            let count = count as u32;
            match fate {
                Fate::Cut(limit) if count >= limit || !is_stream => {
                    let failure = Failure::Cut;
                    self.answer(from, at, |attempt| RunnerInput::Failed { attempt, failure });
                    return;
                }
                Fate::Stall(limit) if count >= limit || !is_stream => return,
                Fate::Gap(limit) if count == limit && position + 1 < parts => continue,
                _ => {}
            }
            let copies = if fate == Fate::Repeat(count) && is_stream {
                2
            } else {
                1
            };
            for _ in 0..copies {
                let payload = Payload(part(request + other, position).into());
                self.answer(from, at, |attempt| RunnerInput::Chunk {
                    attempt,
                    offset: if is_stream { position } else { 0 },
                    tokens: u32::from(is_stream),
                    payload,
                });
            }
        }
        self.answer(from, at + PART, |attempt| RunnerInput::Finished { attempt });
    }

    fn answer<F>(&mut self, (daemon, run, attempt): Try, after: Span, input: F)
    where
        F: FnOnce(AttemptId) -> RunnerInput,
    {
        self.later(after, Event::Runner(daemon, run, input(attempt)));
    }

    /// Holds what callers saw against what ran.
    fn judge(mut self) -> Outcome {
        let outcome = &mut self.outcome;
        for seen in self.seen.values() {
            let planned = &self.plan.requests[seen.request];
            let parts = if planned.kind == Kind::Stream {
                length(seen.request)
            } else {
                1
            };
            let whole: String = (0..parts).map(|p| part(seen.request, p)).collect();
            let right = if seen.lost {
                seen.endings.len() <= 1
            } else {
                seen.endings.len() == 1
            };
            outcome.wrong_endings += u64::from(!right);
            outcome.wrong_text += u64::from(!whole.starts_with(&seen.text));
            match seen.endings.first() {
                Some(Ending::Complete) => {
                    outcome.complete += 1;
                    outcome.truncated += u64::from(seen.text != whole);
                }
                Some(Ending::Refused { .. }) => outcome.refused += 1,
                Some(Ending::Unknown(_)) => outcome.unknown += 1,
                None => {}
            }
        }
        for (request, runs) in &self.runs {
            let once = !matches!(
                self.plan.requests[*request].kind,
                Kind::Stream | Kind::Lookup
            );
            outcome.duplicate_runs += u64::from(once && *runs > 1);
        }
        self.outcome
    }
}

/// Tokens in a request's whole answer.
fn length(request: usize) -> u32 {
    3 + request as u32 % 6
}

fn part(request: usize, position: u32) -> String {
    format!("[{request}.{position}]")
}
