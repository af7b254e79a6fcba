//! Load digests: what a domain's duty holder tells all daemons of its hosts.
//!
//! The holder alone reads the load reports of a domain. What it spreads names
//! the hosts that get requests, with their load, and those that can't be worked
//! with. Digests of a domain are ordered by the holder's claim, then by number.

use super::{
    super::{
        config::View,
        ctx::Ctx,
        group::Groups,
        input::{LoadReport, RunnerKind},
        keys::{DomainName, HostName, Revision},
        output::{Output, RunnerOutput},
        time::{Span, Time},
    },
    health::Health,
    hosts::{Host, Hosts},
};
use std::collections::{BTreeMap, BTreeSet};

/// How often load is looked after.
pub const TICK: Span = Span::from_millis(250);

/// How often hosts that get no requests are read.
const FOLLOWER_POLL: Span = Span::from_secs(1);

/// What all digests together may cost one daemon, in bytes a second.
const BYTES_PER_SEC: u64 = 1_500;

/// What one host's load costs in a digest, in bytes.
const BYTES_PER_HOST: u64 = 24;

/// The longest time between digests.
const MAX_INTERVAL: Span = Span::from_secs(2);

crate::record! {
    /// The load of one host.
    pub struct HostLoad {
        /// The host.
        pub host: HostName,
        /// Its report, its age as of sending.
        pub report: LoadReport,
    }

    /// What a domain's holder knows of its hosts.
    pub struct Digest {
        /// The domain.
        pub domain: DomainName,
        /// The revision of the holder's claim.
        pub claim: Revision,
        /// The digest's number under this claim.
        pub number: u64,
        /// The load of the hosts that get requests.
        pub loads: Vec<HostLoad>,
        /// Every host that isn't live.
        pub troubled: Vec<(HostName, Health)>,
    }
}

/// The reading and telling of load.
#[derive(Debug, Default)]
pub struct Loads {
    number: u64,
    told: BTreeMap<DomainName, Time>,
}

impl Loads {
    /// Reads the load of the hosts of this daemon's domains that are due.
    pub fn poll(&mut self, ctx: &mut Ctx, view: &View, hosts: &mut Hosts, domains: &[DomainName]) {
        for domain in domains {
            let leads = leads(view, hosts, domain);
            let due = hosts.due(domain, ctx.now, |host| {
                if leads.contains(host) {
                    TICK
                } else {
                    FOLLOWER_POLL
                }
            });
            for (host, address) in due {
                ctx.push(Output::Runner(RunnerOutput::ReadLoad { host, address }));
            }
        }
    }

    /// The digests that are due.
    pub fn digests(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        hosts: &Hosts,
        domains: &[DomainName],
    ) -> Vec<Digest> {
        let interval = interval(view);
        self.told.retain(|domain, _| domains.contains(domain));
        let mut digests = Vec::new();
        for domain in domains {
            let told = self.told.get(domain);
            if told.is_some_and(|at| ctx.now.since(*at) < interval) {
                continue;
            }
            self.told.insert(domain.clone(), ctx.now);
            self.number += 1;
            let claim = view.duty(domain).map(|duty| duty.revision);
            digests.push(Digest {
                domain: domain.clone(),
                claim: claim.unwrap_or_default(),
                number: self.number,
                loads: loads(ctx.now, view, hosts, domain),
                troubled: hosts.troubled(domain, ctx.now),
            });
        }
        digests
    }
}

/// The domains that this daemon drives, by its own clock and by the records in force.
pub fn domains(ctx: &Ctx, view: &View, groups: &Groups, hosts: &Hosts) -> Vec<DomainName> {
    let is_mine = |domain: &&DomainName| {
        let duty = view.duty(domain).map(|duty| &duty.record);
        let claimed = duty.is_some_and(|duty| {
            duty.daemon == ctx.me.name && duty.incarnation == ctx.me.incarnation
        });
        claimed && groups.holds_duty(domain, ctx.now)
    };
    hosts.domains().filter(is_mine).cloned().collect()
}

/// The hosts of a domain that get requests: those leading a group, and plain services.
fn leads(view: &View, hosts: &Hosts, domain: &DomainName) -> BTreeSet<HostName> {
    let placed = view.placement(domain).map(|placement| &placement.record);
    let groups = placed.into_iter().flat_map(|p| p.groups.values());
    let mut leads: BTreeSet<HostName> = groups.filter_map(|g| g.hosts.first().cloned()).collect();
    let services = hosts.in_domain(domain).filter(|h| is_service(h));
    leads.extend(services.map(|h| h.entry.host.clone()));
    leads
}

fn is_service(host: &Host) -> bool {
    matches!(host.entry.kind, RunnerKind::Service(_))
}

fn loads(now: Time, view: &View, hosts: &Hosts, domain: &DomainName) -> Vec<HostLoad> {
    let mut loads = Vec::new();
    for name in leads(view, hosts, domain) {
        let load = hosts.get(&name).and_then(|host| host.load.as_ref());
        let Some((at, report)) = load else {
            continue;
        };
        let report = LoadReport {
            age: now.since(*at),
            ..report.clone()
        };
        loads.push(HostLoad { host: name, report });
    }
    loads
}

/// The time between a domain's digests that keeps all of them together in bounds.
fn interval(view: &View) -> Span {
    let groups: usize = view.placements().map(|p| p.record.groups.len()).sum();
    let bytes = groups as u64 * BYTES_PER_HOST;
    Span(bytes * 1_000_000 / BYTES_PER_SEC).clamp(TICK, MAX_INTERVAL)
}
