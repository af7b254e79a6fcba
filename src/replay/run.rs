//! Replays a trace and checks the outputs against it.

use std::fmt;

use serde_json::Value;

use super::{
    format::{DaemonHeader, Line, OutputPattern, Trace},
    pattern::{Bindings, matches},
};
use crate::{
    core::{Core, input::Input, options::Mechanism, output::Output, time::Time},
    timers::Timers,
};

/// First line of a trace that differs from the replay.
#[derive(Clone, Debug, PartialEq)]
pub struct Divergence {
    /// Line number, from 1.
    pub line: usize,
    /// Description of the difference.
    pub reason: String,
}

impl std::error::Error for Divergence {}

impl fmt::Display for Divergence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

/// Result of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayResult {
    /// Inputs replayed.
    pub inputs: usize,
    /// Checks that were evaluated.
    pub checks: usize,
    /// Outputs as JSON lines, each with its time and daemon.
    pub outputs: Vec<String>,
    /// First line that differs from the replay.
    pub divergence: Option<Divergence>,
}

/// Replays a trace. Tests can disable mechanisms with `without`.
pub fn replay(trace: &Trace, without: &[Mechanism]) -> ReplayResult {
    let mut replayer = Replayer::new(trace, without, |_, _: &Core, _: &Input, _: &[Output]| {});
    replayer.result.divergence = replayer.replay_all(trace).err();
    replayer.result
}

/// Replays a trace and passes the time, core, input and outputs of each step to `observer`.
///
/// # Errors
///
/// Fails with the first line that differs from the replay.
pub fn replay_with<F>(trace: &Trace, observer: F) -> Result<(), Divergence>
where
    F: FnMut(Time, &Core, &Input, &[Output]),
{
    Replayer::new(trace, &[], observer).replay_all(trace)
}

/// Daemon that is replayed.
struct Daemon {
    core: Core,
    timers: Timers,
}

impl Daemon {
    fn new(header: &DaemonHeader, without: &[Mechanism]) -> Self {
        let mut options = header.options.clone();
        options.without.extend_from_slice(without);
        Self {
            core: Core::new(header.identity.clone(), options, header.seed),
            timers: Timers::default(),
        }
    }
}

/// State of a replay.
struct Replayer<F> {
    observer: F,
    daemons: Vec<Daemon>,
    auto_timers: bool,
    bindings: Bindings,
    now: Time,
    /// Outputs since the last input line.
    recent_outputs: Vec<Value>,
    all_outputs: Vec<Value>,
    /// Patterns that no further output may match, with the numbers of their lines.
    forbidden: Vec<(usize, Value)>,
    result: ReplayResult,
}

