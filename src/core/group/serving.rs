//! The groups that this daemon may route to.
//!
//! Every daemon works this out for itself from the placements in force and
//! from the health of hosts, so that a host's trouble takes its group out of
//! service at the first evidence, with no word from a duty holder. A change
//! touches only the groups that it concerns.

use super::{
    super::{
        config::{
            View,
            record::{PlacedGroup, Stage},
        },
        keys::{DomainName, Epoch, GroupName, HostName, ModelName},
        member::{Health, Hosts},
        options::{Mechanism, Options},
        time::{Span, Time},
    },
    GroupKey, ServingGroup,
};
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet};

/// How long a group waits after a dead host of it came back: its duty holder
/// finds out first whether the host still holds what it did.
const RETURN_HOLD: Span = Span::from_secs(3);

/// What service is judged by.
#[derive(Clone, Copy)]
pub(super) struct Scene<'a> {
    pub(super) view: &'a View,
    pub(super) hosts: &'a Hosts,
    pub(super) options: &'a Options,
}

/// The arena of groups in service.
#[derive(Debug, Default)]
pub(super) struct Serving {
    arena: SlotMap<GroupKey, ServingGroup>,
    by_name: BTreeMap<GroupName, GroupKey>,
    by_model: BTreeMap<ModelName, Vec<GroupKey>>,
    by_host: BTreeMap<HostName, BTreeSet<GroupName>>,
    /// Hosts that each placed group is indexed under.
    placed: BTreeMap<GroupName, Vec<HostName>>,
    /// The health of hosts when their groups were last looked at.
    health: BTreeMap<HostName, Health>,
    /// Hosts that came back from the dead, and how long their groups wait.
    returning: BTreeMap<HostName, Time>,
    /// Groups whose placement was last seen in a domain.
    by_domain: BTreeMap<DomainName, BTreeSet<GroupName>>,
}

/// Queries.
impl Serving {
    pub(super) fn of_model(&self, model: &ModelName) -> &[GroupKey] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    pub(super) fn get(&self, key: GroupKey) -> Option<&ServingGroup> {
        self.arena.get(key)
    }

    pub(super) fn named(&self, name: &GroupName) -> Option<&ServingGroup> {
        self.arena.get(*self.by_name.get(name)?)
    }

    pub(super) fn is_current(&self, name: &GroupName, epoch: Epoch) -> bool {
        self.named(name).is_some_and(|group| group.epoch == epoch)
    }

    pub(super) fn len(&self) -> usize {
        self.arena.len()
    }

    /// The group as it may be routed to, or nothing if it may not.
    fn in_service(
        &self,
        scene: &Scene,
        name: &GroupName,
        placed: &PlacedGroup,
    ) -> Option<ServingGroup> {
        let spec = &scene.view.group(name)?.record;
        if placed.stage != Stage::Serving || spec.drained || spec.deleted {
            return None;
        }
        let lead = scene.hosts.get(placed.hosts.first()?)?;
        let mut members = placed.hosts.iter();
        if !members.all(|host| takes_work(scene, host) && !self.returning.contains_key(host)) {
            return None;
        }
        Some(ServingGroup {
            name: name.clone(),
            model: placed.model.clone(),
            version: placed.version.clone(),
            adapters: placed.adapters.clone(),
            epoch: placed.epoch,
            domain: spec.domain.clone(),
            hosts: placed.hosts.clone(),
            address: lead.entry.address,
            accounts: spec.accounts.clone(),
        })
    }

    /// The placed groups that use a host.
    pub(super) fn using(&self, host: &HostName) -> Vec<GroupName> {
        let groups = self.by_host.get(host).into_iter().flatten();
        groups.cloned().collect()
    }
}

/// Commands.
impl Serving {
    /// Looks again at every group placed in a domain.
    pub(super) fn refresh_domain(&mut self, scene: &Scene, domain: &DomainName) {
        let placed = scene.view.placement(domain);
        let now: BTreeSet<GroupName> = placed
            .map(|v| v.record.groups.keys().cloned().collect())
            .unwrap_or_default();
        let before = self.by_domain.insert(domain.clone(), now.clone());
        let gone = before.unwrap_or_default();
        for name in gone.union(&now) {
            self.refresh_group(scene, name);
        }
    }

    /// Looks again at the groups on a host; false if its health is as it was.
    pub(super) fn refresh_host(&mut self, scene: &Scene, now: Time, host: &HostName) -> bool {
        let health = scene.hosts.get(host).map_or(Health::Dead, |h| h.health);
        let before = self.health.insert(host.clone(), health);
        if before == Some(health) {
            return false;
        }
        if before == Some(Health::Dead) {
            self.returning.insert(host.clone(), now + RETURN_HOLD);
        }
        for name in self.using(host) {
            self.refresh_group(scene, &name);
        }
        true
    }

    /// Lets groups go on whose hosts have been back for long enough.
    pub(super) fn on_tick(&mut self, scene: &Scene, now: Time) {
        let due = self.returning.iter().filter(|(_, until)| **until <= now);
        let due: Vec<HostName> = due.map(|(host, _)| host.clone()).collect();
        for host in due {
            self.returning.remove(&host);
            for name in self.using(&host) {
                self.refresh_group(scene, &name);
            }
        }
    }

    /// Looks again at one group.
    pub(super) fn refresh_group(&mut self, scene: &Scene, name: &GroupName) {
        let Scene { view, .. } = scene;
        let domain = view.group(name).map(|spec| &spec.record.domain);
        let placed = domain
            .and_then(|domain| view.placement(domain))
            .and_then(|placement| placement.record.groups.get(name));
        self.index(name, placed.map_or(&[], |p| p.hosts.as_slice()));
        let group = placed.and_then(|placed| self.in_service(scene, name, placed));
        let held = self.named(name);
        if held == group.as_ref() {
            return;
        }
        self.remove(name);
        if let Some(group) = group {
            self.insert(group);
        }
    }

    fn index(&mut self, name: &GroupName, hosts: &[HostName]) {
        let before = self.placed.get(name).map_or(&[] as &[_], Vec::as_slice);
        if before == hosts {
            return;
        }
        for host in before {
            if let Some(groups) = self.by_host.get_mut(host) {
                groups.remove(name);
                if groups.is_empty() {
                    self.by_host.remove(host);
                }
            }
        }
        for host in hosts {
            let groups = self.by_host.entry(host.clone()).or_default();
            groups.insert(name.clone());
        }
        if hosts.is_empty() {
            self.placed.remove(name);
        } else {
            self.placed.insert(name.clone(), hosts.to_vec());
        }
    }

    fn insert(&mut self, group: ServingGroup) {
        let name = group.name.clone();
        let model = group.model.clone();
        let key = self.arena.insert(group);
        self.by_name.insert(name, key);
        self.by_model.entry(model).or_default().push(key);
    }

    fn remove(&mut self, name: &GroupName) {
        let Some(key) = self.by_name.remove(name) else {
            return;
        };
        let Some(group) = self.arena.remove(key) else {
            return;
        };
        if let Some(keys) = self.by_model.get_mut(&group.model) {
            keys.retain(|held| *held != key);
        }
    }
}

/// Whether a group with this host may get new work.
fn takes_work(scene: &Scene, host: &HostName) -> bool {
    let options = scene.options;
    match scene.hosts.get(host).map(|h| h.health) {
        Some(Health::Live) => true,
        Some(Health::Leaving) => !options.has(Mechanism::LeavingEvidence),
        Some(Health::Suspect | Health::Dead) | None => !options.has(Mechanism::CompleteGroups),
    }
}
