//! Decides which members of groups are probed, and when.
//!
//! A group makes progress only while all of its members work together. Data on
//! a stream of its head therefore proves that every member is alive, and a
//! member is probed only if there was no such proof recently. The holder of the
//! duty sees few of the streams itself, so the other daemons tell it which
//! groups have sent them data.

use super::{
    group::Group,
    load::Loads,
    roster::{HostKey, Roster},
};
use crate::core::{
    keys::Epoch,
    time::{Span, Time},
};
use std::collections::BTreeMap;

/// Time without a proof after which a member is probed.
const PROBE_INTERVAL: Span = Span::from_millis(500);

/// Maximum time between two probes of a member, which also report how fast it works.
const MAX_PROBE_INTERVAL: Span = Span::from_millis(2_000);

/// Maximum number of probes over new connections at a time. A new holder of the duty has none yet;
/// if it opened all at once, they would time out for want of its own processor time.
const MAX_NEW_PROBES: usize = 64;

/// Fraction of unreachable members above which this daemon itself is assumed to be cut off.
const MAX_UNREACHABLE_FRACTION: f64 = 0.4;

/// Times at which members were last proven to be alive by a stream of their group.
pub type Proofs = BTreeMap<HostKey, Time>;

crate::record! {
    /// Progress of a group, as one daemon reports it to the holder of the duty.
    pub struct GroupProgress {
        /// Epoch of the group.
        pub epoch: Epoch,
        /// Time since its head sent data.
        pub age: Span,
    }
}

/// Times at which the heads of groups last sent data to other daemons.
#[derive(Debug, Default)]
pub struct ReportedProgress(BTreeMap<Epoch, Time>);

impl ReportedProgress {
    /// Records a daemon's report that has just arrived.
    pub fn record(&mut self, report: &[GroupProgress], now: Time) {
        for progress in report {
            let at = Time(now.0.saturating_sub(progress.age.0));
            let latest = self.0.entry(progress.epoch).or_default();
            *latest = at.max(*latest);
        }
    }

    /// Forgets progress that is too old to matter.
    pub fn expire(&mut self, now: Time) {
        self.0.retain(|_, at| now.since(*at) < MAX_PROBE_INTERVAL);
    }

    fn get(&self, epoch: Epoch) -> Option<Time> {
        self.0.get(&epoch).copied()
    }
}

/// Returns the groups whose heads have sent data to this daemon less than `window` ago.
pub fn recent_progress(
    roster: &Roster,
    loads: &Loads,
    window: Span,
    now: Time,
) -> Vec<GroupProgress> {
    let progress = roster.groups().iter().filter_map(|group| {
        let at = own_progress(group, loads)?;
        Some(GroupProgress {
            epoch: group.epoch,
            age: now.since(at),
        })
    });
    progress.filter(|progress| progress.age < window).collect()
}

/// Returns the groups whose heads have sent data to some daemon, and when they last did.
pub fn latest_data(
    roster: &Roster,
    loads: &Loads,
    reported: &ReportedProgress,
) -> Vec<(Epoch, Time)> {
    let groups = roster.groups().iter();
    let latest = groups.filter_map(|group| {
        let at = own_progress(group, loads).max(reported.get(group.epoch))?;
        Some((group.epoch, at))
    });
    latest.collect()
}

/// Returns the latest proof of each member of the groups that are open or closing.
pub fn proofs(roster: &Roster, loads: &Loads, reported: &ReportedProgress) -> Proofs {
    let mut proofs = Proofs::new();
    for group in roster.groups() {
        let is_at_work = group.is_active() && group.complete;
        if !is_at_work || roster.has_unreachable_member(group) {
            continue;
        }
        let progress = own_progress(group, loads).max(reported.get(group.epoch));
        if let Some(at) = progress {
            proofs.extend(group.members.values().map(|key| (*key, at)));
        }
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

/// Returns true if a member is alive although a probe of it failed that was sent at a time: its
/// group has made progress since, so only this daemon doesn't reach it.
pub fn is_proven_since(failed_probe: Option<Time>, proof: Option<Time>) -> bool {
    proof.is_some() && proof > failed_probe
}

/// Returns the members to probe of those that are due, given with whether a connection to them is
/// open; `in_flight` probes over new connections are under way.
pub fn select_probes<I>(due: I, in_flight: usize) -> Vec<HostKey>
where
    I: IntoIterator<Item = (HostKey, bool)>,
{
    let mut new_probes = MAX_NEW_PROBES.saturating_sub(in_flight);
    let mut selected = Vec::new();
    for (key, has_connection) in due {
        if has_connection {
            selected.push(key);
        } else if new_probes > 0 {
            new_probes -= 1;
            selected.push(key);
        }
    }
    selected
}

/// Returns true if so many members are unreachable that this daemon itself must be cut off.
pub fn is_cut_off(unreachable: usize, members: usize) -> bool {
    unreachable as f64 > MAX_UNREACHABLE_FRACTION * members as f64
}

/// Returns the time at which the head of a group last sent data to this daemon.
fn own_progress(group: &Group, loads: &Loads) -> Option<Time> {
    loads.last_data(group.head()?)
}
