//! Runners that ended a connection and still listen.
//!
//! Such a runner has lost a single connection, or it has crashed and was back at
//! once. Only its next report tells: a new run at the same address.

use super::reports::{CrashReport, Evidence};
use crate::{
    core::time::{Span, Time},
    gateway::roster::RunnerInstance,
};
use std::net::SocketAddr;

/// Time within which a runner that was back at once has reported its new run.
const REPORT_TIMEOUT: Span = Span::from_secs(10);

/// Maximum number of requests that are kept.
const MAX_PENDING: usize = 256;

/// Request whose runner may have crashed.
#[derive(Debug)]
struct Pending {
    at: Time,
    runner: RunnerInstance,
    address: SocketAddr,
    evidence: Evidence,
}

/// Requests whose runners may have crashed.
#[derive(Debug, Default)]
pub struct Restarts {
    pending: Vec<Pending>,
}

impl Restarts {
    /// Adds a request whose connection the runner at an address ended.
    pub fn push(
        &mut self,
        runner: RunnerInstance,
        address: SocketAddr,
        evidence: Evidence,
        now: Time,
    ) {
        if self.pending.len() < MAX_PENDING {
            self.pending.push(Pending {
                at: now,
                runner,
                address,
                evidence,
            });
        }
    }

    /// Returns the requests whose runners have crashed, as a later run is at their addresses, and
    /// forgets them.
    pub fn take_crashed<F>(&mut self, has_restarted: F, now: Time) -> Vec<CrashReport>
    where
        F: Fn(&RunnerInstance, SocketAddr) -> bool,
    {
        self.pending
            .retain(|pending| now.since(pending.at) < REPORT_TIMEOUT);
        let crashed = self.pending.extract_if(.., |pending| {
            has_restarted(&pending.runner, pending.address)
        });
        let reports = crashed.map(|pending| CrashReport {
            runner: pending.runner,
            evidence: pending.evidence,
        });
        reports.collect()
    }
}
