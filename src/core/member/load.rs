//! Load polls and load digests.
//!
//! Only the duty holder of a domain polls the load of the domain's hosts. It
//! broadcasts digests that name the hosts that get requests, with their load,
//! and the unhealthy ones. Digests of a domain are ordered by the revision of
//! the holder's claim, then by number.

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

/// Interval between load polls of a host that gets requests.
pub const POLL_INTERVAL: Span = Span::from_millis(250);

/// Interval between load polls of a host that gets no requests.
const FOLLOWER_POLL_INTERVAL: Span = Span::from_secs(1);

/// Bytes per second that one daemon may spend on all digests together.
const MAX_BYTES_PER_SEC: u64 = 1_500;

/// Size of one host's load in a digest, in bytes.
const HOST_LOAD_BYTES: u64 = 24;

/// Upper bound of the interval between digests of a domain.
const MAX_DIGEST_INTERVAL: Span = Span::from_secs(2);

crate::record! {
    /// Load of one host.
    pub struct HostLoad {
        /// Name of the host.
        pub host: HostName,
        /// Last load report, with its age at the time of sending.
        pub report: LoadReport,
    }

    /// Load and health of a domain's hosts, from the holder of its duty.
    pub struct Digest {
        /// Name of the domain.
        pub domain: DomainName,
        /// Revision of the holder's claim.
        pub claim: Revision,
        /// Sequence number under this claim.
        pub number: u64,
        /// Load of the hosts that get requests.
        pub loads: Vec<HostLoad>,
        /// All hosts that aren't live.
        #[serde(rename = "troubled")]
        pub unhealthy: Vec<(HostName, Health)>,
    }
}

/// Load polls and digests of the domains whose duty this daemon holds.
#[derive(Debug, Default)]
pub struct LoadMonitor {
    number: u64,
    sent: BTreeMap<DomainName, Time>,
}

impl LoadMonitor {
    /// Polls the load of the hosts of `domains` that are due.
    pub fn poll(&mut self, ctx: &mut Ctx, view: &View, hosts: &mut Hosts, domains: &[DomainName]) {
        for domain in domains {
            let serving = serving(view, hosts, domain);
            let due = hosts.due_polls(domain, ctx.now, |host| {
                if serving.contains(host) {
                    POLL_INTERVAL
                } else {
                    FOLLOWER_POLL_INTERVAL
                }
            });
            for (host, address) in due {
                ctx.push(Output::Runner(RunnerOutput::ReadLoad { host, address }));
            }
        }
    }

    /// Returns the digests of `domains` that are due.
    pub fn digests(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        hosts: &Hosts,
        domains: &[DomainName],
    ) -> Vec<Digest> {
        let interval = digest_interval(view);
        self.sent.retain(|domain, _| domains.contains(domain));
        let mut digests = Vec::new();
        for domain in domains {
            let sent = self.sent.get(domain);
            if sent.is_some_and(|at| ctx.now.since(*at) < interval) {
                continue;
            }
            self.sent.insert(domain.clone(), ctx.now);
            self.number += 1;
            let claim = view.duty(domain).map(|duty| duty.revision);
            digests.push(Digest {
                domain: domain.clone(),
                claim: claim.unwrap_or_default(),
                number: self.number,
                loads: loads(ctx.now, view, hosts, domain),
                unhealthy: hosts.unhealthy(domain, ctx.now),
            });
        }
        digests
    }
}

/// Returns the domains whose duty this daemon holds, by its own clock and the records in force.
pub fn held_domains(ctx: &Ctx, view: &View, groups: &Groups, hosts: &Hosts) -> Vec<DomainName> {
    let is_held = |domain: &&DomainName| {
        let duty = view.duty(domain).map(|duty| &duty.record);
        let claimed = duty.is_some_and(|duty| {
            duty.daemon == ctx.me.name && duty.incarnation == ctx.me.incarnation
        });
        claimed && groups.holds_duty(domain, ctx.now)
    };
    hosts.domains().filter(is_held).cloned().collect()
}

/// Returns the hosts of a domain that get requests: the lead hosts of groups, and services.
fn serving(view: &View, hosts: &Hosts, domain: &DomainName) -> BTreeSet<HostName> {
    let placement = view.placement(domain).map(|placement| &placement.record);
    let groups = placement.into_iter().flat_map(|p| p.groups.values());
    let mut serving: BTreeSet<HostName> = groups.filter_map(|g| g.hosts.first().cloned()).collect();
    let services = hosts.in_domain(domain).filter(|h| is_service(h));
    serving.extend(services.map(|h| h.entry.host.clone()));
    serving
}

fn is_service(host: &Host) -> bool {
    matches!(host.entry.kind, RunnerKind::Service(_))
}

/// Returns the known load of the hosts of a domain that get requests.
fn loads(now: Time, view: &View, hosts: &Hosts, domain: &DomainName) -> Vec<HostLoad> {
    let mut loads = Vec::new();
    for name in serving(view, hosts, domain) {
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

/// Returns the interval between digests of a domain that keeps to [`MAX_BYTES_PER_SEC`].
fn digest_interval(view: &View) -> Span {
    let groups: usize = view.placements().map(|p| p.record.groups.len()).sum();
    let bytes = groups as u64 * HOST_LOAD_BYTES;
    Span(bytes * 1_000_000 / MAX_BYTES_PER_SEC).clamp(POLL_INTERVAL, MAX_DIGEST_INTERVAL)
}
