//! Repair: chooses an action for a group that lost a host.
//!
//! The cost of each option is estimated over [`COST_HORIZON`]: seconds of group
//! downtime and accelerator-seconds stranded, weighted by the configured costs.
//! Waiting is preferred unless another option is cheaper by a margin, so that
//! small differences move nothing.

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

/// Period ahead over which costs are estimated.
const COST_HORIZON: Span = Span::from_secs(900);

/// Expected remaining absence of a host that was lost recently.
const EXPECTED_ABSENCE: Span = Span::from_secs(300);

/// Absence after which a lost host is expected to stay away for the whole horizon.
const LONG_ABSENCE: Span = Span::from_secs(900);

/// Time that hosts take to form a group again when they already hold the weights.
const WARM_LOAD_TIME: Span = Span::from_secs(10);

/// Time that a host takes to load weights when the model is unknown.
const DEFAULT_LOAD_TIME: Span = Span::from_secs(60);

/// Maximum cost of merging, as a fraction of the cost of waiting.
const MAX_COST_RATIO: f64 = 0.9;

/// Repair policy for groups that lost hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Wait for the lost host.
    Wait,
    /// Replace the lost host by a spare, or wait for it if there is none.
    Spare,
    /// As `Spare`; without a spare, a broken group may be dissolved to complete another one.
    #[default]
    Cheapest,
}

/// Costs of time out of use, relative to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Cost of one second of downtime of one group.
    pub downtime: f64,
    /// Cost of one second of one stranded accelerator.
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

/// Action for one broken group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Leave it as it is for now.
    Wait,
    /// Load it again on these hosts.
    Complete(Vec<HostName>),
    /// Load it again on these hosts, some of them taken from this other group, which is dissolved.
    Merge(GroupName, Vec<HostName>),
}

