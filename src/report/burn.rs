//! Burn rates: how many times faster than allowed the error budget is spent.

use super::{
    advice::advice,
    objective::{Objective, Objectives},
    tally::{Figures, Latencies, SLOT, SiteFigures, Slot, Subject, Tally},
};
use crate::core::{
    keys::{GroupName, HostName},
    time::{Span, Time},
};

use std::collections::BTreeMap;

/// The window that tells a sudden loss.
const FAST_WINDOW: Span = Span::from_secs(300);

/// The window that tells a lasting loss, and that the budget is counted over.
const SLOW_WINDOW: Span = Span::from_secs(3_600);

/// The causes listed.
const CAUSES_LISTED: usize = 10;

/// The offenders of one kind that are listed.
const OFFENDERS_LISTED: usize = 5;

crate::record! {
    /// The report.
    #[derive(Default)]
    pub struct Report {
        /// When it was made, by the daemon's clock.
        pub at: Time,
        /// The promises, for everything and for each subject.
        pub rows: Vec<Row>,
        /// What cost most, worst first.
        pub causes: Vec<Cause>,
        /// What stood behind it, worst of each kind first.
        pub offenders: Vec<Offender>,
        /// What to do next.
        pub advice: Vec<String>,
        /// The burn over time, for the plots.
        pub points: Vec<Point>,
    }

    /// One promise, for everything or for one subject.
    pub struct Row {
        /// The promise.
        pub objective: Objective,
        /// Whom it concerns; nobody for everything.
        pub subject: Option<Subject>,
        /// The share that must be good.
        pub target: f64,
        /// What was good, over the slow window.
        pub good: u64,
        /// Of so many.
        pub total: u64,
        /// The share of the budget that is left, below zero once it is overspent.
        pub budget_left: f64,
        /// The burn rate over five minutes; 1 spends the budget exactly.
        pub fast_burn: f64,
        /// The burn rate over an hour.
        pub slow_burn: f64,
    }

    /// One cause of loss.
    pub struct Cause {
        /// Whom it hit.
        pub subject: Subject,
        /// What was refused or not known, and why.
        pub cause: String,
        /// How often.
        pub count: u64,
    }

    /// One thing that stood behind losses.
    pub struct Offender {
        /// What it did.
        pub kind: OffenderKind,
        /// Its name; nothing for the platform's service.
        pub name: String,
        /// How often or how long, by the kind.
        pub count: u64,
    }

    /// What an offender did.
    #[derive(Copy, Eq)]
    pub enum OffenderKind {
        /// A group was down, in seconds.
        GroupDown,
        /// A host gave tokens late, in tokens.
        Straggler,
        /// Calls of the platform's service failed.
        Platform,
    }

    /// The burn of one slot.
    pub struct Point {
        /// When the slot began.
        pub at: Time,
        /// The burn rate of each promise, in the order of `Objective::ALL`.
        pub burn: Vec<f64>,
    }
}

/// How much of something was good.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Share {
    good: u64,
    total: u64,
}

impl Share {
    fn bad(self) -> f64 {
        match self.total {
            0 => 0.0,
            total => (total - self.good) as f64 / total as f64,
        }
    }

    /// How many times faster than allowed the budget is spent.
    fn burn(self, target: f64) -> f64 {
        self.bad() / (1.0 - target).max(f64::EPSILON)
    }
}

/// Everything counted in one window.
#[derive(Default)]
struct Sum {
    all: Figures,
    subjects: BTreeMap<Subject, Figures>,
    site: SiteFigures,
    down: BTreeMap<GroupName, u64>,
    hosts: BTreeMap<HostName, Latencies>,
    failures: u64,
}

impl Sum {
    fn of<'a, I>(slots: I) -> Self
    where
        I: Iterator<Item = &'a Slot>,
    {
        let mut sum = Self::default();
        for slot in slots {
            for (subject, figures) in &slot.subjects {
                sum.all.join(figures);
                sum.subjects
                    .entry(subject.clone())
                    .or_default()
                    .join(figures);
            }
            for (group, seconds) in &slot.down {
                *sum.down.entry(group.clone()).or_default() += seconds;
            }
            for (host, gaps) in &slot.hosts {
                sum.hosts.entry(host.clone()).or_default().join(gaps);
            }
            sum.failures += slot.failures;
            sum.site.wanted += slot.site.wanted;
            sum.site.serving += slot.site.serving;
            sum.site.accelerators += slot.site.accelerators;
            sum.site.stranded += slot.site.stranded;
        }
        sum
    }

