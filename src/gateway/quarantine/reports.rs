//! This daemon's reports of crashes, which it sends to the collectors.
//!
//! A datagram may be lost, and a collector may stop: each report is sent twice,
//! and again when the collectors change.

use crate::{
    core::{
        keys::{Arrival, DaemonName, Fingerprint, PromptPart},
        time::{Span, Time},
    },
    gateway::roster::RunnerInstance,
};
use std::collections::VecDeque;

/// Time for which a report is kept for new collectors.
const REPORT_TTL: Span = Span::from_secs(30);

/// Maximum number of reports that are kept.
const MAX_REPORTS: usize = 256;

/// Number of times that a report is sent to the same collectors.
const SENDS: u32 = 2;

crate::record! {
    /// Request, as far as it tells what crashes runners.
    pub struct Evidence {
        /// The request, which may come again.
        pub request: Fingerprint,
        /// This arrival of it.
        pub arrival: Arrival,
        /// Parts of the request's prompt that other requests may share.
        pub parts: Vec<PromptPart>,
    }

    /// Request that a crashed runner had.
    pub struct CrashReport {
        /// The runner.
        pub runner: RunnerInstance,
        /// The request.
        pub evidence: Evidence,
    }
}

#[derive(Debug)]
struct Entry {
    at: Time,
    report: CrashReport,
    /// Number of times that it is still to be sent.
    sends_left: u32,
}

/// Recent reports.
#[derive(Debug, Default)]
pub struct Reports {
    entries: VecDeque<Entry>,
    /// Daemons that the reports were sent to.
    collectors: Vec<DaemonName>,
}

impl Reports {
    /// Adds a report.
    pub fn push(&mut self, report: CrashReport, now: Time) {
        self.entries.push_back(Entry {
            at: now,
            report,
            sends_left: SENDS,
        });
        while self.entries.len() > MAX_REPORTS {
            self.entries.pop_front();
        }
    }

    /// Returns true if there are no reports.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the reports to be sent to these collectors now, and counts them as sent.
    pub fn take_due(&mut self, collectors: &[DaemonName], now: Time) -> Vec<CrashReport> {
        self.entries
            .retain(|entry| now.since(entry.at) < REPORT_TTL);
        if self.collectors != collectors {
            self.collectors = collectors.to_vec();
            let entries = self.entries.iter_mut();
            entries.for_each(|entry| entry.sends_left = SENDS);
        }
        let due = self.entries.iter_mut().filter(|entry| entry.sends_left > 0);
        due.map(|entry| {
            entry.sends_left -= 1;
            entry.report.clone()
        })
        .collect()
    }
}
