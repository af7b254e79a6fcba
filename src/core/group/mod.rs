//! Groups: which hosts hold which replica, and the orders that make it so.
//!
//! Every daemon keeps the groups in service for itself (`serving`). For each
//! fabric domain one daemon has the duty (`duty`) of driving its placement
//! (`drive`): it draws a picture of the domain, plans the next record, writes
//! it, and orders runners until they hold what stands there.

mod budget;
pub mod check;
mod domain;
mod drain;
mod drive;
mod duty;
mod forget;
mod order;
mod picture;
mod place;
pub mod plan;
pub mod relocate;
pub mod repair;
mod report;
mod serving;
pub mod stability;
mod upgrade;
mod write;

use super::{
    config::{Key, View},
    count::Count,
    ctx::Ctx,
    input::{Holding, OperatorRequest, OrderOutcome, PlatformAnswer},
    keys::{
        AccountName, AdapterName, DaemonName, DomainName, Epoch, GroupName, HostName, ModelName,
        OrderId, PlatformId, Revision, VersionName,
    },
    member::{Hosts, Members},
    message::Message,
    request::Requests,
    status::{DomainStatus, GroupStatus},
    time::{Span, Time},
    timer::Timer,
};
use domain::Domain;
use drain::End;
use drive::{Driver, Site, Tally, World};
use duty::Turn;
use serving::{Scene, Serving};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

crate::record! {
    /// Messages between the group parts of two daemons.
    pub enum GroupMessage {
        /// The sender gives a group of this epoch no new work, and has none running on it.
        Drained {
            /// The group.
            group: GroupName,
            /// The epoch.
            epoch: Epoch,
        },
        /// Asks whether an epoch is over for the receiver; answered once it is.
        AskDrained {
            /// The domain.
            domain: DomainName,
            /// The group.
            group: GroupName,
            /// The epoch.
            epoch: Epoch,
            /// The revision of the placement that ended it.
            revision: Revision,
        },
    }

    /// Timers of the group part.
    #[derive(Eq, Hash)]
    pub enum GroupTimer {
        /// Look whether domains need a duty holder.
        Duty,
        /// Go on with a domain's placement.
        Plan(DomainName),
    }
}

slotmap::new_key_type! {
    /// A group in service, in this daemon's arena.
    pub struct GroupKey;
}

/// A group that may be routed to: in service, at the current epoch, all members present.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingGroup {
    /// The group.
    pub name: GroupName,
    /// Its model.
    pub model: ModelName,
    /// The version it holds.
    pub version: VersionName,
    /// The adapters it holds.
    pub adapters: Vec<AdapterName>,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its fabric domain.
    pub domain: DomainName,
    /// Its hosts, the leading one first.
    pub hosts: Vec<HostName>,
    /// The address of the leading host's runner.
    pub address: SocketAddr,
    /// Accounts that may use it; empty for all.
    pub accounts: Vec<AccountName>,
}

/// How often duties and domains are looked at.
const TICK: Span = Span::from_millis(500);

/// How soon after an event a domain is looked at; gathers what comes together.
const SOON: Span = Span::from_millis(20);

/// How often a stopping daemon looks whether its last order is over.
const STOP_TICK: Span = Span::from_millis(100);

/// How long the end of an upgrade may take to be written and seen.
const FINISH_PERIOD: Span = Span::from_secs(2);

/// The groups as this daemon sees them, and the domains that it drives.
#[derive(Debug, Default)]
pub struct Groups {
    serving: Serving,
    domains: BTreeMap<DomainName, Domain>,
    tally: Tally,
    /// When the wanted versions last changed.
    steered: Time,
    /// When the end of an upgrade was last written.
    finished: Option<Time>,
    duties_lost: u64,
    stopping: bool,
}

/// Queries.
impl Groups {
    /// The groups that a model may be routed to now.
    pub fn serving(&self, model: &ModelName) -> &[GroupKey] {
        self.serving.of_model(model)
    }

    /// A group in service.
    pub fn get(&self, key: GroupKey) -> Option<&ServingGroup> {
        self.serving.get(key)
    }

