//! A group being formed.

use super::{
    order::Order,
    roster::{Group, Host, MemberState, Membership, Roster},
    tenure::is_eligible,
};
use crate::core::{
    keys::{Epoch, GroupName, HostName, ModelName, ServiceName},
    time::Time,
};

/// A group being formed.
#[derive(Clone, Debug)]
pub struct Formation {
    /// Its service.
    pub service: ServiceName,
    /// Its model.
    pub model: ModelName,
    /// Its name.
    pub group: GroupName,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its members; the first is the head.
    pub members: Vec<HostName>,
    /// The start of each member's runner, in Unix milliseconds.
    pub lives: Vec<u64>,
    /// When its head may be ordered to open.
    pub open_from: Time,
    /// When it is given up.
    pub until: Time,
}

impl Formation {
    /// A formation that another daemon began.
    pub(super) fn adopted(roster: &Roster, group: &Group, open_from: Time, until: Time) -> Self {
        let hosts = || group.members.values().filter_map(|key| roster.host(*key));
        Self {
            service: group.service.clone(),
            model: group.model.clone(),
            group: group.name.clone(),
            epoch: group.epoch,
            members: hosts().map(|host| host.name.clone()).collect(),
            lives: hosts().map(|host| host.runner.born).collect(),
            open_from,
            until,
        }
    }

    /// The order that each member gets.
    pub(super) fn join(&self) -> Order {
        Order::Join {
            group: self.group.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.clone(),
        }
    }

    /// Whether it can't succeed any more.
    pub(super) fn is_hopeless(&self, roster: &Roster, now: Time) -> bool {
        let has_lost = self.members.iter().zip(&self.lives).any(|(name, born)| {
            let host = roster.host_by_name(name).map(|(_, host)| host);
            host.is_none_or(|host| {
                host.runner.born != *born || !is_eligible(host) || self.is_outdated(host)
            })
        });
        has_lost || now >= self.until
    }

    /// How far a member is, once it is one.
    pub(super) fn state_of(&self, roster: &Roster, name: &HostName) -> Option<MemberState> {
        let (_, host) = roster.host_by_name(name)?;
        let member = host.runner.member.as_ref()?;
        self.is_mine(member).then_some(member.state)
    }

    /// Whether it shares a member with a group that it isn't.
    pub(super) fn overlaps(&self, roster: &Roster, group: &Group) -> bool {
        group.members.values().any(|key| {
            roster
                .host(*key)
                .is_some_and(|host| self.members.contains(&host.name))
        })
    }

    fn is_mine(&self, member: &Membership) -> bool {
        member.group == self.group && member.epoch == self.epoch
    }

    /// Whether a member has moved on to a later epoch.
    fn is_outdated(&self, host: &Host) -> bool {
        let member = host.runner.member.as_ref();
        member.is_some_and(|member| member.epoch > self.epoch)
    }
}
