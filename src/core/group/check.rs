//! Validation of placements before they are written, and of operators' requests.

use super::{
    super::{
        config::{
            View,
            record::{GroupSpec, Model, Placement, Upgrade, UpgradeState},
        },
        input::{OperatorRequest, RunnerKind},
        keys::{DomainName, HostName, ModelName},
        member::{Health, Host, Hosts},
    },
    place,
};
use std::collections::BTreeSet;

/// Validates a placement that is about to be written.
///
/// # Errors
///
/// Names a host that is assigned twice, or a group without hosts.
pub fn placement(record: &Placement) -> Result<(), String> {
    let mut seen = BTreeSet::new();
    for host in place::assigned(record) {
        if !seen.insert(host) {
            return Err(format!("host {host} is assigned more than once"));
        }
    }
    for (name, placed) in &record.groups {
        if placed.hosts.is_empty() {
            return Err(format!("group {name} has no hosts"));
        }
    }
    Ok(())
}

/// Checks that an operator's request can be met.
///
/// # Errors
///
/// Returns the reason; for a lack of hosts, how many are missing and which hosts of the domain are
/// not up.
pub(super) fn request(view: &View, hosts: &Hosts, request: &OperatorRequest) -> Result<(), String> {
    match request {
        OperatorRequest::PutModel(model) => put_model(model),
        OperatorRequest::DeleteModel(model) => delete_model(view, model),
        OperatorRequest::CreateGroup(spec) => create_group(view, hosts, spec),
        OperatorRequest::ChangeGroup { spec, .. } => capacity(view, hosts, spec),
        OperatorRequest::StartUpgrade(upgrade) => start_upgrade(view, upgrade),
        _ => Ok(()),
    }
}

fn put_model(model: &Model) -> Result<(), String> {
    if model.size == 0 {
        return Err(format!(
            "model {}: size must be at least one host",
            model.name
        ));
    }
    if model.version.as_str().is_empty() {
        return Err(format!("model {}: version is empty", model.name));
    }
    Ok(())
}

fn delete_model(view: &View, model: &ModelName) -> Result<(), String> {
    match view.groups().find(|g| g.record.model == *model) {
        Some(group) => Err(format!(
            "model {model} is used by group {}",
            group.record.name
        )),
        None => Ok(()),
    }
}

fn create_group(view: &View, hosts: &Hosts, spec: &GroupSpec) -> Result<(), String> {
    if view.group(&spec.name).is_some() {
        return Ok(());
    }
    capacity(view, hosts, spec)
}

fn start_upgrade(view: &View, upgrade: &Upgrade) -> Result<(), String> {
    let Upgrade { name, model, .. } = upgrade;
    if view.model(model).is_none() {
        return Err(format!("upgrade {name}: model {model} does not exist"));
    }
    if upgrade.to.as_str().is_empty() {
        return Err(format!("upgrade {name}: target version is empty"));
    }
    if upgrade.width == 0 {
        return Err(format!(
            "upgrade {name}: width must be at least 1, else it never ends"
        ));
    }
    let other = view.upgrades().find(|u| {
        let existing = &u.record;
        existing.name != *name && existing.model == *model && is_active(existing.state)
    });
    match other {
        Some(other) => Err(format!(
            "upgrade {} of model {model} is still active",
            other.record.name
        )),
        None => Ok(()),
    }
}

fn is_active(state: UpgradeState) -> bool {
    matches!(state, UpgradeState::Running | UpgradeState::Paused)
}

/// Checks that a domain has enough hosts for a group besides the other groups wanted there.
pub(super) fn capacity(view: &View, hosts: &Hosts, spec: &GroupSpec) -> Result<(), String> {
    let GroupSpec { name, domain, .. } = spec;
    let Some(size) = group_size(view, spec) else {
        return Err(format!("group {name}: model {} does not exist", spec.model));
    };
    let engine_hosts: Vec<&Host> = engine_hosts(hosts, domain).collect();
    if engine_hosts.is_empty() {
        return Err(format!("group {name}: no engine hosts in domain {domain}"));
    }
    let (up, down): (Vec<&Host>, Vec<&Host>) = engine_hosts
        .into_iter()
        .partition(|h| matches!(h.health, Health::Live | Health::Suspect));
    let others = view.groups().map(|g| &g.record);
    let reserved: usize = others
        .filter(|g| g.domain == *domain && g.name != *name && !g.deleted)
        .filter_map(|g| group_size(view, g))
        .sum();
    let free = up.len().saturating_sub(reserved);
    if free >= size {
        return Ok(());
    }
    let short = size - free;
    let mut reason = format!(
        "group {name} needs {size} hosts in domain {domain}: {} are up, {reserved} of them are reserved for other groups, {short} missing",
        up.len()
    );
    for host in down {
        let state = if host.health == Health::Leaving {
            "leaving"
        } else {
            "dead"
        };
        reason += &format!("; {} is {state}", host.entry.host);
    }
    Err(reason)
}

/// Returns the number of hosts that a group needs, or `None` if its model is unknown.
pub(super) fn group_size(view: &View, spec: &GroupSpec) -> Option<usize> {
    let model = view.model(&spec.model)?;
    let size = if spec.size > 0 { spec.size } else { model.size };
    Some(usize::from(size))
}

/// Returns the engine hosts of a domain.
pub(super) fn engine_hosts<'a>(
    hosts: &'a Hosts,
    domain: &DomainName,
) -> impl Iterator<Item = &'a Host> {
    hosts.in_domain(domain).filter(|host| is_engine(host))
}

/// Returns true if a host's runner is a model engine.
pub(super) fn is_engine(host: &Host) -> bool {
    host.entry.kind == RunnerKind::Engine
}

/// Returns a host that a placement assigns although it belongs to another domain, if any.
pub(super) fn foreign_host(record: &Placement, hosts: &Hosts) -> Option<HostName> {
    let outside = |name: &&HostName| {
        hosts
            .get(name)
            .is_some_and(|host| host.entry.domain != record.domain)
    };
    place::assigned(record).find(outside).cloned()
}
