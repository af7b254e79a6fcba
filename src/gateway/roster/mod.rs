//! Known runners, as they report themselves, and their groups.
//!
//! A runner's own entry is the only record of its membership: no second copy
//! of a group is kept that could disagree with it.
//!
//! `listing` applies the lists and changes of the store's entries.
//!
//! An address belongs to one runner at a time. Whoever reports to be at an
//! address thereby proves that the runner known there before has ended.
//!
//! A host is unlisted if its entry is missing from the store; it stays known as
//! long as a group may count on it. It is unreachable if it answers no probe,
//! and dead if it is also known to run no more requests.

mod listing;
mod lookup;

pub use super::runner::{MemberState, Membership, Runner};
pub use listing::REENTRY_WINDOW;

use super::{
    evacuation::Evacuations,
    group::{self, Group},
    spec::Spec,
};
use crate::core::{
    keys::{Epoch, HostName},
    time::{Span, Time},
};
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Time that a draining head may take to finish its requests once it no longer listens.
pub const DRAIN_TIMEOUT: Span = Span::from_millis(11_000);

/// Window after a store outage in which an entry may still describe the state before it.
const STALE_ENTRY_WINDOW: Span = Span::from_millis(4_000);

/// Time without data on its streams after which a head that isn't reached may be idle.
const DATA_WINDOW: Span = Span::from_millis(1_000);

/// Slowdown factor from which a runner or a group counts as slow.
pub const SLOW_FACTOR: f64 = 2.0;

/// One run of a host's runner: the host's name and the start in Unix milliseconds.
pub type RunnerInstance = (HostName, u64);

new_key_type! {
    /// Key of a runner instance; a restarted runner gets a new one.
    pub struct HostKey;
}

/// A known host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the host.
    pub name: HostName,
    /// Last report of its runner.
    pub runner: Runner,
    /// Time since which its entry is missing.
    pub unlisted_since: Option<Time>,
    /// Time until which its missing entry may still come back; in the past if it left.
    reentry_until: Time,
    /// Time at which an older copy of the store listed it again although it had left.
    relisted_at: Option<Time>,
    /// Time of its last answer to a probe.
    last_answer: Option<Time>,
    /// Time of its last answer to a probe, unless it was unlisted or draining then.
    last_healthy: Option<Time>,
    /// Time at which it last sent data on a stream to some daemon, as the head of a group.
    last_data: Option<Time>,
    /// Failure of its last probe, if it failed.
    probe_failure: Option<ProbeFailure>,
    /// True if another daemon reported it to be dead rather than draining.
    is_reported_dead: bool,
    is_unreachable: bool,
    /// True if the runner has said in a response that it leaves.
    says_leaving: bool,
    slowdown: f64,
}

impl Host {
    /// Returns true if the runner has said in a response that it leaves.
    pub fn says_leaving(&self) -> bool {
        self.says_leaving
    }

    /// Returns true if the runner is about to leave, by its entry or by its own responses.
    pub fn is_draining(&self) -> bool {
        self.runner.draining || self.says_leaving
    }

    /// Returns true if the host answers no probes.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Returns true if it has sent data on a stream to some daemon a moment ago.
    pub fn sends_data(&self, now: Time) -> bool {
        let last = self.last_data;
        last.is_some_and(|at| now.since(at) < DATA_WINDOW)
    }

    /// Returns the slowdown factor: how many times slower than usual the runner works.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns the identity of the run that the host's runner is in.
    pub fn instance(&self) -> RunnerInstance {
        (self.name.clone(), self.runner.born)
    }
}

crate::record! {
    /// Reason for which no request may be sent to a runner or to a group.
    #[derive(Copy, Eq)]
    pub enum Obstacle {
        /// Its hall, or that of the group's head, is evacuated.
        Evacuated,
        /// The head of the group takes no requests.
        NotOpen,
        /// The group lacks members.
        Incomplete,
        /// Its entry is missing from the store.
        Unlisted,
        /// It is about to leave.
        Leaving,
        /// It answers no probes.
        Unreachable,
        /// A member of the group answers no probes or is no longer known.
        MemberUnreachable,
    }

    /// Failure of a probe.
    #[derive(Copy, Eq)]
    pub enum ProbeFailure {
        /// No response at all: the host itself is down.
        Silent,
        /// The host responds, but the runner no longer listens.
        Refused,
        /// Something responds, but not with a report: the runner may be full, or in trouble.
        Faulty,
        /// Another run is at its address, so this one has ended.
        Replaced,
    }
}

