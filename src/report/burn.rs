//! Computes burn rates and assembles the report.
//!
//! The burn rate is the ratio of the actual error rate to the error rate that
//! the objective allows: at 1, the error budget is spent exactly.

use super::{
    advice::advice,
    objective::{Objective, Objectives},
    stats::{
        CapacityStats, LatencyHistogram, SLOT_WINDOW, SloStats, Subject, SubjectStats, TimeSlot,
    },
};
use crate::core::{
    keys::{GroupName, HostName},
    time::{Span, Time},
};

use std::collections::BTreeMap;

/// Window of the fast burn rate, which detects sudden failures.
const FAST_WINDOW: Span = Span::from_secs(300);

/// Window of the slow burn rate, which detects lasting failures, and of the error budget.
const SLOW_WINDOW: Span = Span::from_secs(3_600);

/// Maximum number of causes in a report.
const MAX_CAUSES: usize = 10;

/// Maximum number of offenders of one kind in a report.
const MAX_OFFENDERS_PER_KIND: usize = 5;

crate::record! {
    /// Burn rates and error budgets, with their causes and recommended next steps.
    #[derive(Default)]
    pub struct Report {
        /// Time of the last recorded outputs, by the daemon's clock.
        pub at: Time,
        /// Objectives, in total and by subject.
        pub rows: Vec<ObjectiveRow>,
        /// Most frequent causes of bad requests, worst first.
        pub causes: Vec<Cause>,
        /// Groups, hosts and the platform's store behind bad events, worst of each kind first.
        pub offenders: Vec<Offender>,
        /// Recommended next steps.
        pub advice: Vec<String>,
        /// Burn rates over time, for the plots.
        pub points: Vec<BurnPoint>,
    }

    /// State of one objective, in total or for one subject.
    pub struct ObjectiveRow {
        /// Objective that the row describes.
        pub objective: Objective,
        /// Subject that the row is limited to; `None` for the total.
        pub subject: Option<Subject>,
        /// Fraction of events that must be good.
        pub target: f64,
        /// Good events in the slow window.
        pub good: u64,
        /// All events in the slow window.
        pub total: u64,
        /// Fraction of the error budget that is left; negative once it is overspent.
        pub budget_left: f64,
        /// Burn rate over five minutes; 1 spends the budget exactly.
        pub fast_burn: f64,
        /// Burn rate over an hour.
        pub slow_burn: f64,
    }

    /// Reason for which requests of one subject were refused or had an unknown outcome.
    pub struct Cause {
        /// Subject whose requests were affected.
        pub subject: Subject,
        /// Kind of ending and its reason, such as `refused: NoGroup`.
        pub cause: String,
        /// Number of requests.
        pub count: u64,
    }

    /// Group, host or store that caused bad events.
    pub struct Offender {
        /// Kind of fault.
        pub kind: OffenderKind,
        /// Name of the group or host; empty for the platform's store.
        pub name: String,
        /// Seconds, tokens or calls, depending on the kind.
        pub count: u64,
    }

    /// Kind of fault of an offender.
    #[derive(Copy, Eq)]
    pub enum OffenderKind {
        /// Group that was out of service; counted in seconds.
        GroupDown,
        /// Host that sent tokens late; counted in tokens.
        Straggler,
        /// Platform's store, to which calls failed; counted in calls.
        Platform,
    }

    /// Burn rates of one time slot.
    pub struct BurnPoint {
        /// Start of the slot.
        pub at: Time,
        /// Burn rate of each objective, in the order of `Objective::ALL`.
        pub burn: Vec<f64>,
    }
}

/// Service-level indicator: good events out of all events.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Sli {
    good: u64,
    total: u64,
}

impl Sli {
    /// Returns the fraction of events that were bad.
    fn error_rate(self) -> f64 {
        match self.total {
            0 => 0.0,
            total => (total - self.good) as f64 / total as f64,
        }
    }

    /// Returns the ratio of the error rate to the error rate that `target` allows.
    fn burn_rate(self, target: f64) -> f64 {
        self.error_rate() / (1.0 - target).max(f64::EPSILON)
    }
}

/// Counts of one window, added up over its slots.
#[derive(Default)]
struct WindowTotals {
    /// Counts of all subjects together.
    all: SubjectStats,
    subjects: BTreeMap<Subject, SubjectStats>,
    capacity: CapacityStats,
    downtime_secs: BTreeMap<GroupName, u64>,
    host_gaps: BTreeMap<HostName, LatencyHistogram>,
    platform_failures: u64,
}

impl WindowTotals {
    /// Adds up the counts of the slots.
    fn from_slots<'a, I>(slots: I) -> Self
    where
        I: Iterator<Item = &'a TimeSlot>,
    {
        let mut totals = Self::default();
        for slot in slots {
            for (subject, stats) in &slot.subjects {
                totals.all.merge(stats);
                totals
                    .subjects
                    .entry(subject.clone())
                    .or_default()
                    .merge(stats);
            }
            for (group, seconds) in &slot.downtime_secs {
                *totals.downtime_secs.entry(group.clone()).or_default() += seconds;
            }
            for (host, gaps) in &slot.host_gaps {
                totals
                    .host_gaps
                    .entry(host.clone())
                    .or_default()
                    .merge(gaps);
            }
            totals.platform_failures += slot.platform_failures;
            totals.capacity.groups_wanted += slot.capacity.groups_wanted;
            totals.capacity.groups_serving += slot.capacity.groups_serving;
            totals.capacity.accelerators += slot.capacity.accelerators;
            totals.capacity.stranded += slot.capacity.stranded;
        }
        totals
    }

