//! The planner: from a placement record and a picture of its domain to the
//! record that should follow it.
//!
//! Pure and repeatable: it keeps nothing between calls, so any duty holder
//! goes on where another one left off. It never names a host twice; the
//! record is checked again before it is written (`check`).

use super::{
    super::{
        config::record::{PlacedGroup, Placement, Retiring, Stage},
        keys::{AdapterName, Epoch, GroupName, HostName, ModelName, VersionName},
        time::Span,
    },
    place, repair,
};
use std::collections::{BTreeMap, BTreeSet};

/// A group as operators want it, with its model's defaults filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct WantedGroup {
    /// Its model.
    pub model: ModelName,
    /// The version that it is to hold.
    pub version: VersionName,
    /// The adapters that it is to hold.
    pub adapters: Vec<AdapterName>,
    /// Hosts that it needs.
    pub size: usize,
    /// Whether it is to run; not while it is drained or being deleted.
    pub enabled: bool,
}

/// What the planner may do with a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It may hold a group.
    Usable,
    /// Up, but back too recently to be chosen for a group that lacks a host.
    Unsteady,
    /// Not answering, or gone too recently to act upon.
    Doubtful,
    /// It is leaving.
    Leaving,
    /// It is gone.
    Lost,
}

/// A domain as its duty holder sees it.
#[derive(Clone, Debug, Default)]
pub struct DomainSnapshot {
    /// The groups wanted in the domain.
    pub wanted: BTreeMap<GroupName, WantedGroup>,
    /// The engine hosts.
    pub hosts: BTreeMap<HostName, Condition>,
    /// What hosts hold in memory already.
    pub held_weights: BTreeMap<HostName, (ModelName, VersionName)>,
    /// Epochs that all their hosts hold and are ready for.
    pub loaded: BTreeSet<Epoch>,
    /// Epochs that one of their hosts no longer holds.
    pub unloaded: BTreeSet<Epoch>,
    /// Epochs with nothing running on any host, known by all daemons to be over.
    pub drained: BTreeSet<Epoch>,
    /// What planned work may do now, by model.
    pub allowance: BTreeMap<ModelName, Allowance>,
    /// How long lost hosts have been gone.
    pub down_for: BTreeMap<HostName, Span>,
    /// Accelerators of each host.
    pub accelerators: BTreeMap<HostName, u16>,
    /// How long a host takes to load each model's weights.
    pub load_time: BTreeMap<ModelName, Span>,
    /// What downtime and stranded accelerators cost.
    pub costs: repair::Costs,
    /// How broken groups are repaired.
    pub policy: repair::Policy,
    /// The lowest epoch that may be drawn.
    pub epoch_floor: i64,
}

/// How many groups of a model planned work may touch now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Groups that may start to move.
    pub starts: usize,
    /// Groups that may be taken out of service.
    pub removals: usize,
}

/// The record that should follow; equal to `record` if all is as it should be.
pub fn next(record: &Placement, picture: &DomainSnapshot) -> Placement {
    let mut planner = Planner {
        picture,
        record: record.clone(),
        allowance: picture.allowance.clone(),
    };
    planner.free_drained();
    for name in planner.names() {
        planner.settle(&name);
    }
    for name in repair::order(&planner.record, picture) {
        planner.mend(&name);
    }
    planner.place_missing();
    planner.record
}

struct Planner<'a> {
    picture: &'a DomainSnapshot,
    record: Placement,
    allowance: BTreeMap<ModelName, Allowance>,
}

