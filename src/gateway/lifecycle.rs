//! Rules of a group's lifecycle.
//!
//! They decide when an active group has to be closed and how long its work is
//! waited for, how long a group holds its members, and which hosts are eligible
//! for a new group.
//!
//! An entry may be missing because the runner leaves without announcing it, or
//! because it is cut off from the store. In both cases its work goes on for some
//! time, so the work of a group is not cut for a missing entry.
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
use crate::core::time::{Span, Time};

/// Time for a closing head to finish its requests if they can go on elsewhere; then they are cut, and
/// their streams resume.
pub(super) const CLOSE_TIMEOUT: Span = Span::from_millis(1_800);

/// Reason for which an active group must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// A member is lost, and the work can't end.
    Broken,
    /// A member leaves, or is replaced.
    Leaving,
    /// An entry is missing, and the group may be at work.
    MissingEntry,
}

impl CloseReason {
    /// Returns the time after which the work of the group is cut; no caller waits for longer than
    /// `longest`.
    pub(super) fn max_wait(self, longest: Span) -> Span {
        match self {
            CloseReason::Broken => Span::ZERO,
            CloseReason::Leaving => CLOSE_TIMEOUT,
            CloseReason::MissingEntry => longest.max(CLOSE_TIMEOUT),
        }
    }
}

/// Returns true if a host may become a member of a new group.
pub(super) fn is_eligible(host: &Host) -> bool {
    host.unlisted_since.is_none() && !host.is_draining() && !host.is_unreachable()
}

/// Returns the reason for which an active group must be closed, if there is one.
pub(super) fn must_close(
    roster: &Roster,
    group: &Group,
    head: &Host,
    now: Time,
) -> Option<CloseReason> {
    if !group.complete || has_ended_member(roster, group, head, now) {
        return Some(CloseReason::Broken);
    }
    if roster.has_unreachable_member(group) {
        return Some(CloseReason::MissingEntry);
    }
    if group.head_state != Some(MemberState::Open) {
        return None;
    }
    if roster.members(group).any(Host::is_draining) {
        return Some(CloseReason::Leaving);
    }
    head.unlisted_since.map(|_| CloseReason::MissingEntry)
}

/// Returns true if a member of a group is unreachable and no longer works for it. One whose entry is
/// missing may work until `DRAIN_TIMEOUT`, or while the head sends data.
fn has_ended_member(roster: &Roster, group: &Group, head: &Host, now: Time) -> bool {
    let may_work = |host: &Host| {
        let unlisted = host.unlisted_since;
        let may_drain = unlisted.is_some_and(|since| now.since(since) < DRAIN_TIMEOUT);
        may_drain || head.sends_data(now)
    };
    let mut members = roster.members(group);
    let has_stopped = members.any(|host| host.is_unreachable() && !may_work(host));
    has_stopped || roster.has_lost_member(group)
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
