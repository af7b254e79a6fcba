//! Work of accounts at a daemon that isn't reported yet, and its sum at an aggregator.

use crate::{
    core::time::{Span, Time},
    gateway::account_work::{
        MAX_REPORT_BYTES, ShareKey, WORK_INTERVAL, WORK_TTL_INTERVALS, Work, WorkCounts, WorkReport,
    },
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Work of the accounts since the last report. Nothing is kept before the first one.
#[derive(Clone, Debug, Default)]
pub struct PendingWork {
    work: BTreeMap<ShareKey, Work>,
    /// Time of the last report, while there are reports.
    since: Option<Time>,
}

impl PendingWork {
    /// Adds work of an account.
    pub fn add(&mut self, key: ShareKey, work: Work) {
        if self.since.is_some() {
            *self.work.entry(key).or_default() += work;
        }
    }

    /// Returns true while there are reports.
    pub fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Takes the next report, if one is due.
    pub fn take(&mut self, now: Time) -> Option<WorkReport> {
        let elapsed = self.since.map(|at| now.since(at));
        if elapsed.is_some_and(|elapsed| elapsed < WORK_INTERVAL) {
            return None;
        }
        self.since = Some(now);
        let work = std::mem::take(&mut self.work);
        let report = WorkReport {
            span_ms: elapsed?.as_millis() as u32,
            counts: WorkCounts::new(&work, MAX_REPORT_BYTES),
        };
        (!report.counts.is_empty()).then_some(report)
    }

    /// Drops the work that isn't reported, as there will be no report.
    pub fn stop(&mut self) {
        *self = Self::default();
    }
}

/// Latest report of each daemon.
#[derive(Debug, Default)]
pub struct WorkTally {
    reports: BTreeMap<SocketAddr, (WorkReport, Time)>,
    /// Time of the last sum.
    summed_at: Option<Time>,
}

impl WorkTally {
    /// Records a daemon's report.
    pub fn record(&mut self, from: SocketAddr, report: WorkReport, now: Time) {
        self.reports.insert(from, (report, now));
    }

    /// Takes the work of all daemons in a second, if a sum is due; `interval` is that of the digests.
    /// Drops the reports that are out of date or of a daemon without an entry.
    pub fn take_rates(
        &mut self,
        daemons: &BTreeSet<SocketAddr>,
        interval: Span,
        now: Time,
    ) -> Option<BTreeMap<ShareKey, Work>> {
        let is_due = |at: Time| now.since(at) >= WORK_INTERVAL;
        if !self.summed_at.is_none_or(is_due) {
            return None;
        }
        self.summed_at = Some(now);
        let ttl = interval.max(WORK_INTERVAL).times(WORK_TTL_INTERVALS);
        self.reports
            .retain(|from, (_, at)| now.since(*at) < ttl && daemons.contains(from));
        let mut rates: BTreeMap<ShareKey, Work> = BTreeMap::new();
        for (report, _) in self.reports.values() {
            let per_second = 1e3 / f64::from(report.span_ms.max(1));
            for (key, work) in report.counts.iter() {
                *rates.entry(key).or_default() += work.scaled(per_second);
            }
        }
        (!rates.is_empty()).then_some(rates)
    }
}
