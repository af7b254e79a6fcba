//! Counting what callers got, and what groups and accelerators did, by time.

use std::collections::{BTreeMap, VecDeque};

use crate::core::{
    Core,
    input::{CallInput, CallRequest, Input, PlatformInput, Target},
    keys::{AccountName, CallId, GroupName, HostName},
    output::{CallOutput, Doubt, Ending, Output, Refusal, Route, RunnerOutput},
    time::{Span, Time},
};

/// The length of one slot.
pub(super) const SLOT: Span = Span::from_secs(10);

/// How many slots are kept: one hour.
pub(super) const SLOTS_KEPT: usize = 360;

/// How often groups and accelerators are looked at.
const SAMPLE_EVERY: Span = Span::from_secs(1);

/// Latencies above this are counted as this.
const MAX_LATENCY_MS: u64 = 60_000;

crate::name! {
    /// A model or a plain service.
    TargetName;
}

crate::record! {
    /// Whom a figure concerns.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Subject {
        /// The model or plain service.
        pub target: TargetName,
        /// The account.
        pub account: AccountName,
    }
}

/// Latencies by whole milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Latencies {
    by_millis: BTreeMap<u64, u64>,
}

impl Latencies {
    fn add(&mut self, span: Span, count: u64) {
        let millis = span.as_millis().min(MAX_LATENCY_MS);
        *self.by_millis.entry(millis).or_default() += count;
    }

    /// How many were counted.
    pub fn total(&self) -> u64 {
        self.by_millis.values().sum()
    }

    /// How many were no longer than a bound.
    pub fn within(&self, bound: Span) -> u64 {
        self.by_millis
            .range(..=bound.as_millis())
            .map(|(_, count)| count)
            .sum()
    }

    pub(super) fn join(&mut self, other: &Latencies) {
        for (millis, count) in &other.by_millis {
            *self.by_millis.entry(*millis).or_default() += count;
        }
    }
}

/// What one subject got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests answered whole.
    pub whole: u64,
    /// Requests refused, by reason.
    pub refused: BTreeMap<Refusal, u64>,
    /// Requests whose end is not known, by reason.
    pub unknown: BTreeMap<Doubt, u64>,
    /// Times from arrival to the first token.
    pub first_token: Latencies,
    /// Times between tokens.
    pub token_gap: Latencies,
}

impl Figures {
    /// Adds other figures.
    pub fn join(&mut self, other: &Figures) {
        self.whole += other.whole;
        for (reason, count) in &other.refused {
            *self.refused.entry(*reason).or_default() += count;
        }
        for (reason, count) in &other.unknown {
            *self.unknown.entry(*reason).or_default() += count;
        }
        self.first_token.join(&other.first_token);
        self.token_gap.join(&other.token_gap);
    }

    /// Requests that should have been answered whole: without those that
    /// callers gave up, or asked for wrongly or beyond their limits.
    pub fn owed(&self) -> u64 {
        let refused = self.refused.iter().filter(|(reason, _)| is_owed(**reason));
        let unknown = self
            .unknown
            .iter()
            .filter(|(reason, _)| **reason != Doubt::CallerGone);
        let missed: u64 =
            refused.map(|(_, n)| n).sum::<u64>() + unknown.map(|(_, n)| n).sum::<u64>();
        self.whole + missed
    }
}

/// Whether a refusal counts against the system rather than the caller.
fn is_owed(reason: Refusal) -> bool {
    !matches!(
        reason,
        Refusal::Unauthorized | Refusal::NotFound | Refusal::Invalid | Refusal::OverLimit
    )
}

/// Groups and accelerators, in samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiteFigures {
    /// Groups wanted in service, added up over the samples.
    pub wanted: u64,
    /// Of those, in service.
    pub serving: u64,
    /// Accelerators there, added up over the samples.
    pub accelerators: u64,
    /// Of those, in no group that serves.
    pub stranded: u64,
}

/// What was counted in one slot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Slot {
    /// When it began.
    pub start: Time,
    /// By subject.
    pub subjects: BTreeMap<Subject, Figures>,
    /// Over everything.
    pub site: SiteFigures,
    /// Seconds that groups wanted in service were down.
    pub down: BTreeMap<GroupName, u64>,
    /// Times between tokens, by the host that gave them.
    pub hosts: BTreeMap<HostName, Latencies>,
    /// Calls of the platform's service that failed.
    pub failures: u64,
}

#[derive(Debug)]
struct Open {
    subject: Subject,
    arrived: Time,
    last: Option<(Time, u32)>,
    host: Option<HostName>,
}

/// Everything counted in the last hour.
#[derive(Debug, Default)]
pub struct Tally {
    open: BTreeMap<CallId, Open>,
    slots: VecDeque<Slot>,
    sampled: Option<Time>,
    now: Time,
}

/// Queries.
impl Tally {
    /// The slots kept, oldest first.
    pub fn slots(&self) -> impl DoubleEndedIterator<Item = &Slot> {
        self.slots.iter()
    }

    /// When something was last counted.
    pub fn now(&self) -> Time {
        self.now
    }
}

/// Commands.
impl Tally {
    /// Counts an event that a daemon is handed.
    pub fn record_input(&mut self, now: Time, core: &Core, input: &Input) {
        match input {
            Input::Call(CallInput::Arrived { call, request }) => {
                self.arrived(now, core, *call, request);
            }
            Input::Platform(PlatformInput::Failed { .. }) => self.slot(now).failures += 1,
            _ => {}
        }
    }

