//! Runs of a fake runner that take time: what requests ask for, and what the runner did.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

/// Work that a request asks for in the query of its path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// Events up to `last`, with a pause before each.
    Events { last: u64, pause: Duration },
    /// One response after a delay.
    Late(Duration),
}

impl Work {
    /// Reads the work from a request line; none if the request asks for none.
    pub fn of(request_line: &str) -> Option<Self> {
        let uri = request_line.split(' ').nth(1)?;
        let (_, query) = uri.split_once('?')?;
        let number = |name: &str| -> Option<u64> {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let (_, value) = pairs.find(|(key, _)| *key == name)?;
            value.parse().ok()
        };
        if let Some(ms) = number("delay_ms") {
            return Some(Self::Late(Duration::from_millis(ms)));
        }
        Some(Self::Events {
            last: number("events")?,
            pause: Duration::from_millis(number("pause_ms")?),
        })
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The response was written in full.
    Complete,
    /// The runner broke the response off.
    BrokenOff,
    /// The connection was closed before the response was complete.
    CallerGone,
}

/// One run of a request at a runner.
#[derive(Clone, Debug)]
pub struct Run {
    /// Identifier of the request.
    pub id: String,
    /// Time at which the request arrived.
    pub started: Instant,
    /// Time and kind of its end; none while it lasts.
    pub end: Option<(Instant, RunEnd)>,
}

/// Runs of one runner, in the order of their start.
#[derive(Default)]
pub struct Runs {
    runs: Mutex<Vec<Run>>,
}

impl Runs {
    /// Records the start of a run and returns its index.
    pub fn start(&self, id: &str) -> usize {
        let mut runs = self.runs.lock().expect("not poisoned");
        runs.push(Run {
            id: id.to_owned(),
            started: Instant::now(),
            end: None,
        });
        runs.len() - 1
    }

    /// Records the end of a run.
    pub fn end(&self, index: usize, end: RunEnd) {
        let mut runs = self.runs.lock().expect("not poisoned");
        runs[index].end = Some((Instant::now(), end));
    }

    /// Returns the runs so far.
    pub fn list(&self) -> Vec<Run> {
        self.runs.lock().expect("not poisoned").clone()
    }
}

/// Pause of a runner's work, during which it sends nothing.
#[derive(Default)]
pub struct Silence {
    until: Mutex<Option<Instant>>,
}

impl Silence {
    /// Starts a silence.
    pub fn start(&self, span: Duration) {
        *self.until.lock().expect("not poisoned") = Some(Instant::now() + span);
    }

    /// Waits until the runner is not silent.
    pub fn wait(&self) {
        loop {
            let until = *self.until.lock().expect("not poisoned");
            let now = Instant::now();
            match until {
                Some(until) if until > now => std::thread::sleep(until - now),
                _ => return,
            }
        }
    }
}
