//! The runner hosts: their entries in the host list, load and health.
//!
//! The health of a host is derived from several sources: the host list, which
//! lags; load reports, if this daemon polls the host; digests of the daemon that
//! does; announcements that a host is leaving; and requests that a host left
//! unanswered.

use super::{
    super::{
        ctx::Ctx,
        input::{HostEntry, LoadReport},
        keys::{DomainName, HostName, Revision},
        metric::Metric,
        options::Mechanism,
        time::{Span, Time},
    },
    health::{Evidence, Health, Suspicion, VALIDITY_WINDOW},
    load::Digest,
};
use rand::Rng as _;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Upper bound of the random delay before a host listed as leaving is announced.
const MAX_ANNOUNCE_DELAY: Span = Span::from_millis(500);

/// Delay before a host that is gone from the host list is forgotten.
const FORGET_DELAY: Span = Span::from_secs(600);

/// Runner host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Entry in the host list.
    pub entry: HostEntry,
    /// Health as last derived from the evidence.
    pub health: Health,
    /// Last load report, with the time that its figures are from.
    pub load: Option<(Time, LoadReport)>,
    evidence: Evidence,
}

/// Version and age of the last digest of a domain.
#[derive(Clone, Copy, Debug)]
struct DigestState {
    claim: Revision,
    number: u64,
    received: Time,
    is_valid: bool,
}

/// Known runner hosts, by name.
#[derive(Debug, Default)]
pub struct Hosts {
    hosts: BTreeMap<HostName, Host>,
    domains: BTreeMap<DomainName, BTreeSet<HostName>>,
    digests: BTreeMap<DomainName, DigestState>,
    /// Hosts with evidence against them that may expire, which [`Hosts::sweep`] reevaluates.
    watched: BTreeSet<HostName>,
    /// Hosts to announce as leaving, with the time to do so.
    announcements: BTreeMap<HostName, Time>,
    stale_digests: u64,
}

/// Queries.
impl Hosts {
    /// Returns a host.
    pub fn get(&self, host: &HostName) -> Option<&Host> {
        self.hosts.get(host)
    }

    /// Iterates over all hosts by name.
    pub fn iter(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// Iterates over the hosts of a domain by name.
    pub fn in_domain(&self, domain: &DomainName) -> impl Iterator<Item = &Host> {
        let names = self.domains.get(domain).into_iter().flatten();
        names.filter_map(|name| self.hosts.get(name))
    }

    /// Iterates over the domains that have hosts, by name.
    pub fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.domains.keys()
    }

    /// Returns the hosts of a domain that aren't live, leaving out request failures.
    pub fn unhealthy(&self, domain: &DomainName, now: Time) -> Vec<(HostName, Health)> {
        self.in_domain(domain)
            .map(|host| (host.entry.host.clone(), host.shared_health(now, true)))
            .filter(|(_, health)| *health != Health::Live)
            .collect()
    }

    /// Appends the host metrics.
    pub fn metrics(&self, metrics: &mut Vec<Metric>) {
        let is_live = |host: &&Host| host.health == Health::Live;
        let live = self.hosts.values().filter(is_live).count();
        metrics.extend([
            Metric::gauge("hosts_known", self.hosts.len() as u64),
            Metric::gauge("hosts_live", live as u64),
            Metric::counter("host_older_digests_total", self.stale_digests),
        ]);
    }
}

/// Commands. Each returns the hosts whose health or load changed.
impl Hosts {
    /// Applies a new host list; an empty one is ignored as faulty.
    pub fn on_listed(&mut self, ctx: &mut Ctx, entries: Vec<HostEntry>) -> Vec<HostName> {
        if entries.is_empty() {
            return Vec::new();
        }
        let listed: BTreeSet<HostName> = entries.iter().map(|e| e.host.clone()).collect();
        let mut changed = BTreeSet::new();
        for entry in entries {
            if self.apply_entry(ctx, &entry) {
                changed.insert(entry.host);
            }
        }
        self.mark_absent(ctx.now, &listed);
        self.rebuild_index();
        let names: Vec<HostName> = self.hosts.keys().cloned().collect();
        changed.extend(self.update_health(ctx, &names));
        changed.into_iter().collect()
    }

    /// Handles the result of a load poll, `None` if the runner didn't respond.
    pub fn on_load(
        &mut self,
        ctx: &mut Ctx,
        host: HostName,
        report: Option<LoadReport>,
    ) -> Vec<HostName> {
        let now = ctx.now;
        let Some(known) = self.hosts.get_mut(&host) else {
            return Vec::new();
        };
        known.evidence.polls.record(now, report.is_some());
        let Some(report) = report else {
            self.watched.insert(host.clone());
            return self.update_health(ctx, &[host]);
        };
        let is_new = report.leaving && known.evidence.reported_leaving.is_none();
        known.evidence.reported_leaving = report.leaving.then_some(now);
        known.update_load(now, report);
        if is_new && ctx.options.is_enabled(Mechanism::LeavingEvidence) {
            self.announcements.insert(host.clone(), now);
        }
        self.watched.insert(host.clone());
        self.update_health(ctx, std::slice::from_ref(&host));
        vec![host]
    }