/// Returns the groups in need of repair, those with the fewest lost hosts first.
pub(super) fn broken_groups(record: &Placement, snapshot: &DomainSnapshot) -> Vec<GroupName> {
    let broken = record.groups.iter().filter(|(_, placed)| {
        let leaving = |host| condition(snapshot, host) == Condition::Leaving;
        placed.stage != Stage::Draining
            && (count_lost(placed, snapshot) > 0
                || placed.hosts.iter().any(leaving)
                || snapshot.unloaded.contains(&placed.epoch))
    });
    let mut ranked: Vec<(usize, &GroupName)> = broken
        .map(|(name, placed)| (count_lost(placed, snapshot), name))
        .collect();
    ranked.sort();
    ranked.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Chooses the action for a group that lost a host.
pub(super) fn choose(
    record: &Placement,
    name: &GroupName,
    placed: &PlacedGroup,
    wanted: &WantedGroup,
    snapshot: &DomainSnapshot,
) -> Action {
    if snapshot.policy == Policy::Wait {
        return Action::Wait;
    }
    let remaining = remaining(placed, snapshot);
    let lacking = wanted.size.saturating_sub(remaining.len());
    let spares = place::spares(record, snapshot);
    if let Some(spares) = place::pick_hosts(&spares, lacking, wanted, snapshot) {
        return Action::Complete(remaining.into_iter().chain(spares).collect());
    }
    if snapshot.policy == Policy::Spare {
        return Action::Wait;
    }
    choose_merge(record, name, placed, wanted, snapshot).unwrap_or(Action::Wait)
}

/// Completes a group with spares and the hosts of another broken group, if that
/// is cheaper than waiting for the lost hosts of both.
fn choose_merge(
    record: &Placement,
    name: &GroupName,
    placed: &PlacedGroup,
    wanted: &WantedGroup,
    snapshot: &DomainSnapshot,
) -> Option<Action> {
    let others = record.groups.iter().filter(|(other, group)| {
        *other != name && group.stage != Stage::Draining && count_lost(group, snapshot) > 0
    });
    let priced = others.filter_map(|(other, group)| {
        let hosts = merged_hosts(record, placed, group, wanted, snapshot)?;
        let cost = merge_cost(placed, group, &hosts, wanted, snapshot);
        let waiting = wait_cost(placed, snapshot) + wait_cost(group, snapshot);
        (cost < waiting * MAX_COST_RATIO).then_some((cost, other, hosts))
    });
    let cheapest = priced.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
    cheapest.map(|(_, other, hosts)| Action::Merge(other.clone(), hosts))
}

/// Returns the hosts of a group formed from two broken groups and the spares.
fn merged_hosts(
    record: &Placement,
    placed: &PlacedGroup,
    other: &PlacedGroup,
    wanted: &WantedGroup,
    snapshot: &DomainSnapshot,
) -> Option<Vec<HostName>> {
    let remaining = remaining(placed, snapshot);
    let lacking = wanted.size.saturating_sub(remaining.len());
    let mut candidates = place::spares(record, snapshot);
    candidates.extend(usable_hosts(other, snapshot));
    let added = place::pick_hosts(&candidates, lacking, wanted, snapshot)?;
    Some(remaining.into_iter().chain(added).collect())
}

fn merge_cost(
    placed: &PlacedGroup,
    other: &PlacedGroup,
    hosts: &[HostName],
    wanted: &WantedGroup,
    snapshot: &DomainSnapshot,
) -> f64 {
    let Costs { downtime, stranded } = snapshot.costs;
    let load = load_time(hosts, wanted, snapshot).as_secs_f64();
    let horizon = COST_HORIZON.as_secs_f64();
    let assigned: BTreeSet<&HostName> = hosts.iter().collect();
    let both = remaining(placed, snapshot).into_iter();
    let unused: Vec<HostName> = both
        .chain(remaining(other, snapshot))
        .filter(|host| !assigned.contains(host))
        .collect();
    downtime * (load + horizon)
        + stranded
            * (accelerators(hosts, snapshot) * load + accelerators(&unused, snapshot) * horizon)
}

fn wait_cost(placed: &PlacedGroup, snapshot: &DomainSnapshot) -> f64 {
    let Costs { downtime, stranded } = snapshot.costs;
    let lost = placed
        .hosts
        .iter()
        .filter(|host| condition(snapshot, host) == Condition::Lost);
    let longest_absence = lost.map(|host| expected_absence(snapshot, host)).max();
    let cold = cold_load_time(&placed.model, snapshot);
    let time = (longest_absence.unwrap_or(Span::ZERO) + cold).min(COST_HORIZON);
    let idle_accelerators = accelerators(&remaining(placed, snapshot), snapshot);
    (downtime + stranded * idle_accelerators) * time.as_secs_f64()
}

/// Returns the time that a lost host is expected to stay away from now on.
fn expected_absence(snapshot: &DomainSnapshot, host: &HostName) -> Span {
    let down_for = snapshot.down_for.get(host).copied().unwrap_or(Span::ZERO);
    if down_for >= LONG_ABSENCE {
        COST_HORIZON
    } else {
        EXPECTED_ABSENCE
    }
}

fn load_time(hosts: &[HostName], wanted: &WantedGroup, snapshot: &DomainSnapshot) -> Span {
    if hosts.iter().all(|h| place::is_warm(h, wanted, snapshot)) {
        return WARM_LOAD_TIME;
    }
    cold_load_time(&wanted.model, snapshot)
}

fn cold_load_time(model: &ModelName, snapshot: &DomainSnapshot) -> Span {
    snapshot
        .load_time
        .get(model)
        .copied()
        .unwrap_or(DEFAULT_LOAD_TIME)
}

fn accelerators(hosts: &[HostName], snapshot: &DomainSnapshot) -> f64 {
    let counts = hosts.iter().map(|host| snapshot.accelerators.get(host));
    counts.map(|count| f64::from(*count.unwrap_or(&1))).sum()
}

/// Returns the hosts of a placement that are neither lost nor leaving.
fn remaining(placed: &PlacedGroup, snapshot: &DomainSnapshot) -> Vec<HostName> {
    let stays = |host: &&HostName| {
        !matches!(
            condition(snapshot, host),
            Condition::Lost | Condition::Leaving
        )
    };
    placed.hosts.iter().filter(stays).cloned().collect()
}

/// Returns the hosts of a placement that another group could use.
fn usable_hosts<'a>(
    placed: &'a PlacedGroup,
    snapshot: &'a DomainSnapshot,
) -> impl Iterator<Item = HostName> + 'a {
    let usable = |host: &&HostName| condition(snapshot, host) == Condition::Usable;
    placed.hosts.iter().filter(usable).cloned()
}

fn count_lost(placed: &PlacedGroup, snapshot: &DomainSnapshot) -> usize {
    let lost = |host: &&HostName| condition(snapshot, host) == Condition::Lost;
    placed.hosts.iter().filter(lost).count()
}

fn condition(snapshot: &DomainSnapshot, host: &HostName) -> Condition {
    snapshot.hosts.get(host).copied().unwrap_or(Condition::Lost)
}
