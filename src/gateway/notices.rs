//! What runners say of themselves in their responses.
//!
//! A runner may name a rate limit, ask for a pause, or say that it leaves. What
//! it says belongs to one runner instance: a restarted runner has another key
//! and has said nothing yet. A rate limit holds until a response without one; a
//! pause holds for this daemon, until it is over; who leaves, leaves for good.

pub use super::stated::{RateLimit, Stated};

use super::{coldness::Coldness, roster::HostKey};
use crate::core::time::{Span, Time};
use slotmap::SecondaryMap;

/// Minimum interval between two announcements of a runner's rate limit.
const ANNOUNCEMENT_INTERVAL: Span = Span::from_millis(1_000);

/// Maximum length of a pause that a runner asks for.
const MAX_PAUSE: Span = Span::from_secs(24 * 60 * 60);

/// Returns the length of a pause; none if it is negative or not a finite number.
pub fn pause(seconds: f64) -> Option<Span> {
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| MAX_PAUSE.min(Span((seconds * 1e6) as u64)))
}

/// What one response says of its runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Rate limit.
    pub rate_limit: Stated<RateLimit>,
    /// Time for which this daemon should send no more requests.
    pub pause: Stated<Span>,
    /// Time for which the runner stays cold.
    pub cold_left: Stated<Span>,
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
    /// Which runners are cold.
    pub coldness: Coldness,
}

/// Reason for which requests to a runner need permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReason {
    /// The runner names a rate limit.
    Limited,
    /// The runner is cold.
    Cold,
}

impl LimitReason {
    /// Returns the label value in metrics.
    pub fn name(self) -> &'static str {
        match self {
            LimitReason::Limited => "limited",
            LimitReason::Cold => "cold",
        }
    }
}

/// Limit on the requests to a runner from all daemons together, with its reason.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AppliedLimit {
    /// The limit.
    pub rate: RateLimit,
    /// Why it applies.
    pub reason: LimitReason,
}

impl AppliedLimit {
    /// Creates the limit of a cold runner.
    pub fn cold(rate: RateLimit) -> Self {
        let reason = LimitReason::Cold;
        Self { rate, reason }
    }

    /// Returns the lower one of two limits, if there is any.
    pub fn lower(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) if other.rate < one.rate => Some(other),
            (one, other) => one.or(other),
        }
    }
}

impl From<RateLimit> for AppliedLimit {
    fn from(rate: RateLimit) -> Self {
        let reason = LimitReason::Limited;
        Self { rate, reason }
    }
}

/// Times for which a runner takes no request from this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HoldTimes {
    /// Time until the end of a pause that it asked for.
    pub paused: Span,
    /// Time until its limit allows the next request.
    pub limited: Span,
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

    /// Returns the limit on requests to a runner that applies now: the lower one of its rate limit
    /// and that of a cold runner.
    pub fn limit(&self, host: HostKey, now: Time) -> Option<AppliedLimit> {
        let stated = self.rate_limit(host).map(AppliedLimit::from);
        let cold = self.coldness.limit(host, now).map(AppliedLimit::cold);
        AppliedLimit::lower(stated, cold)
    }

    /// Returns the time since a runner last said whether it has a rate limit; for one that was never
    /// heard, the time since the start.
    pub fn age(&self, host: HostKey, now: Time) -> Span {
        let heard_at = self.entries.get(host).map(|entry| entry.heard_at);
        now.since(heard_at.unwrap_or_default())
    }

    /// Holds back requests to a runner until its limit allows the next one.
    pub fn hold_back(&mut self, host: HostKey, until: Time) {
        if let Some(entry) = self.entries.entry(host) {
            entry.or_default().held_until = until;
        }
    }

    /// Returns true while a runner wants no requests from this daemon.
    pub fn is_paused(&self, host: HostKey, now: Time) -> bool {
        let entry = self.entries.get(host);
        entry.is_some_and(|entry| now < entry.paused_until)
    }

    /// Returns the time until a runner may take a request; zero if it may now.
    pub fn wait(&self, host: HostKey, now: Time) -> Span {
        let times = self.hold_times(host, now);
        times.paused.max(times.limited)
    }

    /// Returns the times until a runner may take a request, by reason.
    pub fn hold_times(&self, host: HostKey, now: Time) -> HoldTimes {
        let entry = self.entries.get(host).copied().unwrap_or_default();
        HoldTimes {
            paused: entry.paused_until.since(now),
            limited: entry.held_until.since(now),
        }
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
