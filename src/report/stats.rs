//! Statistics behind the report: endings and latencies of requests, and the use of
//! groups and accelerators, counted in time slots over the last hour.

use std::collections::{BTreeMap, VecDeque};

use crate::core::{
    Core,
    input::{CallInput, CallRequest, Input, PlatformInput, Target},
    keys::{AccountName, CallId, GroupName, HostName},
    output::{CallOutput, Doubt, Ending, Output, Refusal, Route, RunnerOutput},
    time::{Span, Time},
};

/// Time that one slot covers.
pub(super) const SLOT_WINDOW: Span = Span::from_secs(10);

/// Maximum number of slots that are kept: one hour.
pub(super) const MAX_SLOTS: usize = 360;

/// Interval between samples of groups and accelerators.
const SAMPLE_INTERVAL: Span = Span::from_secs(1);

/// Maximum latency that is counted; longer ones count as this one.
const MAX_LATENCY_MS: u64 = 60_000;

crate::name! {
    /// Name of a model or a plain service.
    TargetName;
}

crate::record! {
    /// Target and account that a count belongs to.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Subject {
        /// Model or plain service.
        pub target: TargetName,
        /// Account whose requests are counted.
        pub account: AccountName,
    }
}

/// Latency histogram in steps of one millisecond.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LatencyHistogram {
    by_millis: BTreeMap<u64, u64>,
}

impl LatencyHistogram {
    /// Counts `count` latencies of the same length.
    fn record(&mut self, span: Span, count: u64) {
        let millis = span.as_millis().min(MAX_LATENCY_MS);
        *self.by_millis.entry(millis).or_default() += count;
    }

    /// Returns the number of latencies.
    pub fn total(&self) -> u64 {
        self.by_millis.values().sum()
    }

    /// Returns the number of latencies up to and including a bound.
    pub fn count_within(&self, bound: Span) -> u64 {
        self.by_millis
            .range(..=bound.as_millis())
            .map(|(_, count)| count)
            .sum()
    }

    /// Adds the counts of another histogram.
    pub(super) fn merge(&mut self, other: &LatencyHistogram) {
        for (millis, count) in &other.by_millis {
            *self.by_millis.entry(*millis).or_default() += count;
        }
    }
}

/// Endings and latencies of one subject's requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SubjectStats {
    /// Requests with a complete response.
    pub complete: u64,
    /// Requests refused, by reason.
    pub refused: BTreeMap<Refusal, u64>,
    /// Requests with an unknown ending, by reason.
    pub unknown: BTreeMap<Doubt, u64>,
    /// Times from arrival to the first token.
    pub first_token: LatencyHistogram,
    /// Times between tokens.
    pub token_gap: LatencyHistogram,
}

impl SubjectStats {
    /// Adds the counts of other statistics.
    pub fn merge(&mut self, other: &SubjectStats) {
        self.complete += other.complete;
        for (reason, count) in &other.refused {
            *self.refused.entry(*reason).or_default() += count;
        }
        for (reason, count) in &other.unknown {
            *self.unknown.entry(*reason).or_default() += count;
        }
        self.first_token.merge(&other.first_token);
        self.token_gap.merge(&other.token_gap);
    }

    /// Returns the number of requests that should have got a complete response. Leaves out those
    /// that callers gave up, and those that were invalid or beyond the account's limits.
    pub fn eligible(&self) -> u64 {
        let refused = self
            .refused
            .iter()
            .filter(|(reason, _)| is_system_error(**reason));
        let unknown = self
            .unknown
            .iter()
            .filter(|(reason, _)| **reason != Doubt::CallerGone);
        let errors: u64 =
            refused.map(|(_, n)| n).sum::<u64>() + unknown.map(|(_, n)| n).sum::<u64>();
        self.complete + errors
    }
}

/// Returns true if a refusal is a failure of the system rather than of the caller.
fn is_system_error(reason: Refusal) -> bool {
    !matches!(
        reason,
        Refusal::Unauthorized | Refusal::NotFound | Refusal::Invalid | Refusal::OverLimit
    )
}

