//! Which groups serve, and how long hosts are without one.
//!
//! Users measure the time from the loss of a group to the moment at which one
//! of its members serves again, so it is measured here in the same way.

use super::roster::{HostKey, Roster};
use crate::core::{
    keys::{Epoch, ModelName},
    time::{Span, Time},
};
use std::collections::{BTreeMap, BTreeSet};

/// How long an outage is remembered; its hosts may have left for good.
const MEMORY: Span = Span::from_secs(120);

/// A group that serves, or served last.
#[derive(Clone, Debug)]
struct Served {
    model: ModelName,
    members: BTreeSet<HostKey>,
}

/// A change of what serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServingChange {
    /// A group began to serve.
    Started {
        /// Its epoch.
        epoch: Epoch,
        /// Its model.
        model: ModelName,
        /// How long its members' last group was out of service, if they had one.
        repair_time: Option<Span>,
    },
    /// A group ceased to serve.
    Stopped {
        /// Its epoch.
        epoch: Epoch,
        /// Its model.
        model: ModelName,
    },
}

/// The groups that serve, and those that were lost and not repaired.
#[derive(Debug, Default)]
pub struct Outages {
    serving: BTreeMap<Epoch, Served>,
    lost: Vec<(Time, Served)>,
}

impl Outages {
    /// Takes in what serves now.
    pub fn update(&mut self, roster: &Roster, now: Time) -> Vec<ServingChange> {
        let groups = roster.groups().iter();
        let serving: BTreeMap<Epoch, Served> = groups
            .filter(|group| roster.is_serving(group, now))
            .map(|group| {
                let served = Served {
                    model: group.model.clone(),
                    members: group.members.values().copied().collect(),
                };
                (group.epoch, served)
            })
            .collect();
        let before = std::mem::take(&mut self.serving);
        let mut out = Vec::new();
        for (epoch, served) in &before {
            if !serving.contains_key(epoch) {
                self.lost.push((now, served.clone()));
                let model = served.model.clone();
                out.push(ServingChange::Stopped {
                    epoch: *epoch,
                    model,
                });
            }
        }
        for (epoch, served) in &serving {
            if !before.contains_key(epoch) {
                let repair_time = self.repaired(served, now);
                let model = served.model.clone();
                out.push(ServingChange::Started {
                    epoch: *epoch,
                    model,
                    repair_time,
                });
            }
        }
        self.lost.retain(|(since, _)| now.since(*since) < MEMORY);
        self.serving = serving;
        out
    }

    /// The number of groups that serve.
    pub fn serving_count(&self) -> usize {
        self.serving.len()
    }

    /// Ends the outages whose hosts serve again; how long the first of them lasted.
    fn repaired(&mut self, served: &Served, now: Time) -> Option<Span> {
        let is_back = |lost: &Served| !lost.members.is_disjoint(&served.members);
        let first = self.lost.iter().find(|(_, lost)| is_back(lost));
        let repair = first.map(|(since, _)| now.since(*since));
        self.lost.retain(|(_, lost)| !is_back(lost));
        repair
    }
}
