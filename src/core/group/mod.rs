//! Groups: placement of replicas on hosts, and the orders that apply it.
//!
//! Every daemon derives the groups in service on its own (`serving`). For each
//! fabric domain one daemon holds the duty (`duty`) of driving its placement
//! (`driver`): it takes a snapshot of the domain, plans the next placement
//! record, writes it, and sends orders until the runners hold what the record
//! says.

pub mod check;
mod domain;
mod drain;
mod driver;
mod driving;
mod duty;
mod load_budget;
mod load_rate;
mod message;
mod order;
mod place;
pub mod plan;
mod purge;
pub mod relocate;
pub mod repair;
mod report;
mod serving;
mod snapshot;
pub mod stability;
mod target;
mod upgrade;
mod write;

pub use message::{GroupMessage, GroupTimer};
pub use serving::{GroupKey, ServingGroup};

use super::{
    config::{Key, View},
    ctx::Ctx,
    input::{Holding, OperatorRequest, OrderOutcome, PlatformAnswer},
    keys::{DaemonName, DomainName, Epoch, GroupName, HostName, ModelName, OrderId, PlatformId},
    member::{Hosts, Members},
    message::Message,
    metric::Metric,
    request::Requests,
    status::{DomainStatus, GroupStatus},
    time::{Span, Time},
    timer::Timer,
};
use domain::Domain;
use drain::DrainQuery;
use driver::{CoreState, Counters, Driver};
use duty::DutyChange;
use serving::{ServingGroups, ServingInputs};
use std::collections::BTreeMap;

/// Interval between checks of all duties and domains.
const TICK_INTERVAL: Span = Span::from_millis(500);

/// Delay between an event and the planning pass that it triggers; events within it share a pass.
const BATCH_DELAY: Span = Span::from_millis(20);

/// The groups in service as this daemon sees them, and the domains that it drives.
#[derive(Debug, Default)]
pub struct Groups {
    serving: ServingGroups,
    domains: BTreeMap<DomainName, Domain>,
    counters: Counters,
    /// Time of the last change to a group, model or upgrade, any of which may change versions.
    versions_changed: Time,
    /// Time of the last write that completes an upgrade.
    finish_sent: Option<Time>,
    duties_lost: u64,
    stopping: bool,
}

/// Queries.
impl Groups {
    /// Returns the groups that requests for a model may be routed to now.
    pub fn serving(&self, model: &ModelName) -> &[GroupKey] {
        self.serving.for_model(model)
    }

    /// Returns a group in service.
    pub fn get(&self, key: GroupKey) -> Option<&ServingGroup> {
        self.serving.get(key)
    }

    /// Returns true if a group may still be routed to at this epoch.
    pub fn is_current(&self, group: &GroupName, epoch: Epoch) -> bool {
        self.serving.is_current(group, epoch)
    }

    /// Returns true if this daemon holds the duty for a domain now, by its own clock.
    pub fn holds_duty(&self, domain: &DomainName, now: Time) -> bool {
        let entry = self.domains.get(domain);
        entry.is_some_and(|d| d.duty.fence(now).is_some())
    }

    /// Checks that an operator's request can be met; the error says which hosts are missing.
    pub fn check(
        &self,
        view: &View,
        hosts: &Hosts,
        request: &OperatorRequest,
    ) -> Result<(), String> {
        check::request(view, hosts, request)
    }

    /// Returns the status of every group, for the status report.
    pub fn status(&self, view: &View, hosts: &Hosts) -> Vec<GroupStatus> {
        report::groups(view, hosts, &self.serving)
    }

    /// Returns the status of every domain, for the status report.
    pub fn domain_status(&self, view: &View, hosts: &Hosts) -> Vec<DomainStatus> {
        report::domains(view, hosts, &self.serving)
    }

    /// Appends the metrics of groups.
    pub fn metrics(&self, metrics: &mut Vec<Metric>) {
        let drivers = self.domains.values().filter(|d| d.driver.is_some());
        let Counters { orders, records } = self.counters;
        metrics.extend([
            Metric::gauge("groups_in_service", self.serving.len() as u64),
            Metric::gauge("duties_held", drivers.count() as u64),
            Metric::counter("duties_lost_total", self.duties_lost),
            Metric::counter("orders_sent_total", orders.sent),
            Metric::counter("orders_lost_total", orders.lost),
            Metric::counter("orders_rejected_total", orders.rejected),
            Metric::counter("orders_stale_total", orders.stale),
            Metric::counter("placements_written_total", records.written),
            Metric::counter("placements_conflicting_total", records.conflicts),
            Metric::counter("placements_unanswered_total", records.unanswered),
            Metric::counter("placements_refused_total", records.refused),
        ]);
    }
}

/// Commands.
impl Groups {
    /// Schedules the first check of duties.
    pub fn on_start(&mut self, ctx: &mut Ctx) {
        ctx.set_timer(Timer::Group(GroupTimer::Duty), BATCH_DELAY);
    }

