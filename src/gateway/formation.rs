//! A group being formed, and the choice of its members.

use super::{
    planner::{Order, is_eligible},
    roster::{Group, Host, HostKey, MemberState, Membership, Roster},
    spec::Replication,
};
use crate::core::{
    keys::{Epoch, GroupName, HostName, ModelName, ServiceName},
    time::Time,
};

/// A domain's hosts.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Hosts that may be part of a group, in one or not.
    pub total: usize,
    /// Those that no group holds.
    pub free: Vec<HostKey>,
}

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
    /// When it is given up.
    pub until: Time,
}

impl Formation {
    /// A formation that another daemon began.
    pub(super) fn adopted(roster: &Roster, group: &Group, until: Time) -> Self {
        let hosts = || group.members.values().filter_map(|key| roster.host(*key));
        Self {
            service: group.service.clone(),
            model: group.model.clone(),
            group: group.name.clone(),
            epoch: group.epoch,
            members: hosts().map(|host| host.name.clone()).collect(),
            lives: hosts().map(|host| host.runner.born).collect(),
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
            let host = roster.named(name).map(|(_, host)| host);
            host.is_none_or(|host| {
                host.runner.born != *born || !is_eligible(roster, host) || self.is_outdated(host)
            })
        });
        has_lost || now >= self.until
    }

    /// How far a member is, once it is one.
    pub(super) fn state_of(&self, roster: &Roster, name: &HostName) -> Option<MemberState> {
        let (_, host) = roster.named(name)?;
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

/// Takes the hosts of a new group out of a pool, those that are ready soonest first.
pub(super) fn choose_members(
    roster: &Roster,
    pool: &mut Pool,
    replication: &Replication,
) -> Vec<HostKey> {
    pool.free.sort_by_key(|key| {
        roster
            .host(*key)
            .map(|host| delay_rank(host, &replication.model))
    });
    pool.free
        .drain(..usize::from(replication.size).min(pool.free.len()))
        .collect()
}

/// 0: was in a group of the model; 1: has its weights staged; 2: has none staged; 3: has others.
fn delay_rank(host: &Host, model: &ModelName) -> u8 {
    let member = host.runner.member.as_ref();
    let is_loaded = member.is_some_and(|member| member.model.as_ref() == Some(model));
    let is_staged = host.runner.staged.contains(model);
    match (is_loaded, is_staged, host.runner.staged.is_empty()) {
        (true, _, _) => 0,
        (_, true, _) => 1,
        (_, _, true) => 2,
        _ => 3,
    }
}
