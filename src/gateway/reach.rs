//! Whether this daemon reaches any runner.
//!
//! Runners crash and fall silent one by one, while others take connections. A
//! daemon whose new connections to several runners have all failed, with none
//! established since, is itself cut off. Connections that were open before say
//! nothing: they may live on.

use super::roster::HostKey;
use crate::core::time::{Span, Time};
use std::collections::BTreeSet;

/// Runners in a row that can't be connected to from which the daemon counts as cut off.
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
    /// Time since which the daemon counts as cut off.
    cut_off_since: Option<Time>,
}

/// Change of whether any runner is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
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
        let since = self.cut_off_since.take()?;
        let after = now.since(since);
        Some(ReachChange::Regained { after })
    }

    /// Records that a new connection to a runner failed, one of `known` runners.
    pub fn failed(&mut self, host: HostKey, known: usize, now: Time) -> Option<ReachChange> {
        if now.since(self.failed_at) > FAILURE_TTL {
            self.failed.clear();
        }
        self.failed_at = now;
        self.failed.insert(host);
        let is_lost = self.failed.len() >= MIN_FAILED.min(known.max(1));
        if !is_lost || self.is_cut_off() {
            return None;
        }
        self.cut_off_since = Some(now);
        Some(ReachChange::Lost)
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
