//! Compares routing policies under the same simulated load: stale load reports, a
//! straggler at a fifth of the speed, and groups that stop responding halfway
//! through. Prints a table in Markdown.

mod engine;
#[path = "../../tests/request/harness.rs"]
#[allow(dead_code)]
mod harness;

use argh::FromArgs;
use engine::{BLOCK_TOKENS, Engine, Run, StepEvent};
use harness::{Rig, model_call};
use hdrhistogram::Histogram;
use hickoryledge::core::{
    input::{CallRequest, Echo, Failure, Payload, RunnerInput},
    keys::{AttemptId, CallId, Epoch, HostName},
    options::RoutingPolicy,
    output::{CallOutput, Ending, Output, Route, RunnerOutput},
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, HashMap};

/// Number of daemons.
const DAEMONS: usize = 4;
/// Number of engines, each of which is the single host of a group.
const ENGINES: usize = 24;
/// Index of the slow engine.
const STRAGGLER_INDEX: usize = 3;
/// Index of the first engine that stops responding.
const FIRST_FAILED_INDEX: usize = 7;

/// Tokens generated for each request.
const OUTPUT_TOKENS: u32 = 60;

/// Prompt blocks of each request.
const PROMPT_BLOCKS: u64 = 17;

/// Number of distinct prompts, not counting the last block, in the mix with shared prefixes.
const SHARED_PROMPTS: u64 = 96;

/// Time until a connection attempt to a host that doesn't respond fails.
const CONNECT_TIMEOUT: Span = Span::from_secs(1);

/// Time after the load in which calls may still end, in seconds.
const DRAIN_WINDOW_S: u64 = 12;

/// Compares routing policies.
#[derive(FromArgs)]
struct Args {
    /// duration of the load, in seconds
    #[argh(option, default = "30")]
    seconds: u64,
    /// requests per second over all daemons
    #[argh(option, default = "450")]
    rate: u64,
    /// number of groups that stop answering halfway through
    #[argh(option, default = "1")]
    dark: usize,
    /// seed of the random load
    #[argh(option, default = "1")]
    seed: u64,
}

/// Event of the simulation.
enum Event {
    /// A call arrives at a daemon.
    Arrive(usize, CallRequest),
    /// An engine runs a step.
    Step(usize),
    /// An engine takes a load report.
    Snapshot(usize),
    /// A load report of an engine reaches the daemons, or is missing.
    Report(usize, Option<hickoryledge::core::input::LoadReport>),
    /// An event of a runner reaches a daemon.
    Runner(usize, RunnerInput),
    /// The given number of engines stop responding.
    Outage(usize),
}

/// Daemons and engines in virtual time.
struct Simulation {
    /// Harness of each daemon's request handling.
    rigs: Vec<Rig>,
    engines: Vec<Engine>,
    /// Engine index of each host.
    hosts: HashMap<HostName, usize>,
    /// Engine index of each attempt of a daemon.
    attempt_engines: HashMap<(usize, AttemptId), usize>,
    /// Arrival of each call at a daemon.
    arrivals: HashMap<(usize, CallId), Time>,
    /// Time of the last token of each open call.
    token_times: HashMap<(usize, CallId), Time>,
    /// Pending events by time; the number keeps simultaneous ones in order.
    events: BTreeMap<(Time, u64), Event>,
    /// Number of the event that was scheduled last.
    event_number: u64,
    now: Time,
    /// Age of load reports when they reach the daemons.
    report_age: Span,
    /// Times from arrival to the first token.
    first_token: Histogram<u64>,
    /// Times between tokens.
    token_gaps: Histogram<u64>,
    /// Number of calls that were completed.
    complete: u64,
    /// Number of calls that were refused.
    refused: u64,
    /// Number of calls with an unknown outcome.
    unknown: u64,
    /// Number of attempts.
    attempts: u64,
}

impl Simulation {
    fn new(policy: RoutingPolicy, report_age: Span) -> Self {
        let rigs = (0..DAEMONS as u16).map(|index| {
            let mut rig = Rig::for_daemon(index + 1, 1, &[]);
            rig.reports_suspects = true;
            rig.options.routing = policy;
            rig.put_groups("m", &[1; ENGINES]);
            rig
        });
        let engines = (0..ENGINES).map(|_| Engine::default()).collect();
        let name = |index| HostName::from(format!("m-{index}-0"));
        let mut simulation = Self {
            rigs: rigs.collect(),
            engines,
            hosts: (0..ENGINES).map(|index| (name(index), index)).collect(),
            attempt_engines: HashMap::new(),
            arrivals: HashMap::new(),
            token_times: HashMap::new(),
            events: BTreeMap::new(),
            event_number: 0,
            now: Time(1),
            report_age,
            first_token: Histogram::new(3).expect("three significant digits are valid"),
            token_gaps: Histogram::new(3).expect("three significant digits are valid"),
            complete: 0,
            refused: 0,
            unknown: 0,
            attempts: 0,
        };
        simulation.engines[STRAGGLER_INDEX].slow_factor = 5;
        for index in 0..ENGINES {
            simulation.schedule(Span(index as u64 * 250), Event::Step(index));
            simulation.schedule(Span(index as u64 * 4_000), Event::Snapshot(index));
        }
        simulation
    }