    /// Returns the indicator of an objective; `subject` has no effect on groups and accelerators,
    /// which are not counted by subject.
    fn sli(&self, objective: Objective, subject: Option<&Subject>, objectives: &Objectives) -> Sli {
        let empty = SubjectStats::default();
        let stats = match subject {
            None => &self.all,
            Some(subject) => self.subjects.get(subject).unwrap_or(&empty),
        };
        let (good, total) = match objective {
            Objective::FirstToken => {
                let latencies = &stats.first_token;
                (
                    latencies.count_within(objectives.first_token),
                    latencies.total(),
                )
            }
            Objective::TokenGap => {
                let latencies = &stats.token_gap;
                (
                    latencies.count_within(objectives.token_gap),
                    latencies.total(),
                )
            }
            Objective::AnsweredWhole => (stats.complete, stats.eligible()),
            Objective::GroupAvailable => {
                (self.capacity.groups_serving, self.capacity.groups_wanted)
            }
            Objective::AcceleratorsUsed => {
                let stranded = self.capacity.stranded.min(self.capacity.accelerators);
                (
                    self.capacity.accelerators - stranded,
                    self.capacity.accelerators,
                )
            }
        };
        Sli { good, total }
    }
}

/// Builds the report from the recorded statistics.
pub fn build_report(stats: &SloStats, objectives: &Objectives) -> Report {
    let now = stats.updated_at();
    let fast = WindowTotals::from_slots(
        stats
            .slots()
            .filter(|slot| overlaps(slot, now, FAST_WINDOW)),
    );
    let slow = WindowTotals::from_slots(
        stats
            .slots()
            .filter(|slot| overlaps(slot, now, SLOW_WINDOW)),
    );
    let mut rows = Vec::new();
    for objective in Objective::ALL {
        rows.push(objective_row(objective, None, &fast, &slow, objectives));
        if matches!(
            objective,
            Objective::GroupAvailable | Objective::AcceleratorsUsed
        ) {
            continue;
        }
        let subjects = slow.subjects.keys();
        rows.extend(
            subjects
                .map(|subject| objective_row(objective, Some(subject), &fast, &slow, objectives)),
        );
    }
    let causes = causes(&slow);
    let offenders = offenders(&slow, objectives);
    let advice = advice(&rows, &causes, &offenders);
    let points = stats
        .slots()
        .map(|slot| burn_point(slot, objectives))
        .collect();
    Report {
        at: now,
        rows,
        causes,
        offenders,
        advice,
        points,
    }
}

/// Returns true if a slot overlaps the window that ends now.
fn overlaps(slot: &TimeSlot, now: Time, window: Span) -> bool {
    now.since(slot.start + SLOT_WINDOW) < window
}

fn objective_row(
    objective: Objective,
    subject: Option<&Subject>,
    fast: &WindowTotals,
    slow: &WindowTotals,
    objectives: &Objectives,
) -> ObjectiveRow {
    let target = objectives.target(objective);
    let sli = slow.sli(objective, subject, objectives);
    let slow_burn = sli.burn_rate(target);
    ObjectiveRow {
        objective,
        subject: subject.cloned(),
        target,
        good: sli.good,
        total: sli.total,
        budget_left: 1.0 - slow_burn,
        fast_burn: fast.sli(objective, subject, objectives).burn_rate(target),
        slow_burn,
    }
}

fn burn_point(slot: &TimeSlot, objectives: &Objectives) -> BurnPoint {
    let totals = WindowTotals::from_slots(std::iter::once(slot));
    let burn_rate = |objective| {
        totals
            .sli(objective, None, objectives)
            .burn_rate(objectives.target(objective))
    };
    BurnPoint {
        at: slot.start,
        burn: Objective::ALL.map(burn_rate).to_vec(),
    }
}

/// Returns the most frequent reasons for refusals and unknown outcomes, worst first.
fn causes(totals: &WindowTotals) -> Vec<Cause> {
    let mut causes = Vec::new();
    for (subject, stats) in &totals.subjects {
        let refused = stats
            .refused
            .iter()
            .map(|(reason, n)| (format!("refused: {reason:?}"), *n));
        let unknown = stats
            .unknown
            .iter()
            .map(|(reason, n)| (format!("unknown: {reason:?}"), *n));
        for (cause, count) in refused.chain(unknown) {
            causes.push(Cause {
                subject: subject.clone(),
                cause,
                count,
            });
        }
    }
    causes.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.cause.cmp(&b.cause)));
    causes.truncate(MAX_CAUSES);
    causes
}

/// Returns groups that were down, hosts that sent tokens late, and the platform's store.
fn offenders(totals: &WindowTotals, objectives: &Objectives) -> Vec<Offender> {
    let down = totals
        .downtime_secs
        .iter()
        .map(|(group, seconds)| (group.to_string(), *seconds));
    let late_tokens =
        |gaps: &LatencyHistogram| gaps.total() - gaps.count_within(objectives.token_gap);
    let late = totals
        .host_gaps
        .iter()
        .map(|(host, gaps)| (host.to_string(), late_tokens(gaps)));
    let platform = std::iter::once((String::new(), totals.platform_failures));
    let mut offenders = top_offenders(OffenderKind::GroupDown, down);
    offenders.extend(top_offenders(OffenderKind::Straggler, late));
    offenders.extend(top_offenders(OffenderKind::Platform, platform));
    offenders
}

/// Returns the offenders of one kind with the highest counts, worst first.
fn top_offenders<I>(kind: OffenderKind, counts: I) -> Vec<Offender>
where
    I: Iterator<Item = (String, u64)>,
{
    let offender = |(name, count)| Offender { kind, name, count };
    let mut worst: Vec<Offender> = counts
        .filter(|(_, count)| *count > 0)
        .map(offender)
        .collect();
    worst.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.name.cmp(&b.name)));
    worst.truncate(MAX_OFFENDERS_PER_KIND);
    worst
}
