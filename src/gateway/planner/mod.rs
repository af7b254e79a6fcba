//! Decides which hosts form groups, and orders their runners to do so.
//!
//! The planner goes by what runners report rather than by what it ordered, as
//! an order may be lost or carried out late. It keeps only its own formations
//! in memory; a successor learns everything else from the runners' reports.
//! Its epochs are larger than those of every earlier holder of the duty, so
//! that runners refuse an earlier holder's late orders.
//!
//! A group is closed before any of its members is ordered into another one; if
//! its head can't be asked, the members leave it first. A group is opened only
//! once each member reports that it is ready at its epoch.

mod ending;
mod pools;

use super::{
    demand::{Demand, Needs},
    formation::Formation,
    group::Group,
    lifecycle::is_eligible,
    openings::Openings,
    order::{Directive, Order, OrderAnswer},
    roster::{HostKey, MemberState, Roster},
    sent_orders::SentOrders,
    spec::{Engine, Replication, Service, Spec},
    staging,
    startup::StartupWait,
    weight_loads::WeightLoads,
};
use crate::core::{
    keys::{Epoch, GroupName, HostName, ServiceName},
    time::{Span, Time},
};
use pools::next_group;
use std::collections::BTreeMap;

/// Delay before a new holder of the duty opens a group that was left ready; it probes the members
/// meanwhile.
const ADOPTION_DELAY: Span = Span::from_millis(1_300);

/// Extra time granted to a formation beyond its expected load time.
const FORMATION_SLACK: Span = Span::from_secs(12);

/// Forms, repairs and closes groups; holds the state between two steps.
#[derive(Debug)]
pub struct Planner {
    /// Last epoch assigned.
    last_epoch: i64,
    formations: Vec<Formation>,
    sent_orders: SentOrders,
    openings: Openings,
    /// Time of the first order to close each group; such a group isn't opened again.
    closing: BTreeMap<GroupName, Time>,
    weight_loads: WeightLoads,
    /// True once requests have arrived.
    pub has_traffic: bool,
    startup: StartupWait,
    /// Time of the first step.
    started: Option<Time>,
}

