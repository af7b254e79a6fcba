//! The planner: computes the next placement record of a domain from the current
//! record and a snapshot of the domain.
//!
//! It is a pure function without state between calls, so any duty holder can
//! continue where another one stopped. It never assigns a host twice; the
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

/// A group as requested by operators, with its model's defaults filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct WantedGroup {
    /// Its model.
    pub model: ModelName,
    /// Model version to load.
    pub version: VersionName,
    /// Adapters to load.
    pub adapters: Vec<AdapterName>,
    /// Number of hosts that it needs.
    pub size: usize,
    /// False while operators keep the group drained or have deleted it.
    pub enabled: bool,
}

/// Condition of a host, which decides how the planner may use it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Up and free to be assigned to any group.
    Usable,
    /// Up, but not to be chosen as a spare: back too recently, or still assigned in another domain.
    Ineligible,
    /// Not answering, or dead too recently for a repair.
    Suspect,
    /// Announced to leave; its groups are moved away.
    Leaving,
    /// Dead for long enough that its group is repaired, or unknown.
    Lost,
}

/// State of a domain as seen by its duty holder; the input of the planner.
#[derive(Clone, Debug, Default)]
pub struct DomainSnapshot {
    /// Groups wanted in the domain.
    pub wanted: BTreeMap<GroupName, WantedGroup>,
    /// Engine hosts of the domain and their conditions.
    pub hosts: BTreeMap<HostName, Condition>,
    /// Weights that each host already holds in memory.
    pub held_weights: BTreeMap<HostName, (ModelName, VersionName)>,
    /// Loading epochs that every host has loaded and is ready to serve.
    pub loaded: BTreeSet<Epoch>,
    /// Serving epochs that at least one of their hosts no longer holds.
    pub unloaded: BTreeSet<Epoch>,
    /// Ended epochs that every daemon has confirmed and no host runs work for.
    pub drained: BTreeSet<Epoch>,
    /// Planned moves that may begin now, by model.
    pub allowance: BTreeMap<ModelName, Allowance>,
    /// Time since each host that is down went down.
    pub down_for: BTreeMap<HostName, Span>,
    /// Number of accelerators of each host.
    pub accelerators: BTreeMap<HostName, u16>,
    /// Estimated time for a host to load each model's weights.
    pub load_time: BTreeMap<ModelName, Span>,
    /// Costs of downtime and of stranded accelerators.
    pub costs: repair::Costs,
    /// Repair policy for groups that lost hosts.
    pub policy: repair::Policy,
    /// Highest epoch known to be in use; new epochs are above it.
    pub epoch_floor: i64,
}

/// Limits on planned moves of one model's groups in this pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Number of groups that may start to move.
    pub starts: usize,
    /// Number of groups that may be taken out of service.
    pub removals: usize,
}

/// Returns the next placement record; equal to `record` if nothing needs to change.
pub fn next(record: &Placement, snapshot: &DomainSnapshot) -> Placement {
    let mut planner = Planner {
        snapshot,
        record: record.clone(),
        allowance: snapshot.allowance.clone(),
    };
    planner.free_drained();
    for name in planner.group_names() {
        planner.advance(&name);
    }
    for name in repair::broken_groups(&planner.record, snapshot) {
        planner.repair_group(&name);
    }
    planner.place_missing();
    planner.record
}

struct Planner<'a> {
    snapshot: &'a DomainSnapshot,
    record: Placement,
    allowance: BTreeMap<ModelName, Allowance>,
}

/// Queries.
impl Planner<'_> {
    fn group_names(&self) -> Vec<GroupName> {
        self.record.groups.keys().cloned().collect()
    }

    fn wanted(&self, name: &GroupName) -> Option<&WantedGroup> {
        self.snapshot.wanted.get(name).filter(|w| w.enabled)
    }

    fn spares(&self) -> Vec<HostName> {
        place::spares(&self.record, self.snapshot)
    }

    /// Returns the number of placed groups of a model.
    fn count_placed(&self, model: &ModelName) -> usize {
        let groups = self.record.groups.values();
        groups.filter(|placed| placed.model == *model).count()
    }

    /// Returns true if the spares and the hosts of retiring placements together are enough for a
    /// group.
    fn draining_suffices(&self, spares: usize, wanted: &WantedGroup) -> bool {
        let retiring = self.record.retiring.iter();
        let draining: usize = retiring.map(|r| r.hosts.len()).sum();
        spares + draining >= wanted.size
    }

    /// Returns true if any host of a placement is in one of these conditions.
    fn any_host_is(&self, placed: &PlacedGroup, conditions: &[Condition]) -> bool {
        let hosts = &self.snapshot.hosts;
        placed.hosts.iter().any(|host| {
            let condition = hosts.get(host).copied().unwrap_or(Condition::Lost);
            conditions.contains(&condition)
        })
    }
}

