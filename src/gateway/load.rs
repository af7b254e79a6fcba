//! Request load of each runner, from its own reports and the requests sent to it since.

use super::{
    load_exchange::{estimate::HeadLoad, message::HeadCount},
    roster::HostKey,
};
use crate::core::time::{Span, Time};
use slotmap::SecondaryMap;

/// Backoff of a runner after a first failure; it still gets requests if all runners are in backoff.
const BACKOFF_DELAY: Span = Span::from_millis(500);

/// Maximum number of times that the backoff doubles with further failures.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Age from which a runner's load report is ignored.
const REPORT_TTL: Span = Span::from_millis(2_000);

/// Maximum number of requests that a report counts as running or as waiting: no runner has as many,
/// and sums of them stay small.
const MAX_REPORTED: u32 = 1 << 20;

/// Silence on all streams of a head after which it is avoided; an engine's pass takes far less.
const HEAD_STALL_TIMEOUT: Span = Span::from_millis(300);

/// Factor between the last time that connecting to a runner took and the timeout of the next.
const CONNECT_TIMEOUT_FACTOR: u64 = 4;

/// Minimum timeout for connecting to a runner that was reached before.
const MIN_CONNECT_TIMEOUT: Span = Span::from_millis(150);

/// Time constant in seconds with which rates of change are smoothed: at 20 requests a second, the
/// count of a 200 ms interval is off by half.
const RATE_TIME_CONSTANT_S: f64 = 0.5;

/// Load of a runner as it reports it with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// Requests at a runner, as aggregators sum them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// Requests and their changes.
    pub load: HeadLoad,
    /// Time to which these counts apply.
    pub at: Time,
    /// Time from which they are out of date.
    pub until: Time,
    /// Time ahead for which requests are planned by them.
    pub horizon: Span,
}

/// Load and recent failures of one runner.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// Requests in flight from this daemon.
    own_requests: u32,
    /// Changes of this daemon's requests since they were last taken.
    changes: HeadCount,
    /// Requests of other daemons, as of the last report.
    other_requests: u32,
    /// Time of the last report.
    reported_at: Option<Time>,
    /// Requests of all daemons, as aggregators sum them.
    total: Option<Total>,
    /// End of the backoff.
    avoided_until: Option<Time>,
    /// Consecutive failures.
    failures: u32,
    /// Streams that are open to this daemon.
    streams: u32,
    /// Time of the last data on any of them, or of the start of the last one that began.
    silent_since: Time,
    /// Time of the last data on any stream.
    last_data: Option<Time>,
    /// Time that the last connect took.
    connect_time: Option<Span>,
}

/// Time since a runner last sent data on any stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Length of the silence.
    pub span: Span,
    /// True if there are streams to this daemon that should have sent data meanwhile.
    pub has_streams: bool,
}

crate::record! {
    /// Who says how many requests of other daemons are at a runner.
    #[derive(Copy, Eq)]
    pub enum EstimateSource {
        /// Totals of all daemons, from an aggregator.
        Totals,
        /// The runner itself, in a response.
        Report,
        /// Nobody recently; none are assumed.
        None,
    }
}

/// Estimate of the requests in flight at a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Requests of this daemon.
    pub own: u32,
    /// Requests of other daemons.
    pub others: u32,
    /// Who says how many others there are.
    pub source: EstimateSource,
    /// Time of that statement.
    pub stated_at: Option<Time>,
}

/// Request load of all runners.
#[derive(Debug, Default)]
pub struct Loads {
    entries: SecondaryMap<HostKey, Entry>,
}

impl Loads {
    /// Counts a request that is sent to a runner.
    pub fn request_started(&mut self, host: HostKey) {
        if let Some(entry) = self.entry(host) {
            entry.own_requests += 1;
            entry.changes.started = entry.changes.started.saturating_add(1);
        }
    }

    /// Counts a request to a runner as ended.
    pub fn request_ended(&mut self, host: HostKey) {
        if let Some(entry) = self.entries.get_mut(host) {
            entry.own_requests = entry.own_requests.saturating_sub(1);
            entry.changes.ended = entry.changes.ended.saturating_add(1);
        }
    }

    /// Records a runner's load report, which includes the requests of this daemon.
    pub fn load_reported(&mut self, host: HostKey, report: LoadReport, now: Time) {
        if let Some(entry) = self.entry(host) {
            let total = report.running.min(MAX_REPORTED) + report.waiting.min(MAX_REPORTED);
            entry.other_requests = total.saturating_sub(entry.own_requests);
            entry.reported_at = Some(now);
        }
    }

    /// Records the sums of all daemons' requests at a runner, unless later ones are known.
    pub fn total_reported(&mut self, host: HostKey, mut total: Total) {
        let Some(entry) = self.entry(host) else {
            return;
        };
        if let Some(known) = entry.total {
            if known.at > total.at {
                return;
            }
            let elapsed = total.at.since(known.at).as_secs_f64();
            let weight = 1.0 - (-elapsed / RATE_TIME_CONSTANT_S).exp();
            total.load = known.load.smoothed(total.load, weight);
        }
        entry.total = Some(total);
    }

    /// Counts a request whose first event came from a head after the objective.
    pub fn request_late(&mut self, host: HostKey) {
        if let Some(entry) = self.entries.get_mut(host) {
            entry.changes.late = entry.changes.late.saturating_add(1);
        }
    }

    /// Counts a request that could have been on time, and was refused because all heads of its model
    /// were full; it is counted at one of them.
    pub fn request_refused(&mut self, host: HostKey) {
        if let Some(entry) = self.entry(host) {
            entry.changes.refused = entry.changes.refused.saturating_add(1);
        }
    }