    /// A promise's share; for one subject only where it is counted by subject.
    fn share(&self, objective: Objective, subject: Option<&Subject>, bounds: &Objectives) -> Share {
        let empty = Figures::default();
        let figures = match subject {
            None => &self.all,
            Some(subject) => self.subjects.get(subject).unwrap_or(&empty),
        };
        let (good, total) = match objective {
            Objective::FirstToken => {
                let latencies = &figures.first_token;
                (latencies.within(bounds.first_token), latencies.total())
            }
            Objective::TokenGap => {
                let latencies = &figures.token_gap;
                (latencies.within(bounds.token_gap), latencies.total())
            }
            Objective::AnsweredWhole => (figures.whole, figures.owed()),
            Objective::GroupAvailable => (self.site.serving, self.site.wanted),
            Objective::AcceleratorsUsed => {
                let stranded = self.site.stranded.min(self.site.accelerators);
                (self.site.accelerators - stranded, self.site.accelerators)
            }
        };
        Share { good, total }
    }
}

/// Works out the report.
pub fn burn(tally: &Tally, objectives: &Objectives) -> Report {
    let now = tally.now();
    let fast = Sum::of(
        tally
            .slots()
            .filter(|slot| is_within(slot, now, FAST_WINDOW)),
    );
    let slow = Sum::of(
        tally
            .slots()
            .filter(|slot| is_within(slot, now, SLOW_WINDOW)),
    );
    let mut rows = Vec::new();
    for objective in Objective::ALL {
        rows.push(row(objective, None, &fast, &slow, objectives));
        if matches!(
            objective,
            Objective::GroupAvailable | Objective::AcceleratorsUsed
        ) {
            continue;
        }
        let subjects = slow.subjects.keys();
        rows.extend(
            subjects.map(|subject| row(objective, Some(subject), &fast, &slow, objectives)),
        );
    }
    let causes = causes(&slow);
    let offenders = offenders(&slow, objectives);
    let advice = advice(&rows, &causes, &offenders);
    let points = tally.slots().map(|slot| point(slot, objectives)).collect();
    Report {
        at: now,
        rows,
        causes,
        offenders,
        advice,
        points,
    }
}

/// Whether a slot has any part in the window that ends now.
fn is_within(slot: &Slot, now: Time, window: Span) -> bool {
    now.since(slot.start + SLOT) < window
}

fn row(
    objective: Objective,
    subject: Option<&Subject>,
    fast: &Sum,
    slow: &Sum,
    objectives: &Objectives,
) -> Row {
    let target = objectives.target(objective);
    let share = slow.share(objective, subject, objectives);
    let slow_burn = share.burn(target);
    Row {
        objective,
        subject: subject.cloned(),
        target,
        good: share.good,
        total: share.total,
        budget_left: 1.0 - slow_burn,
        fast_burn: fast.share(objective, subject, objectives).burn(target),
        slow_burn,
    }
}

fn point(slot: &Slot, objectives: &Objectives) -> Point {
    let sum = Sum::of(std::iter::once(slot));
    let burn = |objective| {
        sum.share(objective, None, objectives)
            .burn(objectives.target(objective))
    };
    Point {
        at: slot.start,
        burn: Objective::ALL.map(burn).to_vec(),
    }
}

/// What cost most: refusals and unknown ends by reason, worst first.
fn causes(sum: &Sum) -> Vec<Cause> {
    let mut causes = Vec::new();
    for (subject, figures) in &sum.subjects {
        let refused = figures
            .refused
            .iter()
            .map(|(reason, n)| (format!("refused: {reason:?}"), *n));
        let unknown = figures
            .unknown
            .iter()
            .map(|(doubt, n)| (format!("unknown: {doubt:?}"), *n));
        for (cause, count) in refused.chain(unknown) {
            causes.push(Cause {
                subject: subject.clone(),
                cause,
                count,
            });
        }
    }
    causes.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.cause.cmp(&b.cause)));
    causes.truncate(CAUSES_LISTED);
    causes
}

/// Groups that were down, hosts that gave tokens late, and the platform's service.
fn offenders(sum: &Sum, bounds: &Objectives) -> Vec<Offender> {
    let down = sum
        .down
        .iter()
        .map(|(group, seconds)| (group.to_string(), *seconds));
    let late = |gaps: &Latencies| gaps.total() - gaps.within(bounds.token_gap);
    let late = sum
        .hosts
        .iter()
        .map(|(host, gaps)| (host.to_string(), late(gaps)));
    let platform = std::iter::once((String::new(), sum.failures));
    let mut offenders = worst(OffenderKind::GroupDown, down);
    offenders.extend(worst(OffenderKind::Straggler, late));
    offenders.extend(worst(OffenderKind::Platform, platform));
    offenders
}

fn worst<I>(kind: OffenderKind, counts: I) -> Vec<Offender>
where
    I: Iterator<Item = (String, u64)>,
{
    let offender = |(name, count)| Offender { kind, name, count };
    let mut worst: Vec<Offender> = counts
        .filter(|(_, count)| *count > 0)
        .map(offender)
        .collect();
    worst.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.name.cmp(&b.name)));
    worst.truncate(OFFENDERS_LISTED);
    worst
}
