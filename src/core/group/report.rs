//! The groups' part of the report.

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
    serving::Serving,
    upgrade,
};
use std::collections::BTreeSet;

/// Every group wanted, by name.
pub(super) fn groups(view: &View, hosts: &Hosts, serving: &Serving) -> Vec<GroupStatus> {
    let specs = view.groups().map(|v| &v.record);
    specs
        .map(|spec| group(view, hosts, serving, spec))
        .collect()
}

/// Every domain with engine hosts or placed groups, by name.
pub(super) fn domains(view: &View, hosts: &Hosts, serving: &Serving) -> Vec<DomainStatus> {
    let listed = hosts.iter().map(|host| &host.entry.domain);
    let placed = view.placements().map(|v| &v.record.domain);
    let names: BTreeSet<&DomainName> = listed.chain(placed).collect();
    let domains = names.into_iter();
    domains
        .map(|name| domain(view, hosts, serving, name))
        .collect()
}

fn group(view: &View, hosts: &Hosts, serving: &Serving, spec: &GroupSpec) -> GroupStatus {
    let placement = view.placement(&spec.domain);
    let placed = placement.and_then(|p| p.record.groups.get(&spec.name));
    let version = match (placed, view.model(&spec.model)) {
        (Some(placed), _) => placed.version.clone(),
        (None, Some(model)) => upgrade::version(view, spec, model, None),
        (None, None) => spec.version.clone(),
    };
    let in_service = serving.named(&spec.name).is_some();
    GroupStatus {
        group: spec.name.clone(),
        model: spec.model.clone(),
        version,
        domain: spec.domain.clone(),
        epoch: placed.map(|p| p.epoch).unwrap_or_default(),
        state: state(spec, placed, in_service).to_owned(),
        hosts: placed.map(|p| p.hosts.clone()).unwrap_or_default(),
        trouble: trouble(view, hosts, spec, placed),
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

fn trouble(view: &View, hosts: &Hosts, spec: &GroupSpec, placed: Option<&PlacedGroup>) -> String {
    if let Some(placed) = placed {
        let bad = placed.hosts.iter().filter_map(|host| ailment(hosts, host));
        return bad.collect::<Vec<_>>().join("; ");
    }
    if spec.drained || spec.deleted {
        return String::new();
    }
    if view.model(&spec.model).is_none() {
        return format!("no model {}", spec.model);
    }
    check::room(view, hosts, spec).err().unwrap_or_default()
}

fn ailment(hosts: &Hosts, host: &HostName) -> Option<String> {
    let state = match hosts.get(host).map(|h| h.health) {
        Some(Health::Live) => return None,
        Some(Health::Suspect) => "suspect",
        Some(Health::Leaving) => "leaving",
        Some(Health::Dead) => "dead",
        None => "unknown",
    };
    Some(format!("{host} is {state}"))
}

fn domain(view: &View, hosts: &Hosts, serving: &Serving, name: &DomainName) -> DomainStatus {
    let placement = view.placement(name).map(|v| &v.record);
    let used: BTreeSet<&HostName> = placement.into_iter().flat_map(place::used).collect();
    let engines: Vec<&Host> = check::engines(hosts, name).collect();
    let lost = |host: &&&Host| matches!(host.health, Health::Dead | Health::Leaving);
    let spare = |host: &&&Host| host.health == Health::Live && !used.contains(&host.entry.host);
    let idle = |host: &&&Host| host.health != Health::Dead && !serves(serving, host);
    let holder = view.duty(name).map(|v| v.record.daemon.clone());
    DomainStatus {
        domain: name.clone(),
        holder: holder.unwrap_or_default(),
        spare: names(engines.iter().filter(spare)),
        lost: names(engines.iter().filter(lost)),
        stranded: engines
            .iter()
            .filter(idle)
            .map(|host| u32::from(host.entry.accelerators))
            .sum(),
    }
}

fn serves(serving: &Serving, host: &Host) -> bool {
    let groups = serving.using(&host.entry.host);
    groups.iter().any(|group| serving.named(group).is_some())
}

fn names<'a, I>(hosts: I) -> Vec<HostName>
where
    I: Iterator<Item = &'a &'a Host>,
{
    hosts.map(|host| host.entry.host.clone()).collect()
}