impl<F> Replayer<F>
where
    F: FnMut(Time, &Core, &Input, &[Output]),
{
    fn new(trace: &Trace, without: &[Mechanism], observer: F) -> Self {
        let headers = trace.header.daemons.iter();
        Self {
            observer,
            daemons: headers.map(|header| Daemon::new(header, without)).collect(),
            auto_timers: trace.header.auto_timers,
            bindings: Bindings::default(),
            now: Time::default(),
            recent_outputs: Vec::new(),
            all_outputs: Vec::new(),
            forbidden: Vec::new(),
            result: ReplayResult::default(),
        }
    }

    fn replay_all(&mut self, trace: &Trace) -> Result<(), Divergence> {
        for (number, line) in &trace.lines {
            self.replay_line(*number, line)
                .map_err(|reason| Divergence {
                    line: *number,
                    reason,
                })?;
        }
        Ok(())
    }

    fn replay_line(&mut self, number: usize, line: &Line) -> Result<(), String> {
        match line {
            Line::Input { at, daemon, event } => self.apply_input(*at, *daemon, event),
            Line::Expect(check) => self.check_expect(check),
            Line::Reject(check) => self.check_reject(check),
            Line::Never(check) => self.add_forbidden(number, check),
            Line::Count { output, is } => self.check_count(output, *is),
        }
    }

    fn apply_input(&mut self, at: Time, daemon: usize, event: &Value) -> Result<(), String> {
        if at < self.now {
            return Err(format!(
                "time {} is before the time of the previous input",
                at.0
            ));
        }
        if daemon >= self.daemons.len() {
            return Err(format!("daemon {daemon} is not in the header"));
        }
        let event = self.substitute(event)?;
        let event: Input = serde_json::from_value(event).map_err(|error| error.to_string())?;
        self.recent_outputs.clear();
        if self.auto_timers {
            self.fire_timers(at)?;
        }
        self.now = at;
        self.result.inputs += 1;
        self.step(daemon, event)
    }

    /// Delivers the timers of all daemons that are due up to a time, in order of their due times.
    fn fire_timers(&mut self, until: Time) -> Result<(), String> {
        while let Some((at, index)) = self.next_timer().filter(|(at, _)| *at <= until) {
            self.now = self.now.max(at);
            if let Some(timer) = self.daemons[index].timers.pop_due(at) {
                self.step(index, Input::Timer(timer))?;
            }
        }
        Ok(())
    }

    /// Returns the earliest due time and the index of its daemon.
    fn next_timer(&mut self) -> Option<(Time, usize)> {
        let daemons = self.daemons.iter_mut().enumerate();
        daemons
            .filter_map(|(index, daemon)| Some((daemon.timers.next_due()?, index)))
            .min()
    }

    /// Passes one input to a daemon's core and collects its outputs.
    fn step(&mut self, index: usize, event: Input) -> Result<(), String> {
        let daemon = &mut self.daemons[index];
        let mut out = Vec::new();
        daemon.core.step(self.now, event.clone(), &mut out);
        (self.observer)(self.now, &daemon.core, &event, &out);
        for output in out {
            if let Output::SetTimer { timer, at } = &output {
                daemon.timers.set(timer.clone(), *at);
            }
            let value = serde_json::to_value(&output).map_err(|error| error.to_string())?;
            let line = serde_json::json!({"at": self.now, "daemon": index, "output": value});
            self.result.outputs.push(line.to_string());
            if let Some((number, _)) = self
                .forbidden
                .iter()
                .find(|(_, pattern)| matches(pattern, &value))
            {
                return Err(format!("line {number} forbids the output {value}"));
            }
            self.recent_outputs.push(value.clone());
            self.all_outputs.push(value);
        }
        Ok(())
    }

    fn check_expect(&mut self, check: &OutputPattern) -> Result<(), String> {
        self.result.checks += 1;
        let pattern = self.substitute(&check.output)?;
        let Some(found) = self
            .recent_outputs
            .iter()
            .find(|value| matches(&pattern, value))
        else {
            return Err(format!(
                "expected {pattern}, but got {}",
                self.describe_recent()
            ));
        };
        self.bindings
            .bind(found, &check.bind)
            .map_err(|pointer| format!("no value at {pointer} in {found}"))
    }

    fn check_reject(&mut self, check: &OutputPattern) -> Result<(), String> {
        self.result.checks += 1;
        let pattern = self.substitute(&check.output)?;
        match self
            .recent_outputs
            .iter()
            .find(|value| matches(&pattern, value))
        {
            Some(found) => Err(format!("unexpected output {found}")),
            None => Ok(()),
        }
    }

    fn add_forbidden(&mut self, number: usize, check: &OutputPattern) -> Result<(), String> {
        self.result.checks += 1;
        let pattern = self.substitute(&check.output)?;
        self.forbidden.push((number, pattern));
        Ok(())
    }

    fn check_count(&mut self, pattern: &Value, is: usize) -> Result<(), String> {
        self.result.checks += 1;
        let pattern = self.substitute(pattern)?;
        let found = self
            .all_outputs
            .iter()
            .filter(|value| matches(&pattern, value))
            .count();
        if found == is {
            return Ok(());
        }
        Err(format!("{found} outputs match {pattern}, expected {is}"))
    }

    fn substitute(&self, value: &Value) -> Result<Value, String> {
        self.bindings
            .substitute(value)
            .map_err(|name| format!("the name ${name} is not bound"))
    }

    /// Lists the outputs since the last input line, except timers, for an error message.
    fn describe_recent(&self) -> String {
        let outputs: Vec<String> = self
            .recent_outputs
            .iter()
            .filter(|value| value.get("set_timer").is_none())
            .map(Value::to_string)
            .collect();
        match outputs.is_empty() {
            true => "no output".to_owned(),
            false => outputs.join(", "),
        }
    }
}
