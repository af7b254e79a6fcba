//! Repair: what to do with a group that lost a host.

use super::{
    super::{
        config::record::{PlacedGroup, Placement, Stage},
        keys::{GroupName, HostName},
    },
    place,
    plan::{Condition, Picture, Wanted},
};

/// How broken groups are repaired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The lost host is waited for.
    Wait,
    /// The lost host is replaced by a spare; without one it is waited for.
    #[default]
    Spare,
}

/// What to do with one broken group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// Nothing yet.
    Wait,
    /// Load it again on these hosts.
    Complete(Vec<HostName>),
}

/// The groups in need of repair, the most urgent first.
pub(super) fn order(record: &Placement, picture: &Picture) -> Vec<GroupName> {
    let broken = record.groups.iter().filter(|(_, placed)| {
        placed.stage != Stage::Draining && missing(placed, picture) > 0
            || placed
                .hosts
                .iter()
                .any(|h| condition(picture, h) == Condition::Leaving)
            || picture.emptied.contains(&placed.epoch)
    });
    let mut ranked: Vec<(usize, &GroupName)> = broken
        .map(|(name, placed)| (missing(placed, picture), name))
        .collect();
    ranked.sort();
    ranked.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Decides what to do with a group that lost a host.
pub(super) fn choose(
    record: &Placement,
    _name: &GroupName,
    placed: &PlacedGroup,
    wanted: &Wanted,
    picture: &Picture,
) -> Choice {
    if picture.policy == Policy::Wait {
        return Choice::Wait;
    }
    let staying = staying(placed, picture);
    let lacking = wanted.size.saturating_sub(staying.len());
    let spares = place::spares(record, picture);
    match place::pick_some(&spares, lacking, wanted, picture) {
        Some(spares) => Choice::Complete(staying.into_iter().chain(spares).collect()),
        None => Choice::Wait,
    }
}

/// The hosts of a placement that can go on.
fn staying(placed: &PlacedGroup, picture: &Picture) -> Vec<HostName> {
    let stays = |host: &&HostName| {
        !matches!(
            condition(picture, host),
            Condition::Lost | Condition::Leaving
        )
    };
    placed.hosts.iter().filter(stays).cloned().collect()
}

fn missing(placed: &PlacedGroup, picture: &Picture) -> usize {
    let lost = |host: &&HostName| condition(picture, host) == Condition::Lost;
    placed.hosts.iter().filter(lost).count()
}

fn condition(picture: &Picture, host: &HostName) -> Condition {
    picture.hosts.get(host).copied().unwrap_or(Condition::Lost)
}
