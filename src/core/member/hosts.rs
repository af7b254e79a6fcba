//! The runner hosts: what the list says of them, and what was seen since.
//!
//! A host's health is judged from several sources: the list, which lags; load
//! reports, if this daemon reads them; digests of the daemon that does; news of
//! leaving from anywhere; and requests that found the host silent.

use super::{
    super::{
        count::Count,
        ctx::Ctx,
        input::{HostEntry, LoadReport},
        keys::{DomainName, HostName, Revision},
        options::Mechanism,
        time::{Span, Time},
    },
    health::{Health, STALE, Signs, Suspicion},
    load::Digest,
};
use rand::Rng as _;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// The longest wait before the list's news of leaving is told to others.
const TELL_WITHIN: Span = Span::from_millis(500);

/// How long a host that is gone from the list is remembered as dead.
const FORGET: Span = Span::from_secs(600);

/// One runner host.
#[derive(Clone, Debug)]
pub struct Host {
    /// What the list says.
    pub entry: HostEntry,
    /// Whether it can be worked with.
    pub health: Health,
    /// Its last load report, and when the figures were true.
    pub load: Option<(Time, LoadReport)>,
    signs: Signs,
}

/// The last digest of a domain.
#[derive(Clone, Copy, Debug)]
struct Told {
    claim: Revision,
    number: u64,
    at: Time,
    counts: bool,
}

/// The runner hosts known, by name.
#[derive(Debug, Default)]
pub struct Hosts {
    hosts: BTreeMap<HostName, Host>,
    domains: BTreeMap<DomainName, BTreeSet<HostName>>,
    told: BTreeMap<DomainName, Told>,
    watched: BTreeSet<HostName>,
    news: BTreeMap<HostName, Time>,
    older: u64,
}

/// Queries.
impl Hosts {
    /// A host.
    pub fn get(&self, host: &HostName) -> Option<&Host> {
        self.hosts.get(host)
    }

    /// Every host, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// The hosts of a domain, by name.
    pub fn in_domain(&self, domain: &DomainName) -> impl Iterator<Item = &Host> {
        let names = self.domains.get(domain).into_iter().flatten();
        names.filter_map(|name| self.hosts.get(name))
    }

    /// Every domain that has hosts, by name.
    pub fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.domains.keys()
    }

    /// The hosts of a domain that aren't live, doubts of single requests aside.
    pub fn troubled(&self, domain: &DomainName, now: Time) -> Vec<(HostName, Health)> {
        self.in_domain(domain)
            .map(|host| (host.entry.host.clone(), host.shared_health(now, true)))
            .filter(|(_, health)| *health != Health::Live)
            .collect()
    }

    /// Adds what this part has counted.
    pub fn counts(&self, counts: &mut Vec<Count>) {
        let is_live = |host: &&Host| host.health == Health::Live;
        let live = self.hosts.values().filter(is_live).count();
        counts.extend([
            Count::gauge("hosts_known", self.hosts.len() as u64),
            Count::gauge("hosts_live", live as u64),
            Count::counter("host_older_digests_total", self.older),
        ]);
    }
}

/// Commands. Each returns the hosts whose health or load changed.
impl Hosts {
    /// Takes over the list, which lags behind reality.
    pub fn on_listed(&mut self, ctx: &mut Ctx, entries: Vec<HostEntry>) -> Vec<HostName> {
        if entries.is_empty() {
            return Vec::new();
        }
        let listed: BTreeSet<HostName> = entries.iter().map(|e| e.host.clone()).collect();
        let mut touched = BTreeSet::new();
        for entry in entries {
            if self.list(ctx, &entry) {
                touched.insert(entry.host);
            }
        }
        self.note_absent(ctx.now, &listed);
        self.index();
        let names: Vec<HostName> = self.hosts.keys().cloned().collect();
        touched.extend(self.judge(ctx, &names));
        touched.into_iter().collect()
    }

