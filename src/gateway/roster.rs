//! What runners say of themselves, and the groups that follow from it.
//!
//! A runner's own entry is the only record of its membership: no second copy
//! of a group is kept, so none can disagree with it. Hosts whose entry has
//! gone stay known while a group counts on them, marked as unlisted.

use super::spec::Spec;
use crate::core::{
    keys::{DomainName, Epoch, GroupName, HallName, HostName, ModelName, ServiceName},
    time::{Span, Time},
};
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// How long after an outage of the store a missing entry may still come back.
pub const REENTRY: Span = Span::from_millis(2_000);

/// How long a head that leaves may go on with its requests once it listens no more.
pub const LEAVING_LIMIT: Span = Span::from_millis(11_000);

/// How long after an outage an entry may still say what was so before it.
const SETTLING: Span = Span::from_millis(4_000);

/// How long a host without an entry is remembered.
const MEMORY: Span = Span::from_secs(30);

/// From how many times slower than usual on a runner or a group counts as slow.
pub const SLOW_FACTOR: f64 = 2.0;

/// A runner's name and start, in Unix milliseconds.
pub type RunnerInstance = (HostName, u64);

new_key_type! {
    /// One lifetime of a host's runner.
    pub struct HostKey;
}

crate::record! {
    /// What a runner says of itself.
    pub struct Runner {
        /// The service that it is part of.
        pub service: ServiceName,
        /// Where it takes requests and orders.
        pub address: SocketAddr,
        /// Its hall.
        pub hall: HallName,
        /// Its fabric domain, if it can be part of a group.
        pub domain: Option<DomainName>,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether it is leaving.
        pub draining: bool,
        /// When it started, in Unix milliseconds.
        pub born: u64,
        /// Models whose weights lie on its host.
        pub staged: Vec<ModelName>,
        /// The group that it belongs to.
        pub member: Option<Membership>,
    }

    /// A runner's place in a group.
    pub struct Membership {
        /// The group.
        pub group: GroupName,
        /// The group's epoch.
        pub epoch: Epoch,
        /// Its rank; 0 is the head.
        pub rank: u16,
        /// The model, if the runner says.
        pub model: Option<ModelName>,
        /// How far it is.
        pub state: MemberState,
    }

    /// How far a member is.
    #[derive(Copy, Eq)]
    pub enum MemberState {
        /// Loading weights.
        Joining,
        /// Loaded, not serving.
        Ready,
        /// The head takes requests.
        Open,
        /// The head finishes its requests.
        Closing,
        /// A member was lost for too long.
        Broken,
    }
}

/// A known host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its name.
    pub name: HostName,
    /// What it said last.
    pub runner: Runner,
    /// Since when its entry is gone.
    pub unlisted: Option<Time>,
    /// When it last answered a probe, if it was listed and not leaving then.
    stayed: Option<Time>,
    /// How its last probe failed, if it did.
    failure: Option<Failure>,
    /// Whether another daemon found it to be dead rather than leaving.
    is_dead: bool,
    is_lost: bool,
    pace: f64,
}

impl Host {
    /// Whether it answers no probes.
    pub fn is_unreachable(&self) -> bool {
        self.is_lost
    }

    /// How many times slower than usual it works.
    pub fn pace(&self) -> f64 {
        self.pace
    }

    fn life(&self) -> RunnerInstance {
        (self.name.clone(), self.runner.born)
    }
}

crate::record! {
    /// How a probe failed.
    #[derive(Copy, Eq)]
    pub enum Failure {
        /// Nothing came back: its machine is gone.
        Silent,
        /// Its machine answers, but it listens no more.
        Refused,
    }
}

/// The members of one group at one epoch, as they say themselves.
#[derive(Clone, Debug)]
pub struct Group {
    /// Its name.
    pub name: GroupName,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its service.
    pub service: ServiceName,
    /// Its model.
    pub model: ModelName,
    /// Its members by rank.
    pub members: BTreeMap<u16, HostKey>,
    /// The state that its head reports.
    pub head_state: Option<MemberState>,
    /// Whether every rank is there.
    pub complete: bool,
}

impl Group {
    /// The head's key.
    pub fn head(&self) -> Option<HostKey> {
        self.members.get(&0).copied()
    }

    /// Whether its head may be running requests.
    pub fn is_active(&self) -> bool {
        matches!(
            self.head_state,
            Some(MemberState::Open | MemberState::Closing)
        )
    }
}

