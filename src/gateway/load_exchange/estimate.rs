//! What a digest tells a daemon about the other daemons' requests.

use super::message::{HeadCount, HeadCounts, LoadDigest, LoadReport, RATE_WINDOW_S, ReportId};
use crate::core::{
    keys::Epoch,
    time::{Span, Time},
};
use std::collections::{BTreeMap, VecDeque};

/// Intervals after which a digest is out of date, counted from the report of this daemon that it
/// contains. Without losses that report is at most two intervals old.
const DIGEST_TTL_INTERVALS: u64 = 3;

/// Number of reports that are kept to recognize this daemon's share in a digest.
const KEPT_REPORTS: usize = 4;

/// Fraction of the daemons whose reports a digest must contain.
const MIN_COVERAGE: f64 = 0.5;

/// Requests of the other daemons at one head.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OtherRequests {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests started in a second.
    pub starts_per_s: f64,
}

/// Requests of the other daemons at all heads; a head without an entry has none.
#[derive(Clone, Debug, PartialEq)]
pub struct OthersLoad {
    /// Requests at each head.
    pub heads: BTreeMap<Epoch, OtherRequests>,
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
    /// Requests started so far at each head, as of the last report.
    started: BTreeMap<Epoch, u32>,
}

impl SentReports {
    /// Creates the reports of a run with a random number.
    pub fn new(run: u32) -> Self {
        Self {
            next: ReportId { run, sequence: 1 },
            sent_at: None,
            recent: VecDeque::new(),
            started: BTreeMap::new(),
        }
    }

    /// Creates the next report from the requests in flight and those started so far at each head.
    pub fn report(&mut self, totals: &BTreeMap<Epoch, HeadCount>, now: Time) -> LoadReport {
        let changed = totals.iter().filter_map(|(epoch, total)| {
            let before = self.started.get(epoch).copied().unwrap_or_default();
            let count = HeadCount {
                in_flight: total.in_flight,
                started: match self.sent_at {
                    Some(_) => total.started.wrapping_sub(before),
                    None => 0,
                },
            };
            (count != HeadCount::default()).then_some((*epoch, count))
        });
        let heads = HeadCounts::new(&changed.collect());
        let span = self.sent_at.map_or(Span::ZERO, |at| now.since(at));
        let report = LoadReport {
            id: self.next,
            span_ms: span.as_millis() as u32,
            heads,
        };
        self.next.sequence = self.next.sequence.wrapping_add(1);
        self.sent_at = Some(now);
        let started = totals.iter();
        self.started = started
            .map(|(epoch, total)| (*epoch, total.started))
            .collect();
        self.recent.push_back((report.clone(), now));
        if self.recent.len() > KEPT_REPORTS {
            self.recent.pop_front();
        }
        report
    }

    /// Derives the other daemons' requests from a digest that contains the report `own` of this
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
    ) -> Result<OthersLoad, Unusable> {
        let mut recent = self.recent.iter();
        let (report, sent_at) = recent
            .find(|(report, _)| Some(report.id) == own)
            .ok_or(Unusable::Unmatched)?;
        let until = *sent_at + interval.times(DIGEST_TTL_INTERVALS);
        if now >= until {
            return Err(Unusable::Outdated);
        }
        if f64::from(digest.reporters) < daemons as f64 * MIN_COVERAGE {
            return Err(Unusable::Partial);
        }
        let reported: BTreeMap<Epoch, HeadCount> = report.heads.iter().collect();
        let heads = digest.heads.iter().map(|(epoch, total)| {
            let own = reported.get(&epoch).copied().unwrap_or_default();
            let own_started = f64::from(own.started) * 1e3 / f64::from(report.span_ms.max(1));
            let starts_per_s = f64::from(total.started) / RATE_WINDOW_S - own_started;
            let others = OtherRequests {
                in_flight: total.in_flight.saturating_sub(own.in_flight),
                starts_per_s: starts_per_s.max(0.0),
            };
            (epoch, others)
        });
        Ok(OthersLoad {
            heads: heads.collect(),
            at: now - Span::from_millis(u64::from(digest.age_ms)),
            until,
        })
    }
}
