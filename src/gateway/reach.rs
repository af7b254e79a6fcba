//! Whether this daemon reaches any runner.
//!
//! Runners crash and fall silent one by one, while others take connections. A
//! daemon whose new connections to several runners have all failed, with none
//! established since, may itself be cut off, and connects to others: it is if
//! these fail too. Connections that were open before say nothing: they may live on.

use super::roster::HostKey;
use crate::core::time::{Span, Time};
use std::collections::BTreeSet;

/// Runners in a row that can't be connected to from which the daemon may be cut off.
const MIN_FAILED: usize = 3;

/// Time after which a failure says nothing about now.
const FAILURE_TTL: Span = Span::from_secs(5);

/// Time without any runner after which a daemon hands its duty over.
const HAND_OVER_DELAY: Span = Span::from_millis(1_500);

/// Outcomes of the latest new connections.
#[derive(Debug, Default)]
pub struct Reach {
    /// Runners that could not be connected to since the last success.
    failed: BTreeSet<HostKey>,
    /// Time of the last failure.
    failed_at: Time,
    /// True from too many failures until it is known whether other runners are reached.
    is_in_doubt: bool,
    /// Time since which the daemon counts as cut off.
    cut_off_since: Option<Time>,
}

/// Change of whether any runner is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// Perhaps none is reached; other runners are to be tried.
    Doubted,
    /// No runner is reached any more.
    Lost,
    /// Runners are reached again.
    Regained {
        /// Time for which none was reached.
        after: Span,
    },
}

impl Reach {
    /// Records that a runner took a new connection.
    pub fn connected(&mut self, now: Time) -> Option<ReachChange> {
        self.failed.clear();
        self.is_in_doubt = false;
        let since = self.cut_off_since.take()?;
        let after = now.since(since);
        Some(ReachChange::Regained { after })
    }

    /// Records that a new connection to a runner failed, beside `others` that have not failed.
    pub fn failed(&mut self, host: HostKey, others: usize, now: Time) -> Option<ReachChange> {
        if now.since(self.failed_at) > FAILURE_TTL {
            self.failed.clear();
        }
        self.failed_at = now;
        self.failed.insert(host);
        if self.is_in_doubt || self.is_cut_off() {
            return None;
        }
        if others == 0 {
            self.cut_off_since = Some(now);
            return Some(ReachChange::Lost);
        }
        self.is_in_doubt = self.failed.len() >= MIN_FAILED;
        self.is_in_doubt.then_some(ReachChange::Doubted)
    }

    /// Records that other runners failed too, since there was doubt.
    pub fn others_failed(&mut self, now: Time) -> Option<ReachChange> {
        if !self.is_in_doubt {
            return None;
        }
        self.is_in_doubt = false;
        self.cut_off_since = Some(now);
        Some(ReachChange::Lost)
    }

    /// Returns true while it isn't known whether any runner is reached.
    pub fn is_in_doubt(&self) -> bool {
        self.is_in_doubt
    }

    /// Returns true if a runner could not be connected to since the last success.
    pub fn has_failed(&self, host: HostKey) -> bool {
        self.failed.contains(&host)
    }

    /// Returns true if no runner is reached.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns true if no runner has been reached for so long that a duty which needs them should
    /// go to another daemon.
    pub fn should_hand_over(&self, now: Time) -> bool {
        let since = self.cut_off_since;
        since.is_some_and(|since| now.since(since) >= HAND_OVER_DELAY)
    }
}