    /// Takes the count of this daemon's requests at a runner: those in flight, and the changes since
    /// the last call.
    pub fn take_own_requests(&mut self, host: HostKey) -> HeadCount {
        let Some(entry) = self.entries.get_mut(host) else {
            return HeadCount::default();
        };
        HeadCount {
            in_flight: entry.own_requests,
            ..std::mem::take(&mut entry.changes)
        }
    }

    /// Records that a runner served a request, which ends its backoff.
    pub fn request_served(&mut self, host: HostKey) {
        if let Some(entry) = self.entry(host) {
            entry.avoided_until = None;
            entry.failures = 0;
        }
    }

    /// Puts a runner into backoff after it was unreachable, declined a request or stalled.
    pub fn runner_failed(&mut self, host: HostKey, now: Time) {
        if let Some(entry) = self.entry(host) {
            let doublings = entry.failures.min(MAX_BACKOFF_DOUBLINGS);
            entry.avoided_until = Some(now + BACKOFF_DELAY.times(1 << doublings));
            entry.failures += 1;
        }
    }

    /// Counts a stream that a runner has started to send.
    pub fn stream_started(&mut self, host: HostKey, now: Time) {
        if let Some(entry) = self.entry(host) {
            entry.streams += 1;
            entry.silent_since = now;
        }
    }

    /// Records that data arrived on a stream of a runner.
    pub fn data_received(&mut self, host: HostKey, now: Time) {
        if let Some(entry) = self.entries.get_mut(host) {
            entry.silent_since = now;
            entry.last_data = Some(now);
        }
    }

    /// Returns the time of the last data on any stream of a runner.
    pub fn last_data(&self, host: HostKey) -> Option<Time> {
        self.entries.get(host)?.last_data
    }

    /// Counts a stream of a runner as ended.
    pub fn stream_ended(&mut self, host: HostKey) {
        if let Some(entry) = self.entries.get_mut(host) {
            entry.streams = entry.streams.saturating_sub(1);
        }
    }

    /// Records the time that connecting to a runner took.
    pub fn connected(&mut self, host: HostKey, elapsed: Span) {
        if let Some(entry) = self.entry(host) {
            entry.connect_time = Some(elapsed);
        }
    }

    /// Returns the connect timeout of a runner that was reached before.
    pub fn connect_timeout(&self, host: HostKey) -> Option<Span> {
        let elapsed = self.entries.get(host)?.connect_time?;
        Some(MIN_CONNECT_TIMEOUT.max(elapsed.times(CONNECT_TIMEOUT_FACTOR)))
    }

    /// Returns the time since a runner last sent data on any stream.
    pub fn silence(&self, host: HostKey, now: Time) -> Silence {
        let entry = self.entries.get(host).copied().unwrap_or_default();
        Silence {
            span: now.since(entry.silent_since),
            has_streams: entry.streams > 0,
        }
    }

    /// Returns true if a runner has streams and all of them have been silent for too long.
    pub fn is_stalled(&self, host: HostKey, now: Time) -> bool {
        let silence = self.silence(host, now);
        silence.has_streams && silence.span > HEAD_STALL_TIMEOUT
    }

    /// Returns true if a runner is in backoff or stalled.
    pub fn is_avoided(&self, host: HostKey, now: Time) -> bool {
        self.backoff(host, now) > Span::ZERO || self.is_stalled(host, now)
    }

    /// Returns the time until the backoff of a runner ends.
    pub fn backoff(&self, host: HostKey, now: Time) -> Span {
        let entry = self.entries.get(host);
        let until = entry.and_then(|entry| entry.avoided_until);
        until.map_or(Span::ZERO, |until| until.since(now))
    }

    /// Returns the requests in flight at a runner from this daemon.
    pub fn own_requests(&self, host: HostKey) -> u32 {
        let entry = self.entries.get(host);
        entry.map_or(0, |entry| entry.own_requests)
    }

    /// Returns the estimated number of requests in flight at a runner, from all daemons.
    pub fn in_flight(&self, host: HostKey, now: Time) -> u32 {
        let estimate = self.estimate(host, now);
        estimate.own.saturating_add(estimate.others)
    }

    /// Returns the estimate of the requests in flight at a runner, and where it comes from.
    pub fn estimate(&self, host: HostKey, now: Time) -> Estimate {
        let entry = self.entries.get(host).copied().unwrap_or_default();
        let reported = entry.reported_at.filter(|at| now.since(*at) < REPORT_TTL);
        let summed = entry.total.filter(|total| now < total.until);
        let (others, source, stated_at) = match (summed, reported) {
            (Some(total), at) if at.is_none_or(|at| at <= total.at) => {
                (total.load.others, EstimateSource::Totals, Some(total.at))
            }
            (_, Some(at)) => (entry.other_requests, EstimateSource::Report, Some(at)),
            (_, None) => (0, EstimateSource::None, None),
        };
        Estimate {
            own: entry.own_requests,
            others,
            source,
            stated_at,
        }
    }

    /// Returns the sums of all daemons' requests at a runner, if current ones are known.
    pub fn total(&self, host: HostKey, now: Time) -> Option<Total> {
        let total = self.entries.get(host)?.total?;
        (now < total.until).then_some(total)
    }

    fn entry(&mut self, host: HostKey) -> Option<&mut Entry> {
        self.entries.entry(host).map(|entry| entry.or_default())
    }
}