impl Planner {
    /// Creates a planner whose epochs are larger than `epoch`.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            last_epoch: epoch.0,
            formations: Vec::new(),
            sent_orders: SentOrders::default(),
            openings: Openings::default(),
            closing: BTreeMap::new(),
            weight_loads: WeightLoads::new(),
            has_traffic: false,
            startup: StartupWait::default(),
            started: None,
        }
    }

    /// Returns the orders to send now.
    pub fn step(
        &mut self,
        roster: &Roster,
        spec: &Spec,
        demand: &Demand,
        now: Time,
    ) -> Vec<Directive> {
        let mut out = Vec::new();
        self.started.get_or_insert(now);
        self.weight_loads.expire(now);
        self.sent_orders.expire(now);
        let known = roster.groups();
        self.closing
            .retain(|name, _| known.iter().any(|group| group.name == *name));
        self.openings.expire(roster, now);
        for service in &spec.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            self.advance_formations(roster, &service.name, engine, now, &mut out);
            self.close_groups(roster, spec, &service.name, now, &mut out);
            self.release_ready_groups(roster, &service.name, now, &mut out);
            self.leave_groups(roster, &service.name, now, &mut out);
            if !self
                .startup
                .update(roster.hosts().count(), self.has_traffic, now)
            {
                continue;
            }
            let needs = Needs::new(engine, demand);
            self.form_groups(roster, service, &needs, now, &mut out);
            self.stage_spares(roster, service, &needs, now, &mut out);
        }
        out
    }

    /// Returns the groups that no longer hold their members, although their heads last reported to
    /// be open or closing, or are unknown.
    pub fn released_groups(&self, roster: &Roster, now: Time) -> Vec<Epoch> {
        let groups = roster.groups().iter();
        let released = groups.filter(|group| self.must_leave(roster, group, now));
        released.map(|group| group.epoch).collect()
    }

    /// Advances a service's formations and drops those that have failed or serve.
    fn advance_formations(
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
            if formation.has_failed(roster, now) {
                return false;
            }
            self.advance_formation(formation, roster, now, out)
        });
        self.adopt(&mut formations, roster, service, engine, now);
        self.formations = formations;
    }

    /// Sends the orders that a formation still needs, except to hosts of an evacuated hall; returns
    /// false once its head has opened.
    fn advance_formation(
        &mut self,
        formation: &Formation,
        roster: &Roster,
        now: Time,
        out: &mut Vec<Directive>,
    ) -> bool {
        let is_evacuated = |name| {
            let known = roster.host_by_name(name);
            known.is_some_and(|(_, host)| roster.is_evacuated(host))
        };
        let mut ready = 0;
        for name in &formation.members {
            match formation.member_state(roster, name) {
                Some(MemberState::Open | MemberState::Closing) => return false,
                Some(MemberState::Ready) => ready += 1,
                Some(MemberState::Joining | MemberState::Broken) => {}
                None if is_evacuated(name) => {}
                None => {
                    self.send(name, formation.join_order(), now, out);
                }
            }
        }
        let head = &formation.members[0];
        let is_due = ready == formation.members.len() && now >= formation.open_from;
        if is_due && !is_evacuated(head) {
            let open = Order::Open {
                group: formation.group.clone(),
                epoch: formation.epoch,
            };
            if self.send(head, open, now, out) {
                self.openings.sent(&formation.group, now);
            }
        }
        true
    }

    /// Adopts complete groups whose formation an earlier holder of the duty left unfinished.
    fn adopt(
        &self,
        formations: &mut Vec<Formation>,
        roster: &Roster,
        service: &ServiceName,
        engine: &Engine,
        now: Time,
    ) {
        let open_from = self.started.unwrap_or(now) + ADOPTION_DELAY;
        for group in roster.groups() {
            let is_past_forming = group.is_active()
                || group.head_state == Some(MemberState::Broken)
                || self.closing.contains_key(&group.name);
            if group.service != *service || !group.complete || is_past_forming {
                continue;
            }
            let is_forming = formations
                .iter()
                .any(|formation| formation.overlaps(roster, group));
            let Some(replication) = engine.replication(&group.model) else {
                continue;
            };
            let is_sound = roster.members(group).all(is_eligible);
            if !is_forming && is_sound {
                let deadline = now + replication.load + FORMATION_SLACK;
                formations.push(Formation::adopted(roster, group, open_from, deadline));
            }
        }
    }

    /// Forms groups of free hosts, for the models in greatest need first.
    fn form_groups(
        &mut self,
        roster: &Roster,
        service: &Service,
        needs: &Needs<'_>,
        now: Time,
        out: &mut Vec<Directive>,
    ) {
        let mut pools = self.pools(roster, &service.name, now);
        loop {
            let Some((domain, replication)) = next_group(roster, needs, &pools, self.has_traffic)
            else {
                return;
            };
            let protected = needs.protected(replication, &pools);
            let pool = pools
                .get_mut(&domain)
                .expect("the chosen domain has a pool");
            let members = pool.take_members(roster, &protected, replication);
            let loads: Vec<HostName> = members
                .iter()
                .filter(|key| pool.needs_load(roster, **key, &replication.model))
                .filter_map(|key| Some(roster.host(*key)?.name.clone()))
                .collect();
            if !self.weight_loads.try_start(
                &loads,
                replication,
                needs.engine,
                self.has_traffic,
                now,
            ) {
                continue;
            }
            self.start_formation(roster, service, replication, &members, now, out);
        }
    }

    /// Starts a formation at the next epoch and orders its members to join.
    fn start_formation(
        &mut self,
        roster: &Roster,
        service: &Service,
        replication: &Replication,
        members: &[HostKey],
        now: Time,
        out: &mut Vec<Directive>,
    ) {
        self.last_epoch += 1;
        let names = members
            .iter()
            .filter_map(|key| Some(roster.host(*key)?.name.clone()));
        let formation = Formation {
            service: service.name.clone(),
            model: replication.model.clone(),
            group: GroupName::from(format!("g{}", self.last_epoch)),
            epoch: Epoch(self.last_epoch),
            members: names.collect(),
            born: members
                .iter()
                .filter_map(|key| Some(roster.host(*key)?.runner.born))
                .collect(),
            open_from: now,
            deadline: now + replication.load.times(2) + FORMATION_SLACK,
        };
        self.openings.formed(formation.group.clone(), now);
        for name in &formation.members {
            self.send(name, formation.join_order(), now, out);
        }
        self.formations.push(formation);
    }

    /// Stages weights on the hosts that remain free, so that they can replace a lost member quickly.
    fn stage_spares(
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
            let has_capacity = self.weight_loads.has_capacity(needs.engine);
            let try_start = |loads: &mut WeightLoads, has_traffic| {
                let hosts = std::slice::from_ref(&name);
                loads.try_start(hosts, staging.replication, needs.engine, has_traffic, now)
            };
            if !has_capacity || !try_start(&mut self.weight_loads, self.has_traffic) {
                return;
            }
            let model = staging.replication.model.clone();
            self.send(&name, Order::Stage { model }, now, out);
        }
    }

    /// Sends an order unless the same one was sent too recently; returns true if it is sent.
    fn send(&mut self, host: &HostName, order: Order, now: Time, out: &mut Vec<Directive>) -> bool {
        let sent = self.sent_orders.send(host, order, now);
        let is_sent = sent.is_some();
        out.extend(sent);
        is_sent
    }

    /// Records that a runner responded to an order, whose effect it has yet to report.
    pub fn order_answered(&mut self, roster: &Roster, answer: OrderAnswer) {
        let OrderAnswer {
            directive,
            is_accepted,
        } = answer;
        match &directive.order {
            Order::Open { group, .. } => self.openings.answered(group),
            Order::Leave { epoch, .. }
                if is_accepted && is_head(roster, *epoch, &directive.host) =>
            {
                self.openings.head_left(*epoch);
            }
            _ => {}
        }
        if is_accepted {
            self.sent_orders.accepted(directive);
        }
    }
}

/// Returns true if a host is the head of the group of an epoch.
fn is_head(roster: &Roster, epoch: Epoch, host: &HostName) -> bool {
    let mut groups = roster.groups().iter();
    let group = groups.find(|group| group.epoch == epoch);
    let head = group.and_then(Group::head).and_then(|key| roster.host(key));
    head.is_some_and(|head| head.name == *host)
}
