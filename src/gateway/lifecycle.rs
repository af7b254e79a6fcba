//! Rules of a group's lifecycle.
//!
//! They decide when an active group has to be closed, how long a group holds
//! its members, and which hosts are eligible for a new group.
//!
//! That a head is neither listed nor reached doesn't prove that it has ended: it
//! may be cut off, and open. Only a head's own word shows that its group is
//! closed, and only a member's own word that it has left. A member of a group
//! whose head can't be asked is therefore ordered to leave before it joins
//! another one.

use super::{
    group::Group,
    pool::Pool,
    roster::{DRAIN_TIMEOUT, Host, MemberState, Roster},
};
use crate::core::time::Time;

/// Returns true if a host may become a member of a new group.
pub(super) fn is_eligible(host: &Host) -> bool {
    host.unlisted_since.is_none() && !host.is_draining() && !host.is_unreachable()
}

/// Returns `Some(cut)` if an active group must be closed; `cut` also ends its running requests.
pub(super) fn must_close(roster: &Roster, group: &Group, head: &Host) -> Option<bool> {
    if !group.complete || roster.has_unreachable_member(group) {
        return Some(true);
    }
    let is_draining = roster.members(group).any(Host::is_draining);
    let is_leaving = is_draining || head.unlisted_since.is_some();
    let is_open = group.head_state == Some(MemberState::Open);
    (is_leaving && is_open).then_some(false)
}

/// Returns true if an open group has slow members and its domain has as many spares that can
/// join without a load.
pub(super) fn can_replace_slow(roster: &Roster, group: &Group, pool: &Pool) -> bool {
    let is_slow = |host: &&Host| host.slowdown() > 1.0;
    let slow = roster.members(group).filter(is_slow).count();
    let is_open = group.head_state == Some(MemberState::Open);
    is_open && slow > 0 && pool.spare_count(roster, &group.model) >= slow
}

/// Returns true if the head of a group hasn't said that the group isn't open.
pub(super) fn is_not_known_closed(group: &Group) -> bool {
    group.is_active() || group.head().is_none()
}

/// Returns true if the members of a group that may be open must stay in it.
///
/// An unreachable head holds them until its entry is removed, because it may only
/// be out of reach of this daemon. A draining head may run requests for longer
/// although it no longer listens; so may a head that this daemon never saw.
pub(super) fn holds_members(roster: &Roster, group: &Group, now: Time) -> bool {
    match group.head() {
        Some(_) => may_act_as_head(roster, group, now),
        None => roster.may_have_unseen_head(group, now),
    }
}

/// Returns true if the head of a group may still run requests or carry out orders.
pub(super) fn may_act_as_head(roster: &Roster, group: &Group, now: Time) -> bool {
    let Some(head) = group.head().and_then(|key| roster.host(key)) else {
        return false;
    };
    let Some(unlisted) = head.unlisted_since.filter(|_| head.is_unreachable()) else {
        return true;
    };
    let may_drain = !roster.is_dead(head) && now.since(unlisted) < DRAIN_TIMEOUT;
    may_drain || head.sends_data(now)
}
