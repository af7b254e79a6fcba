//! Repair: what to do with a group that lost a host.
//!
//! Each way is priced over [`HORIZON`]: seconds of group downtime and
//! accelerator-seconds stranded, at the operators' costs. Waiting wins unless
//! another way is cheaper by a margin, so that small differences move nothing.

use super::{
    super::{
        config::record::{PlacedGroup, Placement, Stage},
        keys::{GroupName, HostName, ModelName},
        time::Span,
    },
    place,
    plan::{Condition, DomainSnapshot, WantedGroup},
};
use std::collections::BTreeSet;

/// How far ahead the ways are priced.
const HORIZON: Span = Span::from_secs(900);

/// How long a host that was lost lately is expected to stay away.
const SHORT_ABSENCE: Span = Span::from_secs(300);

/// After this, a lost host is expected to stay away for longer than the horizon.
const LONG_GONE: Span = Span::from_secs(900);

/// How long hosts that hold the weights take to form a group anew.
const WARM_LOAD: Span = Span::from_secs(10);

/// How long a host takes to load weights if nothing is known of the model.
const COLD_LOAD: Span = Span::from_secs(60);

/// What another way may cost at most, as a part of what waiting costs.
const MARGIN: f64 = 0.9;

/// How broken groups are repaired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The lost host is waited for.
    Wait,
    /// The lost host is replaced by a spare; without one it is waited for.
    Spare,
    /// As with spares; without one, a broken group may be given up for another.
    #[default]
    Cheapest,
}

/// What time out of use costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// A second of one group's downtime.
    pub downtime: f64,
    /// A second of one stranded accelerator.
    pub stranded: f64,
}

impl Default for Costs {
    fn default() -> Self {
        Self {
            downtime: 1.0,
            stranded: 0.1,
        }
    }
}

/// What to do with one broken group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// Nothing yet.
    Wait,
    /// Load it again on these hosts.
    Complete(Vec<HostName>),
    /// Load it again on these hosts, some of them from a group given up.
    Merge(GroupName, Vec<HostName>),
}