/// Everything known of runners.
#[derive(Debug, Default)]
pub struct Roster {
    hosts: SlotMap<HostKey, Host>,
    names: BTreeMap<HostName, HostKey>,
    /// Lifetimes that answer no probes of some daemon.
    lost: BTreeSet<RunnerInstance>,
    /// Lifetimes found to be slow, and how many times slower they work.
    slow: BTreeMap<RunnerInstance, f64>,
    groups: Vec<Group>,
    /// Until when a missing entry may still come back.
    reentry: Time,
    /// Since when changes have been followed without a gap.
    followed: Option<Time>,
    /// Groups that hold their members no more, as another daemon found out.
    ended: BTreeSet<Epoch>,
}

impl Roster {
    /// Takes in what a runner says of itself.
    pub fn put(&mut self, name: HostName, runner: Runner) {
        let known = self.names.get(&name).copied();
        let same = known.filter(|key| self.hosts[*key].runner.born == runner.born);
        match same {
            Some(key) => {
                let host = &mut self.hosts[key];
                host.runner = runner;
                host.unlisted = None;
                host.is_dead = false;
            }
            None => {
                self.forget(&name);
                let life = (name.clone(), runner.born);
                let host = Host {
                    name: name.clone(),
                    runner,
                    unlisted: None,
                    stayed: None,
                    failure: None,
                    is_dead: false,
                    is_lost: self.lost.contains(&life),
                    pace: pace_of(&self.slow, &life),
                };
                let key = self.hosts.insert(host);
                self.names.insert(name, key);
            }
        }
    }

    /// Takes in that a runner's entry is gone.
    pub fn mark_unlisted(&mut self, name: &HostName, now: Time) {
        let Some(key) = self.names.get(name) else {
            return;
        };
        self.hosts[*key].unlisted.get_or_insert(now);
    }

    /// Takes in a whole list: what it lacks is gone.
    pub fn replace(&mut self, listed: Vec<(HostName, Runner)>, now: Time) {
        self.followed.get_or_insert(now);
        let present: BTreeSet<HostName> = listed.iter().map(|(name, _)| name.clone()).collect();
        for (name, runner) in listed {
            self.put(name, runner);
        }
        let missing: Vec<HostName> = self
            .names
            .keys()
            .filter(|name| !present.contains(*name))
            .cloned()
            .collect();
        for name in missing {
            self.mark_unlisted(&name, now);
        }
    }

    /// Takes in what a runner answered to a probe; its entry, if it has one, is newer.
    pub fn report(&mut self, name: &HostName, member: Option<Membership>, now: Time) {
        let Some(key) = self.names.get(name) else {
            return;
        };
        let host = &mut self.hosts[*key];
        let has_stayed = host.unlisted.is_none() && !host.runner.draining;
        host.stayed = has_stayed.then_some(now);
        host.failure = None;
        host.is_dead = false;
        if host.unlisted.is_some() && host.runner.member != member {
            host.runner.member = member;
        }
    }

    /// Takes in that a runner answered no probe.
    pub fn missed(&mut self, name: &HostName, failure: Failure) {
        if let Some(key) = self.names.get(name) {
            self.hosts[*key].failure = Some(failure);
        }
    }

    /// Marks lifetimes as lost, in place of the marks before.
    pub fn set_unreachable(&mut self, lost: BTreeSet<RunnerInstance>) {
        for host in self.hosts.values_mut() {
            host.is_lost = lost.contains(&host.life());
        }
        self.lost = lost;
    }

    /// Takes in which lifetimes are dead rather than leaving, as another daemon found out.
    pub fn mark_dead(&mut self, lives: &[RunnerInstance]) {
        for (name, born) in lives {
            let Some(key) = self.names.get(name) else {
                continue;
            };
            let host = &mut self.hosts[*key];
            host.is_dead |= host.runner.born == *born;
        }
    }

    /// Takes in which groups hold their members no more, as another daemon found out.
    pub fn set_released(&mut self, ended: &[Epoch]) {
        self.ended = ended.iter().copied().collect();
    }

    /// Whether a host that was found lost is dead; one that leaves may listen no more and be
    /// busy nevertheless.
    ///
    /// One that refuses connections has crashed only if it was seen to stay shortly before, which
    /// nobody can tell while the store is away: runners that leave then can't say so.
    pub fn is_dead(&self, host: &Host) -> bool {
        let settled = self.followed.map(|since| since + SETTLING);
        let has_crashed = || host.stayed.is_some() && host.stayed >= settled;
        match host.failure {
            _ if host.is_dead => true,
            Some(Failure::Silent) => true,
            Some(Failure::Refused) => has_crashed(),
            None => false,
        }
    }

    /// The lifetimes found lost that are dead.
    pub fn dead(&self) -> Vec<RunnerInstance> {
        let lost = self.hosts.values().filter(|host| host.is_unreachable());
        let dead = lost.filter(|host| self.is_dead(host));
        dead.map(Host::life).collect()
    }

