//! The groups that this daemon may route to.
//!
//! Every daemon works this out for itself from the placements in force and
//! from the health of hosts, so that a host's trouble takes its group out of
//! service at the first evidence, with no word from a duty holder. A change
//! touches only the groups that it concerns.

use {
    super::{
        super::{
            config::{
                View,
                record::{PlacedGroup, Stage},
            },
            keys::{DomainName, Epoch, GroupName, HostName, ModelName},
            member::{Health, Hosts},
            options::{Mechanism, Options},
        },
        GroupKey, ServingGroup,
    },
    slotmap::SlotMap,
    std::collections::{BTreeMap, BTreeSet},
};

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

    /// The placed groups that use a host.
    pub(super) fn using(&self, host: &HostName) -> Vec<GroupName> {
        let groups = self.by_host.get(host).into_iter().flatten();
        groups.cloned().collect()
    }
}

/// Commands.
impl Serving {
    /// Looks again at every group placed in a domain.
    pub(super) fn refresh_domain(
        &mut self,
        view: &View,
        hosts: &Hosts,
        options: &Options,
        domain: &DomainName,
    ) {
        let placed = view.placement(domain);
        let now: BTreeSet<GroupName> = placed
            .map(|v| v.record.groups.keys().cloned().collect())
            .unwrap_or_default();
        let before = self.by_domain.insert(domain.clone(), now.clone());
        let gone = before.unwrap_or_default();
        for name in gone.union(&now) {
            self.refresh_group(view, hosts, options, name);
        }
    }

    /// Looks again at the groups on a host; false if its health is as it was.
    pub(super) fn refresh_host(
        &mut self,
        view: &View,
        hosts: &Hosts,
        options: &Options,
        host: &HostName,
    ) -> bool {
        let health = hosts.get(host).map_or(Health::Dead, |h| h.health);
        if self.health.insert(host.clone(), health) == Some(health) {
            return false;
        }
        for name in self.using(host) {
            self.refresh_group(view, hosts, options, &name);
        }
        true
    }

    /// Looks again at one group.
    pub(super) fn refresh_group(
        &mut self,
        view: &View,
        hosts: &Hosts,
        options: &Options,
        name: &GroupName,
    ) {
        let domain = view.group(name).map(|spec| &spec.record.domain);
        let placed = domain
            .and_then(|domain| view.placement(domain))
            .and_then(|placement| placement.record.groups.get(name));
        self.index(name, placed.map_or(&[], |p| p.hosts.as_slice()));
        let group = placed.and_then(|placed| in_service(view, hosts, options, name, placed));
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

/// The group as it may be routed to, or nothing if it may not.
fn in_service(
    view: &View,
    hosts: &Hosts,
    options: &Options,
    name: &GroupName,
    placed: &PlacedGroup,
) -> Option<ServingGroup> {
    let spec = &view.group(name)?.record;
    if placed.stage != Stage::Serving || spec.drained || spec.deleted {
        return None;
    }
    let lead = hosts.get(placed.hosts.first()?)?;
    if !placed
        .hosts
        .iter()
        .all(|host| takes_work(hosts, options, host))
    {
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

/// Whether a group with this host may get new work.
fn takes_work(hosts: &Hosts, options: &Options, host: &HostName) -> bool {
    match hosts.get(host).map(|h| h.health) {
        Some(Health::Live) => true,
        Some(Health::Leaving) => !options.has(Mechanism::LeavingEvidence),
        Some(Health::Suspect | Health::Dead) | None => !options.has(Mechanism::CompleteGroups),
    }
}
