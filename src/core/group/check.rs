//! Checks: of a placement before it is written, and of operators' requests.

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

/// Finds fault with a placement that is about to be written.
///
/// # Errors
///
/// Names the host that stands twice, or the group that lacks hosts.
pub fn placement(record: &Placement) -> Result<(), String> {
    let mut seen = BTreeSet::new();
    for host in place::used(record) {
        if !seen.insert(host) {
            return Err(format!("host {host} would be in two groups"));
        }
    }
    for (name, placed) in &record.groups {
        if placed.hosts.is_empty() {
            return Err(format!("group {name} would have no hosts"));
        }
    }
    Ok(())
}

/// Finds out whether an operator's request can be met.
///
/// # Errors
///
/// Says what is in the way; for a lack of hosts, which ones miss where.
pub(super) fn request(view: &View, hosts: &Hosts, request: &OperatorRequest) -> Result<(), String> {
    match request {
        OperatorRequest::PutModel(model) => put_model(model),
        OperatorRequest::DeleteModel(model) => delete_model(view, model),
        OperatorRequest::CreateGroup(spec) => create_group(view, hosts, spec),
        OperatorRequest::ChangeGroup { spec, .. } => room(view, hosts, spec),
        OperatorRequest::StartUpgrade(upgrade) => start_upgrade(view, upgrade),
        _ => Ok(()),
    }
}

fn put_model(model: &Model) -> Result<(), String> {
    if model.size == 0 {
        return Err(format!(
            "model {}: a replica needs at least one host",
            model.name
        ));
    }
    if model.version.as_str().is_empty() {
        return Err(format!("model {}: no version", model.name));
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
    room(view, hosts, spec)
}

fn start_upgrade(view: &View, upgrade: &Upgrade) -> Result<(), String> {
    let Upgrade { name, model, .. } = upgrade;
    if view.model(model).is_none() {
        return Err(format!("upgrade {name}: no model {model}"));
    }
    if upgrade.to.as_str().is_empty() {
        return Err(format!("upgrade {name}: no version to load"));
    }
    if upgrade.width == 0 {
        return Err(format!("upgrade {name}: a width of zero would never end"));
    }
    let other = view.upgrades().find(|u| {
        let held = &u.record;
        held.name != *name && held.model == *model && under_way(held.state)
    });
    match other {
        Some(other) => Err(format!(
            "upgrade {} of {model} is under way",
            other.record.name
        )),
        None => Ok(()),
    }
}

fn under_way(state: UpgradeState) -> bool {
    matches!(state, UpgradeState::Running | UpgradeState::Paused)
}

/// Whether the domain has the hosts for a group beside the others wanted there.
pub(super) fn room(view: &View, hosts: &Hosts, spec: &GroupSpec) -> Result<(), String> {
    let GroupSpec { name, domain, .. } = spec;
    let Some(size) = size_of(view, spec) else {
        return Err(format!("group {name}: no model {}", spec.model));
    };
    let engines: Vec<&Host> = engines(hosts, domain).collect();
    if engines.is_empty() {
        return Err(format!("group {name}: no engine hosts in domain {domain}"));
    }
    let (up, down): (Vec<&Host>, Vec<&Host>) = engines
        .into_iter()
        .partition(|h| matches!(h.health, Health::Live | Health::Suspect));
    let others = view.groups().map(|g| &g.record);
    let taken: usize = others
        .filter(|g| g.domain == *domain && g.name != *name && !g.deleted)
        .filter_map(|g| size_of(view, g))
        .sum();
    let free = up.len().saturating_sub(taken);
    if free >= size {
        return Ok(());
    }
    let short = size - free;
    let mut reason = format!(
        "group {name} needs {size} hosts in domain {domain}: {} are up, {taken} of them are wanted by other groups, {short} missing",
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

/// Hosts that a group needs, or nothing if its model is not known.
pub(super) fn size_of(view: &View, spec: &GroupSpec) -> Option<usize> {
    let model = view.model(&spec.model)?;
    let size = if spec.size > 0 { spec.size } else { model.size };
    Some(usize::from(size))
}

/// The engine hosts of a domain.
pub(super) fn engines<'a>(hosts: &'a Hosts, domain: &DomainName) -> impl Iterator<Item = &'a Host> {
    hosts.in_domain(domain).filter(|host| is_engine(host))
}

/// Whether a host's runner is a model engine.
pub(super) fn is_engine(host: &Host) -> bool {
    host.entry.kind == RunnerKind::Engine
}

/// Finds a host that a placement gives to a group from outside its domain.
pub(super) fn stranger(record: &Placement, hosts: &Hosts) -> Option<HostName> {
    let outside = |name: &&HostName| {
        hosts
            .get(name)
            .is_some_and(|host| host.entry.domain != record.domain)
    };
    place::used(record).find(outside).cloned()
}
