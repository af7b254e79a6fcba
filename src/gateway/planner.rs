//! Decides which hosts form groups, and orders it.
//!
//! The planner looks at what runners report, not at what it ordered: an order
//! may be lost, or carried out late. Only its formations under way are kept in
//! memory; a successor finds everything else in the runners' own reports. An
//! epoch is larger than every epoch of an earlier holder of the duty, so a late
//! order of that holder is refused by the runners.
//!
//! A group is closed before any of its members is ordered into another one,
//! and opened only once each member reports itself ready at its epoch.

use super::{
    demand::{Demand, Needs},
    formation::Formation,
    loading::Loading,
    order::{Directive, Order},
    pool::Pool,
    roster::{Group, Host, HostKey, MemberState, Roster},
    spec::{Engine, Replication, Service, Spec},
    staging,
    survey::Survey,
    tenure::{holds_members, is_eligible, is_outpaced, must_close},
};
use crate::core::{
    keys::{DomainName, Epoch, GroupName, HostName, ModelName, ServiceName},
    time::{Span, Time},
};
use std::collections::{BTreeMap, BTreeSet};

/// How long an order is left to show its effect before it is sent again.
const ORDER_PATIENCE: Span = Span::from_millis(700);

/// How long a closing head may finish its requests; after that their streams go on elsewhere.
const CLOSE_PATIENCE: Span = Span::from_millis(1_800);

/// How long an order to open may go without a report of the head: a watch may be silent so long.
const OPEN_SETTLES: Span = Span::from_millis(6_000);

/// How long a new holder probes members before it opens a group that was left ready.
const ADOPTION_DELAY: Span = Span::from_millis(1_300);

/// How much longer than foreseen a formation may take.
const FORMATION_SLACK: Span = Span::from_secs(12);

/// The state between two steps.
#[derive(Debug)]
pub struct Planner {
    /// The last epoch given out.
    epoch: i64,
    formations: Vec<Formation>,
    /// When each order was sent last.
    sent: BTreeMap<(HostName, Order), Time>,
    /// Groups whose heads were ordered to open, and when.
    opened: BTreeMap<GroupName, Time>,
    /// Groups that were ordered to close, and since when: they are not opened again.
    closed: BTreeMap<GroupName, Time>,
    loading: Loading,
    /// Whether requests have begun to come.
    pub busy: bool,
    survey: Survey,
    /// The time of the first step.
    began: Option<Time>,
}