    /// Schedules an event after a delay.
    fn schedule(&mut self, delay: Span, event: Event) {
        self.event_number += 1;
        self.events
            .insert((self.now + delay, self.event_number), event);
    }

    /// Runs events and timers in the order of their times, up to `until`.
    fn run(&mut self, until: Time) {
        loop {
            let rigs = self.rigs.iter().enumerate();
            let timer = rigs.filter_map(|(i, rig)| Some((rig.next_due()?, i))).min();
            let next = self.events.keys().next().copied();
            let at = next.map_or(until, |key| key.0);
            if at.min(timer.map_or(until, |t| t.0)) >= until {
                return;
            }
            if let Some((due, daemon)) = timer.filter(|(due, _)| *due < at) {
                self.now = self.now.max(due);
                let rig = &mut self.rigs[daemon];
                rig.advance(due.since(rig.now));
                self.process_outputs(daemon);
            } else if let Some(event) = next.and_then(|key| self.events.remove(&key)) {
                self.now = self.now.max(at);
                self.handle(event);
            }
        }
    }

    /// Returns a daemon's harness, advanced to the current time.
    fn rig(&mut self, daemon: usize) -> &mut Rig {
        let rig = &mut self.rigs[daemon];
        rig.now = rig.now.max(self.now);
        rig
    }

    /// Handles an event.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(daemon, request) => {
                let call = self.rig(daemon).next_call();
                self.arrivals.insert((daemon, call), self.now);
                self.rig(daemon).call(request);
                self.process_outputs(daemon);
            }
            Event::Step(index) => {
                for event in self.engines[index].step(self.now) {
                    self.deliver(event);
                }
                let delay = self.engines[index].step_time();
                self.schedule(delay, Event::Step(index));
            }
            Event::Snapshot(index) => {
                let engine = &self.engines[index];
                let report = (!engine.dead).then(|| engine.load_report(self.report_age));
                self.schedule(self.report_age, Event::Report(index, report));
                let interval = self.report_age.max(Span::from_millis(100));
                self.schedule(interval, Event::Snapshot(index));
            }
            Event::Report(index, report) => {
                let host = HostName::from(format!("m-{index}-0"));
                for daemon in 0..DAEMONS {
                    self.rig(daemon).report_load(host.clone(), report.clone());
                    self.process_outputs(daemon);
                }
            }
            Event::Runner(daemon, input) => {
                self.rig(daemon).runner_event(input);
                self.process_outputs(daemon);
            }
            Event::Outage(count) => {
                let failed = self.engines.iter_mut().skip(FIRST_FAILED_INDEX).take(count);
                failed.for_each(|engine| engine.dead = true);
            }
        }
    }

    /// Delivers the result of an engine's step to the daemon that made the attempt.
    fn deliver(&mut self, event: StepEvent) {
        let (daemon, input) = match event {
            StepEvent::Token(daemon, attempt, offset) => {
                let payload = Payload::default();
                let tokens = 1;
                (
                    daemon,
                    RunnerInput::Chunk {
                        attempt,
                        offset,
                        tokens,
                        payload,
                    },
                )
            }
            StepEvent::Finished(daemon, attempt) => (daemon, RunnerInput::Finished { attempt }),
        };
        self.rig(daemon).runner_event(input);
        self.process_outputs(daemon);
    }

    /// Processes the outputs of a daemon.
    fn process_outputs(&mut self, daemon: usize) {
        for output in std::mem::take(&mut self.rigs[daemon].outputs) {
            match output {
                Output::Call(CallOutput::Deliver { call, .. }) => self.on_token(daemon, call),
                Output::Call(CallOutput::End { call, ending }) => {
                    self.token_times.remove(&(daemon, call));
                    match ending {
                        Ending::Complete => self.complete += 1,
                        Ending::Refused { .. } => self.refused += 1,
                        Ending::Unknown(_) => self.unknown += 1,
                    }
                }
                Output::Runner(RunnerOutput::Cancel { attempt }) => {
                    if let Some(index) = self.attempt_engines.remove(&(daemon, attempt)) {
                        self.engines[index].cancel(daemon, attempt);
                    }
                }
                Output::Runner(RunnerOutput::Attempt {
                    attempt,
                    call,
                    route: Route::Group { host, epoch, .. },
                    resume_at,
                    ..
                }) => self.start_attempt(daemon, attempt, call, &host, epoch, resume_at),
                _ => {}
            }
        }
    }

    /// Records the latency of a token.
    fn on_token(&mut self, daemon: usize, call: CallId) {
        let key = (daemon, call);
        let span = match self.token_times.insert(key, self.now) {
            Some(last) => {
                let _ = self.token_gaps.record(self.now.since(last).0);
                return;
            }
            None => self
                .arrivals
                .get(&key)
                .map(|arrival| self.now.since(*arrival)),
        };
        let _ = self.first_token.record(span.unwrap_or_default().0);
    }

    /// Starts an attempt at an engine, or lets it fail later if the engine doesn't respond.
    fn start_attempt(
        &mut self,
        daemon: usize,
        attempt: AttemptId,
        call: CallId,
        host: &HostName,
        epoch: Epoch,
        resume_at: u32,
    ) {
        self.attempts += 1;
        let index = self.hosts[host];
        if self.engines[index].dead {
            let failure = Failure::NotSent;
            let input = RunnerInput::Failed { attempt, failure };
            self.schedule(CONNECT_TIMEOUT, Event::Runner(daemon, input));
            return;
        }
        self.attempt_engines.insert((daemon, attempt), index);
        let blocks = self.prompt_blocks(daemon, call);
        self.engines[index].enqueue(Run {
            daemon,
            attempt,
            prefill_tokens: PROMPT_BLOCKS as u32 * BLOCK_TOKENS + resume_at,
            prefix: blocks,
            next: resume_at,
            end: OUTPUT_TOKENS,
        });
        let echo = Echo {
            attempt: Some(attempt),
            epoch: Some(epoch),
        };
        self.schedule(
            Span(500),
            Event::Runner(daemon, RunnerInput::Accepted { attempt, echo }),
        );
    }

    /// Returns the blocks of a call's prompt, as its caller sent them.
    fn prompt_blocks(&self, daemon: usize, call: CallId) -> Vec<u64> {
        self.rigs[daemon].prefix(call)
    }
}

