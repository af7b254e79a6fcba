//! Tracks which groups serve, and measures how long hosts are without one.
//!
//! An outage lasts from the loss of a group until one of its members serves
//! again. The evacuation of a hall is neither a loss nor, when it ends, a
//! repair.

use super::roster::{HostKey, Roster};
use crate::core::{
    keys::{Epoch, ModelName},
    time::{Span, Time},
};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which an outage is no longer tracked: its hosts may have left for good.
const OUTAGE_TIMEOUT: Span = Span::from_secs(120);

/// A group that serves, or served before its outage.
#[derive(Clone, Debug)]
struct ServingGroup {
    model: ModelName,
    members: BTreeSet<HostKey>,
}

/// A change in the set of serving groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServingChange {
    /// A group started to serve.
    Started {
        /// Epoch of the group.
        epoch: Epoch,
        /// Model that it serves.
        model: ModelName,
        /// Outage that the group ends: the time for which its members' last group didn't serve.
        repair_time: Option<Span>,
    },
    /// A group stopped serving.
    Stopped {
        /// Epoch of the group.
        epoch: Epoch,
        /// Model that it served.
        model: ModelName,
    },
}

/// Serving groups and outages that have not been repaired.
#[derive(Debug, Default)]
pub struct Outages {
    serving: BTreeMap<Epoch, ServingGroup>,
    /// Groups that stopped serving, with the time at which they did.
    unrepaired: Vec<(Time, ServingGroup)>,
}

impl Outages {
    /// Compares the roster's serving groups with those of the last update.
    pub fn update(&mut self, roster: &Roster, now: Time) -> Vec<ServingChange> {
        let groups = roster.groups().iter();
        let serving: BTreeMap<Epoch, ServingGroup> = groups
            .filter(|group| roster.can_serve(group, now))
            .map(|group| {
                let entry = ServingGroup {
                    model: group.model.clone(),
                    members: group.members.values().copied().collect(),
                };
                (group.epoch, entry)
            })
            .collect();
        let before = std::mem::take(&mut self.serving);
        let mut out = Vec::new();
        for (epoch, group) in &before {
            if !serving.contains_key(epoch) {
                self.unrepaired.push((now, group.clone()));
                let model = group.model.clone();
                out.push(ServingChange::Stopped {
                    epoch: *epoch,
                    model,
                });
            }
        }
        for (epoch, group) in &serving {
            if !before.contains_key(epoch) {
                let repair_time = self.end_outages(group, now);
                let model = group.model.clone();
                out.push(ServingChange::Started {
                    epoch: *epoch,
                    model,
                    repair_time,
                });
            }
        }
        self.unrepaired
            .retain(|(since, _)| now.since(*since) < OUTAGE_TIMEOUT);
        self.serving = serving;
        out
    }

    /// Returns the number of serving groups.
    pub fn serving_count(&self) -> usize {
        self.serving.len()
    }

    /// Ends the outages of a group's members and returns the duration of the first one.
    fn end_outages(&mut self, group: &ServingGroup, now: Time) -> Option<Span> {
        let is_repaired = |lost: &ServingGroup| !lost.members.is_disjoint(&group.members);
        let first = self.unrepaired.iter().find(|(_, lost)| is_repaired(lost));
        let repair_time = first.map(|(since, _)| now.since(*since));
        self.unrepaired.retain(|(_, lost)| !is_repaired(lost));
        repair_time
    }
}