    /// Marks hosts suspect that left requests unanswered even on new connections.
    pub fn suspect(&mut self, ctx: &mut Ctx, hosts: &[HostName]) -> Vec<HostName> {
        for name in hosts {
            let Some(host) = self.hosts.get_mut(name) else {
                continue;
            };
            host.evidence.suspicion = Some(Suspicion::raise(host.evidence.suspicion, ctx.now));
            self.watched.insert(name.clone());
        }
        self.update_health(ctx, hosts)
    }

    /// Records that a host was announced as leaving.
    pub fn on_leaving(&mut self, ctx: &mut Ctx, name: &HostName) -> Vec<HostName> {
        let Some(host) = self.hosts.get_mut(name) else {
            return Vec::new();
        };
        host.evidence.gossiped_leaving = Some(ctx.now);
        self.announcements.remove(name);
        self.watched.insert(name.clone());
        self.update_health(ctx, std::slice::from_ref(name))
    }

    /// Applies a digest, unless one at least as new was received for its domain.
    pub fn on_digest(&mut self, ctx: &mut Ctx, digest: Digest) -> Vec<HostName> {
        let Digest {
            domain,
            claim,
            number,
            loads,
            unhealthy,
        } = digest;
        let last = self.digests.get(&domain);
        if last.is_some_and(|last| (last.claim, last.number) >= (claim, number)) {
            self.stale_digests += 1;
            return Vec::new();
        }
        let received = ctx.now;
        let state = DigestState {
            claim,
            number,
            received,
            is_valid: true,
        };
        self.digests.insert(domain.clone(), state);
        let names = self.names(&domain);
        let unhealthy: BTreeMap<HostName, Health> = unhealthy.into_iter().collect();
        for name in &names {
            let health = unhealthy.get(name).copied().unwrap_or(Health::Live);
            if let Some(host) = self.hosts.get_mut(name) {
                host.evidence.digest = Some(health);
            }
        }
        self.watched.extend(unhealthy.into_keys());
        let mut changed: BTreeSet<HostName> = self.update_health(ctx, &names).into_iter().collect();
        for load in loads {
            if let Some(host) = self.hosts.get_mut(&load.host) {
                host.update_load(received, load.report);
                changed.insert(load.host);
            }
        }
        changed.into_iter().collect()
    }

    /// Returns the hosts of a domain whose load poll is due, and marks them as polled.
    ///
    /// `interval` gives the poll interval of a host.
    pub fn due_polls<F>(
        &mut self,
        domain: &DomainName,
        now: Time,
        interval: F,
    ) -> Vec<(HostName, SocketAddr)>
    where
        F: Fn(&HostName) -> Span,
    {
        let mut due = Vec::new();
        for name in self.names(domain) {
            let Some(host) = self.hosts.get_mut(&name) else {
                continue;
            };
            let polls = &mut host.evidence.polls;
            if polls.is_due(now, interval(&name)) {
                polls.sent = Some(now);
                due.push((name, host.entry.address));
            }
        }
        due
    }

