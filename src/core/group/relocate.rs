//! Moving a group to another fabric domain when its own has no hosts for it.
//!
//! The domain's duty holder rewrites the group's record by compare-and-swap,
//! after the lack has lasted for a while. The group is never moved back by
//! itself, so a flapping domain moves it once at most.

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

/// How long a domain must lack the hosts for a group before it is moved.
pub const RELOCATE_DELAY: Span = Span::from_secs(60);

/// How long a move may take to be seen by all before the next one.
const PERIOD: Span = Span::from_secs(10);

/// The groups of one domain that lack hosts, and since when.
#[derive(Debug, Default)]
pub(super) struct Lacks {
    since: BTreeMap<GroupName, Time>,
    moved: Option<Time>,
}

/// Commands.
impl Lacks {
    /// Moves one group that has lacked hosts for long enough, if another domain has room.
    pub(super) fn on_round(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        hosts: &Hosts,
        record: &Placement,
    ) {
        let lacking = lacking(view, hosts, record);
        self.since.retain(|name, _| lacking.contains_key(name));
        for name in lacking.keys() {
            self.since.entry(name.clone()).or_insert(ctx.now);
        }
        let recent = |at: Time| ctx.now.since(at) < PERIOD;
        if self.moved.is_some_and(recent) {
            return;
        }
        let long = |name: &GroupName| {
            let since = self.since.get(name);
            since.is_some_and(|since| ctx.now.since(*since) >= RELOCATE_DELAY)
        };
        let due = lacking.iter().find(|(name, _)| long(name));
        let Some((name, size)) = due else {
            return;
        };
        let Some(domain) = pick_domain(&rooms(view, hosts), &record.domain, *size) else {
            return;
        };
        self.moved = Some(ctx.now);
        move_group(ctx, view, name, domain);
    }
}

/// The domain with the most free hosts, if that is room for a group.
pub fn pick_domain(
    rooms: &BTreeMap<DomainName, usize>,
    from: &DomainName,
    size: usize,
) -> Option<DomainName> {
    let others = rooms
        .iter()
        .filter(|(domain, free)| *domain != from && **free >= size);
    let best = others.max_by(|a, b| a.1.cmp(b.1).then(b.0.cmp(a.0)));
    best.map(|(domain, _)| domain.clone())
}

/// Groups out of service that the domain's hosts can't hold, with their sizes.
fn lacking(view: &View, hosts: &Hosts, record: &Placement) -> BTreeMap<GroupName, usize> {
    let is_live = |host: &HostName| hosts.get(host).is_some_and(|h| h.health == Health::Live);
    let working = record
        .groups
        .iter()
        .filter(|(_, placed)| placed.stage != Stage::Draining && placed.hosts.iter().all(is_live));
    let working: BTreeMap<_, _> = working.collect();
    let used: BTreeSet<&HostName> = working.values().flat_map(|p| &p.hosts).collect();
    let free = check::engines(hosts, &record.domain)
        .filter(|host| host.health != Health::Dead && host.health != Health::Leaving)
        .filter(|host| !used.contains(&host.entry.host))
        .count();
    let specs = view.groups().map(|v| &v.record);
    let down = specs.filter(|spec| {
        let here = spec.domain == record.domain;
        here && !spec.drained && !spec.deleted && !working.contains_key(&spec.name)
    });
    let sized = down.filter_map(|spec| Some((spec.name.clone(), check::size_of(view, spec)?)));
    sized.filter(|(_, size)| *size > free).collect()
}

/// Hosts of each domain that no wanted group needs.
fn rooms(view: &View, hosts: &Hosts) -> BTreeMap<DomainName, usize> {
    let mut rooms: BTreeMap<DomainName, usize> = BTreeMap::new();
    let live = |host: &&Host| check::is_engine(host) && host.health == Health::Live;
    for host in hosts.iter().filter(live) {
        *rooms.entry(host.entry.domain.clone()).or_default() += 1;
    }
    for spec in view.groups().map(|v| &v.record) {
        let size = check::size_of(view, spec).unwrap_or(0);
        if let Some(free) = rooms.get_mut(&spec.domain) {
            *free = free.saturating_sub(size);
        }
    }
    rooms
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
        format!("{} lacks hosts; to {domain}", record.domain),
    );
    record.domain = domain;
    record.operation = ctx.operation();
    let key = Key::Group(name.clone());
    write::put(ctx, &key, &record, Expect::At(spec.revision), None);
}