    /// Takes a load report, or the lack of one.
    pub fn on_load(
        &mut self,
        ctx: &mut Ctx,
        host: HostName,
        report: Option<LoadReport>,
    ) -> Vec<HostName> {
        let now = ctx.now;
        let Some(held) = self.hosts.get_mut(&host) else {
            return Vec::new();
        };
        held.signs.reading.take(now, report.is_some());
        let Some(report) = report else {
            self.watched.insert(host.clone());
            return self.judge(ctx, &[host]);
        };
        let is_news = report.leaving && held.signs.reported_leaving.is_none();
        held.signs.reported_leaving = report.leaving.then_some(now);
        held.take_load(now, report);
        if is_news && ctx.options.has(Mechanism::LeavingEvidence) {
            self.news.insert(host.clone(), now);
        }
        self.watched.insert(host.clone());
        self.judge(ctx, std::slice::from_ref(&host));
        vec![host]
    }

    /// Notes that requests found hosts silent even on fresh connections.
    pub fn suspect(&mut self, ctx: &mut Ctx, hosts: &[HostName]) -> Vec<HostName> {
        for name in hosts {
            let Some(host) = self.hosts.get_mut(name) else {
                continue;
            };
            host.signs.suspicion = Some(Suspicion::after(host.signs.suspicion, ctx.now));
            self.watched.insert(name.clone());
        }
        self.judge(ctx, hosts)
    }

    /// Takes another daemon's news that a host is leaving.
    pub fn on_leaving(&mut self, ctx: &mut Ctx, name: &HostName) -> Vec<HostName> {
        let Some(host) = self.hosts.get_mut(name) else {
            return Vec::new();
        };
        host.signs.heard_leaving = Some(ctx.now);
        self.news.remove(name);
        self.watched.insert(name.clone());
        self.judge(ctx, std::slice::from_ref(name))
    }

    /// Takes a digest, unless a newer one of the domain came before.
    pub fn on_digest(&mut self, ctx: &mut Ctx, digest: Digest) -> Vec<HostName> {
        let Digest {
            domain,
            claim,
            number,
            loads,
            troubled,
        } = digest;
        let held = self.told.get(&domain);
        if held.is_some_and(|held| (held.claim, held.number) >= (claim, number)) {
            self.older += 1;
            return Vec::new();
        }
        let at = ctx.now;
        let told = Told {
            claim,
            number,
            at,
            counts: true,
        };
        self.told.insert(domain.clone(), told);
        let names = self.names(&domain);
        let troubled: BTreeMap<HostName, Health> = troubled.into_iter().collect();
        for name in &names {
            let health = troubled.get(name).copied().unwrap_or(Health::Live);
            if let Some(host) = self.hosts.get_mut(name) {
                host.signs.digest = Some(health);
            }
        }
        self.watched.extend(troubled.into_keys());
        let mut changed: BTreeSet<HostName> = self.judge(ctx, &names).into_iter().collect();
        for load in loads {
            if let Some(host) = self.hosts.get_mut(&load.host) {
                host.take_load(at, load.report);
                changed.insert(load.host);
            }
        }
        changed.into_iter().collect()
    }

    /// The hosts of a domain whose load is to be read now, each at its own pace.
    pub fn due<F>(&mut self, domain: &DomainName, now: Time, pace: F) -> Vec<(HostName, SocketAddr)>
    where
        F: Fn(&HostName) -> Span,
    {
        let mut due = Vec::new();
        for name in self.names(domain) {
            let Some(host) = self.hosts.get_mut(&name) else {
                continue;
            };
            let reading = &mut host.signs.reading;
            if reading.is_due(now, pace(&name)) {
                reading.asked = Some(now);
                due.push((name, host.entry.address));
            }
        }
        due
    }

    /// The news of leaving that is to be told to others now.
    pub fn take_news(&mut self, now: Time) -> Vec<HostName> {
        let due = self.news.iter().filter(|(_, at)| **at <= now);
        let due: Vec<HostName> = due.map(|(name, _)| name.clone()).collect();
        for name in &due {
            self.news.remove(name);
        }
        due
    }

    /// Judges anew the hosts against which something speaks that may have run out.
    pub fn sweep(&mut self, ctx: &mut Ctx) -> Vec<HostName> {
        let mut names: Vec<HostName> = self.watched.iter().cloned().collect();
        for domain in self.take_stale(ctx.now) {
            names.extend(self.names(&domain));
        }
        let changed = self.judge(ctx, &names);
        self.forget_gone(ctx.now);
        let is_live = |name: &HostName| {
            let host = self.hosts.get(name);
            host.is_none_or(|host| host.health == Health::Live)
        };
        self.watched.retain(|name| !is_live(name));
        changed
    }

