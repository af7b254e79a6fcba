//! Groups as their members report them.

use super::{
    roster::{Host, HostKey, MemberState},
    spec::Spec,
};
use crate::core::keys::{Epoch, GroupName, ModelName, ServiceName};
use slotmap::SlotMap;
use std::collections::BTreeMap;

/// A group at one epoch, assembled from its members' reports.
#[derive(Clone, Debug)]
pub struct Group {
    /// Name of the group.
    pub name: GroupName,
    /// Epoch of the group.
    pub epoch: Epoch,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Model that it serves.
    pub model: ModelName,
    /// Members by rank.
    pub members: BTreeMap<u16, HostKey>,
    /// State that the head reports.
    pub head_state: Option<MemberState>,
    /// True if every rank is present.
    pub complete: bool,
}

impl Group {
    /// Returns the key of the head.
    pub fn head(&self) -> Option<HostKey> {
        self.members.get(&0).copied()
    }

    /// Returns true if the head may be running requests.
    pub fn is_active(&self) -> bool {
        matches!(
            self.head_state,
            Some(MemberState::Open | MemberState::Closing)
        )
    }
}

/// Assembles the groups from the reports of their members.
pub(super) fn assemble(hosts: &SlotMap<HostKey, Host>, spec: &Spec) -> Vec<Group> {
    let mut groups: BTreeMap<(GroupName, Epoch), Group> = BTreeMap::new();
    for (key, host) in hosts {
        add_member(&mut groups, key, host);
    }
    let mut groups: Vec<Group> = groups.into_values().collect();
    for group in &mut groups {
        let size = expected_size(spec, group);
        let ranks = group.members.keys().copied();
        group.complete = size.is_some_and(|size| ranks.eq(0..size));
    }
    groups
}

/// Adds a host to the group that it reports to be a member of, if it does.
fn add_member(groups: &mut BTreeMap<(GroupName, Epoch), Group>, key: HostKey, host: &Host) {
    let Some(member) = &host.runner.member else {
        return;
    };
    let Some(model) = &member.model else {
        return;
    };
    let group = groups
        .entry((member.group.clone(), member.epoch))
        .or_insert_with(|| Group {
            name: member.group.clone(),
            epoch: member.epoch,
            service: host.runner.service.clone(),
            model: model.clone(),
            members: BTreeMap::new(),
            head_state: None,
            complete: false,
        });
    group.members.insert(member.rank, key);
    if member.rank == 0 {
        group.head_state = Some(member.state);
    }
}

fn expected_size(spec: &Spec, group: &Group) -> Option<u16> {
    let engine = spec.engine(&group.service)?;
    Some(engine.replication(&group.model)?.size)
}