/// Known hosts, and the groups that their runners form.
#[derive(Debug, Default)]
pub struct Roster {
    /// Halls to whose runners no request is sent.
    pub evacuations: Evacuations,
    hosts: SlotMap<HostKey, Host>,
    /// Key of the current runner instance on each host.
    keys: BTreeMap<HostName, HostKey>,
    /// Key of the runner instance at each address, which belongs to one at a time.
    addresses: BTreeMap<SocketAddr, HostKey>,
    /// Instances that don't answer the probes of some daemon.
    unreachable: BTreeSet<RunnerInstance>,
    /// Instances that have said that they leave.
    leaving: BTreeSet<RunnerInstance>,
    /// Slow instances with their slowdown factors.
    slow: BTreeMap<RunnerInstance, f64>,
    groups: Vec<Group>,
    /// Time until which an entry that is found missing may still come back.
    reentry_until: Time,
    /// Time at which calls to the store began to fail, while they do.
    lost_at: Option<Time>,
    /// Time since which the store has been watched without interruption.
    watched_since: Option<Time>,
    /// Groups that no longer hold their members, as another daemon reported.
    released: BTreeSet<Epoch>,
    /// Groups whose heads this daemon has seen, also if they have left since.
    seen_heads: BTreeSet<Epoch>,
}

impl Roster {
    /// Records a runner's answer to a probe; the membership counts only if the host has no entry,
    /// since an entry is newer.
    pub fn probe_answered(&mut self, key: HostKey, member: Option<Membership>, now: Time) {
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        host.last_answer = Some(now);
        let is_healthy = host.unlisted_since.is_none() && !host.is_draining();
        host.last_healthy = is_healthy.then_some(now);
        host.probe_failure = None;
        host.is_reported_dead = false;
        if host.unlisted_since.is_some() && host.runner.member != member {
            host.runner.member = member;
        }
    }

    /// Records that a probe of a host failed.
    pub fn probe_failed(&mut self, key: HostKey, failure: ProbeFailure) {
        if let Some(host) = self.hosts.get_mut(key) {
            host.probe_failure = Some(failure);
            host.is_reported_dead &= failure != ProbeFailure::Faulty;
        }
    }

    /// Records that the head of a group sent data on a stream to some daemon.
    pub fn record_progress(&mut self, epoch: Epoch, at: Time) {
        let group = self.groups.iter().find(|group| group.epoch == epoch);
        let head = group.and_then(Group::head);
        if let Some(host) = head.and_then(|key| self.hosts.get_mut(key)) {
            host.last_data = host.last_data.max(Some(at));
        }
    }

    /// Marks a host whose runner has said that it leaves, whatever its entry says; returns true if
    /// that was not known.
    pub fn mark_leaving(&mut self, key: HostKey) -> bool {
        let Some(host) = self.hosts.get_mut(key) else {
            return false;
        };
        host.says_leaving = true;
        let (name, born) = host.instance();
        self.leaving
            .retain(|(other, start)| *other != name || *start == born);
        self.leaving.insert((name, born))
    }

    /// Replaces the set of unreachable instances.
    pub fn set_unreachable(&mut self, unreachable: BTreeSet<RunnerInstance>) {
        for host in self.hosts.values_mut() {
            host.is_unreachable = unreachable.contains(&host.instance());
        }
        self.unreachable = unreachable;
    }

    /// Marks instances that another daemon reported to be dead rather than draining.
    pub fn mark_dead(&mut self, instances: &[RunnerInstance]) {
        for (name, born) in instances {
            let Some(key) = self.keys.get(name) else {
                continue;
            };
            let host = &mut self.hosts[*key];
            host.is_reported_dead |= host.runner.born == *born;
        }
    }