    /// Counts what came of an event.
    pub fn record_outputs(&mut self, now: Time, core: &Core, out: &[Output]) {
        self.now = now;
        for output in out {
            match output {
                Output::Call(output) => self.count(now, output),
                Output::Runner(RunnerOutput::Attempt { call, route, .. }) => {
                    self.sent(*call, route)
                }
                _ => {}
            }
        }
        self.sample(now, core);
    }

    /// Opens a call; one of an unknown account is owed nothing and not kept.
    fn arrived(&mut self, now: Time, core: &Core, call: CallId, request: &CallRequest) {
        let Some(subject) = subject(core, request) else {
            return;
        };
        let open = Open {
            subject,
            arrived: now,
            last: None,
            host: None,
        };
        self.open.insert(call, open);
    }

    fn count(&mut self, now: Time, output: &CallOutput) {
        match output {
            CallOutput::Deliver { call, offset, .. } => self.delivered(now, *call, *offset),
            CallOutput::End { call, ending } => self.ended(now, *call, ending),
            CallOutput::Begin { .. } | CallOutput::Entries { .. } => {}
        }
    }

    fn sent(&mut self, call: CallId, route: &Route) {
        let Some(open) = self.open.get_mut(&call) else {
            return;
        };
        open.host = match route {
            Route::Group { host, .. } | Route::Service { host, .. } => Some(host.clone()),
            Route::Daemon { .. } => None,
        };
    }

    fn delivered(&mut self, now: Time, call: CallId, offset: u32) {
        let Some(open) = self.open.get_mut(&call) else {
            return;
        };
        let subject = open.subject.clone();
        let before = open.last.replace((now, offset));
        let waited = now.since(open.arrived);
        let host = open.host.clone();
        let figures = self.figures(now, subject);
        match before {
            None => figures.first_token.add(waited, 1),
            Some((at, last)) => {
                let tokens = u64::from(offset.saturating_sub(last)).max(1);
                let gap = Span(now.since(at).0 / tokens);
                figures.token_gap.add(gap, tokens);
                if let Some(host) = host {
                    self.slot(now)
                        .hosts
                        .entry(host)
                        .or_default()
                        .add(gap, tokens);
                }
            }
        }
    }

    fn ended(&mut self, now: Time, call: CallId, ending: &Ending) {
        let Some(open) = self.open.remove(&call) else {
            return;
        };
        let figures = self.figures(now, open.subject);
        match ending {
            Ending::Complete => figures.whole += 1,
            Ending::Refused { reason, .. } => *figures.refused.entry(*reason).or_default() += 1,
            Ending::Unknown(doubt) => *figures.unknown.entry(*doubt).or_default() += 1,
        }
    }

    fn sample(&mut self, now: Time, core: &Core) {
        if self.sampled.is_some_and(|at| now.since(at) < SAMPLE_EVERY) {
            return;
        }
        self.sampled = Some(now);
        let view = core.config().view();
        let groups = view.groups().map(|group| &group.record);
        let wanted = groups.filter(|group| !group.drained && !group.deleted);
        let mut count = 0;
        let mut down = Vec::new();
        for group in wanted {
            count += 1;
            let keys = core.groups().serving(&group.model).iter();
            let mut names = keys.filter_map(|key| core.groups().get(*key));
            if !names.any(|held| held.name == group.name) {
                down.push(group.name.clone());
            }
        }
        let domains = core.groups().domain_status(view, core.hosts());
        let accelerators = core
            .hosts()
            .iter()
            .map(|host| u64::from(host.entry.accelerators))
            .sum::<u64>();
        let slot = self.slot(now);
        let site = &mut slot.site;
        site.wanted += count;
        site.serving += count - down.len() as u64;
        site.accelerators += accelerators;
        site.stranded += domains
            .iter()
            .map(|domain| u64::from(domain.stranded))
            .sum::<u64>();
        for group in down {
            *slot.down.entry(group).or_default() += 1;
        }
    }

    fn figures(&mut self, now: Time, subject: Subject) -> &mut Figures {
        self.slot(now).subjects.entry(subject).or_default()
    }

    fn slot(&mut self, now: Time) -> &mut Slot {
        let start = Time(now.0 - now.0 % SLOT.0);
        if self.slots.back().is_none_or(|slot| slot.start != start) {
            self.slots.push_back(Slot {
                start,
                ..Slot::default()
            });
        }
        while self.slots.len() > SLOTS_KEPT {
            self.slots.pop_front();
        }
        self.slots.back_mut().expect("a slot was pushed")
    }
}

/// Whom a request concerns. Names that no record bears count as one, so that
/// callers can't make the tally grow.
fn subject(core: &Core, request: &CallRequest) -> Option<Subject> {
    let view = core.config().view();
    let account = view.account_by_key(&request.credential)?.name.clone();
    let target = match &request.target {
        Target::Model { model, .. } => view.model(model).map(|held| held.name.as_str()),
        Target::Service { service } => view.service(service).map(|held| held.name.as_str()),
    };
    let target = TargetName::from(target.unwrap_or("(unknown)"));
    Some(Subject { target, account })
}
