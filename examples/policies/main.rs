//! Compares routing policies on the same load: late reports, one straggler at
//! a fifth of the speed, and one group that goes dark in the middle. Prints a
//! table in Markdown.

mod engine;
#[path = "../../tests/request/harness.rs"]
#[allow(dead_code)]
mod harness;

use argh::FromArgs;
use engine::{BLOCK, Emitted, Engine, Run};
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

const DAEMONS: usize = 4;
const ENGINES: usize = 24;
const STRAGGLER: usize = 3;
const LOST: usize = 7;

/// Tokens generated for each request.
const OUTPUT: u32 = 60;

/// Prompt blocks of each request.
const BLOCKS: u64 = 17;

/// Prompts that are shared but for their last block, in the prefix-heavy mix.
const SHARED: u64 = 96;

/// How long a connection to a dark host takes to fail.
const CONNECT: Span = Span::from_secs(1);

/// Seconds after the load in which calls may still end.
const DRAIN: u64 = 12;

/// Compares routing policies.
#[derive(FromArgs)]
struct Args {
    /// length of the load in seconds
    #[argh(option, default = "30")]
    seconds: u64,
    /// requests a second over all daemons
    #[argh(option, default = "450")]
    rate: u64,
    /// groups that go dark in the middle
    #[argh(option, default = "1")]
    dark: usize,
    /// what the load is drawn from
    #[argh(option, default = "1")]
    seed: u64,
}

enum Event {
    Arrive(usize, CallRequest),
    Step(usize),
    Snapshot(usize),
    Report(usize, Option<hickoryledge::core::input::LoadReport>),
    Runner(usize, RunnerInput),
    Dark(usize),
}

struct Bench {
    rigs: Vec<Rig>,
    engines: Vec<Engine>,
    hosts: HashMap<HostName, usize>,
    placed: HashMap<(usize, AttemptId), usize>,
    began: HashMap<(usize, CallId), Time>,
    last: HashMap<(usize, CallId), Time>,
    events: BTreeMap<(Time, u64), Event>,
    serial: u64,
    now: Time,
    lag: Span,
    first: Histogram<u64>,
    gaps: Histogram<u64>,
    complete: u64,
    refused: u64,
    unknown: u64,
    attempts: u64,
}

impl Bench {
    fn new(policy: RoutingPolicy, lag: Span) -> Self {
        let rigs = (0..DAEMONS as u16).map(|index| {
            let mut rig = Rig::for_daemon(index + 1, 1, &[]);
            rig.reports_suspects = true;
            rig.options.routing = policy;
            rig.put_groups("m", &[1; ENGINES]);
            rig
        });
        let engines = (0..ENGINES).map(|_| Engine::default()).collect();
        let name = |index| HostName::from(format!("m-{index}-0"));
        let mut bench = Self {
            rigs: rigs.collect(),
            engines,
            hosts: (0..ENGINES).map(|index| (name(index), index)).collect(),
            placed: HashMap::new(),
            began: HashMap::new(),
            last: HashMap::new(),
            events: BTreeMap::new(),
            serial: 0,
            now: Time(1),
            lag,
            first: Histogram::new(3).expect("histogram"),
            gaps: Histogram::new(3).expect("histogram"),
            complete: 0,
            refused: 0,
            unknown: 0,
            attempts: 0,
        };
        bench.engines[STRAGGLER].slow = 5;
        for index in 0..ENGINES {
            bench.later(Span(index as u64 * 250), Event::Step(index));
            bench.later(Span(index as u64 * 4_000), Event::Snapshot(index));
        }
        bench
    }