    /// Replaces the groups that no longer hold their members, as another daemon reported.
    pub fn set_released(&mut self, released: &[Epoch]) {
        self.released = released.iter().copied().collect();
    }

    /// Returns true if an unreachable host is dead, rather than draining: a draining runner may no
    /// longer listen while it still runs requests.
    ///
    /// A host that refuses connections counts as crashed only if it was seen healthy under an
    /// uninterrupted watch: while the store is unavailable, leaving runners can't announce it.
    pub fn is_dead(&self, host: &Host) -> bool {
        let fresh_from = self.watched_since.map(|since| since + STALE_ENTRY_WINDOW);
        let is_watched = self.lost_at.is_none();
        let was_healthy = host.last_healthy.is_some() && host.last_healthy >= fresh_from;
        match host.probe_failure {
            _ if host.is_reported_dead => true,
            Some(ProbeFailure::Silent | ProbeFailure::Replaced) => true,
            Some(ProbeFailure::Refused) => is_watched && was_healthy,
            Some(ProbeFailure::Faulty) | None => false,
        }
    }

    /// Returns the unreachable instances that are dead.
    pub fn dead_instances(&self) -> Vec<RunnerInstance> {
        let unreachable = self.hosts.values().filter(|host| host.is_unreachable());
        let dead = unreachable.filter(|host| self.is_dead(host));
        dead.map(Host::instance).collect()
    }

    /// Replaces the slow instances and their slowdown factors.
    pub fn set_slow(&mut self, slow: BTreeMap<RunnerInstance, f64>) {
        for host in self.hosts.values_mut() {
            host.slowdown = slowdown_of(&slow, &host.instance());
        }
        self.slow = slow;
    }

    /// Rebuilds the groups from the members' reports.
    pub fn rebuild_groups(&mut self, spec: &Spec) {
        self.groups = group::assemble(&self.hosts, spec);
        self.remember_heads();
    }

    /// Remembers which groups have been seen with a head, and forgets groups that are gone.
    fn remember_heads(&mut self) {
        let groups = self.groups.iter();
        let seen =
            groups.filter(|group| group.head().is_some() || self.seen_heads.contains(&group.epoch));
        self.seen_heads = seen.map(|group| group.epoch).collect();
    }

    /// Returns the groups as of the last rebuild.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Returns the host with a key.
    pub fn host(&self, key: HostKey) -> Option<&Host> {
        self.hosts.get(key)
    }

    /// Returns the host with a name, and its key.
    pub fn host_by_name(&self, name: &HostName) -> Option<(HostKey, &Host)> {
        let key = *self.keys.get(name)?;
        Some((key, &self.hosts[key]))
    }

    /// Returns all known hosts.
    pub fn hosts(&self) -> impl Iterator<Item = (HostKey, &Host)> {
        self.hosts.iter()
    }

    /// Returns the slowdown factor of a group, which is that of its slowest member.
    pub fn group_slowdown(&self, group: &Group) -> f64 {
        let slowdowns = self.members(group).map(Host::slowdown);
        slowdowns.fold(1.0, f64::max)
    }

    /// Returns true if requests may be sent to a host.
    pub fn is_usable(&self, host: &Host, now: Time) -> bool {
        self.host_obstacle(host, now).is_none()
    }

    /// Returns the reason for which no request may be sent to a host, if there is one.
    pub fn host_obstacle(&self, host: &Host, now: Time) -> Option<Obstacle> {
        match self.is_evacuated(host) {
            true => Some(Obstacle::Evacuated),
            false => availability_obstacle(host, now),
        }
    }

    /// Returns true if a host is in a hall that is evacuated.
    pub fn is_evacuated(&self, host: &Host) -> bool {
        self.evacuations.contains(&host.runner.hall)
    }

    /// Returns true if requests could be sent to a host if its hall weren't evacuated.
    pub fn is_available(&self, host: &Host, now: Time) -> bool {
        availability_obstacle(host, now).is_none()
    }

