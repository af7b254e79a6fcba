//! Orders to open groups, and which of them may still take effect.
//!
//! An order without a response may be carried out seconds later, and a report
//! may be as old. A group whose head may be open must keep its members, although
//! its head last reported to be ready: otherwise a member could join another
//! group while the head serves.

use super::{
    group::Group,
    roster::{MemberState, Roster},
};
use crate::core::{
    keys::{Epoch, GroupName},
    time::{Span, Time},
};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which the orders of a group that no runner reports are forgotten.
const UNKNOWN_GROUP_TTL: Span = Span::from_secs(60);

/// Orders to open the groups that this daemon formed, and groups whose heads have left.
#[derive(Debug, Default)]
pub(super) struct Openings {
    formed: BTreeMap<GroupName, Opening>,
    /// Groups whose heads accepted an order to leave.
    left: BTreeSet<Epoch>,
}

/// Orders to open one group.
#[derive(Debug)]
struct Opening {
    formed_at: Time,
    /// Orders sent.
    sent: u32,
    /// Orders to which the head responded.
    answered: u32,
    /// True if the head has reported to be open since the last order.
    is_reported: bool,
}

impl Openings {
    /// Forgets groups that no runner reports any more.
    pub(super) fn expire(&mut self, roster: &Roster, now: Time) {
        let groups = roster.groups();
        self.formed.retain(|name, opening| {
            let group = groups.iter().find(|group| group.name == *name);
            opening.is_reported |= group.is_some_and(Group::is_active);
            group.is_some() || now.since(opening.formed_at) < UNKNOWN_GROUP_TTL
        });
        let is_known = |epoch: &Epoch| groups.iter().any(|group| group.epoch == *epoch);
        self.left.retain(is_known);
    }

    /// Records that this daemon forms a group, and so knows of all orders to open it.
    pub(super) fn formed(&mut self, group: GroupName, now: Time) {
        let opening = Opening {
            formed_at: now,
            sent: 0,
            answered: 0,
            is_reported: false,
        };
        self.formed.insert(group, opening);
    }

    /// Records that an order to open a group is sent.
    pub(super) fn sent(&mut self, group: &GroupName, now: Time) {
        let opening = self.formed.entry(group.clone()).or_insert(Opening {
            formed_at: now,
            // Orders of an earlier holder of the duty may not have been answered.
            sent: 1,
            answered: 0,
            is_reported: false,
        });
        opening.sent += 1;
        opening.is_reported = false;
    }

    /// Records that a head responded to an order to open.
    pub(super) fn answered(&mut self, group: &GroupName) {
        if let Some(opening) = self.formed.get_mut(group) {
            opening.answered += 1;
        }
    }

    /// Records that the head of a group accepted an order to leave it.
    pub(super) fn head_left(&mut self, epoch: Epoch) {
        self.left.insert(epoch);
    }

    /// Returns true if the head of a group may be open, or open later, although it last reported to
    /// be ready.
    ///
    /// A group is ordered to open once all of its members are ready, so one with a member that is
    /// joining was not.
    pub(super) fn may_be_open(&self, roster: &Roster, group: &Group) -> bool {
        if group.head_state != Some(MemberState::Ready) || self.left.contains(&group.epoch) {
            return false;
        }
        let mut members = roster
            .members(group)
            .filter_map(|host| host.runner.member.as_ref());
        let was_ready = members.all(|member| member.state != MemberState::Joining);
        let opening = self.formed.get(&group.name);
        was_ready && opening.is_none_or(Opening::may_be_in_effect)
    }
}

impl Opening {
    /// Returns true if an order may be in effect, or be carried out later, without a report of it.
    fn may_be_in_effect(&self) -> bool {
        let is_unreported = self.sent > 0 && !self.is_reported;
        is_unreported || self.sent > self.answered
    }
}