    /// Forgets hosts that the list has not named for long.
    fn forget_gone(&mut self, now: Time) {
        let known = self.hosts.len();
        self.hosts.retain(|_, host| {
            let absent = host.signs.absent;
            absent.is_none_or(|since| now.since(since) < FORGET)
        });
        if self.hosts.len() < known {
            self.index();
        }
    }

    /// The domains whose digests have just run out; what they said counts no more.
    fn take_stale(&mut self, now: Time) -> Vec<DomainName> {
        let mut stale = Vec::new();
        for (domain, told) in &mut self.told {
            if told.counts && now.since(told.at) > STALE {
                told.counts = false;
                stale.push(domain.clone());
            }
        }
        for domain in &stale {
            for name in self.names(domain) {
                if let Some(host) = self.hosts.get_mut(&name) {
                    host.signs.digest = None;
                }
            }
        }
        stale
    }

    /// Notes the hosts missing from a list, unless so many are that the list must be at fault.
    fn note_absent(&mut self, now: Time, listed: &BTreeSet<HostName>) {
        let is_missing = |name: &&HostName| !listed.contains(*name);
        let missing = self.hosts.keys().filter(is_missing).count();
        let is_faulty = missing * 2 > self.hosts.len();
        for (name, host) in &mut self.hosts {
            let absent = &mut host.signs.absent;
            if listed.contains(name) {
                *absent = None;
            } else if !is_faulty && absent.is_none() {
                *absent = Some(now);
                self.watched.insert(name.clone());
            }
        }
    }

    /// Takes an entry of the list; true if something other than health changed.
    fn list(&mut self, ctx: &mut Ctx, entry: &HostEntry) -> bool {
        let Some(host) = self.hosts.get_mut(&entry.host) else {
            let host = Host {
                entry: entry.clone(),
                health: Health::Live,
                load: None,
                signs: Signs::default(),
            };
            self.hosts.insert(entry.host.clone(), host);
            self.note_listed(ctx, entry);
            return true;
        };
        if host.entry == *entry {
            return false;
        }
        let (was, is) = (host.entry.leaving, entry.leaving);
        if was && !is {
            host.signs.heard_leaving = None;
        }
        if host.entry.address != entry.address {
            host.signs = Signs::default();
            host.load = None;
        }
        host.entry = entry.clone();
        if is && !was {
            self.note_listed(ctx, entry);
        }
        true
    }

    /// Has the list's news of leaving told, unless somebody else does so first.
    fn note_listed(&mut self, ctx: &mut Ctx, entry: &HostEntry) {
        if !entry.leaving || !ctx.options.has(Mechanism::LeavingEvidence) {
            return;
        }
        let heard = self.hosts.get(&entry.host);
        if heard.is_some_and(|host| host.signs.heard_leaving.is_some()) {
            return;
        }
        let wait = Span(ctx.rng.random_range(0..=TELL_WITHIN.0));
        self.news.insert(entry.host.clone(), ctx.now + wait);
    }

    /// Judges hosts anew; those whose health changed.
    fn judge(&mut self, ctx: &Ctx, names: &[HostName]) -> Vec<HostName> {
        let takes_evidence = ctx.options.has(Mechanism::LeavingEvidence);
        let mut changed = Vec::new();
        for name in names {
            let Some(host) = self.hosts.get_mut(name) else {
                continue;
            };
            let health = host.judge(ctx.now, takes_evidence);
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

    fn index(&mut self) {
        self.domains.clear();
        for (name, host) in &self.hosts {
            let domain = self.domains.entry(host.entry.domain.clone()).or_default();
            domain.insert(name.clone());
        }
    }
}

impl Host {
    fn take_load(&mut self, now: Time, report: LoadReport) {
        let at = Time(now.0.saturating_sub(report.age.0));
        if self.load.as_ref().is_none_or(|(held, _)| *held <= at) {
            self.load = Some((at, report));
        }
    }

    fn judge(&self, now: Time, takes_evidence: bool) -> Health {
        self.signs.health(now, self.entry.leaving, takes_evidence)
    }

    /// The health that other daemons are told.
    fn shared_health(&self, now: Time, takes_evidence: bool) -> Health {
        let listed = self.entry.leaving;
        self.signs.shared_health(now, listed, takes_evidence)
    }
}
