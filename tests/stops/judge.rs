//! Judges each request by what its caller and the runners saw.

use super::{
    config,
    fleet::Fleet,
    options::Options,
    records::{CallEnd, CallRecord, Life},
    runs::{Run, RunEnd},
};
use nix::sys::signal::Signal;
use std::{
    collections::HashMap,
    os::unix::process::ExitStatusExt as _,
    path::PathBuf,
    time::{Duration, Instant},
};

/// Statuses which promise that the request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Time after its last byte within which a request that no runner received may cross the close of
/// its connection.
const CROSSING_TIME: Duration = Duration::from_millis(200);

/// Part of the grace period before which a request counts as sent early.
const EARLY_PART: f64 = 3.0 / 8.0;

/// Part of the grace period after which a request that was sent early may be cut, if its runner is
/// still at work.
const LONG_PART: f64 = 5.0 / 6.0;

/// Verdict on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has a whole response of a runner.
    Served,
    /// It was refused and has not run.
    Refused,
    /// It was not read before its connection was closed.
    Crossed,
    /// Its deadline or the route's timeout had passed.
    Overdue,
    /// The runner broke off.
    BrokenOff,
    /// It was cut late in the grace period although it was sent early; the platform allows that.
    TooLong,
    /// It ended without a whole response.
    Lost,
    /// It was refused with a promise that it has not run, but it has.
    Untruthful,
    /// It ended with a failure of the daemon's own, though no runner had failed.
    Failed,
    /// Its events are not the runner's.
    Garbled,
}

impl Verdict {
    /// Returns true if the request must not end like this.
    pub fn is_fault(self) -> bool {
        match self {
            Verdict::Served
            | Verdict::Refused
            | Verdict::Crossed
            | Verdict::Overdue
            | Verdict::BrokenOff
            | Verdict::TooLong => false,
            Verdict::Lost | Verdict::Untruthful | Verdict::Failed | Verdict::Garbled => true,
        }
    }
}

/// Run of a request, with the name of the runner.
#[derive(Clone, Debug)]
pub struct RunAt {
    /// Name of the runner.
    pub runner: &'static str,
    /// The run.
    pub run: Run,
}

/// Request with its verdict.
pub struct Judged {
    /// The request.
    pub call: CallRecord,
    /// Index of the daemon's life in which it was sent.
    pub life: usize,
    /// Its runs, in the order of their start.
    pub runs: Vec<RunAt>,
    /// Verdict.
    pub verdict: Verdict,
}

/// What a run found.
pub struct Findings {
    /// Seed of the run.
    pub seed: u64,
    /// Time at which the load started.
    pub started: Instant,
    /// Lives of the daemons' processes.
    pub lives: Vec<Life>,
    /// All requests.
    pub calls: Vec<Judged>,
    /// Directory of the daemons' logs.
    pub log_dir: PathBuf,
}

impl Findings {
    /// Returns true if a request or a process ended as it must not.
    pub fn has_faults(&self) -> bool {
        let has_bad_call = self.calls.iter().any(|call| call.verdict.is_fault());
        has_bad_call || self.lives.iter().any(ended_wrongly)
    }
}

/// Returns true if a process ended without a SIGTERM, or by a signal that it should have handled.
pub fn ended_wrongly(life: &Life) -> bool {
    let Some((_, status)) = life.end else {
        return false;
    };
    let is_clean = status.success() || status.signal() == Some(Signal::SIGKILL as i32);
    life.stop().is_none() || !is_clean
}

/// Judges all requests of a run.
pub fn judge(fleet: &Fleet, calls: Vec<CallRecord>, options: &Options) -> Findings {
    let lives = fleet.lives();
    let mut runs = runs_by_id(fleet);
    let judged = calls.into_iter().map(|call| {
        let runs = runs.remove(&call.id).unwrap_or_default();
        let life = life_of(&lives, &call);
        let verdict = verdict(&call, &lives[life], &runs, options.grace);
        Judged {
            call,
            life,
            runs,
            verdict,
        }
    });
    Findings {
        seed: fleet.seed,
        started: fleet.started,
        calls: judged.collect(),
        lives,
        log_dir: fleet.log_dir().to_owned(),
    }
}

fn runs_by_id(fleet: &Fleet) -> HashMap<String, Vec<RunAt>> {
    let mut found: HashMap<String, Vec<RunAt>> = HashMap::new();
    for runner in fleet.runners() {
        for run in runner.runs() {
            let runs = found.entry(run.id.clone()).or_default();
            runs.push(RunAt {
                runner: runner.name,
                run,
            });
        }
    }
    for runs in found.values_mut() {
        runs.sort_by_key(|at| at.run.started);
    }
    found
}

/// Returns the index of the life in which a request was sent.
fn life_of(lives: &[Life], call: &CallRecord) -> usize {
    let is_before = |life: &Life| life.daemon == call.daemon && life.started <= call.begun;
    let last = lives.iter().rposition(is_before);
    last.expect("the daemon was started before the request")
}

fn verdict(call: &CallRecord, life: &Life, runs: &[RunAt], grace: Duration) -> Verdict {
    match call.end {
        CallEnd::Whole if call.status == 200 => match is_in_order(call) {
            true => Verdict::Served,
            false => Verdict::Garbled,
        },
        CallEnd::Whole if PROMISES.contains(&call.status) => match runs.is_empty() {
            true => Verdict::Refused,
            false => Verdict::Untruthful,
        },
        CallEnd::Whole => excuse(call, life, runs, grace).unwrap_or(Verdict::Failed),
        CallEnd::Cut | CallEnd::GivenUp => excuse(call, life, runs, grace).unwrap_or(Verdict::Lost),
    }
}

/// Returns true if the events are those that the runner was asked for.
fn is_in_order(call: &CallRecord) -> bool {
    call.events.iter().copied().eq(1..=call.last_event)
}

/// Returns the reason for which a request may end without a response, if there is one.
fn excuse(call: &CallRecord, life: &Life, runs: &[RunAt], grace: Duration) -> Option<Verdict> {
    let timeout = Duration::from_millis(config::TIMEOUT_MS).min(call.deadline);
    if call.end == CallEnd::GivenUp {
        return None;
    }
    if call.ended - call.begun >= timeout {
        return Some(Verdict::Overdue);
    }
    let ends = runs.iter().filter_map(|at| at.run.end);
    if ends.clone().any(|(_, end)| end == RunEnd::BrokenOff) {
        return Some(Verdict::BrokenOff);
    }
    if call.end == CallEnd::Whole {
        return None;
    }
    let is_unread = runs.is_empty() && call.status == 0;
    if is_unread && call.ended - call.sent <= CROSSING_TIME {
        return Some(Verdict::Crossed);
    }
    let stop = life.stop()?;
    let is_early = call.sent <= stop + grace.mul_f64(EARLY_PART);
    let late = stop + grace.mul_f64(LONG_PART);
    let is_at_work = ends.map(|(at, _)| at).any(|at| at >= late);
    (is_early && is_at_work && call.ended >= late).then_some(Verdict::TooLong)
}
