//! Choice of hosts for groups.

use super::{
    super::{config::record::Placement, keys::HostName},
    plan::{Condition, DomainSnapshot, WantedGroup},
};
use std::collections::BTreeSet;

/// Returns every host that a record assigns to a group, once for each assignment.
pub fn assigned(record: &Placement) -> impl Iterator<Item = &HostName> {
    let placed = record.groups.values().flat_map(|group| {
        let next = group.next.iter().flat_map(|next| &next.hosts);
        group.hosts.iter().chain(next)
    });
    placed.chain(record.retiring.iter().flat_map(|r| &r.hosts))
}

/// Returns usable hosts that are not assigned to a group.
pub(super) fn spares(record: &Placement, snapshot: &DomainSnapshot) -> Vec<HostName> {
    let assigned: BTreeSet<&HostName> = assigned(record).collect();
    let usable = snapshot
        .hosts
        .iter()
        .filter(|(host, condition)| **condition == Condition::Usable && !assigned.contains(host));
    usable.map(|(host, _)| host.clone()).collect()
}

/// Picks hosts for a whole group, preferring hosts that already hold its weights.
pub(super) fn pick_group(
    spares: &[HostName],
    wanted: &WantedGroup,
    snapshot: &DomainSnapshot,
) -> Option<Vec<HostName>> {
    pick_hosts(spares, wanted.size, wanted, snapshot)
}

/// Picks `count` hosts, preferring hosts that already hold the wanted weights.
pub(super) fn pick_hosts(
    spares: &[HostName],
    count: usize,
    wanted: &WantedGroup,
    snapshot: &DomainSnapshot,
) -> Option<Vec<HostName>> {
    if spares.len() < count || count == 0 {
        return None;
    }
    let mut ranked: Vec<&HostName> = spares.iter().collect();
    ranked.sort_by_key(|host| (!is_warm(host, wanted, snapshot), *host));
    Some(ranked.into_iter().take(count).cloned().collect())
}

/// Returns true if a host already holds the wanted weights.
pub(super) fn is_warm(host: &HostName, wanted: &WantedGroup, snapshot: &DomainSnapshot) -> bool {
    let held = snapshot.held_weights.get(host);
    held.is_some_and(|(model, version)| *model == wanted.model && *version == wanted.version)
}
