//! The groups that this daemon may route to.
//!
//! Every daemon derives them on its own from the placements in force and the
//! health of hosts, so that a failing host takes its group out of service at
//! the first evidence, without waiting for a duty holder. A change updates
//! only the groups that it affects.

use super::super::{
    config::{
        View,
        record::{PlacedGroup, Stage},
    },
    keys::{
        AccountName, AdapterName, DomainName, Epoch, GroupName, HostName, ModelName, VersionName,
    },
    member::{Health, Hosts},
    options::{Mechanism, Options},
    time::{Span, Time},
};
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Delay before a group serves again after one of its dead hosts came back; the duty holder first
/// finds out whether the host still holds its weights.
const RETURN_DELAY: Span = Span::from_secs(3);

slotmap::new_key_type! {
    /// Key of a group in service in this daemon's arena.
    pub struct GroupKey;
}

/// A group that requests may be routed to: in service at its current epoch, with every host up.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingGroup {
    /// The group.
    pub name: GroupName,
    /// Its model.
    pub model: ModelName,
    /// Model version loaded on its hosts.
    pub version: VersionName,
    /// Adapters loaded on its hosts.
    pub adapters: Vec<AdapterName>,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its fabric domain.
    pub domain: DomainName,
    /// Its hosts, the leading one first.
    pub hosts: Vec<HostName>,
    /// Address of the runner of the group's head.
    pub address: SocketAddr,
    /// Accounts allowed to use it; empty for all.
    pub accounts: Vec<AccountName>,
}

/// State from which groups in service are derived.
#[derive(Clone, Copy)]
pub(super) struct ServingInputs<'a> {
    pub(super) view: &'a View,
    pub(super) hosts: &'a Hosts,
    pub(super) options: &'a Options,
}

/// The groups in service, with indexes of them and of the placed groups.
#[derive(Debug, Default)]
pub(super) struct ServingGroups {
    arena: SlotMap<GroupKey, ServingGroup>,
    by_name: BTreeMap<GroupName, GroupKey>,
    by_model: BTreeMap<ModelName, Vec<GroupKey>>,
    by_host: BTreeMap<HostName, BTreeSet<GroupName>>,
    /// Hosts under which each placed group is indexed in `by_host`.
    indexed_hosts: BTreeMap<GroupName, Vec<HostName>>,
    /// Health of each host when its groups were last refreshed.
    health: BTreeMap<HostName, Health>,
    /// Hosts that came back after they were dead, with the time until which their groups wait.
    returning: BTreeMap<HostName, Time>,
    /// Groups placed in each domain when it was last refreshed.
    by_domain: BTreeMap<DomainName, BTreeSet<GroupName>>,
}

/// Queries.
impl ServingGroups {
    pub(super) fn for_model(&self, model: &ModelName) -> &[GroupKey] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    pub(super) fn get(&self, key: GroupKey) -> Option<&ServingGroup> {
        self.arena.get(key)
    }

    pub(super) fn find_by_name(&self, name: &GroupName) -> Option<&ServingGroup> {
        self.arena.get(*self.by_name.get(name)?)
    }

    pub(super) fn is_current(&self, name: &GroupName, epoch: Epoch) -> bool {
        self.find_by_name(name)
            .is_some_and(|group| group.epoch == epoch)
    }

    pub(super) fn len(&self) -> usize {
        self.arena.len()
    }

    /// Returns the group as it may be routed to, or `None` if it may not.
    fn in_service(
        &self,
        inputs: &ServingInputs,
        name: &GroupName,
        placed: &PlacedGroup,
    ) -> Option<ServingGroup> {
        let spec = &inputs.view.group(name)?.record;
        if placed.stage != Stage::Serving || spec.drained || spec.deleted {
            return None;
        }
        let head = inputs.hosts.get(placed.hosts.first()?)?;
        let mut hosts = placed.hosts.iter();
        if !hosts.all(|host| accepts_work(inputs, host) && !self.returning.contains_key(host)) {
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
            address: head.entry.address,
            accounts: spec.accounts.clone(),
        })
    }

    /// Returns the placed groups that use a host.
    pub(super) fn placed_on(&self, host: &HostName) -> Vec<GroupName> {
        let groups = self.by_host.get(host).into_iter().flatten();
        groups.cloned().collect()
    }
}

/// Commands.
impl ServingGroups {
    /// Refreshes every group that is or was placed in a domain.
    pub(super) fn refresh_domain(&mut self, inputs: &ServingInputs, domain: &DomainName) {
        let placed = inputs.view.placement(domain);
        let current: BTreeSet<GroupName> = placed
            .map(|v| v.record.groups.keys().cloned().collect())
            .unwrap_or_default();
        let before = self.by_domain.insert(domain.clone(), current.clone());
        let previous = before.unwrap_or_default();
        for name in previous.union(&current) {
            self.refresh_group(inputs, name);
        }
    }

    /// Refreshes the groups on a host; returns false if its health has not changed.
    pub(super) fn refresh_host(
        &mut self,
        inputs: &ServingInputs,
        now: Time,
        host: &HostName,
    ) -> bool {
        let health = inputs.hosts.get(host).map_or(Health::Dead, |h| h.health);
        let before = self.health.insert(host.clone(), health);
        if before == Some(health) {
            return false;
        }
        if before == Some(Health::Dead) {
            self.returning.insert(host.clone(), now + RETURN_DELAY);
        }
        for name in self.placed_on(host) {
            self.refresh_group(inputs, &name);
        }
        true
    }

    /// Refreshes groups whose hosts came back at least [`RETURN_DELAY`] ago.
    pub(super) fn on_tick(&mut self, inputs: &ServingInputs, now: Time) {
        let due = self.returning.iter().filter(|(_, until)| **until <= now);
        let due: Vec<HostName> = due.map(|(host, _)| host.clone()).collect();
        for host in due {
            self.returning.remove(&host);
            for name in self.placed_on(&host) {
                self.refresh_group(inputs, &name);
            }
        }
    }

    /// Puts one group in or out of service according to its placement and hosts.
    pub(super) fn refresh_group(&mut self, inputs: &ServingInputs, name: &GroupName) {
        let ServingInputs { view, .. } = inputs;
        let domain = view.group(name).map(|spec| &spec.record.domain);
        let placed = domain
            .and_then(|domain| view.placement(domain))
            .and_then(|placement| placement.record.groups.get(name));
        self.index(name, placed.map_or(&[], |p| p.hosts.as_slice()));
        let group = placed.and_then(|placed| self.in_service(inputs, name, placed));
        let current = self.find_by_name(name);
        if current == group.as_ref() {
            return;
        }
        self.remove(name);
        if let Some(group) = group {
            self.insert(group);
        }
    }

    /// Indexes a placed group under its hosts; no hosts remove it from the index.
    fn index(&mut self, name: &GroupName, hosts: &[HostName]) {
        let before = self
            .indexed_hosts
            .get(name)
            .map_or(&[] as &[_], Vec::as_slice);
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
            self.indexed_hosts.remove(name);
        } else {
            self.indexed_hosts.insert(name.clone(), hosts.to_vec());
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
            keys.retain(|k| *k != key);
        }
    }
}

/// Returns true if a group with this host may get new work.
fn accepts_work(inputs: &ServingInputs, host: &HostName) -> bool {
    let options = inputs.options;
    match inputs.hosts.get(host).map(|h| h.health) {
        Some(Health::Live) => true,
        Some(Health::Leaving) => !options.is_enabled(Mechanism::LeavingEvidence),
        Some(Health::Suspect | Health::Dead) | None => {
            !options.is_enabled(Mechanism::CompleteGroups)
        }
    }
}