    /// Returns true if a later run than this one is known at its address or under its name.
    pub fn has_restarted(&self, runner: &RunnerInstance, address: SocketAddr) -> bool {
        let (name, born) = runner;
        let at_address = self.addresses.get(&address).map(|key| &self.hosts[*key]);
        let is_replaced =
            at_address.is_some_and(|host| host.name != *name && host.runner.born >= *born);
        let named = self.host_by_name(name);
        is_replaced || named.is_some_and(|(_, host)| host.runner.born > *born)
    }

    /// Returns the known members of a group.
    pub fn members<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = &'a Host> {
        group.members.values().filter_map(|key| self.host(*key))
    }

    /// Returns true if a member of a group is unreachable or no longer known.
    pub fn has_unreachable_member(&self, group: &Group) -> bool {
        let mut hosts = group.members.values().map(|key| self.host(*key));
        hosts.any(|host| host.is_none_or(Host::is_unreachable))
    }

    /// Returns true if a member of a group is unreachable and can't be at work. One whose entry is
    /// missing may still be at work, unless it announced that it leaves or is known to be dead.
    pub fn has_lost_member(&self, group: &Group) -> bool {
        let is_at_work = |host: &Host| {
            host.unlisted_since.is_some() && !host.is_draining() && !self.is_dead(host)
        };
        let mut unreachable = self.members(group).filter(|host| host.is_unreachable());
        unreachable.any(|host| !is_at_work(host))
    }

    /// Returns true if a group may have a head that this daemon never saw: a head that left earlier
    /// is no longer listed, and one whose entry expired in a store outage isn't listed yet.
    pub fn may_have_unseen_head(&self, group: &Group, now: Time) -> bool {
        let is_known = |epoch| self.released.contains(epoch) || self.seen_heads.contains(epoch);
        let is_unseen = group.head().is_none() && !is_known(&group.epoch);
        let watched = self
            .watched_since
            .map_or(Span::ZERO, |since| now.since(since));
        is_unseen && watched < DRAIN_TIMEOUT
    }

    /// Returns true if requests may be sent to a group.
    pub fn is_serving(&self, group: &Group, now: Time) -> bool {
        self.group_obstacle(group, now).is_none()
    }

    /// Returns the reason for which no request may be sent to a group, if there is one.
    pub fn group_obstacle(&self, group: &Group, now: Time) -> Option<Obstacle> {
        let head = group.head().and_then(|key| self.host(key));
        match head.is_some_and(|head| self.is_evacuated(head)) {
            true => Some(Obstacle::Evacuated),
            false => self.serving_obstacle(group, now),
        }
    }

    /// Returns true if requests could be sent to a group if its head's hall weren't evacuated.
    pub fn can_serve(&self, group: &Group, now: Time) -> bool {
        self.serving_obstacle(group, now).is_none()
    }

    /// Returns the reason for which no request could be sent to a group even if its head's hall
    /// weren't evacuated.
    fn serving_obstacle(&self, group: &Group, now: Time) -> Option<Obstacle> {
        if group.head_state != Some(MemberState::Open) {
            return Some(Obstacle::NotOpen);
        }
        let head = group.head().and_then(|key| self.host(key));
        let Some(head) = head.filter(|_| group.complete) else {
            return Some(Obstacle::Incomplete);
        };
        let unreachable = || {
            let is_unreachable = self.has_unreachable_member(group);
            is_unreachable.then_some(Obstacle::MemberUnreachable)
        };
        availability_obstacle(head, now).or_else(unreachable)
    }
}

/// Returns the reason for which no request could be sent to a host even if its hall weren't evacuated.
fn availability_obstacle(host: &Host, now: Time) -> Option<Obstacle> {
    match host {
        _ if host.unlisted_since.is_some() && now >= host.reentry_until => Some(Obstacle::Unlisted),
        _ if host.is_draining() => Some(Obstacle::Leaving),
        _ if host.is_unreachable() => Some(Obstacle::Unreachable),
        _ => None,
    }
}

fn slowdown_of(slow: &BTreeMap<RunnerInstance, f64>, instance: &RunnerInstance) -> f64 {
    slow.get(instance).copied().unwrap_or(1.0)
}