/// The groups in need of repair, those that lack the fewest hosts first.
pub(super) fn order(record: &Placement, picture: &DomainSnapshot) -> Vec<GroupName> {
    let broken = record.groups.iter().filter(|(_, placed)| {
        let leaving = |host| condition(picture, host) == Condition::Leaving;
        placed.stage != Stage::Draining
            && (missing(placed, picture) > 0
                || placed.hosts.iter().any(leaving)
                || picture.unloaded.contains(&placed.epoch))
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
    name: &GroupName,
    placed: &PlacedGroup,
    wanted: &WantedGroup,
    picture: &DomainSnapshot,
) -> Choice {
    if picture.policy == Policy::Wait {
        return Choice::Wait;
    }
    let staying = staying(placed, picture);
    let lacking = wanted.size.saturating_sub(staying.len());
    let spares = place::spares(record, picture);
    if let Some(spares) = place::pick_some(&spares, lacking, wanted, picture) {
        return Choice::Complete(staying.into_iter().chain(spares).collect());
    }
    if picture.policy == Policy::Spare {
        return Choice::Wait;
    }
    merge(record, name, placed, wanted, picture).unwrap_or(Choice::Wait)
}

/// Completes a group with spares and the hosts of another broken one, if that
/// is cheaper than to wait for both.
fn merge(
    record: &Placement,
    name: &GroupName,
    placed: &PlacedGroup,
    wanted: &WantedGroup,
    picture: &DomainSnapshot,
) -> Option<Choice> {
    let others = record.groups.iter().filter(|(other, group)| {
        *other != name && group.stage != Stage::Draining && missing(group, picture) > 0
    });
    let priced = others.filter_map(|(other, group)| {
        let hosts = merged(record, placed, group, wanted, picture)?;
        let cost = cost_of_merging(placed, group, &hosts, wanted, picture);
        let waiting = cost_of_waiting(placed, picture) + cost_of_waiting(group, picture);
        (cost < waiting * MARGIN).then_some((cost, other, hosts))
    });
    let cheapest = priced.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
    cheapest.map(|(_, other, hosts)| Choice::Merge(other.clone(), hosts))
}

/// The hosts that would form a group out of two broken ones and the spares.
fn merged(
    record: &Placement,
    placed: &PlacedGroup,
    other: &PlacedGroup,
    wanted: &WantedGroup,
    picture: &DomainSnapshot,
) -> Option<Vec<HostName>> {
    let staying = staying(placed, picture);
    let lacking = wanted.size.saturating_sub(staying.len());
    let mut givers = place::spares(record, picture);
    givers.extend(usable(other, picture));
    let given = place::pick_some(&givers, lacking, wanted, picture)?;
    Some(staying.into_iter().chain(given).collect())
}

fn cost_of_merging(
    placed: &PlacedGroup,
    other: &PlacedGroup,
    hosts: &[HostName],
    wanted: &WantedGroup,
    picture: &DomainSnapshot,
) -> f64 {
    let Costs { downtime, stranded } = picture.costs;
    let load = load_time(hosts, wanted, picture).as_secs_f64();
    let horizon = HORIZON.as_secs_f64();
    let used: BTreeSet<&HostName> = hosts.iter().collect();
    let both = staying(placed, picture).into_iter();
    let left: Vec<HostName> = both
        .chain(staying(other, picture))
        .filter(|host| !used.contains(host))
        .collect();
    downtime * (load + horizon)
        + stranded * (accelerators(hosts, picture) * load + accelerators(&left, picture) * horizon)
}

fn cost_of_waiting(placed: &PlacedGroup, picture: &DomainSnapshot) -> f64 {
    let Costs { downtime, stranded } = picture.costs;
    let lost = placed
        .hosts
        .iter()
        .filter(|host| condition(picture, host) == Condition::Lost);
    let away = lost.map(|host| absence(picture, host)).max();
    let cold = cold_load(&placed.model, picture);
    let time = (away.unwrap_or(Span::ZERO) + cold).min(HORIZON);
    let survivors = accelerators(&staying(placed, picture), picture);
    (downtime + stranded * survivors) * time.as_secs_f64()
}

/// How long a lost host is expected to stay away from now on.
fn absence(picture: &DomainSnapshot, host: &HostName) -> Span {
    let gone = picture.down_for.get(host).copied().unwrap_or(Span::ZERO);
    if gone >= LONG_GONE {
        HORIZON
    } else {
        SHORT_ABSENCE
    }
}

fn load_time(hosts: &[HostName], wanted: &WantedGroup, picture: &DomainSnapshot) -> Span {
    if hosts.iter().all(|h| place::is_warm(h, wanted, picture)) {
        return WARM_LOAD;
    }
    cold_load(&wanted.model, picture)
}

fn cold_load(model: &ModelName, picture: &DomainSnapshot) -> Span {
    picture.load_time.get(model).copied().unwrap_or(COLD_LOAD)
}

fn accelerators(hosts: &[HostName], picture: &DomainSnapshot) -> f64 {
    let counts = hosts.iter().map(|host| picture.accelerators.get(host));
    counts.map(|count| f64::from(*count.unwrap_or(&1))).sum()
}

/// The hosts of a placement that can go on.
fn staying(placed: &PlacedGroup, picture: &DomainSnapshot) -> Vec<HostName> {
    let stays = |host: &&HostName| {
        !matches!(
            condition(picture, host),
            Condition::Lost | Condition::Leaving
        )
    };
    placed.hosts.iter().filter(stays).cloned().collect()
}

/// The hosts of a placement that another group could use.
fn usable<'a>(
    placed: &'a PlacedGroup,
    picture: &'a DomainSnapshot,
) -> impl Iterator<Item = HostName> + 'a {
    let usable = |host: &&HostName| condition(picture, host) == Condition::Usable;
    placed.hosts.iter().filter(usable).cloned()
}

fn missing(placed: &PlacedGroup, picture: &DomainSnapshot) -> usize {
    let lost = |host: &&HostName| condition(picture, host) == Condition::Lost;
    placed.hosts.iter().filter(lost).count()
}

fn condition(picture: &DomainSnapshot, host: &HostName) -> Condition {
    picture.hosts.get(host).copied().unwrap_or(Condition::Lost)
}