/// Group and accelerator counts, each added up over all samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityStats {
    /// Groups that should be in service.
    pub groups_wanted: u64,
    /// Groups that should be in service and are.
    pub groups_serving: u64,
    /// Accelerators of all known hosts.
    pub accelerators: u64,
    /// Accelerators that belong to no serving group.
    pub stranded: u64,
}

/// Counts of one time slot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TimeSlot {
    /// Start of the slot.
    pub start: Time,
    /// Request statistics by subject.
    pub subjects: BTreeMap<Subject, SubjectStats>,
    /// Group and accelerator counts.
    pub capacity: CapacityStats,
    /// Seconds for which a group should have been in service and wasn't, by group.
    pub downtime_secs: BTreeMap<GroupName, u64>,
    /// Times between tokens, by the host that sent them.
    pub host_gaps: BTreeMap<HostName, LatencyHistogram>,
    /// Failed calls to the platform's store.
    pub platform_failures: u64,
}

/// Request that has arrived and not ended.
#[derive(Debug)]
struct InFlightRequest {
    subject: Subject,
    arrived_at: Time,
    /// Time and token offset of the last delivery.
    last_delivery: Option<(Time, u32)>,
    /// Host that the last attempt was sent to; `None` if another daemon relays it.
    host: Option<HostName>,
}

/// Counts for the service-level objectives over the last hour.
#[derive(Debug, Default)]
pub struct SloStats {
    in_flight: BTreeMap<CallId, InFlightRequest>,
    slots: VecDeque<TimeSlot>,
    last_sample: Option<Time>,
    updated_at: Time,
}

/// Queries.
impl SloStats {
    /// Returns the slots of the last hour, oldest first.
    pub fn slots(&self) -> impl DoubleEndedIterator<Item = &TimeSlot> {
        self.slots.iter()
    }

    /// Returns the time of the last recorded outputs.
    pub fn updated_at(&self) -> Time {
        self.updated_at
    }
}

/// Commands.
impl SloStats {
    /// Records an input of the core.
    pub fn record_input(&mut self, now: Time, core: &Core, input: &Input) {
        match input {
            Input::Call(CallInput::Arrived { call, request }) => {
                self.request_arrived(now, core, *call, request);
            }
            Input::Platform(PlatformInput::Failed { .. }) => {
                self.slot_at(now).platform_failures += 1
            }
            _ => {}
        }
    }

    /// Records the outputs that the core gave for one input.
    pub fn record_outputs(&mut self, now: Time, core: &Core, out: &[Output]) {
        self.updated_at = now;
        for output in out {
            match output {
                Output::Call(output) => self.record_call_output(now, output),
                Output::Runner(RunnerOutput::Attempt { call, route, .. }) => {
                    self.attempt_sent(*call, route)
                }
                _ => {}
            }
        }
        self.sample_capacity(now, core);
    }

    /// Starts to track a request; one of an unknown account counts for no objective and is ignored.
    fn request_arrived(&mut self, now: Time, core: &Core, call: CallId, request: &CallRequest) {
        let Some(subject) = subject_of(core, request) else {
            return;
        };
        let tracked = InFlightRequest {
            subject,
            arrived_at: now,
            last_delivery: None,
            host: None,
        };
        self.in_flight.insert(call, tracked);
    }

    fn record_call_output(&mut self, now: Time, output: &CallOutput) {
        match output {
            CallOutput::Deliver { call, offset, .. } => self.tokens_delivered(now, *call, *offset),
            CallOutput::End { call, ending } => self.request_ended(now, *call, ending),
            CallOutput::Begin { .. } | CallOutput::Entries { .. } => {}
        }
    }

    fn attempt_sent(&mut self, call: CallId, route: &Route) {
        let Some(tracked) = self.in_flight.get_mut(&call) else {
            return;
        };
        tracked.host = match route {
            Route::Group { host, .. } | Route::Service { host, .. } => Some(host.clone()),
            Route::Daemon { .. } => None,
        };
    }

