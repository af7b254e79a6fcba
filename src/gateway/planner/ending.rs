//! Closes groups that have lost members, and orders hosts to leave groups that may be open although
//! their heads can't be asked, or that may still open.

use super::Planner;
use crate::{
    core::{
        keys::{Epoch, GroupName, ServiceName},
        time::{Span, Time},
    },
    gateway::{
        group::Group,
        lifecycle::{
            CloseReason, can_replace_slow, holds_members, is_eligible, is_not_known_closed,
            may_act_as_head, must_close,
        },
        order::{Directive, Order},
        roster::{Host, Roster},
        spec::Spec,
    },
};
use std::collections::BTreeSet;

impl Planner {
    /// Closes active groups that have lost a member or are losing one, or that can replace a slow
    /// one.
    pub(super) fn close_groups(
        &mut self,
        roster: &Roster,
        spec: &Spec,
        service: &ServiceName,
        now: Time,
        out: &mut Vec<Directive>,
    ) {
        let longest = longest_timeout(spec, service);
        let replaceable = self.replaceable_groups(roster, service, now);
        for group in roster.groups() {
            if group.service != *service || !group.is_active() {
                continue;
            }
            let Some(head) = group.head().and_then(|key| roster.host(key)) else {
                continue;
            };
            let has_head_left = head.unlisted_since.is_some() && head.is_unreachable();
            let is_replaceable = replaceable.contains(&(&group.name, group.epoch));
            let reason = must_close(roster, group, head, now)
                .or(is_replaceable.then_some(CloseReason::Leaving));
            let Some(reason) = reason.filter(|_| !has_head_left) else {
                continue;
            };
            let since = *self.closing.entry(group.name.clone()).or_insert(now);
            let close = Order::Close {
                group: group.name.clone(),
                epoch: group.epoch,
                cut: now.since(since) >= reason.max_wait(longest),
            };
            self.send(&head.name, close, now, out);
        }
    }

    /// Orders the heads of groups that are not to open any more to leave them, if they report to be
    /// ready but may be open.
    pub(super) fn release_ready_groups(
        &mut self,
        roster: &Roster,
        service: &ServiceName,
        now: Time,
        out: &mut Vec<Directive>,
    ) {
        for group in roster.groups() {
            let is_forming = self.formations.iter().any(|f| f.epoch == group.epoch);
            if group.service != *service || is_forming || !self.holds_ready(roster, group, now) {
                continue;
            }
            let is_over = !group.complete
                || roster.has_unreachable_member(group)
                || self.closing.contains_key(&group.name);
            let Some(head) = group.head().and_then(|key| roster.host(key)) else {
                continue;
            };
            if is_over {
                self.send(&head.name, leave_order(group), now, out);
            }
        }
    }

    /// Orders members to leave groups that may be open although their heads are gone or out of
    /// reach. The head of such a group, if it lives, can't run requests without them.
    pub(super) fn leave_groups(
        &mut self,
        roster: &Roster,
        service: &ServiceName,
        now: Time,
        out: &mut Vec<Directive>,
    ) {
        for group in roster.groups() {
            if group.service != *service || !self.must_leave(roster, group, now) {
                continue;
            }
            let leaving = self.members_to_leave(roster, group);
            let names: Vec<_> = leaving.map(|host| host.name.clone()).collect();
            for name in names {
                self.send(&name, leave_order(group), now, out);
            }
        }
    }

    /// Returns the members of a group that can be ordered to leave it, without those that are
    /// ordered to join another one already.
    pub(super) fn members_to_leave<'a>(
        &self,
        roster: &'a Roster,
        group: &'a Group,
    ) -> impl Iterator<Item = &'a Host> {
        let formations = self.formations.iter();
        let forming: BTreeSet<_> = formations
            .flat_map(|formation| formation.members.iter().cloned())
            .collect();
        let members = roster.members(group).filter(|host| is_eligible(host));
        members.filter(move |host| !forming.contains(&host.name))
    }

    /// Returns true if a group may be open: its head hasn't said that it is not, or may have been
    /// opened since.
    pub(super) fn may_be_open(&self, roster: &Roster, group: &Group) -> bool {
        is_not_known_closed(group) || self.openings.may_be_open(roster, group)
    }

    /// Returns true if the members of a group are to leave it: nobody waits for its work any more,
    /// but its head may be open.
    pub(super) fn must_leave(&self, roster: &Roster, group: &Group, now: Time) -> bool {
        self.may_be_open(roster, group) && !holds_members(roster, group, now)
    }

    /// Returns true if a group holds its members although its head last reported to be ready.
    pub(super) fn holds_ready(&self, roster: &Roster, group: &Group, now: Time) -> bool {
        self.openings.may_be_open(roster, group) && may_act_as_head(roster, group, now)
    }

    /// Returns the open groups to close because their slow members can be replaced, at most one in
    /// each domain.
    fn replaceable_groups<'a>(
        &self,
        roster: &'a Roster,
        service: &ServiceName,
        now: Time,
    ) -> BTreeSet<(&'a GroupName, Epoch)> {
        let groups = roster.groups().iter();
        let slow: Vec<&Group> = groups
            .filter(|group| group.service == *service && roster.group_slowdown(group) > 1.0)
            .collect();
        if slow.is_empty() {
            return BTreeSet::new();
        }
        let pools = self.pools(roster, service, now);
        let mut domains = BTreeSet::new();
        let replaceable = slow.into_iter().filter(|group| {
            let head = group.head().and_then(|key| roster.host(key));
            let domain = head.and_then(|head| head.runner.domain.as_ref());
            let Some((head, domain)) = head.zip(domain) else {
                return false;
            };
            let pool = pools.get(domain);
            must_close(roster, group, head, now).is_none()
                && pool.is_some_and(|pool| can_replace_slow(roster, group, pool))
                && domains.insert(domain)
        });
        replaceable
            .map(|group| (&group.name, group.epoch))
            .collect()
    }
}

/// Returns the longest time for which a caller waits for the work of a service.
fn longest_timeout(spec: &Spec, service: &ServiceName) -> Span {
    let routes = spec.routes.iter().filter(|route| {
        let mut shares = route.split.iter();
        shares.any(|share| share.service == *service)
    });
    let timeouts = routes.map(|route| route.timeout);
    timeouts.max().unwrap_or_default()
}

/// Returns the order to leave a group.
fn leave_order(group: &Group) -> Order {
    Order::Leave {
        group: group.name.clone(),
        epoch: group.epoch,
    }
}