    /// Whether a group may still be routed to at this epoch.
    pub fn is_current(&self, group: &GroupName, epoch: Epoch) -> bool {
        self.serving.is_current(group, epoch)
    }

    /// Whether this daemon drives a domain now, by its own clock.
    pub fn holds_duty(&self, domain: &DomainName, now: Time) -> bool {
        let held = self.domains.get(domain);
        held.is_some_and(|d| d.claimant.fence(now).is_some())
    }

    /// Finds out whether an operator's request can be met; the error says which hosts miss.
    pub fn check(
        &self,
        view: &View,
        hosts: &Hosts,
        request: &OperatorRequest,
    ) -> Result<(), String> {
        check::request(view, hosts, request)
    }

    /// The groups' part of the report.
    pub fn status(&self, view: &View, hosts: &Hosts) -> Vec<GroupStatus> {
        report::groups(view, hosts, &self.serving)
    }

    /// The domains' part of the report.
    pub fn domain_status(&self, view: &View, hosts: &Hosts) -> Vec<DomainStatus> {
        report::domains(view, hosts, &self.serving)
    }

    /// Adds what this part has counted.
    pub fn counts(&self, counts: &mut Vec<Count>) {
        let drivers = self.domains.values().filter(|d| d.driver.is_some());
        let Tally { orders, records } = self.tally;
        counts.extend([
            Count::gauge("groups_in_service", self.serving.len() as u64),
            Count::gauge("duties_held", drivers.count() as u64),
            Count::counter("duties_lost_total", self.duties_lost),
            Count::counter("orders_sent_total", orders.sent),
            Count::counter("orders_lost_total", orders.lost),
            Count::counter("orders_rejected_total", orders.rejected),
            Count::counter("orders_stale_total", orders.stale),
            Count::counter("placements_written_total", records.written),
            Count::counter("placements_conflicting_total", records.conflicts),
            Count::counter("placements_unanswered_total", records.unanswered),
            Count::counter("placements_refused_total", records.refused),
        ]);
    }
}

/// Commands.
impl Groups {
    /// Starts looking for duties.
    pub fn on_start(&mut self, ctx: &mut Ctx) {
        ctx.timer(Timer::Group(GroupTimer::Duty), SOON);
    }

    /// Takes changes of the records in force.
    pub fn on_config(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        hosts: &Hosts,
        _members: &Members,
        changed: &[Key],
    ) {
        let scene = Scene {
            view,
            hosts,
            options: ctx.options,
        };
        for key in changed {
            match key {
                Key::Placement(domain) => {
                    self.serving.refresh_domain(&scene, domain);
                    self.on_placement(view, domain);
                }
                Key::Group(name) => {
                    self.serving.refresh_group(&scene, name);
                    self.steered = ctx.now;
                }
                Key::Model(_) | Key::Upgrade(_) => self.steered = ctx.now,
                Key::Duty(domain) => self.on_duty(ctx, view, domain),
                _ => {}
            }
        }
        self.plan_soon(ctx);
    }

    /// Takes changes of hosts' health.
    pub fn on_hosts(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        hosts: &Hosts,
        _members: &Members,
        changed: &[HostName],
    ) {
        let scene = Scene {
            view,
            hosts,
            options: ctx.options,
        };
        let mut moved = false;
        for host in changed {
            if !self.serving.refresh_host(&scene, ctx.now, host) {
                continue;
            }
            moved = true;
            for driver in self.drivers() {
                driver.runners.doubt(host);
            }
        }
        if moved {
            self.plan_soon(ctx);
        }
    }

