//! Halls that are evacuated: no request is sent to their runners.
//!
//! An evacuation lasts as long as its key is in the store. A store that comes
//! back from an older copy may lack the key until it is written again, so a hall
//! that is missing from such a copy stays evacuated for some time.

use crate::core::{
    keys::HallName,
    time::{Span, Time},
};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which an evacuation that an older copy of the store lacks is kept, in which its key is
/// written again.
pub const RESTORE_WINDOW: Span = Span::from_millis(2_000);

/// Beginning or end of a hall's evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// No more requests are to be sent to the hall's runners.
    Began(HallName),
    /// Requests may be sent to the hall's runners again.
    Ended(HallName),
}

/// Evacuated halls.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Evacuated halls; those that an older copy of the store lacks with the time until which they
    /// are kept.
    halls: BTreeMap<HallName, Option<Time>>,
    /// Evacuated halls that were reported to have no runners.
    reported_empty: BTreeSet<HallName>,
}

impl Evacuations {
    /// Replaces the evacuated halls by a list, and returns what this changes.
    pub fn replace(&mut self, listed: Vec<HallName>, now: Time) -> Vec<EvacuationChange> {
        let before = self.halls();
        self.halls
            .retain(|_, kept_until| kept_until.is_some_and(|until| now < until));
        self.halls
            .extend(listed.into_iter().map(|hall| (hall, None)));
        self.changes_since(&before)
    }

    /// Replaces the evacuated halls by a list from an older copy of the store, and returns what this
    /// changes.
    pub fn replace_by_older(&mut self, listed: Vec<HallName>, now: Time) -> Vec<EvacuationChange> {
        for kept_until in self.halls.values_mut() {
            *kept_until = Some(now + RESTORE_WINDOW);
        }
        self.replace(listed, now)
    }

    /// Applies changes in their order, and returns what they change together.
    pub fn apply(&mut self, changes: Vec<EvacuationChange>) -> Vec<EvacuationChange> {
        let before = self.halls();
        for change in changes {
            match change {
                EvacuationChange::Began(hall) => {
                    self.halls.insert(hall, None);
                }
                EvacuationChange::Ended(hall) => {
                    self.halls.remove(&hall);
                }
            }
        }
        self.changes_since(&before)
    }

    /// Ends the evacuations that were kept for long enough, and returns them.
    pub fn expire(&mut self, now: Time) -> Vec<EvacuationChange> {
        let before = self.halls();
        self.halls
            .retain(|_, kept_until| kept_until.is_none_or(|until| now < until));
        self.changes_since(&before)
    }

    /// Returns the evacuated halls out of `empty` that this has not returned since their evacuation began.
    pub fn report_empty(&mut self, empty: BTreeSet<HallName>) -> Vec<HallName> {
        let mut unreported: Vec<HallName> =
            empty.difference(&self.reported_empty).cloned().collect();
        unreported.retain(|hall| self.contains(hall));
        self.reported_empty.extend(unreported.iter().cloned());
        unreported
    }

    /// Returns true if a hall is evacuated.
    pub fn contains(&self, hall: &HallName) -> bool {
        self.halls.contains_key(hall)
    }

    /// Returns the evacuated halls.
    pub fn halls(&self) -> BTreeSet<HallName> {
        self.halls.keys().cloned().collect()
    }

    fn changes_since(&mut self, before: &BTreeSet<HallName>) -> Vec<EvacuationChange> {
        let halls = self.halls();
        self.reported_empty.retain(|hall| halls.contains(hall));
        let began = halls.difference(before).cloned();
        let ended = before.difference(&halls).cloned();
        began
            .map(EvacuationChange::Began)
            .chain(ended.map(EvacuationChange::Ended))
            .collect()
    }
}