    /// Marks lifetimes as slow, in place of the marks before.
    pub fn set_slow(&mut self, slow: BTreeMap<RunnerInstance, f64>) {
        for host in self.hosts.values_mut() {
            host.pace = pace_of(&slow, &host.life());
        }
        self.slow = slow;
    }

    /// Takes in that the store answers again after an outage.
    pub fn store_recovered(&mut self, now: Time) {
        self.reentry = now + REENTRY;
        self.followed = Some(now);
    }

    /// Drops hosts that have been without an entry for long.
    pub fn expire(&mut self, now: Time) {
        let old: Vec<HostName> = self
            .hosts
            .values()
            .filter(|host| host.unlisted.is_some_and(|at| now.since(at) > MEMORY))
            .map(|host| host.name.clone())
            .collect();
        for name in old {
            self.forget(&name);
        }
    }

    /// Puts the groups together anew.
    pub fn rebuild_groups(&mut self, spec: &Spec) {
        let mut groups: BTreeMap<(GroupName, Epoch), Group> = BTreeMap::new();
        for (key, host) in &self.hosts {
            let Some(member) = &host.runner.member else {
                continue;
            };
            let Some(model) = &member.model else {
                continue;
            };
            let group = groups
                .entry((member.group.clone(), member.epoch))
                .or_insert_with(|| Group {
                    name: member.group.clone(),
                    epoch: member.epoch,
                    service: host.runner.service.clone(),
                    model: model.clone(),
                    members: BTreeMap::new(),
                    head_state: None,
                    complete: false,
                });
            group.members.insert(member.rank, key);
            if member.rank == 0 {
                group.head_state = Some(member.state);
            }
        }
        self.groups = groups.into_values().collect();
        for group in &mut self.groups {
            let size = size_of(spec, group);
            let ranks = group.members.keys().copied();
            group.complete = size.is_some_and(|size| ranks.eq(0..size));
        }
    }

    /// The groups, as assembled last.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// A host by its key.
    pub fn host(&self, key: HostKey) -> Option<&Host> {
        self.hosts.get(key)
    }

    /// A host by its name.
    pub fn host_by_name(&self, name: &HostName) -> Option<(HostKey, &Host)> {
        let key = *self.names.get(name)?;
        Some((key, &self.hosts[key]))
    }

    /// All hosts.
    pub fn hosts(&self) -> impl Iterator<Item = (HostKey, &Host)> {
        self.hosts.iter()
    }

    /// How many times slower than usual a group works: as slow as its slowest member.
    pub fn group_pace(&self, group: &Group) -> f64 {
        let paces = self.members(group).map(Host::pace);
        paces.fold(1.0, f64::max)
    }

    /// Whether a host may be sent requests.
    pub fn is_usable(&self, host: &Host, now: Time) -> bool {
        let listed = host.unlisted.is_none() || now < self.reentry;
        listed && !host.runner.draining && !host.is_unreachable()
    }

    /// The known members of a group.
    pub fn members<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = &'a Host> {
        group.members.values().filter_map(|key| self.host(*key))
    }

    /// Whether a member of a group was found dead, or is not known any more.
    pub fn has_unreachable_member(&self, group: &Group) -> bool {
        let mut hosts = group.members.values().map(|key| self.host(*key));
        hosts.any(|host| host.is_none_or(Host::is_unreachable))
    }

    /// Whether a group may have a head that was never seen here: one that left before is listed
    /// no more, and one that lapsed with the store is not listed yet.
    pub fn may_lack_head(&self, group: &Group, now: Time) -> bool {
        let is_unseen = group.head().is_none() && !self.ended.contains(&group.epoch);
        let followed = self.followed.map_or(Span::ZERO, |since| now.since(since));
        is_unseen && followed < LEAVING_LIMIT
    }

    /// Whether a group may be sent requests.
    pub fn is_serving(&self, group: &Group, now: Time) -> bool {
        if group.head_state != Some(MemberState::Open) || !group.complete {
            return false;
        }
        let head = group.head().and_then(|key| self.host(key));
        head.is_some_and(|head| self.is_usable(head, now)) && !self.has_unreachable_member(group)
    }

    fn forget(&mut self, name: &HostName) {
        if let Some(key) = self.names.remove(name) {
            self.hosts.remove(key);
        }
    }
}

fn pace_of(slow: &BTreeMap<RunnerInstance, f64>, life: &RunnerInstance) -> f64 {
    slow.get(life).copied().unwrap_or(1.0)
}

fn size_of(spec: &Spec, group: &Group) -> Option<u16> {
    let engine = spec.engine(&group.service)?;
    Some(engine.replication(&group.model)?.size)
}
