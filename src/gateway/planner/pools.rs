//! Free hosts and groups of each domain, as the planner sees them. Those in an evacuated hall don't
//! count.

use super::Planner;
use crate::{
    core::{
        keys::{DomainName, ModelName, ServiceName},
        time::{Span, Time},
    },
    gateway::{
        demand::Needs,
        group::Group,
        lifecycle::{CLOSE_TIMEOUT, holds_members, is_eligible},
        pool::Pool,
        roster::{Host, HostKey, MemberState, Roster},
        spec::Replication,
    },
};
use std::collections::{BTreeMap, BTreeSet};

/// Time in which a closing group lets its members go, unless its work goes on without an entry.
const MAX_CLOSE_TIME: Span = CLOSE_TIMEOUT.times(2);

impl Planner {
    /// Returns each domain's free hosts, which may be ordered into a group, and its groups.
    pub(super) fn pools(
        &self,
        roster: &Roster,
        service: &ServiceName,
        now: Time,
    ) -> BTreeMap<DomainName, Pool> {
        let held = self.held_hosts(roster, service);
        let mut pools: BTreeMap<DomainName, Pool> = BTreeMap::new();
        for (model, domain) in self.placed_groups(roster, service) {
            let pool = pools.entry(domain).or_default();
            *pool.groups.entry(model).or_default() += 1;
        }
        for group in roster.groups() {
            let member = roster.members(group).next();
            if group.service == *service
                && self.is_ending(roster, group, now)
                && let Some(domain) = member.and_then(|host| host.runner.domain.clone())
            {
                let pool = pools.entry(domain).or_default();
                pool.ending.insert(group.model.clone());
            }
        }
        for (key, host) in roster.hosts() {
            let Some(domain) = &host.runner.domain else {
                continue;
            };
            let may_join = is_eligible(host) && !roster.is_evacuated(host);
            if host.runner.service != *service || !may_join {
                continue;
            }
            if held.contains(&key) {
                continue;
            }
            let pool = pools.entry(domain.clone()).or_default();
            pool.free.push(key);
            if let Some(model) = self.weight_loads.model_on(&host.name) {
                pool.loading.insert(key, model.clone());
            }
        }
        pools
    }

    /// Returns true if a group no longer serves but still has its members, and will let them go.
    fn is_ending(&self, roster: &Roster, group: &Group, now: Time) -> bool {
        if self.must_leave(roster, group, now) {
            return self.members_to_leave(roster, group).next().is_some();
        }
        // The work of a head without an entry may take long: other hosts don't wait for its members.
        let since = self.closing.get(&group.name);
        let is_closing = since.is_some_and(|since| now.since(*since) < MAX_CLOSE_TIME);
        let has_stopped = roster.has_unreachable_member(group) || is_closing;
        has_stopped && group.is_active() && holds_members(roster, group, now)
    }

    /// Returns the hosts held by formations and by groups that are or may become open. A member is
    /// held until the head has said that the group is closed, or the member that it has left.
    fn held_hosts(&self, roster: &Roster, service: &ServiceName) -> BTreeSet<HostKey> {
        let forming = self
            .formations
            .iter()
            .flat_map(|formation| &formation.members)
            .filter_map(|name| Some(roster.host_by_name(name)?.0));
        let active = roster
            .groups()
            .iter()
            .filter(|group| group.service == *service)
            .filter(|group| self.may_be_open(roster, group))
            .flat_map(|group| group.members.values().copied());
        forming.chain(active).collect()
    }

    /// Returns the model and the domain of each group that serves or is being formed, unless its
    /// head's hall is evacuated.
    fn placed_groups(
        &self,
        roster: &Roster,
        service: &ServiceName,
    ) -> Vec<(ModelName, DomainName)> {
        let domain = |host: Option<&Host>| {
            let host = host.filter(|host| !roster.is_evacuated(host))?;
            host.runner.domain.clone()
        };
        let serving = roster
            .groups()
            .iter()
            .filter(|group| group.service == *service && group.complete)
            .filter(|group| group.head_state == Some(MemberState::Open))
            .filter(|group| !roster.has_unreachable_member(group))
            .filter_map(|group| {
                let head = roster.host(group.head()?);
                Some((group.model.clone(), domain(head)?))
            });
        let forming = self.formations.iter().filter_map(|formation| {
            let head = roster
                .host_by_name(formation.members.first()?)
                .map(|(_, host)| host);
            Some((formation.model.clone(), domain(head)?))
        });
        serving.chain(forming).collect()
    }
}

/// Returns the model in greatest need that some domain has room for, and the domain where the
/// fewest members need a load.
pub(super) fn next_group<'a>(
    roster: &Roster,
    needs: &Needs<'a>,
    pools: &BTreeMap<DomainName, Pool>,
    has_traffic: bool,
) -> Option<(DomainName, &'a Replication)> {
    needs.ranked(pools).into_iter().find_map(|replication| {
        let protected = needs.protected(replication, pools);
        let (domain, _) = pools
            .iter()
            .filter(|(_, pool)| pool.has_room(roster, &protected, replication))
            .filter(|(_, pool)| pool.should_form_now(roster, &protected, replication, has_traffic))
            .min_by_key(|(_, pool)| pool.load_count(roster, &protected, replication))?;
        Some((domain.clone(), replication))
    })
}