    fn later(&mut self, after: Span, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + after, self.serial), event);
    }

    fn run(&mut self, until: Time) {
        loop {
            let due = self.rigs.iter().enumerate();
            let timer = due.filter_map(|(i, rig)| Some((rig.next_due()?, i))).min();
            let next = self.events.keys().next().copied();
            let at = next.map_or(until, |key| key.0);
            if at.min(timer.map_or(until, |t| t.0)) >= until {
                return;
            }
            if let Some((due, daemon)) = timer.filter(|(due, _)| *due < at) {
                self.now = self.now.max(due);
                let rig = &mut self.rigs[daemon];
                rig.advance(due.since(rig.now));
                self.collect(daemon);
            } else if let Some(event) = next.and_then(|key| self.events.remove(&key)) {
                self.now = self.now.max(at);
                self.take(event);
            }
        }
    }

    fn rig(&mut self, daemon: usize) -> &mut Rig {
        let rig = &mut self.rigs[daemon];
        rig.now = rig.now.max(self.now);
        rig
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(daemon, request) => {
                let call = self.rig(daemon).next_call();
                self.began.insert((daemon, call), self.now);
                self.rig(daemon).call(request);
                self.collect(daemon);
            }
            Event::Step(index) => {
                for emitted in self.engines[index].step(self.now) {
                    self.emit(emitted);
                }
                let after = self.engines[index].step_time();
                self.later(after, Event::Step(index));
            }
            Event::Snapshot(index) => {
                let engine = &self.engines[index];
                let report = (!engine.dead).then(|| engine.load(self.lag));
                self.later(self.lag, Event::Report(index, report));
                let every = self.lag.max(Span::from_millis(100));
                self.later(every, Event::Snapshot(index));
            }
            Event::Report(index, report) => {
                let host = HostName::from(format!("m-{index}-0"));
                for daemon in 0..DAEMONS {
                    self.rig(daemon).report_load(host.clone(), report.clone());
                    self.collect(daemon);
                }
            }
            Event::Runner(daemon, input) => {
                self.rig(daemon).runner_event(input);
                self.collect(daemon);
            }
            Event::Dark(count) => {
                let lost = self.engines.iter_mut().skip(LOST).take(count);
                lost.for_each(|engine| engine.dead = true);
            }
        }
    }

    fn emit(&mut self, emitted: Emitted) {
        let (daemon, input) = match emitted {
            Emitted::Token(daemon, attempt, offset) => {
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
            Emitted::Done(daemon, attempt) => (daemon, RunnerInput::Finished { attempt }),
        };
        self.rig(daemon).runner_event(input);
        self.collect(daemon);
    }

    fn collect(&mut self, daemon: usize) {
        for output in std::mem::take(&mut self.rigs[daemon].outputs) {
            match output {
                Output::Call(CallOutput::Deliver { call, .. }) => self.on_token(daemon, call),
                Output::Call(CallOutput::End { call, ending }) => {
                    self.last.remove(&(daemon, call));
                    match ending {
                        Ending::Complete => self.complete += 1,
                        Ending::Refused { .. } => self.refused += 1,
                        Ending::Unknown(_) => self.unknown += 1,
                    }
                }
                Output::Runner(RunnerOutput::Cancel { attempt }) => {
                    if let Some(index) = self.placed.remove(&(daemon, attempt)) {
                        self.engines[index].cancel(daemon, attempt);
                    }
                }
                Output::Runner(RunnerOutput::Attempt {
                    attempt,
                    call,
                    route: Route::Group { host, epoch, .. },
                    resume_at,
                    ..
                }) => self.attempt(daemon, attempt, call, &host, epoch, resume_at),
                _ => {}
            }
        }
    }

    fn on_token(&mut self, daemon: usize, call: CallId) {
        let key = (daemon, call);
        let span = match self.last.insert(key, self.now) {
            Some(last) => {
                let _ = self.gaps.record(self.now.since(last).0);
                return;
            }
            None => self.began.get(&key).map(|began| self.now.since(*began)),
        };
        let _ = self.first.record(span.unwrap_or_default().0);
    }

    fn attempt(
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
            self.later(CONNECT, Event::Runner(daemon, input));
            return;
        }
        self.placed.insert((daemon, attempt), index);
        let prompt = self.prompts(daemon, call);
        self.engines[index].take(Run {
            daemon,
            attempt,
            prompt: BLOCKS as u32 * BLOCK + resume_at,
            prefix: prompt,
            next: resume_at,
            end: OUTPUT,
        });
        let echo = Echo {
            attempt: Some(attempt),
            epoch: Some(epoch),
        };
        self.later(
            Span(500),
            Event::Runner(daemon, RunnerInput::Accepted { attempt, echo }),
        );
    }

    /// The blocks of a call's prompt, as its caller sent them.
    fn prompts(&self, daemon: usize, call: CallId) -> Vec<u64> {
        self.rigs[daemon].prefix(call)
    }
}

/// The blocks of one prompt.
fn prompt(rng: &mut SmallRng, is_shared: bool) -> Vec<u64> {
    let family = if is_shared {
        rng.random_range(0..SHARED)
    } else {
        rng.random_range(SHARED..u64::MAX / BLOCKS)
    };
    let mut blocks: Vec<u64> = (0..BLOCKS).map(|i| family * BLOCKS + i).collect();
    blocks[BLOCKS as usize - 1] = rng.random();
    blocks
}

fn schedule(bench: &mut Bench, args: &Args, is_shared: bool) {
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let mut at = 0.0;
    let end = args.seconds as f64 * 1e6;
    while at < end {
        let gap = -(1.0 - rng.random::<f64>()).ln() * 1e6 / args.rate as f64;
        at += gap;
        let request = CallRequest {
            prompt_tokens: BLOCKS as u32 * BLOCK,
            max_tokens: OUTPUT,
            prefix: prompt(&mut rng, is_shared),
            deadline: Some(Span::from_secs(10)),
            ..model_call("m")
        };
        let daemon = rng.random_range(0..DAEMONS);
        bench.later(Span(at as u64), Event::Arrive(daemon, request));
    }
    bench.later(Span::from_secs(args.seconds / 2), Event::Dark(args.dark));
}

fn main() {
    let args: Args = argh::from_env();
    println!(
        "| mix | lag s | policy | first p50 ms | first p95 ms | gap p95 ms | refused % | unknown % | idle % | attempts each |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (mix, is_shared) in [("prefix", true), ("free", false)] {
        for lag in [100, 1_000, 5_000] {
            for policy in [
                RoutingPolicy::Random,
                RoutingPolicy::LeastReported,
                RoutingPolicy::Predicted,
            ] {
                let mut bench = Bench::new(policy, Span::from_millis(lag));
                schedule(&mut bench, &args, is_shared);
                bench.run(Time(args.seconds * 1_000_000));
                let live = bench.engines.iter().filter(|e| !e.dead);
                let (busy, idle) = live.fold((0, 0), |(b, i), e| (b + e.busy, i + e.idle));
                bench.run(Time((args.seconds + DRAIN) * 1_000_000));
                let sent = (bench.complete + bench.refused + bench.unknown).max(1);
                let share = |part: u64| part as f64 * 100.0 / sent as f64;
                let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
                println!(
                    "| {mix} | {} | {policy:?} | {:.0} | {:.0} | {:.1} | {:.2} | {:.2} | {:.1} | {:.3} |",
                    lag as f64 / 1e3,
                    ms(&bench.first, 0.5),
                    ms(&bench.first, 0.95),
                    ms(&bench.gaps, 0.95),
                    share(bench.refused),
                    share(bench.unknown),
                    idle as f64 * 100.0 / (busy + idle).max(1) as f64,
                    bench.attempts as f64 / sent as f64,
                );
            }
        }
    }
}
