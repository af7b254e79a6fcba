//! Follows the runners' entries in the store: which hosts are listed.
//!
//! An entry may be missing because its runner left, or because its lease has
//! lapsed in an outage of the store. Only the latter comes back.

use super::{Host, HostKey, Roster, Runner, slowdown_of};
use crate::core::{
    keys::HostName,
    time::{Span, Time},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Window after a store outage in which a missing entry may still come back.
pub const REENTRY_WINDOW: Span = Span::from_millis(2_000);

/// Time after which a host without an entry is dropped, unless it is at work.
const UNLISTED_TIMEOUT: Span = Span::from_secs(30);

/// Time for which an answer to a probe shows that a member of a group is there. Members are probed
/// every two seconds or more often.
const ANSWER_WINDOW: Span = Span::from_secs(5);

impl Roster {
    /// Adds a listed host, or updates its report. The host known at its address before, if it is
    /// another one, is dropped; a report of an earlier run than that one is ignored.
    pub fn put(&mut self, name: HostName, runner: Runner) {
        if let Some(former) = self.other_at(runner.address, &name) {
            if runner.born < former.runner.born {
                return;
            }
            let former = former.name.clone();
            self.remove_host(&former);
        }
        let known = self.keys.get(&name).copied();
        let same = known.filter(|key| self.hosts[*key].runner.born == runner.born);
        match same {
            Some(key) => self.update(key, runner),
            None => {
                self.remove_host(&name);
                self.insert(name, runner);
            }
        }
    }

    /// Returns the known host at an address if it is another than the one with this name.
    fn other_at(&self, address: SocketAddr, name: &HostName) -> Option<&Host> {
        let host = &self.hosts[*self.addresses.get(&address)?];
        (host.name != *name).then_some(host)
    }

    /// Replaces the report of a listed host.
    fn update(&mut self, key: HostKey, runner: Runner) {
        let host = &mut self.hosts[key];
        let former = host.runner.address;
        host.runner = runner;
        host.unlisted_since = None;
        host.relisted_at = None;
        host.is_reported_dead = false;
        let address = host.runner.address;
        if address != former {
            self.addresses.remove(&former);
            self.addresses.insert(address, key);
        }
    }

    /// Adds a runner instance that was not known.
    fn insert(&mut self, name: HostName, runner: Runner) {
        let instance = (name.clone(), runner.born);
        let address = runner.address;
        let host = Host {
            name: name.clone(),
            runner,
            unlisted_since: None,
            reentry_until: Time::default(),
            relisted_at: None,
            last_answer: None,
            last_healthy: None,
            last_data: None,
            probe_failure: None,
            is_reported_dead: false,
            is_unreachable: self.unreachable.contains(&instance),
            says_leaving: self.leaving.contains(&instance),
            slowdown: slowdown_of(&self.slow, &instance),
        };
        let key = self.hosts.insert(host);
        self.keys.insert(name, key);
        self.addresses.insert(address, key);
    }

    /// Marks a host whose entry is missing as unlisted; returns true if that was not known.
    pub fn mark_unlisted(&mut self, name: &HostName, now: Time) -> bool {
        let Some(key) = self.keys.get(name) else {
            return false;
        };
        let host = &mut self.hosts[*key];
        host.relisted_at = None;
        if host.unlisted_since.is_some() {
            return false;
        }
        host.unlisted_since = Some(now);
        host.reentry_until = self.reentry_until;
        true
    }

    /// Replaces the list of hosts, which is in the order in which they were written; known hosts that
    /// it lacks are marked as unlisted; those that were listed before are returned.
    pub fn replace(&mut self, mut listed: Vec<(HostName, Runner)>, now: Time) -> Vec<HostName> {
        self.watched_since.get_or_insert(now);
        drop_former(&mut listed);
        let present: BTreeSet<HostName> = listed.iter().map(|(name, _)| name.clone()).collect();
        for (name, runner) in listed {
            self.put(name, runner);
        }
        let mut missing: Vec<HostName> = self
            .keys
            .keys()
            .filter(|name| !present.contains(*name))
            .cloned()
            .collect();
        missing.retain(|name| self.mark_unlisted(name, now));
        missing
    }

    /// Replaces the list of hosts by one from an older copy of the store. What is known to be newer
    /// is kept, and a runner that has left since the copy stays unlisted until it writes again or
    /// would be forgotten.
    pub fn replace_by_older(
        &mut self,
        listed: Vec<(HostName, Runner)>,
        now: Time,
    ) -> Vec<HostName> {
        let listed = self.keep_newer(listed);
        let departed: BTreeMap<HostName, Time> = listed
            .iter()
            .filter_map(|(name, runner)| {
                let (_, host) = self.host_by_name(name)?;
                let has_left = now >= host.reentry_until && host.runner.born == runner.born;
                Some((name.clone(), host.unlisted_since.filter(|_| has_left)?))
            })
            .collect();
        let missing = self.replace(listed, now);
        for (name, since) in departed {
            let Some(key) = self.keys.get(&name) else {
                continue;
            };
            let host = &mut self.hosts[*key];
            host.unlisted_since = Some(since);
            host.relisted_at = Some(now);
        }
        missing
    }

    /// Replaces listed reports by those that are known, where these are newer: the store may have
    /// come back from an older copy, and the runners have yet to report again.
    pub fn keep_newer(&self, listed: Vec<(HostName, Runner)>) -> Vec<(HostName, Runner)> {
        let newer = |(name, runner): (HostName, Runner)| {
            let known = self.host_by_name(&name).map(|(_, host)| &host.runner);
            let kept = known.filter(|known| known.is_newer(&runner)).cloned();
            (name, kept.unwrap_or(runner))
        };
        listed.into_iter().map(newer).collect()
    }

    /// Records that calls to the store have begun to fail.
    pub fn store_lost(&mut self, now: Time) {
        self.lost_at.get_or_insert(now);
    }

    /// Records that the store is available again after an outage. Entries that went missing before
    /// it did so for another reason, and don't come back.
    pub fn store_recovered(&mut self, now: Time) {
        self.reentry_until = now + REENTRY_WINDOW;
        self.watched_since = Some(now);
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        let unlisted = self.hosts.values_mut();
        let lapsed = unlisted.filter(|host| host.unlisted_since >= Some(lost_at));
        lapsed.for_each(|host| host.reentry_until = self.reentry_until);
    }

    /// Ends the window in which entries may come back at the latest two seconds after the end of an
    /// outage, or at once if there was none.
    pub fn limit_reentry(&mut self, outage_end: Option<Time>, now: Time) {
        let end = outage_end.map_or(now, |end| end + REENTRY_WINDOW);
        let limited = end.min(self.reentry_until);
        let opened = std::mem::replace(&mut self.reentry_until, limited);
        let waiting = self.hosts.values_mut();
        let waiting = waiting.filter(|host| host.reentry_until == opened);
        waiting.for_each(|host| host.reentry_until = limited);
    }

    /// Drops hosts that have been unlisted for too long, except those at work; those that an older
    /// copy lists since then count as listed.
    pub fn expire(&mut self, now: Time) {
        for host in self.hosts.values_mut() {
            let is_relisted = |at| now.since(at) > UNLISTED_TIMEOUT;
            if host.relisted_at.is_some_and(is_relisted) {
                host.relisted_at = None;
                host.unlisted_since = None;
            }
        }
        let working = self.working_hosts(now);
        let expired: Vec<HostName> = self
            .hosts
            .iter()
            .filter(|(key, host)| {
                let last_listed = host.relisted_at.or(host.unlisted_since);
                let is_due = last_listed.is_some_and(|at| now.since(at) > UNLISTED_TIMEOUT);
                is_due && !working.contains(key)
            })
            .map(|(_, host)| host.name.clone())
            .collect();
        for name in expired {
            self.remove_host(&name);
        }
    }

    /// Returns the members of active groups whose heads send data, and those that answer probes.
    fn working_hosts(&self, now: Time) -> BTreeSet<HostKey> {
        let answers = |host: &Host| {
            let last = host.last_answer;
            last.is_some_and(|at| now.since(at) < ANSWER_WINDOW)
        };
        let mut working = BTreeSet::new();
        for group in self.groups.iter().filter(|group| group.is_active()) {
            let head = group.head().and_then(|key| self.host(key));
            let has_data = head.is_some_and(|head| head.sends_data(now));
            let members = group.members.values();
            working.extend(members.filter(|key| {
                let host = self.host(**key);
                has_data || host.is_some_and(answers)
            }));
        }
        working
    }

    /// Returns the hosts without an entry that are used until their entries may have come back.
    pub fn reentering(&self, now: Time) -> impl Iterator<Item = &Host> {
        let unlisted = self
            .hosts
            .values()
            .filter(|host| host.unlisted_since.is_some());
        unlisted.filter(move |host| self.is_usable(host, now))
    }

    fn remove_host(&mut self, name: &HostName) {
        let key = self.keys.remove(name);
        if let Some(host) = key.and_then(|key| self.hosts.remove(key)) {
            self.addresses.remove(&host.runner.address);
        }
    }
}

/// Drops the reports of runners that were followed by others at their addresses: by later runs, or
/// by reports that were written later if their starts don't tell.
fn drop_former(listed: &mut Vec<(HostName, Runner)>) {
    let mut latest: BTreeMap<SocketAddr, (u64, HostName)> = BTreeMap::new();
    for (name, runner) in listed.iter() {
        let known = latest.get(&runner.address);
        if known.is_none_or(|(born, _)| *born <= runner.born) {
            latest.insert(runner.address, (runner.born, name.clone()));
        }
    }
    listed.retain(|(name, runner)| latest[&runner.address].1 == *name);
}