    /// Takes a timer.
    pub fn on_timer(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        hosts: &Hosts,
        members: &Members,
        requests: &Requests,
        timer: GroupTimer,
    ) {
        let site = Site {
            view,
            hosts,
            members,
            requests,
        };
        match timer {
            GroupTimer::Duty if self.stopping => self.hand_over(ctx),
            GroupTimer::Duty => {
                let scene = Scene {
                    view,
                    hosts,
                    options: ctx.options,
                };
                self.serving.on_tick(&scene, ctx.now);
                self.find_domains(view);
                let names: Vec<DomainName> = self.domains.keys().cloned().collect();
                for name in &names {
                    self.claim(ctx, &site, name);
                    self.drive(ctx, &site, name);
                }
                self.finish_upgrade(ctx, view);
                ctx.timer(Timer::Group(GroupTimer::Duty), TICK);
            }
            GroupTimer::Plan(domain) => self.drive(ctx, &site, &domain),
        }
    }

    /// Takes the answer to a platform call of this part; nothing means that it failed.
    pub fn on_platform(
        &mut self,
        ctx: &mut Ctx,
        _view: &View,
        _hosts: &Hosts,
        _members: &Members,
        id: PlatformId,
        answer: Option<PlatformAnswer>,
    ) {
        let Some((name, domain)) = self.domains.iter_mut().find(|(_, d)| d.waits_for(id)) else {
            return;
        };
        let turn = if domain.claimant.waits_for(id) {
            domain.claimant.on_platform(ctx, name, answer)
        } else {
            domain.on_record_answer(ctx, name, answer, &mut self.tally)
        };
        domain.turn(ctx, name, turn);
        self.duties_lost += u64::from(turn == Turn::Lost);
        ctx.timer(Timer::Group(GroupTimer::Plan(name.clone())), SOON);
    }

