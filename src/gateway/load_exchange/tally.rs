//! Sum of the daemons' reports at an aggregator.

use super::message::{HeadCount, HeadCounts, LoadDigest, LoadReport, RATE_WINDOW_S, ReportId};
use crate::core::{
    keys::Epoch,
    time::{Span, Time},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Intervals after which a daemon's report counts no more.
const REPORT_TTL_INTERVALS: u64 = 3;

/// Time after which a daemon that has an entry and doesn't report counts as silent. The entry of one
/// that was lost is gone by then.
const SILENCE_TIMEOUT: Span = Span::from_millis(5_000);

/// Requests of several daemons at one head.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    in_flight: u32,
    started: f64,
    ended: f64,
    refused: f64,
    late: f64,
}

impl Sum {
    /// Adds the requests of one daemon, with a factor on the changes.
    fn add(&mut self, count: HeadCount, factor: f64) {
        self.in_flight = self.in_flight.saturating_add(count.in_flight);
        self.started += f64::from(count.started) * factor;
        self.ended += f64::from(count.ended) * factor;
        self.refused += f64::from(count.refused) * factor;
        self.late += f64::from(count.late) * factor;
    }

    fn rounded(self) -> HeadCount {
        HeadCount {
            in_flight: self.in_flight,
            started: self.started.round() as u32,
            ended: self.ended.round() as u32,
            refused: self.refused.round() as u32,
            late: self.late.round() as u32,
        }
    }
}

/// Latest report of each daemon.
#[derive(Debug, Default)]
pub struct Tally {
    reports: BTreeMap<SocketAddr, (LoadReport, Time)>,
    /// Time of the last report of each known daemon, or since which it is known.
    heard: BTreeMap<SocketAddr, Time>,
}

impl Tally {
    /// Records a daemon's report; returns false if a later one of the same run is known.
    pub fn record(&mut self, from: SocketAddr, report: LoadReport, now: Time) -> bool {
        let known = self.reports.get(&from).map(|(known, _)| known.id);
        let is_outdated = known.is_some_and(|known| {
            known.run == report.id.run && known.sequence >= report.id.sequence
        });
        if !is_outdated {
            self.reports.insert(from, (report, now));
        }
        !is_outdated
    }

    /// Returns the sum of the recent reports of the daemons with an entry, and drops all others.
    pub fn digest(
        &mut self,
        daemons: &BTreeSet<SocketAddr>,
        interval: Span,
        now: Time,
    ) -> LoadDigest {
        let ttl = interval.times(REPORT_TTL_INTERVALS);
        self.reports
            .retain(|from, (_, at)| now.since(*at) < ttl && daemons.contains(from));
        let silent = self.count_silent(daemons, now);
        let mut sums: BTreeMap<Epoch, Sum> = BTreeMap::new();
        let mut age = Span::ZERO;
        for (report, at) in self.reports.values() {
            age = age + now.since(*at);
            let per_window = RATE_WINDOW_S * 1e3 / f64::from(report.span_ms.max(1));
            for (epoch, count) in report.heads.iter() {
                sums.entry(epoch).or_default().add(count, per_window);
            }
        }
        let heads = sums.into_iter().map(|(epoch, sum)| (epoch, sum.rounded()));
        let reporters = self.reports.len().max(1) as u64;
        LoadDigest {
            reporters: self.reports.len() as u32,
            silent,
            age_ms: (age.as_millis() / reporters) as u32,
            heads: HeadCounts::new(&heads.collect()),
        }
    }

    /// Returns the number of daemons that haven't reported for long, or never did.
    fn count_silent(&mut self, daemons: &BTreeSet<SocketAddr>, now: Time) -> u32 {
        self.heard.retain(|daemon, _| daemons.contains(daemon));
        for daemon in daemons {
            let report = self.reports.get(daemon);
            let reported_at = report.map(|(_, at)| *at);
            let heard = self.heard.entry(*daemon).or_insert(now);
            *heard = reported_at.unwrap_or(*heard);
        }
        let heard = self.heard.values();
        heard
            .filter(|at| now.since(**at) >= SILENCE_TIMEOUT)
            .count() as u32
    }

    /// Returns the identifier of a daemon's report that the last digest contains, if it contains one.
    pub fn contained(&self, daemon: SocketAddr) -> Option<ReportId> {
        self.reports.get(&daemon).map(|(report, _)| report.id)
    }
}