/// Queries.
impl Planner<'_> {
    fn names(&self) -> Vec<GroupName> {
        self.record.groups.keys().cloned().collect()
    }

    fn wanted(&self, name: &GroupName) -> Option<&WantedGroup> {
        self.picture.wanted.get(name).filter(|w| w.enabled)
    }

    fn spares(&self) -> Vec<HostName> {
        place::spares(&self.record, self.picture)
    }

    /// How many groups of a model are placed.
    fn placed_of(&self, model: &ModelName) -> usize {
        let groups = self.record.groups.values();
        groups.filter(|placed| placed.model == *model).count()
    }

    /// Whether hosts that are draining will make enough spares for a group.
    fn frees_soon(&self, spares: usize, wanted: &WantedGroup) -> bool {
        let retiring = self.record.retiring.iter();
        let draining: usize = retiring.map(|r| r.hosts.len()).sum();
        spares + draining >= wanted.size
    }

    /// Whether any host of a placement is in one of these conditions.
    fn any(&self, placed: &PlacedGroup, conditions: &[Condition]) -> bool {
        let hosts = &self.picture.hosts;
        placed.hosts.iter().any(|host| {
            let condition = hosts.get(host).copied().unwrap_or(Condition::Lost);
            conditions.contains(&condition)
        })
    }
}

