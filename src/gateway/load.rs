//! How loaded each runner is, from the answers it gave and what was sent since.

use super::roster::HostKey;
use crate::core::time::{Span, Time};
use slotmap::SecondaryMap;

/// How long a runner that could not be reached gets nothing, unless all are so.
const AVOIDANCE: Span = Span::from_millis(500);

/// How often that time doubles with further failures.
const MOST_DOUBLINGS: u32 = 4;

/// How long a runner's own figures are worth something.
const REPORT_LIFE: Span = Span::from_millis(2_000);

/// How long a head may be silent on all streams before it is avoided; passes take far less.
const STALL: Span = Span::from_millis(300);

/// How many times longer than before connecting to a runner may take.
const CONNECT_FACTOR: u64 = 4;

/// How long connecting to a runner may take at the least.
const CONNECT_MIN: Span = Span::from_millis(150);

/// A runner's own figures, as sent with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests being run.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// One runner's load.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// Requests of this daemon under way there.
    own: u32,
    /// Requests of others when it last answered.
    others: u32,
    /// When it last answered.
    reported: Option<Time>,
    /// Until when it is avoided.
    avoided: Option<Time>,
    /// Failures in a row.
    failures: u32,
    /// Streams of this daemon that have begun there.
    streams: u32,
    /// When one of them last moved.
    moved: Time,
    /// How long connecting took last.
    connect: Option<Span>,
}

/// How long a runner has passed nothing on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// The time.
    pub span: Span,
    /// Whether streams of this daemon should have moved meanwhile.
    pub has_streams: bool,
}

/// The load of all runners.
#[derive(Debug, Default)]
pub struct Loads {
    entries: SecondaryMap<HostKey, Entry>,
}

impl Loads {
    /// Counts a request sent to a runner.
    pub fn sent(&mut self, host: HostKey) {
        if let Some(entry) = self.entry(host) {
            entry.own += 1;
        }
    }

    /// Counts a request ended at a runner.
    pub fn ended(&mut self, host: HostKey) {
        if let Some(entry) = self.entries.get_mut(host) {
            entry.own = entry.own.saturating_sub(1);
        }
    }

    /// Takes in a runner's own figures; they include this daemon's requests.
    pub fn reported(&mut self, host: HostKey, figures: LoadReport, now: Time) {
        if let Some(entry) = self.entry(host) {
            let total = figures.running + figures.waiting;
            entry.others = total.saturating_sub(entry.own);
            entry.reported = Some(now);
        }
    }

    /// Takes in that a runner served a request.
    pub fn served(&mut self, host: HostKey) {
        if let Some(entry) = self.entry(host) {
            entry.avoided = None;
            entry.failures = 0;
        }
    }

    /// Takes in that a runner could not be reached or turned a request away.
    pub fn failed(&mut self, host: HostKey, now: Time) {
        if let Some(entry) = self.entry(host) {
            let doublings = entry.failures.min(MOST_DOUBLINGS);
            entry.avoided = Some(now + AVOIDANCE.times(1 << doublings));
            entry.failures += 1;
        }
    }

    /// Counts a stream that has begun at a runner.
    pub fn begun(&mut self, host: HostKey, now: Time) {
        if let Some(entry) = self.entry(host) {
            entry.streams += 1;
            entry.moved = now;
        }
    }

    /// Takes in that a stream at a runner moved.
    pub fn moved(&mut self, host: HostKey, now: Time) {
        if let Some(entry) = self.entries.get_mut(host) {
            entry.moved = now;
        }
    }

    /// Counts a stream that has ended at a runner.
    pub fn stopped(&mut self, host: HostKey) {
        if let Some(entry) = self.entries.get_mut(host) {
            entry.streams = entry.streams.saturating_sub(1);
        }
    }

    /// Takes in how long connecting to a runner took.
    pub fn reached(&mut self, host: HostKey, took: Span) {
        if let Some(entry) = self.entry(host) {
            entry.connect = Some(took);
        }
    }

    /// How long connecting to a runner may take, if it was reached before.
    pub fn connect_limit(&self, host: HostKey) -> Option<Span> {
        let took = self.entries.get(host)?.connect?;
        Some(CONNECT_MIN.max(took.times(CONNECT_FACTOR)))
    }

    /// For how long a runner has passed nothing on.
    pub fn silence(&self, host: HostKey, now: Time) -> Silence {
        let entry = self.entries.get(host).copied().unwrap_or_default();
        Silence {
            span: now.since(entry.moved),
            has_streams: entry.streams > 0,
        }
    }

    /// Whether all streams at a runner have been silent for too long.
    pub fn stalled(&self, host: HostKey, now: Time) -> bool {
        let silence = self.silence(host, now);
        silence.has_streams && silence.span > STALL
    }

    /// Whether a runner is avoided for now.
    pub fn is_avoided(&self, host: HostKey, now: Time) -> bool {
        let entry = self.entries.get(host);
        let is_avoided = entry.is_some_and(|entry| entry.avoided.is_some_and(|until| now < until));
        is_avoided || self.stalled(host, now)
    }

    /// The requests that a runner is thought to hold.
    pub fn held(&self, host: HostKey, now: Time) -> u32 {
        let Some(entry) = self.entries.get(host) else {
            return 0;
        };
        let fresh = entry.reported.is_some_and(|at| now.since(at) < REPORT_LIFE);
        let others = if fresh { entry.others } else { 0 };
        entry.own + others
    }

    fn entry(&mut self, host: HostKey) -> Option<&mut Entry> {
        self.entries.entry(host).map(|entry| entry.or_default())
    }
}
