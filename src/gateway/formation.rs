//! A group that is being formed.
//!
//! A formation keeps what its members were ordered to do, and compares it with
//! what their runners report.

use super::{
    group::Group,
    lifecycle::is_eligible,
    order::Order,
    roster::{Host, MemberState, Membership, Roster},
};
use crate::core::{
    keys::{Epoch, GroupName, HostName, ModelName, ServiceName},
    time::Time,
};

/// A group that is being formed.
#[derive(Clone, Debug)]
pub struct Formation {
    /// Service that the group belongs to.
    pub service: ServiceName,
    /// Model that the group will serve.
    pub model: ModelName,
    /// Name of the group.
    pub group: GroupName,
    /// Epoch of the group.
    pub epoch: Epoch,
    /// Members by rank; the first is the head.
    pub members: Vec<HostName>,
    /// Start of each member's runner, in Unix milliseconds.
    pub born: Vec<u64>,
    /// Earliest time at which the head may be ordered to open.
    pub open_from: Time,
    /// Time at which the formation is abandoned.
    pub deadline: Time,
}

impl Formation {
    /// Adopts a formation that another daemon started.
    pub(super) fn adopted(roster: &Roster, group: &Group, open_from: Time, deadline: Time) -> Self {
        let hosts = || group.members.values().filter_map(|key| roster.host(*key));
        Self {
            service: group.service.clone(),
            model: group.model.clone(),
            group: group.name.clone(),
            epoch: group.epoch,
            members: hosts().map(|host| host.name.clone()).collect(),
            born: hosts().map(|host| host.runner.born).collect(),
            open_from,
            deadline,
        }
    }

    /// Returns the order to join, which is the same for all members.
    pub(super) fn join_order(&self) -> Order {
        Order::Join {
            group: self.group.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.clone(),
        }
    }

    /// Returns true if the group can't be formed any more or its deadline has passed.
    pub(super) fn has_failed(&self, roster: &Roster, now: Time) -> bool {
        let has_lost_member = self.members.iter().zip(&self.born).any(|(name, born)| {
            let host = roster.host_by_name(name).map(|(_, host)| host);
            host.is_none_or(|host| {
                host.runner.born != *born || !is_eligible(host) || self.has_later_epoch(host)
            })
        });
        has_lost_member || now >= self.deadline
    }

    /// Returns the state that a member reports, once it has joined.
    pub(super) fn member_state(&self, roster: &Roster, name: &HostName) -> Option<MemberState> {
        let (_, host) = roster.host_by_name(name)?;
        let member = host.runner.member.as_ref()?;
        self.matches(member).then_some(member.state)
    }

    /// Returns true if it has a host in common with a group.
    pub(super) fn overlaps(&self, roster: &Roster, group: &Group) -> bool {
        group.members.values().any(|key| {
            roster
                .host(*key)
                .is_some_and(|host| self.members.contains(&host.name))
        })
    }

    /// Returns true if a membership is one in this group at this epoch.
    fn matches(&self, member: &Membership) -> bool {
        member.group == self.group && member.epoch == self.epoch
    }

    /// Returns true if a host is a member of a group of a later epoch.
    fn has_later_epoch(&self, host: &Host) -> bool {
        let member = host.runner.member.as_ref();
        member.is_some_and(|member| member.epoch > self.epoch)
    }
}