    /// Takes the outcome of an order.
    #[expect(
        clippy::too_many_arguments,
        reason = "the event and what it is judged by"
    )]
    pub fn on_ordered(
        &mut self,
        ctx: &mut Ctx,
        _view: &View,
        _hosts: &Hosts,
        _members: &Members,
        order: OrderId,
        host: HostName,
        outcome: OrderOutcome,
    ) {
        for (name, domain) in &mut self.domains {
            let Some(driver) = &mut domain.driver else {
                continue;
            };
            let tally = &mut self.tally.orders;
            let seen = driver
                .runners
                .on_ordered(ctx, order, &host, &outcome, tally);
            if seen.is_some_and(|fence| fence > driver.fence()) {
                let turn = domain
                    .claimant
                    .lose(ctx, name, "a runner knows a later holder");
                domain.turn(ctx, name, turn);
                self.duties_lost += 1;
            }
            ctx.timer(Timer::Group(GroupTimer::Plan(name.clone())), SOON);
        }
    }

    /// Takes what a runner really holds.
    pub fn on_holding(
        &mut self,
        ctx: &mut Ctx,
        _view: &View,
        _hosts: &Hosts,
        _members: &Members,
        host: HostName,
        holding: Option<Holding>,
    ) {
        for (name, domain) in &mut self.domains {
            let Some(driver) = &mut domain.driver else {
                continue;
            };
            if driver.runners.on_holding(&host, holding.clone()) {
                ctx.timer(Timer::Group(GroupTimer::Plan(name.clone())), SOON);
            }
        }
    }

    /// Takes a message of another daemon's group part.
    pub fn on_message(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        members: &Members,
        requests: &Requests,
        from: &DaemonName,
        message: GroupMessage,
    ) {
        match message {
            GroupMessage::Drained { epoch, .. } => {
                for driver in self.drivers() {
                    driver.drains.on_answer(from, epoch);
                }
            }
            GroupMessage::AskDrained {
                domain,
                group,
                epoch,
                revision,
            } => {
                let end = End {
                    domain: &domain,
                    group: &group,
                    epoch,
                    revision,
                };
                if !end.is_past(view, &self.serving, requests) {
                    return;
                }
                if let Some(address) = members.address(from, None) {
                    let answer = GroupMessage::Drained { group, epoch };
                    ctx.datagram(address, Message::Group(answer));
                }
            }
        }
    }

    /// Hands over the domains that this daemon drives.
    pub fn on_stop(&mut self, ctx: &mut Ctx) {
        self.stopping = true;
        self.hand_over(ctx);
    }

    fn drivers(&mut self) -> impl Iterator<Item = &mut Driver> {
        self.domains.values_mut().filter_map(|d| d.driver.as_mut())
    }

    /// Looks at the driven domains once the events at hand are taken.
    fn plan_soon(&mut self, ctx: &mut Ctx) {
        for driver in self.drivers() {
            let timer = GroupTimer::Plan(driver.domain().clone());
            ctx.timer(Timer::Group(timer), SOON);
        }
    }

    fn on_placement(&mut self, view: &View, domain: &DomainName) {
        let driver = self.domains.get_mut(domain).and_then(|d| d.driver.as_mut());
        if let (Some(driver), Some(placement)) = (driver, view.placement(domain)) {
            driver.on_record(&placement.record, placement.revision);
        }
    }

    /// Ends a duty that another daemon was seen to have claimed later.
    fn on_duty(&mut self, ctx: &mut Ctx, view: &View, name: &DomainName) {
        let (Some(domain), Some(duty)) = (self.domains.get_mut(name), view.duty(name)) else {
            return;
        };
        let ours = domain.driver.as_ref().map(Driver::fence);
        if ours.is_some_and(|fence| duty.revision.0 > fence.0) {
            let turn = domain
                .claimant
                .lose(ctx, name, "another daemon has claimed it");
            domain.turn(ctx, name, turn);
            self.duties_lost += 1;
        }
    }

    /// Adds domains that need a holder, and forgets those that don't.
    fn find_domains(&mut self, view: &View) {
        let wanted = view.groups().map(|v| &v.record.domain);
        let placed = view.placements().map(|v| &v.record);
        let placed = placed
            .filter(|p| !p.groups.is_empty() || !p.retiring.is_empty())
            .map(|p| &p.domain);
        let needed: BTreeSet<&DomainName> = wanted.chain(placed).collect();
        self.domains
            .retain(|name, domain| needed.contains(name) || domain.driver.is_some());
        for name in needed {
            if !self.domains.contains_key(name) {
                self.domains.insert(name.clone(), Domain::default());
            }
        }
    }

    fn claim(&mut self, ctx: &mut Ctx, site: &Site, name: &DomainName) {
        let Some(domain) = self.domains.get_mut(name) else {
            return;
        };
        let turn = domain.claimant.on_tick(ctx, site, name);
        domain.turn(ctx, name, turn);
        self.duties_lost += u64::from(turn == Turn::Lost);
    }

    /// Drives a domain, if the duty is held by the clock as it is now.
    fn drive(&mut self, ctx: &mut Ctx, site: &Site, name: &DomainName) {
        let Some(domain) = self.domains.get_mut(name) else {
            return;
        };
        let Some(driver) = &mut domain.driver else {
            return;
        };
        if self.stopping || domain.claimant.fence(ctx.now).is_none() {
            return;
        }
        let world = World {
            site: *site,
            serving: &self.serving,
            steered: self.steered,
        };
        driver.on_tick(ctx, &world, &mut self.tally);
    }

    /// Writes the end of an upgrade.
    ///
    /// Left to the holder of the last domain by name, which moves last.
    fn finish_upgrade(&mut self, ctx: &mut Ctx, view: &View) {
        let last = view.placements().last().map(|v| &v.record.domain);
        if !last.is_some_and(|name| self.holds_duty(name, ctx.now)) {
            return;
        }
        let recent = |at: Time| ctx.now.since(at) < FINISH_PERIOD;
        if self.finished.is_some_and(recent) {
            return;
        }
        if upgrade::finish(ctx, view) {
            self.finished = Some(ctx.now);
        }
    }

    /// Gives duties back, each once its last order and write are over.
    fn hand_over(&mut self, ctx: &mut Ctx) {
        let mut waits = false;
        for (name, domain) in &mut self.domains {
            if domain.driver.as_ref().is_some_and(|d| d.busy(ctx.now)) {
                waits = true;
                continue;
            }
            domain.claimant.release(ctx, name);
            domain.driver = None;
        }
        if waits {
            ctx.timer(Timer::Group(GroupTimer::Duty), STOP_TICK);
        }
    }
}