/// Commands.
impl Planner<'_> {
    fn draw_epoch(&mut self) -> Epoch {
        self.record.serial = self.record.serial.max(self.picture.epoch_floor) + 1;
        Epoch(self.record.serial)
    }

    /// Forgets what has drained: retired placements, and groups out of service.
    fn free_drained(&mut self) {
        let drained = &self.picture.drained;
        self.record.retiring.retain(|r| !drained.contains(&r.epoch));
        self.record
            .groups
            .retain(|_, g| g.stage != Stage::Draining || !drained.contains(&g.epoch));
    }

    /// Takes one group a step further where nothing is broken.
    fn settle(&mut self, name: &GroupName) {
        let Some(mut placed) = self.record.groups.get(name).cloned() else {
            return;
        };
        if placed.stage == Stage::Draining {
            return;
        }
        let Some(wanted) = self.wanted(name).cloned() else {
            self.retire_next(name, &mut placed);
            placed.stage = Stage::Draining;
            self.record.groups.insert(name.clone(), placed);
            return;
        };
        self.settle_next(name, &mut placed);
        if placed.stage == Stage::Loading && self.picture.loaded.contains(&placed.epoch) {
            placed.stage = Stage::Serving;
        }
        self.record.groups.insert(name.clone(), placed.clone());
        if placed.stage == Stage::Serving && !fits(&placed, &wanted) {
            self.replace_whole(name, placed, &wanted);
        }
    }

    /// Switches to the successor once it is loaded; drops one that lost a host.
    fn settle_next(&mut self, name: &GroupName, placed: &mut PlacedGroup) {
        let Some(next) = placed.next.clone() else {
            return;
        };
        if self.any(&next, &[Condition::Lost, Condition::Leaving]) {
            self.retire_next(name, placed);
            return;
        }
        if !self.picture.loaded.contains(&next.epoch) {
            return;
        }
        self.record.retiring.push(Retiring {
            group: name.clone(),
            epoch: placed.epoch,
            hosts: std::mem::take(&mut placed.hosts),
        });
        *placed = *next;
        placed.stage = Stage::Serving;
    }

    fn retire_next(&mut self, name: &GroupName, placed: &mut PlacedGroup) {
        let Some(next) = placed.next.take() else {
            return;
        };
        self.record.retiring.push(Retiring {
            group: name.clone(),
            epoch: next.epoch,
            hosts: next.hosts,
        });
    }

    /// Moves a group in service to other hosts or another version: beside the
    /// old placement if spares allow, else after it.
    fn replace_whole(&mut self, name: &GroupName, mut placed: PlacedGroup, wanted: &WantedGroup) {
        if placed.next.as_ref().is_some_and(|next| fits(next, wanted)) {
            return;
        }
        self.retire_next(name, &mut placed);
        let mut left = self
            .allowance
            .get(&placed.model)
            .copied()
            .unwrap_or_default();
        if left.starts > 0 {
            let spares = self.spares();
            match place::pick(&spares, wanted, self.picture) {
                Some(hosts) => {
                    left.starts -= 1;
                    placed.next = Some(Box::new(self.loading(hosts, wanted)));
                }
                None if left.removals > 0 && !self.frees_soon(spares.len(), wanted) => {
                    left.starts -= 1;
                    left.removals -= 1;
                    placed.stage = Stage::Draining;
                }
                None => {}
            }
        }
        self.allowance.insert(placed.model.clone(), left);
        self.record.groups.insert(name.clone(), placed);
    }

    fn loading(&mut self, hosts: Vec<HostName>, wanted: &WantedGroup) -> PlacedGroup {
        PlacedGroup {
            epoch: self.draw_epoch(),
            hosts,
            model: wanted.model.clone(),
            version: wanted.version.clone(),
            adapters: wanted.adapters.clone(),
            stage: Stage::Loading,
            next: None,
        }
    }

    /// Repairs one group whose hosts are gone, leaving or emptied.
    fn mend(&mut self, name: &GroupName) {
        let (Some(mut placed), Some(wanted)) = (
            self.record.groups.get(name).cloned(),
            self.wanted(name).cloned(),
        ) else {
            return;
        };
        if self.any(&placed, &[Condition::Lost]) {
            self.mend_lost(name, placed, &wanted);
        } else if self.any(&placed, &[Condition::Leaving]) {
            self.mend_leaving(name, placed, &wanted);
        } else if self.picture.unloaded.contains(&placed.epoch) {
            self.retire_next(name, &mut placed);
            let again = self.loading(placed.hosts, &wanted);
            self.record.groups.insert(name.clone(), again);
        }
    }

    /// A group that lost a host is down: it is completed, or its hosts freed.
    fn mend_lost(&mut self, name: &GroupName, placed: PlacedGroup, wanted: &WantedGroup) {
        if placed.next.is_some() {
            return;
        }
        match repair::choose(&self.record, name, &placed, wanted, self.picture) {
            repair::Choice::Wait => {}
            repair::Choice::Complete(hosts) => {
                let again = self.loading(hosts, wanted);
                self.record.groups.insert(name.clone(), again);
            }
            repair::Choice::Merge(other, hosts) => {
                if let Some(mut given_up) = self.record.groups.remove(&other) {
                    self.retire_next(&other, &mut given_up);
                }
                let again = self.loading(hosts, wanted);
                self.record.groups.insert(name.clone(), again);
            }
        }
    }

    /// A group with a leaving host moves beside the old placement if spares
    /// allow; else it drains, and is placed anew on the hosts that stay.
    fn mend_leaving(&mut self, name: &GroupName, mut placed: PlacedGroup, wanted: &WantedGroup) {
        if placed.next.is_some() || placed.stage == Stage::Draining {
            return;
        }
        match place::pick(&self.spares(), wanted, self.picture) {
            Some(hosts) => placed.next = Some(Box::new(self.loading(hosts, wanted))),
            None => placed.stage = Stage::Draining,
        }
        self.record.groups.insert(name.clone(), placed);
    }

    /// Places wanted groups that have no hosts, of the rarest model first.
    fn place_missing(&mut self) {
        let picture = self.picture;
        let mut missing: Vec<(usize, &GroupName, &WantedGroup)> = picture
            .wanted
            .iter()
            .filter(|(name, wanted)| wanted.enabled && !self.record.groups.contains_key(*name))
            .map(|(name, wanted)| (self.placed_of(&wanted.model), name, wanted))
            .collect();
        missing.sort_by_key(|(placed, name, _)| (*placed, *name));
        for (_, name, wanted) in missing {
            let spares = self.spares();
            let Some(hosts) = place::pick(&spares, wanted, picture) else {
                continue;
            };
            let placed = self.loading(hosts, wanted);
            self.record.groups.insert(name.clone(), placed);
        }
    }
}

/// Whether a placement holds what is wanted.
pub(super) fn fits(placed: &PlacedGroup, wanted: &WantedGroup) -> bool {
    placed.model == wanted.model
        && placed.version == wanted.version
        && placed.adapters == wanted.adapters
        && placed.hosts.len() == wanted.size
}
