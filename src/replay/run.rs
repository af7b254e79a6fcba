//! Replaying a trace and checking its stated outcomes.

use std::fmt;

use serde_json::Value;

use super::{
    format::{DaemonHeader, Line, Outcome, Trace},
    pattern::{Names, matches},
};
use crate::{
    core::{Core, input::Input, options::Mechanism, output::Output, time::Time},
    timers::Timers,
};

/// The first line of a trace that differs from what happened.
#[derive(Clone, Debug, PartialEq)]
pub struct Divergence {
    /// The line's number, from 1.
    pub line: usize,
    /// What differs.
    pub reason: String,
}

impl std::error::Error for Divergence {}

impl fmt::Display for Divergence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

/// What a replay came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Inputs replayed.
    pub inputs: usize,
    /// Stated outcomes checked.
    pub checks: usize,
    /// The outputs, one JSON line each, with time and daemon.
    pub outputs: Vec<String>,
    /// The first line that differs, if one does.
    pub divergence: Option<Divergence>,
}

/// Replays a trace, with mechanisms taken out if a test says so.
pub fn replay(trace: &Trace, without: &[Mechanism]) -> Verdict {
    let mut player = Player::new(trace, without, |_, _: &Core, _: &Input, _: &[Output]| {});
    player.verdict.divergence = player.play_all(trace).err();
    player.verdict
}

/// Replays a trace and shows every step of it to `watch`.
///
/// # Errors
///
/// Stops at the first line that differs from what happened.
pub fn observe<W>(trace: &Trace, watch: W) -> Result<(), Divergence>
where
    W: FnMut(Time, &Core, &Input, &[Output]),
{
    Player::new(trace, &[], watch).play_all(trace)
}

/// One daemon while it is replayed.
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

struct Player<W> {
    watch: W,
    daemons: Vec<Daemon>,
    auto_timers: bool,
    names: Names,
    now: Time,
    /// Outputs since the last input line.
    recent: Vec<Value>,
    all: Vec<Value>,
    never: Vec<(usize, Value)>,
    verdict: Verdict,
}

impl<W> Player<W>
where
    W: FnMut(Time, &Core, &Input, &[Output]),
{
    fn new(trace: &Trace, without: &[Mechanism], watch: W) -> Self {
        let headers = trace.header.daemons.iter();
        Self {
            watch,
            daemons: headers.map(|header| Daemon::new(header, without)).collect(),
            auto_timers: trace.header.auto_timers,
            names: Names::default(),
            now: Time::default(),
            recent: Vec::new(),
            all: Vec::new(),
            never: Vec::new(),
            verdict: Verdict::default(),
        }
    }

    fn play_all(&mut self, trace: &Trace) -> Result<(), Divergence> {
        for (number, line) in &trace.lines {
            self.play(*number, line).map_err(|reason| Divergence {
                line: *number,
                reason,
            })?;
        }
        Ok(())
    }

    fn play(&mut self, number: usize, line: &Line) -> Result<(), String> {
        match line {
            Line::Input { at, daemon, event } => self.input(*at, *daemon, event),
            Line::Expect(outcome) => self.expect(outcome),
            Line::Reject(outcome) => self.reject(outcome),
            Line::Never(outcome) => self.never(number, outcome),
            Line::Count { output, is } => self.count(output, *is),
        }
    }

    fn input(&mut self, at: Time, daemon: usize, event: &Value) -> Result<(), String> {
        if at < self.now {
            return Err(format!("time {} lies before the line above", at.0));
        }
        if daemon >= self.daemons.len() {
            return Err(format!("daemon {daemon} is not in the header"));
        }
        let event = self.fill(event)?;
        let event: Input = serde_json::from_value(event).map_err(|error| error.to_string())?;
        self.recent.clear();
        if self.auto_timers {
            self.fire_until(at)?;
        }
        self.now = at;
        self.verdict.inputs += 1;
        self.step(daemon, event)
    }

    /// Delivers the timers due up to a time, in order over all daemons.
    fn fire_until(&mut self, until: Time) -> Result<(), String> {
        while let Some((at, index)) = self.next_timer().filter(|(at, _)| *at <= until) {
            self.now = self.now.max(at);
            if let Some(timer) = self.daemons[index].timers.pop_due(at) {
                self.step(index, Input::Timer(timer))?;
            }
        }
        Ok(())
    }

    fn next_timer(&mut self) -> Option<(Time, usize)> {
        let daemons = self.daemons.iter_mut().enumerate();
        daemons
            .filter_map(|(index, daemon)| Some((daemon.timers.next_due()?, index)))
            .min()
    }

    fn step(&mut self, index: usize, event: Input) -> Result<(), String> {
        let daemon = &mut self.daemons[index];
        let mut out = Vec::new();
        daemon.core.step(self.now, event.clone(), &mut out);
        (self.watch)(self.now, &daemon.core, &event, &out);
        for output in out {
            if let Output::SetTimer { timer, at } = &output {
                daemon.timers.set(timer.clone(), *at);
            }
            let value = serde_json::to_value(&output).map_err(|error| error.to_string())?;
            let line = serde_json::json!({"at": self.now, "daemon": index, "output": value});
            self.verdict.outputs.push(line.to_string());
            if let Some((number, _)) = self.never.iter().find(|(_, never)| matches(never, &value)) {
                return Err(format!("line {number} says never, but there came {value}"));
            }
            self.recent.push(value.clone());
            self.all.push(value);
        }
        Ok(())
    }

    fn expect(&mut self, outcome: &Outcome) -> Result<(), String> {
        self.verdict.checks += 1;
        let pattern = self.fill(&outcome.output)?;
        let Some(found) = self.recent.iter().find(|value| matches(&pattern, value)) else {
            return Err(format!(
                "expected {pattern}, but there came {}",
                self.shown()
            ));
        };
        self.names
            .bind(found, &outcome.bind)
            .map_err(|pointer| format!("nothing at {pointer} in {found}"))
    }

    fn reject(&mut self, outcome: &Outcome) -> Result<(), String> {
        self.verdict.checks += 1;
        let pattern = self.fill(&outcome.output)?;
        match self.recent.iter().find(|value| matches(&pattern, value)) {
            Some(found) => Err(format!("there must not come {found}")),
            None => Ok(()),
        }
    }

    fn never(&mut self, number: usize, outcome: &Outcome) -> Result<(), String> {
        self.verdict.checks += 1;
        let pattern = self.fill(&outcome.output)?;
        self.never.push((number, pattern));
        Ok(())
    }

    fn count(&mut self, pattern: &Value, is: usize) -> Result<(), String> {
        self.verdict.checks += 1;
        let pattern = self.fill(pattern)?;
        let found = self
            .all
            .iter()
            .filter(|value| matches(&pattern, value))
            .count();
        if found == is {
            return Ok(());
        }
        Err(format!("{found} outputs match {pattern}, not {is}"))
    }

    fn fill(&self, value: &Value) -> Result<Value, String> {
        self.names
            .fill(value)
            .map_err(|name| format!("the name ${name} is not bound"))
    }

    /// The recent outputs, without timers.
    fn shown(&self) -> String {
        let shown: Vec<String> = self
            .recent
            .iter()
            .filter(|value| value.get("set_timer").is_none())
            .map(Value::to_string)
            .collect();
        match shown.is_empty() {
            true => "nothing".to_owned(),
            false => shown.join(", "),
        }
    }
}
