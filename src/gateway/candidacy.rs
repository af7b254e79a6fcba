//! Order in which daemons claim the duty.
//!
//! The holder of the duty probes and orders all runners, so it should be a
//! daemon with much processor time. The candidates are ranked by theirs, and
//! each waits a little longer than the one before it; if those have failed, it
//! claims the duty itself.

use super::peers::Peers;
use crate::core::{
    keys::{DaemonName, Epoch, Era, Revision},
    time::{Span, Time},
};

/// Time after the start in which the other daemons' entries arrive.
const STARTUP_WAIT: Span = Span::from_millis(600);

/// Delay of a candidate's claim after that of the one before it.
const RANK_DELAY: Span = Span::from_millis(300);

/// Number of candidates after which all others claim together.
const MAX_RANK: usize = 8;

/// Number of epochs reserved for one claim; later claims have larger revisions.
const EPOCHS_PER_CLAIM: i64 = 1_000;

/// Number of epochs reserved for one era of the store, for a billion revisions.
const EPOCHS_PER_ERA: i64 = 1_000_000_000_000;

/// A daemon's candidacy for the duty.
#[derive(Debug)]
pub struct Candidacy {
    own: DaemonName,
    started: Time,
    /// Time since which the duty has no holder.
    vacant_since: Option<Time>,
    /// Time until which an earlier holder may go on that the store has forgotten.
    barred_until: Time,
    /// Era for which the daemon has been barred.
    barred_era: Option<Era>,
    /// Revision of the unreadable claim for which the daemon has been barred.
    barred_claim: Option<Revision>,
}

impl Candidacy {
    /// Creates the candidacy of a daemon that starts now.
    pub fn new(own: DaemonName, now: Time) -> Self {
        Self {
            own,
            started: now,
            vacant_since: None,
            barred_until: now,
            barred_era: None,
            barred_claim: None,
        }
    }

    /// Bars the daemon from claiming the duty for the time that an earlier holder's lease lasts.
    pub fn bar(&mut self, lease: Span, now: Time) {
        self.vacant_since = None;
        self.barred_until = now + lease;
    }

    /// Bars the daemon once if the store has come back from an older copy since a holder last
    /// published in it: what the store lists, a claim of this daemon too, may be out of date.
    pub fn bar_after_rollback(
        &mut self,
        published: Option<Era>,
        current: Option<Era>,
        lease: Span,
        now: Time,
    ) {
        let is_older = published.is_some() && current.is_some() && published != current;
        if is_older && self.barred_era != current {
            self.barred_era = current;
            self.bar(lease, now);
        }
    }

    /// Bars the daemon once for each claim that can't be read: the holder whose claim it replaced may
    /// not know yet. That holder itself is not barred.
    pub fn bar_after_overwrite(&mut self, peers: &Peers, lease: Span, now: Time) {
        let Some(claim) = &peers.unreadable_claim else {
            return;
        };
        let before = self.barred_claim.replace(claim.revision);
        if before != Some(claim.revision) && !self.was_overwritten(peers) {
            self.bar(lease, now);
        }
    }

    /// Returns true if the daemon should claim the duty, as far as it knows of a holder.
    pub fn should_claim(&mut self, peers: &Peers, now: Time) -> bool {
        if now < self.barred_until {
            return false;
        }
        match &peers.claim {
            // A claim of its own, from before its lease was in doubt or from an earlier run.
            Some((holder, _)) if *holder == self.own => true,
            Some(_) => {
                self.vacant_since = None;
                false
            }
            // Its own claim was overwritten, so that no other daemon is at work.
            None if self.was_overwritten(peers) => true,
            None => {
                let vacant_since = *self.vacant_since.get_or_insert(now);
                let from = vacant_since.max(self.started + STARTUP_WAIT);
                now >= from + RANK_DELAY.times(self.rank(peers) as u64)
            }
        }
    }

    fn was_overwritten(&self, peers: &Peers) -> bool {
        let claim = peers.unreadable_claim.as_ref();
        claim.is_some_and(|claim| claim.replaced.as_ref() == Some(&self.own))
    }

    fn rank(&self, peers: &Peers) -> usize {
        let ranked = peers.ranked();
        let rank = ranked.iter().position(|(name, _)| **name == self.own);
        rank.unwrap_or(ranked.len()).min(MAX_RANK)
    }
}

/// Returns the epoch before the first of a claim: larger than those of all earlier claims, also of
/// earlier eras, in which revisions may have been larger.
pub fn first_epoch(era: Era, claim: Revision) -> Epoch {
    Epoch(era.0 as i64 * EPOCHS_PER_ERA + claim.0 * EPOCHS_PER_CLAIM)
}
