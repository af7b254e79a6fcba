//! Decides which members of groups are probed, and when.
//!
//! A group makes progress only while all of its members work together. Data on
//! a stream of its head therefore proves that every member is alive, and a
//! member is probed only if there was no such proof recently.

use super::{
    load::Loads,
    roster::{HostKey, MemberState, Roster},
};
use crate::core::time::{Span, Time};
use std::collections::BTreeMap;

/// Time without a proof after which a member is probed.
const PROBE_INTERVAL: Span = Span::from_millis(500);

/// Maximum time between two probes of a member, which also report how fast it works.
const MAX_PROBE_INTERVAL: Span = Span::from_millis(2_000);

/// Times at which members were last proven to be alive by a stream of their group.
pub type Proofs = BTreeMap<HostKey, Time>;

/// Returns the latest proof of each member of the groups that serve.
pub fn proofs(roster: &Roster, loads: &Loads) -> Proofs {
    let mut proofs = Proofs::new();
    for group in roster.groups() {
        let is_open = group.head_state == Some(MemberState::Open) && group.complete;
        if !is_open || roster.has_unreachable_member(group) {
            continue;
        }
        let Some(at) = group.head().and_then(|head| loads.last_data(head)) else {
            continue;
        };
        proofs.extend(group.members.values().map(|key| (*key, at)));
    }
    proofs
}

/// Returns true if a member is to be probed now.
pub fn is_probe_due(last_probe: Option<Time>, proof: Option<Time>, now: Time) -> bool {
    let Some(last_probe) = last_probe else {
        return true;
    };
    let last_proof = proof.map_or(last_probe, |proof| proof.max(last_probe));
    now.since(last_proof) >= PROBE_INTERVAL || now.since(last_probe) >= MAX_PROBE_INTERVAL
}