    fn tokens_delivered(&mut self, now: Time, call: CallId, offset: u32) {
        let Some(tracked) = self.in_flight.get_mut(&call) else {
            return;
        };
        let subject = tracked.subject.clone();
        let previous = tracked.last_delivery.replace((now, offset));
        let latency = now.since(tracked.arrived_at);
        let host = tracked.host.clone();
        let stats = self.subject_stats(now, subject);
        match previous {
            None => stats.first_token.record(latency, 1),
            Some((at, previous_offset)) => {
                let tokens = u64::from(offset.saturating_sub(previous_offset)).max(1);
                let gap = Span(now.since(at).0 / tokens);
                stats.token_gap.record(gap, tokens);
                if let Some(host) = host {
                    self.slot_at(now)
                        .host_gaps
                        .entry(host)
                        .or_default()
                        .record(gap, tokens);
                }
            }
        }
    }

    fn request_ended(&mut self, now: Time, call: CallId, ending: &Ending) {
        let Some(tracked) = self.in_flight.remove(&call) else {
            return;
        };
        let stats = self.subject_stats(now, tracked.subject);
        match ending {
            Ending::Complete => stats.complete += 1,
            Ending::Refused { reason, .. } => *stats.refused.entry(*reason).or_default() += 1,
            Ending::Unknown(reason) => *stats.unknown.entry(*reason).or_default() += 1,
        }
    }

    /// Samples groups and accelerators, at most once per [`SAMPLE_INTERVAL`].
    fn sample_capacity(&mut self, now: Time, core: &Core) {
        if self
            .last_sample
            .is_some_and(|at| now.since(at) < SAMPLE_INTERVAL)
        {
            return;
        }
        self.last_sample = Some(now);
        let view = core.config().view();
        let groups = view.groups().map(|group| &group.record);
        let wanted = groups.filter(|group| !group.drained && !group.deleted);
        let mut count = 0;
        let mut down_groups = Vec::new();
        for group in wanted {
            count += 1;
            let keys = core.groups().serving(&group.model).iter();
            let mut serving = keys.filter_map(|key| core.groups().get(*key));
            if !serving.any(|serving| serving.name == group.name) {
                down_groups.push(group.name.clone());
            }
        }
        let domains = core.groups().domain_status(view, core.hosts());
        let accelerators = core
            .hosts()
            .iter()
            .map(|host| u64::from(host.entry.accelerators))
            .sum::<u64>();
        let slot = self.slot_at(now);
        let capacity = &mut slot.capacity;
        capacity.groups_wanted += count;
        capacity.groups_serving += count - down_groups.len() as u64;
        capacity.accelerators += accelerators;
        capacity.stranded += domains
            .iter()
            .map(|domain| u64::from(domain.stranded))
            .sum::<u64>();
        for group in down_groups {
            *slot.downtime_secs.entry(group).or_default() += 1;
        }
    }

    fn subject_stats(&mut self, now: Time, subject: Subject) -> &mut SubjectStats {
        self.slot_at(now).subjects.entry(subject).or_default()
    }

    /// Returns the slot of the current time; drops slots that are older than an hour.
    fn slot_at(&mut self, now: Time) -> &mut TimeSlot {
        let start = Time(now.0 - now.0 % SLOT_WINDOW.0);
        if self.slots.back().is_none_or(|slot| slot.start != start) {
            self.slots.push_back(TimeSlot {
                start,
                ..TimeSlot::default()
            });
        }
        while self.slots.len() > MAX_SLOTS {
            self.slots.pop_front();
        }
        self.slots.back_mut().expect("a slot was pushed")
    }
}

/// Returns the target and account of a request. All unknown target names count as one, so
/// that callers can't make the statistics grow.
fn subject_of(core: &Core, request: &CallRequest) -> Option<Subject> {
    let view = core.config().view();
    let account = view.account_by_key(&request.credential)?.name.clone();
    let target = match &request.target {
        Target::Model { model, .. } => view.model(model).map(|found| found.name.as_str()),
        Target::Service { service } => view.service(service).map(|found| found.name.as_str()),
    };
    let target = TargetName::from(target.unwrap_or("(unknown)"));
    Some(Subject { target, account })
}
