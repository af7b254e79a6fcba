//! Closes groups that have lost members, and orders heads to leave groups that may still open.

use super::Planner;
use crate::{
    core::{
        keys::{Epoch, GroupName, ServiceName},
        time::{Span, Time},
    },
    gateway::{
        group::Group,
        lifecycle::{can_replace_slow, may_act_as_head, must_close},
        order::{Directive, Order},
        roster::Roster,
    },
};
use std::collections::BTreeSet;

/// Time for a closing head to finish its requests; then they are cut, and their streams resume
/// elsewhere.
const CLOSE_TIMEOUT: Span = Span::from_millis(1_800);

impl Planner {
    /// Closes active groups that have lost a member or are losing one, or that can replace a slow
    /// one.
    pub(super) fn close_groups(
        &mut self,
        roster: &Roster,
        service: &ServiceName,
        now: Time,
        out: &mut Vec<Directive>,
    ) {
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
            let cut = must_close(roster, group, head).or(is_replaceable.then_some(false));
            let Some(cut) = cut.filter(|_| !has_head_left) else {
                continue;
            };
            let since = *self.closing.entry(group.name.clone()).or_insert(now);
            let close = Order::Close {
                group: group.name.clone(),
                epoch: group.epoch,
                cut: cut || now.since(since) >= CLOSE_TIMEOUT,
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
                let leave = Order::Leave {
                    group: group.name.clone(),
                    epoch: group.epoch,
                };
                self.send(&head.name, leave, now, out);
            }
        }
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
            must_close(roster, group, head).is_none()
                && pool.is_some_and(|pool| can_replace_slow(roster, group, pool))
                && domains.insert(domain)
        });
        replaceable
            .map(|group| (&group.name, group.epoch))
            .collect()
    }
}