    /// Handles changes to configuration records.
    pub fn on_config(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        hosts: &Hosts,
        _members: &Members,
        changed: &[Key],
    ) {
        let inputs = ServingInputs {
            view,
            hosts,
            options: ctx.options,
        };
        for key in changed {
            match key {
                Key::Placement(domain) => {
                    self.serving.refresh_domain(&inputs, domain);
                    self.on_placement(view, domain);
                }
                Key::Group(name) => {
                    self.serving.refresh_group(&inputs, name);
                    self.versions_changed = ctx.now;
                }
                Key::Model(_) | Key::Upgrade(_) => self.versions_changed = ctx.now,
                Key::Duty(domain) => self.on_duty(ctx, view, domain),
                _ => {}
            }
        }
        self.schedule_plans(ctx);
    }

    /// Handles changes in the health of hosts.
    pub fn on_hosts(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        hosts: &Hosts,
        _members: &Members,
        changed: &[HostName],
    ) {
        let inputs = ServingInputs {
            view,
            hosts,
            options: ctx.options,
        };
        let mut health_changed = false;
        for host in changed {
            if !self.serving.refresh_host(&inputs, ctx.now, host) {
                continue;
            }
            health_changed = true;
            for driver in self.drivers() {
                driver.runners.invalidate(host);
            }
        }
        if health_changed {
            self.schedule_plans(ctx);
        }
    }

    /// Handles an expired timer.
    pub fn on_timer(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        hosts: &Hosts,
        members: &Members,
        requests: &Requests,
        timer: GroupTimer,
    ) {
        let core = CoreState {
            view,
            hosts,
            members,
            requests,
        };
        match timer {
            GroupTimer::Duty if self.stopping => self.release_duties(ctx),
            GroupTimer::Duty => {
                let inputs = ServingInputs {
                    view,
                    hosts,
                    options: ctx.options,
                };
                self.serving.on_tick(&inputs, ctx.now);
                self.update_domains(view);
                let names: Vec<DomainName> = self.domains.keys().cloned().collect();
                for name in &names {
                    self.update_duty(ctx, &core, name);
                    self.drive(ctx, &core, name);
                }
                self.finish_upgrade(ctx, view);
                ctx.set_timer(Timer::Group(GroupTimer::Duty), TICK_INTERVAL);
            }
            GroupTimer::Plan(domain) => self.drive(ctx, &core, &domain),
        }
    }

    /// Handles the answer to a platform call made for groups; `None` means that the call failed.
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
        let change = if domain.duty.waits_for(id) {
            domain.duty.on_platform(ctx, name, answer)
        } else {
            domain.on_record_answer(ctx, name, answer, &mut self.counters)
        };
        domain.on_duty_change(ctx, name, change);
        self.duties_lost += u64::from(change == DutyChange::Lost);
        ctx.set_timer(Timer::Group(GroupTimer::Plan(name.clone())), BATCH_DELAY);
    }

    /// Handles the outcome of an order.
    #[expect(
        clippy::too_many_arguments,
        reason = "an event and the state needed to handle it"
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
            let counters = &mut self.counters.orders;
            let later_fence = driver
                .runners
                .on_ordered(ctx, order, &host, &outcome, counters);
            if later_fence.is_some_and(|fence| fence > driver.fence()) {
                let change =
                    domain
                        .duty
                        .mark_lost(ctx, name, "a runner reported a later fencing number");
                domain.on_duty_change(ctx, name, change);
                self.duties_lost += 1;
            }
            ctx.set_timer(Timer::Group(GroupTimer::Plan(name.clone())), BATCH_DELAY);
        }
    }

    /// Handles the answer to a read of what a runner holds.
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
                ctx.set_timer(Timer::Group(GroupTimer::Plan(name.clone())), BATCH_DELAY);
            }
        }
    }

    /// Handles a message from another daemon.
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
                    driver.drains.on_ack(from, epoch);
                }
            }
            GroupMessage::AskDrained {
                domain,
                group,
                epoch,
                revision,
            } => {
                let query = DrainQuery {
                    domain: &domain,
                    group: &group,
                    epoch,
                    revision,
                };
                if !query.is_drained(view, &self.serving, requests) {
                    return;
                }
                if let Some(address) = members.address(from, None) {
                    let answer = GroupMessage::Drained { group, epoch };
                    ctx.send_datagram(address, Message::Group(answer));
                }
            }
        }
    }

    /// Releases the duties of this daemon, so that other daemons can take over.
    pub fn on_stop(&mut self, ctx: &mut Ctx) {
        self.stopping = true;
        self.release_duties(ctx);
    }

    fn drivers(&mut self) -> impl Iterator<Item = &mut Driver> {
        self.domains.values_mut().filter_map(|d| d.driver.as_mut())
    }

    /// Schedules a planning pass for each driven domain, after the events that arrive together.
    fn schedule_plans(&mut self, ctx: &mut Ctx) {
        for driver in self.drivers() {
            let timer = GroupTimer::Plan(driver.domain().clone());
            ctx.set_timer(Timer::Group(timer), BATCH_DELAY);
        }
    }
}
