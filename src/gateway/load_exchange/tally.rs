//! Sum of the daemons' reports at an aggregator.

use super::message::{HeadCount, HeadCounts, LoadDigest, LoadReport, RATE_WINDOW_S, ReportId};
use crate::core::{
    keys::Epoch,
    time::{Span, Time},
};
use std::{collections::BTreeMap, net::SocketAddr};

/// Intervals after which a daemon's report counts no more.
const REPORT_TTL_INTERVALS: u64 = 3;

/// Requests of several daemons at one head.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    in_flight: u32,
    started: f64,
    ended: f64,
    refused: f64,
}

impl Sum {
    /// Adds the requests of one daemon, with a factor on the changes.
    fn add(&mut self, count: HeadCount, factor: f64) {
        self.in_flight = self.in_flight.saturating_add(count.in_flight);
        self.started += f64::from(count.started) * factor;
        self.ended += f64::from(count.ended) * factor;
        self.refused += f64::from(count.refused) * factor;
    }

    fn rounded(self) -> HeadCount {
        HeadCount {
            in_flight: self.in_flight,
            started: self.started.round() as u32,
            ended: self.ended.round() as u32,
            refused: self.refused.round() as u32,
        }
    }
}

/// Latest report of each daemon.
#[derive(Debug, Default)]
pub struct Tally {
    reports: BTreeMap<SocketAddr, (LoadReport, Time)>,
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

    /// Returns the sum of the recent reports of known daemons, and drops all others.
    pub fn digest<F>(&mut self, is_known: F, interval: Span, now: Time) -> LoadDigest
    where
        F: Fn(SocketAddr) -> bool,
    {
        let ttl = interval.times(REPORT_TTL_INTERVALS);
        self.reports
            .retain(|from, (_, at)| now.since(*at) < ttl && is_known(*from));
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
            age_ms: (age.as_millis() / reporters) as u32,
            heads: HeadCounts::new(&heads.collect()),
        }
    }

    /// Returns the identifier of a daemon's report that the last digest contains, if it contains one.
    pub fn contained(&self, daemon: SocketAddr) -> Option<ReportId> {
        self.reports.get(&daemon).map(|(report, _)| report.id)
    }
}
