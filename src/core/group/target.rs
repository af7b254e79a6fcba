//! What each host is to hold according to the placement record, and the next order towards it.

use super::super::{
    config::record::{PlacedGroup, Placement, Stage},
    input::Holding,
    keys::{Epoch, GroupName, HostName},
    output::OrderAction,
};
use std::collections::BTreeMap;

/// Target state of one host according to the placement record.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Target<'a> {
    /// Hold a placement of a group.
    Hold(&'a GroupName, &'a PlacedGroup),
    /// Finish the work running for an epoch.
    Drain(Epoch),
    /// Hold nothing.
    Free,
}

/// Returns the target state of each host that the record names.
pub(super) fn targets(record: &Placement) -> BTreeMap<&HostName, Target<'_>> {
    let mut targets = BTreeMap::new();
    for (name, placed) in &record.groups {
        for host in &placed.hosts {
            let target = match placed.stage {
                Stage::Draining => Target::Drain(placed.epoch),
                Stage::Loading | Stage::Serving => Target::Hold(name, placed),
            };
            targets.insert(host, target);
        }
        if let Some(next) = &placed.next {
            let hold = next.hosts.iter().map(|h| (h, Target::Hold(name, next)));
            targets.extend(hold);
        }
    }
    for retiring in &record.retiring {
        let drain = retiring.hosts.iter();
        targets.extend(drain.map(|h| (h, Target::Drain(retiring.epoch))));
    }
    targets
}

/// Returns the next order that brings a runner from what it holds to its target state.
pub(super) fn next_action(target: &Target, holding: &Holding) -> Option<OrderAction> {
    match target {
        Target::Hold(group, placed) => {
            let held = holds(holding, group, placed.epoch);
            // A serving placement is never loaded again under the same epoch.
            if held || placed.stage != Stage::Loading {
                return None;
            }
            Some(OrderAction::Load {
                group: (*group).clone(),
                epoch: placed.epoch,
                model: placed.model.clone(),
                version: placed.version.clone(),
                adapters: placed.adapters.clone(),
                members: placed.hosts.clone(),
            })
        }
        Target::Drain(epoch) => {
            let should_drain =
                holding.group.is_some() && holding.epoch == *epoch && !holding.draining;
            should_drain.then_some(OrderAction::Drain { epoch: *epoch })
        }
        Target::Free => {
            holding.group.as_ref()?;
            let epoch = holding.epoch;
            if !holding.draining {
                return Some(OrderAction::Drain { epoch });
            }
            (holding.running == 0).then_some(OrderAction::Unload { epoch })
        }
    }
}

/// Returns true if a runner's state is unknown or expected to change, so that it is read often.
pub(super) fn needs_poll(target: &Target, holding: Option<&Holding>) -> bool {
    let Some(holding) = holding else {
        return true;
    };
    match target {
        Target::Hold(_, placed) => placed.stage == Stage::Loading,
        Target::Drain(epoch) => holding.epoch == *epoch,
        Target::Free => holding.group.is_some(),
    }
}

/// Returns true if a runner holds an epoch of a group.
pub(super) fn holds(holding: &Holding, group: &GroupName, epoch: Epoch) -> bool {
    holding.group.as_ref() == Some(group) && holding.epoch == epoch
}
