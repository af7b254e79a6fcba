//! What runners say of themselves in their responses.
//!
//! A notice holds until a later response no longer contains it. It belongs to
//! one runner instance: a restarted runner has another key and has said nothing
//! yet.

use super::roster::HostKey;
use crate::core::time::{Span, Time};
use slotmap::SecondaryMap;

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

/// What one response says of its runner's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateNotice {
    /// The runner names no limit.
    #[default]
    Unlimited,
    /// The runner names a limit.
    Limited(RateLimit),
    /// The response has a limit that can't be understood.
    Invalid,
}

/// Minimum interval between two announcements of a runner's notices.
const ANNOUNCEMENT_INTERVAL: Span = Span::from_millis(1_000);

/// Latest notice of one runner.
#[derive(Clone, Copy, Debug, Default)]
struct Notice {
    rate_limit: Option<RateLimit>,
    heard_at: Time,
    /// Time until which the limit allows no further request.
    held_until: Option<Time>,
    /// Time at which the notice was last announced to other daemons.
    announced_at: Option<Time>,
}

/// Latest notices of all runners.
#[derive(Debug, Default)]
pub struct Notices {
    entries: SecondaryMap<HostKey, Notice>,
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
    /// there is one. Older notices than the latest are ignored.
    pub fn record(
        &mut self,
        host: HostKey,
        rate_limit: Option<RateLimit>,
        heard_at: Time,
    ) -> Option<LimitChange> {
        let notice = self.entries.entry(host)?.or_default();
        if heard_at < notice.heard_at {
            return None;
        }
        let change = LimitChange {
            before: notice.rate_limit,
            after: rate_limit,
        };
        notice.rate_limit = rate_limit;
        notice.heard_at = heard_at;
        if change.before == change.after {
            return None;
        }
        notice.held_until = None;
        Some(change)
    }

    /// Returns the rate limit of a runner, if it names one.
    pub fn rate_limit(&self, host: HostKey) -> Option<RateLimit> {
        self.entries.get(host)?.rate_limit
    }

    /// Returns the time since a runner's latest notice; a runner that was never heard has a long
    /// one.
    pub fn age(&self, host: HostKey, now: Time) -> Span {
        let heard_at = self.entries.get(host).map(|notice| notice.heard_at);
        now.since(heard_at.unwrap_or_default())
    }

    /// Holds back requests to a runner until its limit allows the next one.
    pub fn hold_back(&mut self, host: HostKey, until: Time) {
        if let Some(notice) = self.entries.get_mut(host) {
            notice.held_until = Some(until);
        }
    }

    /// Returns the time until a runner may be asked to take a request; zero if it may be now.
    pub fn wait(&self, host: HostKey, now: Time) -> Span {
        let held_until = self.entries.get(host).and_then(|notice| notice.held_until);
        held_until.map_or(Span::ZERO, |until| until.since(now))
    }

    /// Returns true if a runner's notice may be announced to other daemons now, and counts it as
    /// announced.
    pub fn try_announce(&mut self, host: HostKey, now: Time) -> bool {
        let Some(notice) = self.entries.get_mut(host) else {
            return false;
        };
        let last = notice.announced_at;
        if last.is_some_and(|at| now.since(at) < ANNOUNCEMENT_INTERVAL) {
            return false;
        }
        notice.announced_at = Some(now);
        true
    }
}
