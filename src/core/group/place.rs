//! Choosing hosts.

use super::{
    super::{config::record::Placement, keys::HostName},
    plan::{Condition, DomainSnapshot, WantedGroup},
};
use std::collections::BTreeSet;

/// Every host that a record gives to a group, as often as it does.
pub fn used(record: &Placement) -> impl Iterator<Item = &HostName> {
    let placed = record.groups.values().flat_map(|group| {
        let next = group.next.iter().flat_map(|next| &next.hosts);
        group.hosts.iter().chain(next)
    });
    placed.chain(record.retiring.iter().flat_map(|r| &r.hosts))
}

/// Usable hosts that no group has.
pub(super) fn spares(record: &Placement, picture: &DomainSnapshot) -> Vec<HostName> {
    let used: BTreeSet<&HostName> = used(record).collect();
    let usable = picture
        .hosts
        .iter()
        .filter(|(host, condition)| **condition == Condition::Usable && !used.contains(host));
    usable.map(|(host, _)| host.clone()).collect()
}

/// Picks hosts for a whole group, those that hold its model first.
pub(super) fn pick(
    spares: &[HostName],
    wanted: &WantedGroup,
    picture: &DomainSnapshot,
) -> Option<Vec<HostName>> {
    pick_some(spares, wanted.size, wanted, picture)
}

/// Picks `count` hosts, those that hold the wanted model first.
pub(super) fn pick_some(
    spares: &[HostName],
    count: usize,
    wanted: &WantedGroup,
    picture: &DomainSnapshot,
) -> Option<Vec<HostName>> {
    if spares.len() < count || count == 0 {
        return None;
    }
    let mut ranked: Vec<&HostName> = spares.iter().collect();
    ranked.sort_by_key(|host| (!is_warm(host, wanted, picture), *host));
    Some(ranked.into_iter().take(count).cloned().collect())
}

/// Whether a host holds the wanted weights already.
pub(super) fn is_warm(host: &HostName, wanted: &WantedGroup, picture: &DomainSnapshot) -> bool {
    let held = picture.held_weights.get(host);
    held.is_some_and(|(model, version)| *model == wanted.model && *version == wanted.version)
}
