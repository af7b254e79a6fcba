//! Status of groups and domains for the status report.

use super::{
    super::{
        config::{
            View,
            record::{GroupSpec, PlacedGroup, Stage},
        },
        keys::{DomainName, HostName},
        member::{Health, Host, Hosts},
        status::{DomainStatus, GroupStatus},
    },
    check, place,
    serving::ServingGroups,
    upgrade,
};
use std::collections::BTreeSet;

/// Returns the status of every wanted group, ordered by name.
pub(super) fn groups(view: &View, hosts: &Hosts, serving: &ServingGroups) -> Vec<GroupStatus> {
    let specs = view.groups().map(|v| &v.record);
    specs
        .map(|spec| group(view, hosts, serving, spec))
        .collect()
}

/// Returns the status of every domain with hosts or a placement record, ordered by name.
pub(super) fn domains(view: &View, hosts: &Hosts, serving: &ServingGroups) -> Vec<DomainStatus> {
    let listed = hosts.iter().map(|host| &host.entry.domain);
    let placed = view.placements().map(|v| &v.record.domain);
    let names: BTreeSet<&DomainName> = listed.chain(placed).collect();
    let domains = names.into_iter();
    domains
        .map(|name| domain(view, hosts, serving, name))
        .collect()
}

fn group(view: &View, hosts: &Hosts, serving: &ServingGroups, spec: &GroupSpec) -> GroupStatus {
    let placement = view.placement(&spec.domain);
    let placed = placement.and_then(|p| p.record.groups.get(&spec.name));
    let version = match (placed, view.model(&spec.model)) {
        (Some(placed), _) => placed.version.clone(),
        (None, Some(model)) => upgrade::wanted_version(view, spec, model, None),
        (None, None) => spec.version.clone(),
    };
    let in_service = serving.find_by_name(&spec.name).is_some();
    GroupStatus {
        group: spec.name.clone(),
        model: spec.model.clone(),
        version,
        domain: spec.domain.clone(),
        epoch: placed.map(|p| p.epoch).unwrap_or_default(),
        state: state(spec, placed, in_service).to_owned(),
        hosts: placed.map(|p| p.hosts.clone()).unwrap_or_default(),
        trouble: problems(view, hosts, spec, placed),
    }
}

fn state(spec: &GroupSpec, placed: Option<&PlacedGroup>, in_service: bool) -> &'static str {
    match placed.map(|p| p.stage) {
        None if spec.deleted => "deleted",
        None if spec.drained => "drained",
        None => "waiting",
        Some(Stage::Loading) => "loading",
        Some(Stage::Draining) => "draining",
        Some(Stage::Serving) if in_service => "serving",
        Some(Stage::Serving) => "down",
    }
}

fn problems(view: &View, hosts: &Hosts, spec: &GroupSpec, placed: Option<&PlacedGroup>) -> String {
    if let Some(placed) = placed {
        let problems = placed
            .hosts
            .iter()
            .filter_map(|host| host_problem(hosts, host));
        return problems.collect::<Vec<_>>().join("; ");
    }
    if spec.drained || spec.deleted {
        return String::new();
    }
    if view.model(&spec.model).is_none() {
        return format!("model {} does not exist", spec.model);
    }
    check::capacity(view, hosts, spec).err().unwrap_or_default()
}

fn host_problem(hosts: &Hosts, host: &HostName) -> Option<String> {
    let state = match hosts.get(host).map(|h| h.health) {
        Some(Health::Live) => return None,
        Some(Health::Suspect) => "suspect",
        Some(Health::Leaving) => "leaving",
        Some(Health::Dead) => "dead",
        None => "unknown",
    };
    Some(format!("{host} is {state}"))
}

fn domain(view: &View, hosts: &Hosts, serving: &ServingGroups, name: &DomainName) -> DomainStatus {
    let placement = view.placement(name).map(|v| &v.record);
    let assigned: BTreeSet<&HostName> = placement.into_iter().flat_map(place::assigned).collect();
    let engine_hosts: Vec<&Host> = check::engine_hosts(hosts, name).collect();
    let lost = |host: &&&Host| matches!(host.health, Health::Dead | Health::Leaving);
    let spare = |host: &&&Host| host.health == Health::Live && !assigned.contains(&host.entry.host);
    let idle = |host: &&&Host| host.health != Health::Dead && !serves(serving, host);
    let holder = view.duty(name).map(|v| v.record.daemon.clone());
    DomainStatus {
        domain: name.clone(),
        holder: holder.unwrap_or_default(),
        spare: names(engine_hosts.iter().filter(spare)),
        lost: names(engine_hosts.iter().filter(lost)),
        stranded: engine_hosts
            .iter()
            .filter(idle)
            .map(|host| u32::from(host.entry.accelerators))
            .sum(),
    }
}

fn serves(serving: &ServingGroups, host: &Host) -> bool {
    let groups = serving.placed_on(&host.entry.host);
    groups
        .iter()
        .any(|group| serving.find_by_name(group).is_some())
}

fn names<'a, I>(hosts: I) -> Vec<HostName>
where
    I: Iterator<Item = &'a &'a Host>,
{
    hosts.map(|host| host.entry.host.clone()).collect()
}