impl Planner {
    /// A planner whose epochs are larger than `epoch`.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            epoch: epoch.0,
            formations: Vec::new(),
            sent: BTreeMap::new(),
            opened: BTreeMap::new(),
            closed: BTreeMap::new(),
            loading: Loading::new(),
            busy: false,
            survey: Survey::default(),
            began: None,
        }
    }

    /// Decides what to order now.
    pub fn step(
        &mut self,
        roster: &Roster,
        spec: &Spec,
        demand: &Demand,
        now: Time,
    ) -> Vec<Directive> {
        let mut out = Vec::new();
        self.began.get_or_insert(now);
        self.loading.expire(now);
        self.sent.retain(|_, at| now.since(*at) < FORMATION_SLACK);
        let known = roster.groups();
        self.closed
            .retain(|name, _| known.iter().any(|group| group.name == *name));
        self.opened.retain(|name, at| {
            let reported = known
                .iter()
                .any(|group| group.name == *name && group.is_active());
            !reported && now.since(*at) < OPEN_SETTLES
        });
        for service in &spec.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            self.advance(roster, &service.name, engine, now, &mut out);
            self.tend(roster, &service.name, now, &mut out);
            if !self.survey.look(roster.hosts().count(), self.busy, now) {
                continue;
            }
            let needs = Needs::new(engine, demand);
            self.form(roster, service, &needs, now, &mut out);
            self.stage(roster, service, &needs, now, &mut out);
        }
        out
    }

    /// Groups whose heads are gone for good, though their last word was that they serve or
    /// nothing is known of them.
    pub fn ended(&self, roster: &Roster, now: Time) -> Vec<Epoch> {
        let may_serve = |group: &&Group| group.is_active() || group.head().is_none();
        let groups = roster.groups().iter().filter(may_serve);
        let ended = groups.filter(|group| !holds_members(roster, group, now));
        ended.map(|group| group.epoch).collect()
    }

    /// Moves formations on, and drops those that can't succeed.
    fn advance(
        &mut self,
        roster: &Roster,
        service: &ServiceName,
        engine: &Engine,
        now: Time,
        out: &mut Vec<Directive>,
    ) {
        let mut formations = std::mem::take(&mut self.formations);
        formations.retain(|formation| {
            if formation.service != *service {
                return true;
            }
            if formation.is_hopeless(roster, now) {
                return false;
            }
            self.push_forward(formation, roster, now, out)
        });
        self.adopt(&mut formations, roster, service, engine, now);
        self.formations = formations;
    }

    /// Sends what a formation still needs; false once it serves.
    fn push_forward(
        &mut self,
        formation: &Formation,
        roster: &Roster,
        now: Time,
        out: &mut Vec<Directive>,
    ) -> bool {
        let mut ready = 0;
        for name in &formation.members {
            match formation.state_of(roster, name) {
                Some(MemberState::Open | MemberState::Closing) => return false,
                Some(MemberState::Ready) => ready += 1,
                Some(MemberState::Joining | MemberState::Broken) => {}
                None => self.send(name, formation.join(), now, out),
            }
        }
        if ready == formation.members.len() && now >= formation.open_from {
            let open = Order::Open {
                group: formation.group.clone(),
                epoch: formation.epoch,
            };
            self.opened.insert(formation.group.clone(), now);
            self.send(&formation.members[0], open, now, out);
        }
        true
    }

    /// Takes over complete groups that an earlier holder left half formed.
    fn adopt(
        &self,
        formations: &mut Vec<Formation>,
        roster: &Roster,
        service: &ServiceName,
        engine: &Engine,
        now: Time,
    ) {
        let open_from = self.began.unwrap_or(now) + ADOPTION_DELAY;
        for group in roster.groups() {
            let settled = group.is_active()
                || group.head_state == Some(MemberState::Broken)
                || self.closed.contains_key(&group.name);
            if group.service != *service || !group.complete || settled {
                continue;
            }
            let taken = formations
                .iter()
                .any(|formation| formation.overlaps(roster, group));
            let Some(replication) = engine.replication(&group.model) else {
                continue;
            };
            let sound = roster.members(group).all(is_eligible);
            if !taken && sound {
                let until = now + replication.load + FORMATION_SLACK;
                formations.push(Formation::adopted(roster, group, open_from, until));
            }
        }
    }

    /// Closes active groups that have lost a member or are losing one.
    fn tend(
        &mut self,
        roster: &Roster,
        service: &ServiceName,
        now: Time,
        out: &mut Vec<Directive>,
    ) {
        let outpaced = self.outpaced(roster, service, now);
        for group in roster.groups() {
            if group.service != *service || !group.is_active() {
                continue;
            }
            let Some(head) = group.head().and_then(|key| roster.host(key)) else {
                continue;
            };
            let is_gone = head.unlisted.is_some() && head.is_unreachable();
            let is_outpaced = outpaced.contains(&(&group.name, group.epoch));
            let cut = must_close(roster, group, head).or(is_outpaced.then_some(false));
            let Some(cut) = cut.filter(|_| !is_gone) else {
                continue;
            };
            let since = *self.closed.entry(group.name.clone()).or_insert(now);
            let close = Order::Close {
                group: group.name.clone(),
                epoch: group.epoch,
                cut: cut || now.since(since) >= CLOSE_PATIENCE,
            };
            self.send(&head.name, close, now, out);
        }
    }

    /// Open groups that are closed because their slow members can be replaced, one a domain.
    fn outpaced<'a>(
        &self,
        roster: &'a Roster,
        service: &ServiceName,
        now: Time,
    ) -> BTreeSet<(&'a GroupName, Epoch)> {
        let groups = roster.groups().iter();
        let slow: Vec<&Group> = groups
            .filter(|group| group.service == *service && roster.group_pace(group) > 1.0)
            .collect();
        if slow.is_empty() {
            return BTreeSet::new();
        }
        let pools = self.pools(roster, service, now);
        let mut domains = BTreeSet::new();
        let outpaced = slow.into_iter().filter(|group| {
            let head = group.head().and_then(|key| roster.host(key));
            let domain = head.and_then(|head| head.runner.domain.as_ref());
            let Some((head, domain)) = head.zip(domain) else {
                return false;
            };
            let pool = pools.get(domain);
            must_close(roster, group, head).is_none()
                && pool.is_some_and(|pool| is_outpaced(roster, group, pool))
                && domains.insert(domain)
        });
        outpaced.map(|group| (&group.name, group.epoch)).collect()
    }

    /// Forms groups of free hosts, the model in greatest need first.
    fn form(
        &mut self,
        roster: &Roster,
        service: &Service,
        needs: &Needs<'_>,
        now: Time,
        out: &mut Vec<Directive>,
    ) {
        let mut pools = self.pools(roster, &service.name, now);
        loop {
            let Some((domain, replication)) = next_group(roster, needs, &pools) else {
                return;
            };
            let rivals = needs.rivals(replication, &pools);
            let pool = pools.get_mut(&domain).expect("the domain was chosen");
            let members = pool.take(roster, &rivals, replication);
            let loads: Vec<HostName> = members
                .iter()
                .filter(|key| pool.needs_load(roster, **key, &replication.model))
                .filter_map(|key| Some(roster.host(*key)?.name.clone()))
                .collect();
            if !self
                .loading
                .begin(&loads, replication, needs.engine, self.busy, now)
            {
                continue;
            }
            self.begin(roster, service, replication, &members, now, out);
        }
    }

    fn begin(
        &mut self,
        roster: &Roster,
        service: &Service,
        replication: &Replication,
        members: &[HostKey],
        now: Time,
        out: &mut Vec<Directive>,
    ) {
        self.epoch += 1;
        let names = members
            .iter()
            .filter_map(|key| Some(roster.host(*key)?.name.clone()));
        let formation = Formation {
            service: service.name.clone(),
            model: replication.model.clone(),
            group: GroupName::from(format!("g{}", self.epoch)),
            epoch: Epoch(self.epoch),
            members: names.collect(),
            lives: members
                .iter()
                .filter_map(|key| Some(roster.host(*key)?.runner.born))
                .collect(),
            open_from: now,
            until: now + replication.load.times(2) + FORMATION_SLACK,
        };
        for name in &formation.members {
            self.send(name, formation.join(), now, out);
        }
        self.formations.push(formation);
    }

    /// Stages weights on hosts that are left over, so that they can replace a lost one quickly.
    fn stage(
        &mut self,
        roster: &Roster,
        service: &Service,
        needs: &Needs<'_>,
        now: Time,
        out: &mut Vec<Directive>,
    ) {
        let pools = self.pools(roster, &service.name, now);
        for staging in staging::plan(roster, needs, &pools) {
            let Some(host) = roster.host(staging.host) else {
                continue;
            };
            let name = host.name.clone();
            let has_room = self.loading.has_room(needs.engine);
            let begin = |loading: &mut Loading, is_busy| {
                let hosts = std::slice::from_ref(&name);
                loading.begin(hosts, staging.replication, needs.engine, is_busy, now)
            };
            if !has_room || !begin(&mut self.loading, self.busy) {
                return;
            }
            let model = staging.replication.model.clone();
            self.send(&name, Order::Stage { model }, now, out);
        }
    }

    /// Hosts that may be ordered into a group, by domain.
    fn pools(
        &self,
        roster: &Roster,
        service: &ServiceName,
        now: Time,
    ) -> BTreeMap<DomainName, Pool> {
        let held = self.held(roster, service, now);
        let mut pools: BTreeMap<DomainName, Pool> = BTreeMap::new();
        for (model, domain) in self.placed(roster, service) {
            let pool = pools.entry(domain).or_default();
            *pool.groups.entry(model).or_default() += 1;
        }
        for group in roster.groups() {
            let head = group.head().and_then(|key| roster.host(key));
            if group.service == *service
                && self.is_ending(roster, group, now)
                && let Some(domain) = head.and_then(|host| host.runner.domain.clone())
            {
                let pool = pools.entry(domain).or_default();
                pool.ending.insert(group.model.clone());
            }
        }
        for (key, host) in roster.hosts() {
            let Some(domain) = &host.runner.domain else {
                continue;
            };
            if host.runner.service != *service || !is_eligible(host) {
                continue;
            }
            if held.contains(&key) {
                continue;
            }
            let pool = pools.entry(domain.clone()).or_default();
            pool.free.push(key);
            if let Some(model) = self.loading.model_on(&host.name) {
                pool.loading.insert(key, model.clone());
            }
        }
        pools
    }

    /// Whether a group no longer serves but still holds its members.
    fn is_ending(&self, roster: &Roster, group: &Group, now: Time) -> bool {
        let is_over = roster.has_unreachable_member(group) || self.closed.contains_key(&group.name);
        is_over && holds_members(roster, group, now)
    }

    /// Hosts that a group holds: formations, and groups whose head is or may become open.
    fn held(&self, roster: &Roster, service: &ServiceName, now: Time) -> BTreeSet<HostKey> {
        let forming = self
            .formations
            .iter()
            .flat_map(|formation| &formation.members)
            .filter_map(|name| Some(roster.host_by_name(name)?.0));
        let active = roster
            .groups()
            .iter()
            .filter(|group| group.service == *service)
            .filter(|group| {
                holds_members(roster, group, now) || self.opened.contains_key(&group.name)
            })
            .flat_map(|group| group.members.values().copied());
        forming.chain(active).collect()
    }

    /// The model and the domain of each group that serves or is being formed.
    fn placed(&self, roster: &Roster, service: &ServiceName) -> Vec<(ModelName, DomainName)> {
        let domain = |host: Option<&Host>| host?.runner.domain.clone();
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

    /// Sends an order unless the same one was sent a moment ago.
    fn send(&mut self, host: &HostName, order: Order, now: Time, out: &mut Vec<Directive>) {
        let key = (host.clone(), order.clone());
        let last = self.sent.get(&key);
        if last.is_some_and(|at| now.since(*at) < ORDER_PATIENCE) {
            return;
        }
        self.sent.insert(key, now);
        out.push(Directive {
            host: host.clone(),
            order,
        });
    }
}

/// The model in greatest need that some domain has room for, and the domain that is ready soonest.
fn next_group<'a>(
    roster: &Roster,
    needs: &Needs<'a>,
    pools: &BTreeMap<DomainName, Pool>,
) -> Option<(DomainName, &'a Replication)> {
    needs.ranked(pools).into_iter().find_map(|replication| {
        let rivals = needs.rivals(replication, pools);
        let (domain, _) = pools
            .iter()
            .filter(|(_, pool)| pool.has_room(roster, &rivals, replication))
            .filter(|(_, pool)| pool.is_timely(roster, &rivals, replication))
            .min_by_key(|(_, pool)| pool.loads(roster, &rivals, replication))?;
        Some((domain.clone(), replication))
    })
}