    /// Removes and returns the leaving hosts whose announcement is due.
    pub fn take_announcements(&mut self, now: Time) -> Vec<HostName> {
        let due = self.announcements.iter().filter(|(_, at)| **at <= now);
        let due: Vec<HostName> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.announcements.remove(name);
        }
        due
    }

    /// Reevaluates the hosts whose evidence may have expired, and forgets those long absent.
    pub fn sweep(&mut self, ctx: &mut Ctx) -> Vec<HostName> {
        let mut names: Vec<HostName> = self.watched.iter().cloned().collect();
        for domain in self.expire_digests(ctx.now) {
            names.extend(self.names(&domain));
        }
        let changed = self.update_health(ctx, &names);
        self.forget_absent(ctx.now);
        let is_live = |name: &HostName| {
            let host = self.hosts.get(name);
            host.is_none_or(|host| host.health == Health::Live)
        };
        self.watched.retain(|name| !is_live(name));
        changed
    }

    /// Forgets the hosts that have been missing from the host list for [`FORGET_DELAY`].
    fn forget_absent(&mut self, now: Time) {
        let known = self.hosts.len();
        self.hosts.retain(|_, host| {
            let absent = host.evidence.absent;
            absent.is_none_or(|since| now.since(since) < FORGET_DELAY)
        });
        if self.hosts.len() < known {
            self.rebuild_index();
        }
    }

    /// Discards the evidence of digests that have become too old, and returns their domains.
    fn expire_digests(&mut self, now: Time) -> Vec<DomainName> {
        let mut expired = Vec::new();
        for (domain, state) in &mut self.digests {
            if state.is_valid && now.since(state.received) > VALIDITY_WINDOW {
                state.is_valid = false;
                expired.push(domain.clone());
            }
        }
        for domain in &expired {
            for name in self.names(domain) {
                if let Some(host) = self.hosts.get_mut(&name) {
                    host.evidence.digest = None;
                }
            }
        }
        expired
    }

    /// Marks the hosts that a list lacks as absent.
    ///
    /// A list that lacks more than half of the hosts counts as faulty, and marks none.
    fn mark_absent(&mut self, now: Time, listed: &BTreeSet<HostName>) {
        let is_missing = |name: &&HostName| !listed.contains(*name);
        let missing = self.hosts.keys().filter(is_missing).count();
        let is_faulty = missing * 2 > self.hosts.len();
        for (name, host) in &mut self.hosts {
            let absent = &mut host.evidence.absent;
            if listed.contains(name) {
                *absent = None;
            } else if !is_faulty && absent.is_none() {
                *absent = Some(now);
                self.watched.insert(name.clone());
            }
        }
    }

    /// Applies an entry of the host list; returns true if the entry is new or has changed.
    fn apply_entry(&mut self, ctx: &mut Ctx, entry: &HostEntry) -> bool {
        let Some(host) = self.hosts.get_mut(&entry.host) else {
            let host = Host {
                entry: entry.clone(),
                health: Health::Live,
                load: None,
                evidence: Evidence::default(),
            };
            self.hosts.insert(entry.host.clone(), host);
            self.schedule_announcement(ctx, entry);
            return true;
        };
        if host.entry == *entry {
            return false;
        }
        let (was, is) = (host.entry.leaving, entry.leaving);
        if was && !is {
            host.evidence.gossiped_leaving = None;
        }
        if host.entry.address != entry.address {
            host.evidence = Evidence::default();
            host.load = None;
        }
        host.entry = entry.clone();
        if is && !was {
            self.schedule_announcement(ctx, entry);
        }
        true
    }

    /// Schedules the announcement of a host listed as leaving, unless it was announced before.
    ///
    /// The delay is random so that one daemon announces it before the others do.
    fn schedule_announcement(&mut self, ctx: &mut Ctx, entry: &HostEntry) {
        if !entry.leaving || !ctx.options.is_enabled(Mechanism::LeavingEvidence) {
            return;
        }
        let known = self.hosts.get(&entry.host);
        if known.is_some_and(|host| host.evidence.gossiped_leaving.is_some()) {
            return;
        }
        let delay = Span(ctx.rng.random_range(0..=MAX_ANNOUNCE_DELAY.0));
        self.announcements
            .insert(entry.host.clone(), ctx.now + delay);
    }

    /// Recomputes the health of hosts; returns those whose health changed.
    fn update_health(&mut self, ctx: &Ctx, names: &[HostName]) -> Vec<HostName> {
        let use_evidence = ctx.options.is_enabled(Mechanism::LeavingEvidence);
        let mut changed = Vec::new();
        for name in names {
            let Some(host) = self.hosts.get_mut(name) else {
                continue;
            };
            let health = host.current_health(ctx.now, use_evidence);
            if health != host.health {
                host.health = health;
                changed.push(name.clone());
            }
        }
        changed
    }

    fn names(&self, domain: &DomainName) -> Vec<HostName> {
        let names = self.domains.get(domain).into_iter().flatten();
        names.cloned().collect()
    }

    /// Rebuilds the index of hosts by domain.
    fn rebuild_index(&mut self) {
        self.domains.clear();
        for (name, host) in &self.hosts {
            let domain = self.domains.entry(host.entry.domain.clone()).or_default();
            domain.insert(name.clone());
        }
    }
}

impl Host {
    /// Stores a load report, unless the known one is more recent.
    fn update_load(&mut self, now: Time, report: LoadReport) {
        let at = Time(now.0.saturating_sub(report.age.0));
        if self.load.as_ref().is_none_or(|(known, _)| *known <= at) {
            self.load = Some((at, report));
        }
    }

    fn current_health(&self, now: Time, use_evidence: bool) -> Health {
        self.evidence.health(now, self.entry.leaving, use_evidence)
    }

    /// Returns the health to report to other daemons.
    fn shared_health(&self, now: Time, use_evidence: bool) -> Health {
        let listed = self.entry.leaving;
        self.evidence.shared_health(now, listed, use_evidence)
    }
}
