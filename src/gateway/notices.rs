//! What runners say of themselves in their responses.
//!
//! A runner may name a rate limit, ask for a pause, or say that it leaves. What
//! it says belongs to one runner instance: a restarted runner has another key
//! and has said nothing yet. A rate limit holds until a response without one; a
//! pause holds for this daemon, until it is over; who leaves, leaves for good.

use super::roster::HostKey;
use crate::core::time::{Span, Time};
use slotmap::SecondaryMap;

/// Minimum interval between two announcements of a runner's rate limit.
const ANNOUNCEMENT_INTERVAL: Span = Span::from_millis(1_000);

/// Maximum length of a pause that a runner asks for.
const MAX_PAUSE: Span = Span::from_secs(24 * 60 * 60);

crate::record! {
    /// Number of requests a second that a runner takes from all daemons together.
    #[derive(Copy, PartialOrd)]
    #[serde(transparent)]
    pub struct RateLimit(f64);
}

impl RateLimit {
    /// Creates a limit; none if it is negative or not a finite number.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self(per_second))
    }

    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// Returns the length of a pause; none if it is negative or not a finite number.
pub fn pause(seconds: f64) -> Option<Span> {
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| MAX_PAUSE.min(Span((seconds * 1e6) as u64)))
}

/// Value that a response may state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Stated<T> {
    /// The response doesn't state it.
    #[default]
    Absent,
    /// The response states it.
    Value(T),
    /// The response has a value that can't be understood, which is ignored.
    Invalid,
}

impl<T> Stated<T> {
    /// Creates the statement of a value that was understood, or not.
    pub fn from_valid(value: Option<T>) -> Self {
        value.map_or(Self::Invalid, Self::Value)
    }
}

/// What one response says of its runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Rate limit.
    pub rate_limit: Stated<RateLimit>,
    /// Time for which this daemon should send no more requests.
    pub pause: Stated<Span>,
    /// True if the runner is about to leave.
    pub is_leaving: bool,
}

/// What is known of one runner.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    rate_limit: Option<RateLimit>,
    /// Time at which the runner last said whether it has a rate limit.
    heard_at: Time,
    /// Time until which the rate limit allows no further request.
    held_until: Time,
    /// End of the pause.
    paused_until: Time,
    /// Time at which the rate limit was last announced to other daemons.
    announced_at: Option<Time>,
}

/// What all runners have said.
#[derive(Debug, Default)]
pub struct Notices {
    entries: SecondaryMap<HostKey, Entry>,
}

/// Change of what is known of a runner's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Limit that was known before, if any.
    pub before: Option<RateLimit>,
    /// Limit that holds now, if any.
    pub after: Option<RateLimit>,
}

impl LimitChange {
    /// Returns true unless a limit was replaced by another one.
    pub fn is_start_or_end(self) -> bool {
        self.before.is_some() != self.after.is_some()
    }
}

impl Notices {
    /// Records a runner's rate limit, or that it has none, as of `heard_at`; returns the change if
    /// there is one. What is older than the latest is ignored.
    pub fn record_limit(
        &mut self,
        host: HostKey,
        rate_limit: Option<RateLimit>,
        heard_at: Time,
    ) -> Option<LimitChange> {
        let entry = self.entries.entry(host)?.or_default();
        if heard_at < entry.heard_at {
            return None;
        }
        let change = LimitChange {
            before: entry.rate_limit,
            after: rate_limit,
        };
        entry.rate_limit = rate_limit;
        entry.heard_at = heard_at;
        if change.before == change.after {
            return None;
        }
        entry.held_until = Time::default();
        Some(change)
    }

    /// Records that a runner wants no requests from this daemon until a time; the end of an earlier
    /// pause may be later.
    pub fn record_pause(&mut self, host: HostKey, until: Time) {
        if let Some(entry) = self.entries.entry(host) {
            let entry = entry.or_default();
            entry.paused_until = entry.paused_until.max(until);
        }
    }

    /// Returns the rate limit of a runner, if it names one.
    pub fn rate_limit(&self, host: HostKey) -> Option<RateLimit> {
        self.entries.get(host)?.rate_limit
    }

    /// Returns the time since a runner last said whether it has a rate limit; for one that was never
    /// heard, the time since the start.
    pub fn age(&self, host: HostKey, now: Time) -> Span {
        let heard_at = self.entries.get(host).map(|entry| entry.heard_at);
        now.since(heard_at.unwrap_or_default())
    }

    /// Holds back requests to a runner until its rate limit allows the next one.
    pub fn hold_back(&mut self, host: HostKey, until: Time) {
        if let Some(entry) = self.entries.get_mut(host) {
            entry.held_until = until;
        }
    }

    /// Returns true while a runner wants no requests from this daemon.
    pub fn is_paused(&self, host: HostKey, now: Time) -> bool {
        let entry = self.entries.get(host);
        entry.is_some_and(|entry| now < entry.paused_until)
    }

    /// Returns the time until a runner may take a request; zero if it may now.
    pub fn wait(&self, host: HostKey, now: Time) -> Span {
        let entry = self.entries.get(host).copied().unwrap_or_default();
        entry.held_until.max(entry.paused_until).since(now)
    }

    /// Returns true if a runner's rate limit may be announced to other daemons now, and counts it as
    /// announced.
    pub fn try_announce(&mut self, host: HostKey, now: Time) -> bool {
        let Some(entry) = self.entries.get_mut(host) else {
            return false;
        };
        let last = entry.announced_at;
        if last.is_some_and(|at| now.since(at) < ANNOUNCEMENT_INTERVAL) {
            return false;
        }
        entry.announced_at = Some(now);
        true
    }
}
