//! What runners say of themselves in their responses.
//!
//! A notice holds until a later response no longer contains it. It belongs to
//! one runner instance: a restarted runner has another key and has said nothing
//! yet.

use super::roster::HostKey;
use crate::core::time::Time;
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

/// Latest notice of one runner.
#[derive(Clone, Copy, Debug)]
struct Notice {
    rate_limit: Option<RateLimit>,
    heard_at: Time,
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

impl Notices {
    /// Records a runner's rate limit, or that it has none, as of `heard_at`; returns the change if
    /// there is one. Older notices than the latest are ignored.
    pub fn record(
        &mut self,
        host: HostKey,
        rate_limit: Option<RateLimit>,
        heard_at: Time,
    ) -> Option<LimitChange> {
        let known = self.entries.get(host).copied();
        if known.is_some_and(|known| heard_at < known.heard_at) {
            return None;
        }
        self.entries.insert(
            host,
            Notice {
                rate_limit,
                heard_at,
            },
        );
        let before = known.and_then(|known| known.rate_limit);
        let change = LimitChange {
            before,
            after: rate_limit,
        };
        (before != rate_limit).then_some(change)
    }

    /// Returns the rate limit of a runner, if it names one.
    pub fn rate_limit(&self, host: HostKey) -> Option<RateLimit> {
        self.entries.get(host)?.rate_limit
    }
}