/// Commands.
impl Planner<'_> {
    fn next_epoch(&mut self) -> Epoch {
        self.record.serial = self.record.serial.max(self.snapshot.epoch_floor) + 1;
        Epoch(self.record.serial)
    }

    /// Removes what has drained: retired placements, and draining groups.
    fn free_drained(&mut self) {
        let drained = &self.snapshot.drained;
        self.record.retiring.retain(|r| !drained.contains(&r.epoch));
        self.record
            .groups
            .retain(|_, g| g.stage != Stage::Draining || !drained.contains(&g.epoch));
    }

    /// Advances one group by a step: drains it if it is no longer wanted, switches to a loaded
    /// successor, puts it in service once loaded, or starts to replace it.
    fn advance(&mut self, name: &GroupName) {
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
        self.advance_next(name, &mut placed);
        if placed.stage == Stage::Loading && self.snapshot.loaded.contains(&placed.epoch) {
            placed.stage = Stage::Serving;
        }
        self.record.groups.insert(name.clone(), placed.clone());
        if placed.stage == Stage::Serving && !satisfies(&placed, &wanted) {
            self.replace_group(name, placed, &wanted);
        }
    }

    /// Switches to the successor placement once it is loaded; retires it if it lost a host.
    fn advance_next(&mut self, name: &GroupName, placed: &mut PlacedGroup) {
        let Some(next) = placed.next.clone() else {
            return;
        };
        if self.any_host_is(&next, &[Condition::Lost, Condition::Leaving]) {
            self.retire_next(name, placed);
            return;
        }
        if !self.snapshot.loaded.contains(&next.epoch) {
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
    /// old placement if there are enough spares, else after draining it.
    fn replace_group(&mut self, name: &GroupName, mut placed: PlacedGroup, wanted: &WantedGroup) {
        if placed
            .next
            .as_ref()
            .is_some_and(|next| satisfies(next, wanted))
        {
            return;
        }
        self.retire_next(name, &mut placed);
        let mut remaining = self
            .allowance
            .get(&placed.model)
            .copied()
            .unwrap_or_default();
        if remaining.starts > 0 {
            let spares = self.spares();
            match place::pick_group(&spares, wanted, self.snapshot) {
                Some(hosts) => {
                    remaining.starts -= 1;
                    placed.next = Some(Box::new(self.new_placement(hosts, wanted)));
                }
                None if remaining.removals > 0 && !self.draining_suffices(spares.len(), wanted) => {
                    remaining.starts -= 1;
                    remaining.removals -= 1;
                    placed.stage = Stage::Draining;
                }
                None => {}
            }
        }
        self.allowance.insert(placed.model.clone(), remaining);
        self.record.groups.insert(name.clone(), placed);
    }

    fn new_placement(&mut self, hosts: Vec<HostName>, wanted: &WantedGroup) -> PlacedGroup {
        PlacedGroup {
            epoch: self.next_epoch(),
            hosts,
            model: wanted.model.clone(),
            version: wanted.version.clone(),
            adapters: wanted.adapters.clone(),
            stage: Stage::Loading,
            next: None,
        }
    }

    /// Repairs one group with a host that is lost, leaving or no longer holds its weights.
    fn repair_group(&mut self, name: &GroupName) {
        let (Some(mut placed), Some(wanted)) = (
            self.record.groups.get(name).cloned(),
            self.wanted(name).cloned(),
        ) else {
            return;
        };
        if self.any_host_is(&placed, &[Condition::Lost]) {
            self.repair_lost(name, placed, &wanted);
        } else if self.any_host_is(&placed, &[Condition::Leaving]) {
            self.repair_leaving(name, placed, &wanted);
        } else if self.snapshot.unloaded.contains(&placed.epoch) {
            self.retire_next(name, &mut placed);
            let reloaded = self.new_placement(placed.hosts, &wanted);
            self.record.groups.insert(name.clone(), reloaded);
        }
    }

    /// Repairs a group that is down because it lost a host: completes it with other hosts, merges
    /// it with another broken group, or waits.
    fn repair_lost(&mut self, name: &GroupName, placed: PlacedGroup, wanted: &WantedGroup) {
        if placed.next.is_some() {
            return;
        }
        match repair::choose(&self.record, name, &placed, wanted, self.snapshot) {
            repair::Action::Wait => {}
            repair::Action::Complete(hosts) => {
                let reloaded = self.new_placement(hosts, wanted);
                self.record.groups.insert(name.clone(), reloaded);
            }
            repair::Action::Merge(other, hosts) => {
                if let Some(mut released) = self.record.groups.remove(&other) {
                    self.retire_next(&other, &mut released);
                }
                let reloaded = self.new_placement(hosts, wanted);
                self.record.groups.insert(name.clone(), reloaded);
            }
        }
    }

    /// Moves a group with a leaving host: beside the old placement if there are enough
    /// spares, else by draining it and placing it again on the remaining hosts.
    fn repair_leaving(&mut self, name: &GroupName, mut placed: PlacedGroup, wanted: &WantedGroup) {
        if placed.next.is_some() || placed.stage == Stage::Draining {
            return;
        }
        match place::pick_group(&self.spares(), wanted, self.snapshot) {
            Some(hosts) => placed.next = Some(Box::new(self.new_placement(hosts, wanted))),
            None => placed.stage = Stage::Draining,
        }
        self.record.groups.insert(name.clone(), placed);
    }

    /// Places wanted groups that have no hosts, those of the model with the fewest placed groups
    /// first.
    fn place_missing(&mut self) {
        let snapshot = self.snapshot;
        let mut missing: Vec<(usize, &GroupName, &WantedGroup)> = snapshot
            .wanted
            .iter()
            .filter(|(name, wanted)| wanted.enabled && !self.record.groups.contains_key(*name))
            .map(|(name, wanted)| (self.count_placed(&wanted.model), name, wanted))
            .collect();
        missing.sort_by_key(|(placed, name, _)| (*placed, *name));
        for (_, name, wanted) in missing {
            let spares = self.spares();
            let Some(hosts) = place::pick_group(&spares, wanted, snapshot) else {
                continue;
            };
            let placed = self.new_placement(hosts, wanted);
            self.record.groups.insert(name.clone(), placed);
        }
    }
}

/// Returns true if a placement has the wanted model, version, adapters and size.
pub(super) fn satisfies(placed: &PlacedGroup, wanted: &WantedGroup) -> bool {
    placed.model == wanted.model
        && placed.version == wanted.version
        && placed.adapters == wanted.adapters
        && placed.hosts.len() == wanted.size
}
