//! Relocation of groups to another fabric domain when their own lacks hosts.
//!
//! The domain's duty holder rewrites the group's record by compare-and-swap
//! once the shortage has lasted for [`RELOCATE_DELAY`]. The group is never
//! moved back automatically, so a flapping domain moves it at most once.

use super::{
    super::{
        config::{
            Key, View,
            record::{Placement, Stage},
        },
        ctx::Ctx,
        keys::{DomainName, GroupName, HostName},
        member::{Health, Host, Hosts},
        output::{Expect, Level},
        time::{Span, Time},
    },
    check, write,
};
use std::collections::{BTreeMap, BTreeSet};

/// Duration of a shortage of hosts before a group is moved.
pub const RELOCATE_DELAY: Span = Span::from_secs(60);

/// Interval between moves, so that every daemon sees one before the next.
const MOVE_INTERVAL: Span = Span::from_secs(10);

/// Groups that one domain lacks hosts for, with the start of each shortage.
#[derive(Debug, Default)]
pub(super) struct Shortages {
    since: BTreeMap<GroupName, Time>,
    last_move: Option<Time>,
}

/// Commands.
impl Shortages {
    /// Moves one group that has lacked hosts for [`RELOCATE_DELAY`], if another domain has enough.
    pub(super) fn on_tick(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        hosts: &Hosts,
        record: &Placement,
    ) {
        let unplaceable = unplaceable(view, hosts, record);
        self.since.retain(|name, _| unplaceable.contains_key(name));
        for name in unplaceable.keys() {
            self.since.entry(name.clone()).or_insert(ctx.now);
        }
        let recent = |at: Time| ctx.now.since(at) < MOVE_INTERVAL;
        if self.last_move.is_some_and(recent) {
            return;
        }
        let is_due = |name: &GroupName| {
            let since = self.since.get(name);
            since.is_some_and(|since| ctx.now.since(*since) >= RELOCATE_DELAY)
        };
        let due = unplaceable.iter().find(|(name, _)| is_due(name));
        let Some((name, size)) = due else {
            return;
        };
        let Some(domain) = pick_domain(&free_hosts(view, hosts), &record.domain, *size) else {
            return;
        };
        self.last_move = Some(ctx.now);
        move_group(ctx, view, name, domain);
    }
}

/// Returns the other domain with the most free hosts, if they are enough for a group.
pub fn pick_domain(
    free_hosts: &BTreeMap<DomainName, usize>,
    from: &DomainName,
    size: usize,
) -> Option<DomainName> {
    let others = free_hosts
        .iter()
        .filter(|(domain, free)| *domain != from && **free >= size);
    let best = others.max_by(|a, b| a.1.cmp(b.1).then(b.0.cmp(a.0)));
    best.map(|(domain, _)| domain.clone())
}

/// Returns groups out of service that need more hosts than the domain has free, with their sizes.
fn unplaceable(view: &View, hosts: &Hosts, record: &Placement) -> BTreeMap<GroupName, usize> {
    let is_live = |host: &HostName| hosts.get(host).is_some_and(|h| h.health == Health::Live);
    let working = record
        .groups
        .iter()
        .filter(|(_, placed)| placed.stage != Stage::Draining && placed.hosts.iter().all(is_live));
    let working: BTreeMap<_, _> = working.collect();
    let assigned: BTreeSet<&HostName> = working.values().flat_map(|p| &p.hosts).collect();
    let free = check::engine_hosts(hosts, &record.domain)
        .filter(|host| host.health != Health::Dead && host.health != Health::Leaving)
        .filter(|host| !assigned.contains(&host.entry.host))
        .count();
    let specs = view.groups().map(|v| &v.record);
    let down = specs.filter(|spec| {
        let in_domain = spec.domain == record.domain;
        in_domain && !spec.drained && !spec.deleted && !working.contains_key(&spec.name)
    });
    let with_size =
        down.filter_map(|spec| Some((spec.name.clone(), check::group_size(view, spec)?)));
    with_size.filter(|(_, size)| *size > free).collect()
}

/// Returns the number of live hosts in each domain beyond those that its groups need.
fn free_hosts(view: &View, hosts: &Hosts) -> BTreeMap<DomainName, usize> {
    let mut free_hosts: BTreeMap<DomainName, usize> = BTreeMap::new();
    let live = |host: &&Host| check::is_engine(host) && host.health == Health::Live;
    for host in hosts.iter().filter(live) {
        *free_hosts.entry(host.entry.domain.clone()).or_default() += 1;
    }
    for spec in view.groups().map(|v| &v.record) {
        let size = check::group_size(view, spec).unwrap_or(0);
        if let Some(free) = free_hosts.get_mut(&spec.domain) {
            *free = free.saturating_sub(size);
        }
    }
    free_hosts
}

fn move_group(ctx: &mut Ctx, view: &View, name: &GroupName, domain: DomainName) {
    let Some(spec) = view.group(name) else {
        return;
    };
    let mut record = spec.record.clone();
    ctx.log(
        Level::Warning,
        "group.moved",
        name,
        format!(
            "domain {} lacks hosts; moving to domain {domain}",
            record.domain
        ),
    );
    record.domain = domain;
    record.operation = ctx.new_operation_id();
    let key = Key::Group(name.clone());
    write::put(ctx, &key, &record, Expect::At(spec.revision), None);
}
