//! How long a group keeps its members, and which hosts may join another.

use super::{
    pool::Pool,
    roster::{Group, Host, LEAVING_LIMIT, MemberState, Roster},
};
use crate::core::time::Time;

/// Whether a host may be part of a new group.
pub(super) fn is_eligible(host: &Host) -> bool {
    host.unlisted.is_none() && !host.runner.draining && !host.is_unreachable()
}

/// Whether an active group must be closed, and if so, whether at once.
pub(super) fn must_close(roster: &Roster, group: &Group, head: &Host) -> Option<bool> {
    if !group.complete || roster.has_unreachable_member(group) {
        return Some(true);
    }
    let is_draining = roster.members(group).any(|host| host.runner.draining);
    let is_leaving = is_draining || head.unlisted.is_some();
    let is_open = group.head_state == Some(MemberState::Open);
    (is_leaving && is_open).then_some(false)
}

/// Whether an open group has slow members that its domain can replace at once.
pub(super) fn is_outpaced(roster: &Roster, group: &Group, pool: &Pool) -> bool {
    let is_slow = |host: &&Host| host.pace() > 1.0;
    let slow = roster.members(group).filter(is_slow).count();
    let is_open = group.head_state == Some(MemberState::Open);
    is_open && slow > 0 && pool.prompt(roster, &group.model) >= slow
}

/// Whether a group's members must not be ordered elsewhere.
///
/// A head that answers no probes still holds them until its entry is gone: it
/// may only be out of this daemon's reach. One that is leaving may be busy for
/// longer though it listens no more, and so may one that was never seen here.
pub(super) fn holds_members(roster: &Roster, group: &Group, now: Time) -> bool {
    if !group.is_active() {
        return roster.may_lack_head(group, now);
    }
    let Some(head) = group.head().and_then(|key| roster.host(key)) else {
        return false;
    };
    let Some(unlisted) = head.unlisted.filter(|_| head.is_unreachable()) else {
        return true;
    };
    !roster.is_dead(head) && now.since(unlisted) < LEAVING_LIMIT
}