/// Draws the blocks of one prompt, of which only the last is unique if the rest is shared.
fn draw_prompt(rng: &mut SmallRng, is_shared: bool) -> Vec<u64> {
    let prompt = if is_shared {
        rng.random_range(0..SHARED_PROMPTS)
    } else {
        rng.random_range(SHARED_PROMPTS..u64::MAX / PROMPT_BLOCKS)
    };
    let mut blocks: Vec<u64> = (0..PROMPT_BLOCKS)
        .map(|i| prompt * PROMPT_BLOCKS + i)
        .collect();
    blocks[PROMPT_BLOCKS as usize - 1] = rng.random();
    blocks
}

/// Schedules calls at exponentially distributed intervals, and the outage halfway through.
fn schedule_load(simulation: &mut Simulation, args: &Args, is_shared: bool) {
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let mut at = 0.0;
    let end = args.seconds as f64 * 1e6;
    while at < end {
        let gap = -(1.0 - rng.random::<f64>()).ln() * 1e6 / args.rate as f64;
        at += gap;
        let request = CallRequest {
            prompt_tokens: PROMPT_BLOCKS as u32 * BLOCK_TOKENS,
            max_tokens: OUTPUT_TOKENS,
            prefix: draw_prompt(&mut rng, is_shared),
            deadline: Some(Span::from_secs(10)),
            ..model_call("m")
        };
        let daemon = rng.random_range(0..DAEMONS);
        simulation.schedule(Span(at as u64), Event::Arrive(daemon, request));
    }
    simulation.schedule(Span::from_secs(args.seconds / 2), Event::Outage(args.dark));
}

fn main() {
    let args: Args = argh::from_env();
    println!(
        "| mix | lag s | policy | first p50 ms | first p95 ms | gap p95 ms | refused % | unknown % | idle % | attempts each |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (mix, is_shared) in [("prefix", true), ("free", false)] {
        for lag_ms in [100, 1_000, 5_000] {
            for policy in [
                RoutingPolicy::Random,
                RoutingPolicy::LeastReported,
                RoutingPolicy::Predicted,
            ] {
                let mut simulation = Simulation::new(policy, Span::from_millis(lag_ms));
                schedule_load(&mut simulation, &args, is_shared);
                simulation.run(Time(args.seconds * 1_000_000));
                let live = simulation.engines.iter().filter(|e| !e.dead);
                let (busy, idle) =
                    live.fold((0, 0), |(b, i), e| (b + e.busy_steps, i + e.idle_steps));
                simulation.run(Time((args.seconds + DRAIN_WINDOW_S) * 1_000_000));
                let sent = (simulation.complete + simulation.refused + simulation.unknown).max(1);
                let percent = |part: u64| part as f64 * 100.0 / sent as f64;
                let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
                println!(
                    "| {mix} | {} | {policy:?} | {:.0} | {:.0} | {:.1} | {:.2} | {:.2} | {:.1} | {:.3} |",
                    lag_ms as f64 / 1e3,
                    ms(&simulation.first_token, 0.5),
                    ms(&simulation.first_token, 0.95),
                    ms(&simulation.token_gaps, 0.95),
                    percent(simulation.refused),
                    percent(simulation.unknown),
                    idle as f64 * 100.0 / (busy + idle).max(1) as f64,
                    simulation.attempts as f64 / sent as f64,
                );
            }
        }
    }
}
