//! Load estimation of runners.
//!
//! A runner's load is estimated from its last report, which lags, and from the
//! attempts that this daemon has itself started and ended there since.

use super::super::{
    input::LoadReport,
    time::{Span, Time},
};
use std::collections::VecDeque;

/// Concurrency assumed for a runner that has not reported.
const DEFAULT_SLOTS: u32 = 32;

/// Time between tokens assumed until it is known.
const DEFAULT_TOKEN_GAP: Span = Span::from_millis(20);

/// Service time assumed until an attempt has ended.
const DEFAULT_SERVICE_TIME: Span = Span::from_secs(2);

/// Minimum mean service time.
const MIN_SERVICE_TIME: Span = Span::from_millis(1);

/// Prompt processing time per token.
pub(super) const PREFILL_PER_TOKEN: Span = Span(50);

/// Maximum number of recent attempt events kept.
const MAX_EVENTS: usize = 512;

/// Load of one runner as seen by this daemon.
#[derive(Debug, Default)]
pub(super) struct LoadTracker {
    in_flight: u32,
    events: VecDeque<AttemptEvent>,
    token_gap: Span,
    /// Moving average of the time from an attempt's start to its end.
    service_time: Span,
}

/// Start or end of an attempt.
#[derive(Clone, Copy, Debug)]
struct AttemptEvent {
    at: Time,
    started: bool,
    /// Prompt tokens sent with a started attempt.
    tokens: u32,
}

/// Attempts of this daemon since a report.
#[derive(Clone, Copy, Debug, Default)]
struct Activity {
    started: u32,
    ended: u32,
    tokens: u32,
}

/// Estimated current load of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadEstimate {
    /// Number of requests running or waiting.
    pub(super) running: u32,
    /// Number of prompt tokens not yet processed.
    pub(super) pending: u32,
    /// Maximum number of requests that run concurrently.
    pub(super) slots: u32,
    /// Time between two tokens of one response.
    pub(super) token_gap: Span,
}

impl LoadEstimate {
    /// Returns true if another request would run soon; up to an eighth of the slots may wait.
    pub(super) fn has_room(&self) -> bool {
        self.running < self.slots + self.slots.div_ceil(8)
    }
}

/// Queries.
impl LoadTracker {
    /// Returns the number of this daemon's attempts in flight.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Estimates the load now; `load_ratio` is the load of all daemons relative to this one's.
    ///
    /// Assumes that requests running at the last report have ended at the mean
    /// rate, and that the other daemons have sent requests since then as this
    /// one did. The older the report, the more the estimate relies on this
    /// daemon's own requests in flight, scaled up by the ratio.
    pub(super) fn estimate(
        &self,
        now: Time,
        load: Option<&(Time, LoadReport)>,
        load_ratio: u32,
    ) -> LoadEstimate {
        let Some((at, report)) = load else {
            return LoadEstimate {
                running: self.in_flight,
                pending: 0,
                slots: DEFAULT_SLOTS,
                token_gap: self.token_gap_or(Span::ZERO),
            };
        };
        let slots = report.slots.max(1);
        let Activity {
            started, tokens, ..
        } = self.activity_since(*at);
        let age = now.since(*at).0;
        let service_time = self.service_time_or_default().0;
        let reported = u64::from(report.running + report.waiting);
        let served = reported.min(u64::from(slots)) * age / service_time;
        let sent = u64::from(started) * u64::from(load_ratio);
        let recent = (reported + sent).saturating_sub(served);
        let extrapolated = u64::from(self.in_flight) * u64::from(load_ratio);
        let report_weight = (2 * service_time).saturating_sub(age);
        let running = (recent * report_weight + extrapolated * (2 * service_time - report_weight))
            / (2 * service_time);
        let processed = u32::try_from(age / PREFILL_PER_TOKEN.0).unwrap_or(u32::MAX);
        let pending = report.pending_tokens.saturating_sub(processed);
        LoadEstimate {
            running: u32::try_from(running)
                .unwrap_or(u32::MAX)
                .max(self.in_flight),
            pending: pending.saturating_add(tokens),
            slots,
            token_gap: self.token_gap_or(report.token_gap),
        }
    }

    /// Returns the requests at the runner when it reported: this daemon's and all daemons'.
    pub(super) fn counts_at_report(&self, load: Option<&(Time, LoadReport)>) -> (u32, u32) {
        let Some((at, report)) = load else {
            return (0, 0);
        };
        let Activity { started, ended, .. } = self.activity_since(*at);
        let own = (self.in_flight + ended).saturating_sub(started);
        (own, report.running + report.waiting)
    }

    /// Sums up this daemon's attempt events after `at`.
    fn activity_since(&self, at: Time) -> Activity {
        let mut activity = Activity::default();
        for event in self.events.iter().rev().take_while(|c| c.at > at) {
            activity.started += u32::from(event.started);
            activity.ended += u32::from(!event.started);
            activity.tokens += event.tokens;
        }
        activity
    }

    fn service_time_or_default(&self) -> Span {
        if self.service_time > Span::ZERO {
            self.service_time
        } else {
            DEFAULT_SERVICE_TIME
        }
    }

    fn token_gap_or(&self, reported: Span) -> Span {
        if reported > Span::ZERO {
            return reported;
        }
        if self.token_gap > Span::ZERO {
            return self.token_gap;
        }
        DEFAULT_TOKEN_GAP
    }
}

/// Commands.
impl LoadTracker {
    /// Records the start of an attempt.
    pub(super) fn on_attempt_started(&mut self, now: Time, tokens: u32) {
        self.in_flight += 1;
        self.record(now, true, tokens);
    }

    /// Records the end of an attempt that was sent at `sent`.
    pub(super) fn on_attempt_ended(&mut self, now: Time, sent: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record(now, false, 0);
        let old = self.service_time_or_default().0;
        self.service_time = Span((old * 15 + now.since(sent).0) / 16).max(MIN_SERVICE_TIME);
    }

    /// Adds the time per token between two parts of a response to the moving average.
    pub(super) fn record_token_gap(&mut self, token_gap: Span) {
        let old = self.token_gap_or(Span::ZERO).0;
        self.token_gap = Span((old * 15 + token_gap.0) / 16);
    }

    fn record(&mut self, at: Time, started: bool, tokens: u32) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(AttemptEvent {
            at,
            started,
            tokens,
        });
    }
}
