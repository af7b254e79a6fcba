//! Runners that ended a connection and still listen.
//!
//! Such a runner has lost a single connection, or it has crashed and its listener
//! closes a moment later, or it was back at once. A second check shows the former
//! crash, and only the runner's next report the latter: a new run at the same
//! address.

use super::reports::{CrashReport, Evidence};
use crate::{
    core::time::{Span, Time},
    gateway::roster::RunnerInstance,
};
use std::{collections::BTreeMap, net::SocketAddr};

/// Time within which a runner that was back at once has reported its new run.
const REPORT_TIMEOUT: Span = Span::from_secs(10);

/// Time after which a runner is checked again.
pub const RECHECK_DELAY: Span = Span::from_millis(50);

/// Maximum number of requests that are kept.
const MAX_PENDING: usize = 256;

/// Request whose runner may have crashed.
#[derive(Debug)]
struct Pending {
    at: Time,
    runner: RunnerInstance,
    address: SocketAddr,
    evidence: Evidence,
    /// True if the runner was checked again.
    is_rechecked: bool,
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
                is_rechecked: false,
            });
        }
    }

    /// Returns the runners that are to be checked again now, with their addresses, and counts them as
    /// checked.
    pub fn take_unchecked(&mut self, now: Time) -> BTreeMap<RunnerInstance, SocketAddr> {
        let pending = self.pending.iter_mut();
        let due = pending
            .filter(|pending| !pending.is_rechecked && now.since(pending.at) >= RECHECK_DELAY);
        due.map(|pending| {
            pending.is_rechecked = true;
            (pending.runner.clone(), pending.address)
        })
        .collect()
    }

    /// Returns the requests whose runners have crashed, and forgets them.
    pub fn take_crashed<F>(&mut self, has_crashed: F, now: Time) -> Vec<CrashReport>
    where
        F: Fn(&RunnerInstance, SocketAddr) -> bool,
    {
        self.pending
            .retain(|pending| now.since(pending.at) < REPORT_TIMEOUT);
        let crashed = self
            .pending
            .extract_if(.., |pending| has_crashed(&pending.runner, pending.address));
        let reports = crashed.map(|pending| CrashReport {
            runner: pending.runner,
            evidence: pending.evidence,
        });
        reports.collect()
    }
}
