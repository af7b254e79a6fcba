//! Sum of the daemons' reports at an aggregator.

use super::message::{HeadCount, HeadCounts, LoadDigest, LoadReport, RATE_WINDOW_S, ReportId};
use crate::core::{
    keys::Epoch,
    time::{Span, Time},
};
use std::{collections::BTreeMap, net::SocketAddr};

/// Intervals after which a daemon's report counts no more.
const REPORT_TTL_INTERVALS: u64 = 3;

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
        let mut sums: BTreeMap<Epoch, (u32, f64)> = BTreeMap::new();
        let mut age = Span::ZERO;
        for (report, at) in self.reports.values() {
            age = age + now.since(*at);
            let per_window = RATE_WINDOW_S * 1e3 / f64::from(report.span_ms.max(1));
            for (epoch, count) in report.heads.iter() {
                let (in_flight, started) = sums.entry(epoch).or_default();
                *in_flight = in_flight.saturating_add(count.in_flight);
                *started += f64::from(count.started) * per_window;
            }
        }
        let heads = sums.into_iter().map(|(epoch, (in_flight, started))| {
            let started = started.round() as u32;
            (epoch, HeadCount { in_flight, started })
        });
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
