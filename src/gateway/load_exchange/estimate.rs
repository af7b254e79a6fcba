//! Estimates of the other daemons' requests, by a digest.

use super::message::{HeadCount, HeadCounts, LoadDigest, LoadReport, RATE_WINDOW_S, ReportId};
use crate::core::{
    keys::Epoch,
    time::{Span, Time},
};
use std::collections::{BTreeMap, VecDeque};

/// Intervals after which a digest is out of date, counted from the report of this daemon that it
/// contains. Without losses that report is at most two intervals old.
const DIGEST_TTL_INTERVALS: u64 = 3;

/// Number of reports that are kept to recognize this daemon's share in a digest: one more than the
/// intervals after which a digest is out of date.
const KEPT_REPORTS: usize = 4;

/// Fraction of the daemons whose reports a digest must contain. With fewer it would miss most of the
/// requests.
const MIN_COVERAGE: f64 = 0.5;

/// Requests at one head.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HeadLoad {
    /// Requests of the other daemons in flight.
    pub others: u32,
    /// Requests of all daemons that are started in a second.
    pub starts_per_s: f64,
    /// Requests of all daemons that end in a second.
    pub ends_per_s: f64,
    /// Requests that could be on time, and that all daemons refuse in a second because all heads are
    /// full.
    pub refusals_per_s: f64,
    /// Requests of all daemons whose first event comes after the objective, in a second.
    pub late_per_s: f64,
}

impl HeadLoad {
    /// Returns later counts with their rates smoothed: `weight` is that of the later rates.
    pub fn smoothed(self, later: Self, weight: f64) -> Self {
        let smooth = |before: f64, after: f64| before + (after - before) * weight;
        Self {
            others: later.others,
            starts_per_s: smooth(self.starts_per_s, later.starts_per_s),
            ends_per_s: smooth(self.ends_per_s, later.ends_per_s),
            refusals_per_s: smooth(self.refusals_per_s, later.refusals_per_s),
            late_per_s: smooth(self.late_per_s, later.late_per_s),
        }
    }
}

/// Requests at all heads; a head without an entry has none.
#[derive(Clone, Debug, PartialEq)]
pub struct Totals {
    /// Requests at each head.
    pub heads: BTreeMap<Epoch, HeadLoad>,
    /// Mean time to which the counts apply.
    pub at: Time,
    /// Time from which the counts are out of date.
    pub until: Time,
}

/// Reason for which a digest isn't used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unusable {
    /// It contains no recent report of this daemon, so this daemon's share in it and its age aren't
    /// known.
    Unmatched,
    /// The report of this daemon that it contains is too old: its aggregator was paused or cut off.
    Outdated,
    /// It contains too few daemons.
    Partial,
}

/// Recent reports of this daemon.
#[derive(Debug)]
pub struct SentReports {
    next: ReportId,
    sent_at: Option<Time>,
    recent: VecDeque<(LoadReport, Time)>,
}

impl SentReports {
    /// Creates the reports of a run with a random number.
    pub fn new(run: u32) -> Self {
        Self {
            next: ReportId { run, sequence: 1 },
            sent_at: None,
            recent: VecDeque::new(),
        }
    }

    /// Creates the next report from the requests in flight and the changes since the former one at
    /// each head.
    pub fn report(&mut self, counts: BTreeMap<Epoch, HeadCount>, now: Time) -> LoadReport {
        let mut counts = counts;
        counts.retain(|_, count| *count != HeadCount::default());
        let span = self.sent_at.map(|at| now.since(at));
        if span.is_none() {
            // Without a former report the time of the changes isn't known.
            counts.values_mut().for_each(|count| {
                *count = HeadCount {
                    in_flight: count.in_flight,
                    ..HeadCount::default()
                };
            });
        }
        let report = LoadReport {
            id: self.next,
            span_ms: span.unwrap_or_default().as_millis() as u32,
            heads: HeadCounts::new(&counts),
        };
        self.next.sequence = self.next.sequence.wrapping_add(1);
        self.sent_at = Some(now);
        self.recent.push_back((report.clone(), now));
        if self.recent.len() > KEPT_REPORTS {
            self.recent.pop_front();
        }
        report
    }

    /// Derives the load of the heads from a digest that contains the report `own` of this
    /// daemon, by the number of daemons that have an entry.
    ///
    /// # Errors
    ///
    /// Fails if the digest can't be used.
    pub fn interpret(
        &self,
        digest: &LoadDigest,
        own: Option<ReportId>,
        daemons: usize,
        interval: Span,
        now: Time,
    ) -> Result<Totals, Unusable> {
        let (report, sent_at) = self.find(own).ok_or(Unusable::Unmatched)?;
        let until = sent_at + interval.times(DIGEST_TTL_INTERVALS);
        if now >= until {
            return Err(Unusable::Outdated);
        }
        if f64::from(digest.reporters) < daemons as f64 * MIN_COVERAGE {
            return Err(Unusable::Partial);
        }
        Ok(Totals {
            heads: head_loads(digest, report),
            at: now - Span::from_millis(u64::from(digest.age_ms)),
            until,
        })
    }

    /// Returns a recent report with the time at which it was sent.
    fn find(&self, id: Option<ReportId>) -> Option<(&LoadReport, Time)> {
        let mut recent = self.recent.iter();
        let (report, sent_at) = recent.find(|(report, _)| Some(report.id) == id)?;
        Some((report, *sent_at))
    }
}

/// Returns the load of each head in a digest that contains this daemon's own report.
fn head_loads(digest: &LoadDigest, own: &LoadReport) -> BTreeMap<Epoch, HeadLoad> {
    let factors = Factors::new(digest);
    let own: BTreeMap<Epoch, HeadCount> = own.heads.iter().collect();
    let heads = digest.heads.iter();
    let loads = heads.map(|(epoch, total)| {
        let own = own.get(&epoch).copied().unwrap_or_default();
        (epoch, factors.head_load(total, own))
    });
    loads.collect()
}

/// Factors from the counts of the daemons that report to those of all.
#[derive(Clone, Copy, Debug)]
struct Factors {
    /// Factor on the requests of the other daemons.
    others: f64,
    /// Factor from changes in the window of a digest to changes in a second.
    rates: f64,
}

impl Factors {
    /// Derives the factors: callers choose daemons at random, so those that don't report have as many
    /// requests.
    fn new(digest: &LoadDigest) -> Self {
        let scale =
            |reporters: u32| f64::from(reporters + digest.silent) / f64::from(reporters.max(1));
        Self {
            others: scale(digest.reporters.saturating_sub(1)),
            rates: scale(digest.reporters) / RATE_WINDOW_S,
        }
    }

    /// Returns the load of a head, of whose requests `own` are this daemon's.
    fn head_load(self, total: HeadCount, own: HeadCount) -> HeadLoad {
        let others = total.in_flight.saturating_sub(own.in_flight);
        HeadLoad {
            others: (f64::from(others) * self.others).round() as u32,
            starts_per_s: f64::from(total.started) * self.rates,
            ends_per_s: f64::from(total.ended) * self.rates,
            refusals_per_s: f64::from(total.refused) * self.rates,
            late_per_s: f64::from(total.late) * self.rates,
        }
    }
}
