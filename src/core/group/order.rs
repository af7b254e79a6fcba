//! Orders: reconciles what runners hold with the placement record.
//!
//! What a runner holds is read back, never assumed: after an order, after a
//! lost answer, and periodically. An order carries the fencing number and the
//! epoch; epochs only grow, so a late or repeated order has no effect.

use super::{
    super::{
        config::record::{PlacedGroup, Placement},
        ctx::Ctx,
        input::{Holding, OrderOutcome},
        keys::{DomainName, Epoch, Fence, GroupName, HostName, ModelName, OrderId, VersionName},
        member::{Health, Host, Hosts},
        output::{Level, OrderAction, Output, RunnerOutput},
        time::{Span, Time},
    },
    check,
    load_budget::LoadBudget,
    target::{Target, holds, needs_poll, next_action, targets},
};
use std::collections::{BTreeMap, BTreeSet};

/// Timeout of an order: after it, an order without an answer can no longer take effect.
pub(super) const ORDER_TIMEOUT: Span = Span::from_secs(3);

/// Interval between reads of a runner while a change of its state is expected.
const POLL_INTERVAL: Span = Span::from_millis(250);

/// Interval between reads of a runner while no change is expected.
const AUDIT_INTERVAL: Span = Span::from_secs(20);

/// Delay before the next order to a runner that rejected one.
const REJECTED_DELAY: Span = Span::from_secs(2);

/// State of one runner as known to the duty holder.
#[derive(Clone, Debug, Default)]
struct Runner {
    /// State that the runner reported last; `None` if unknown.
    holding: Option<Holding>,
    /// Time at which that report was requested.
    read_at: Time,
    /// Time at which the read now in flight was sent.
    pending_read: Option<Time>,
    /// The order in flight, and the time at which it was sent.
    order: Option<(OrderId, Time)>,
    /// Time before which no order is sent.
    paused_until: Time,
}

/// The runners of one domain.
#[derive(Debug, Default)]
pub(super) struct Runners {
    runners: BTreeMap<HostName, Runner>,
    budget: LoadBudget,
}

/// Counters of orders, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OrderCounters {
    pub(super) sent: u64,
    pub(super) lost: u64,
    pub(super) rejected: u64,
    pub(super) stale: u64,
}

/// State that orders are derived from in a pass.
#[derive(Clone, Copy)]
pub(super) struct OrderInputs<'a> {
    pub(super) domain: &'a DomainName,
    pub(super) record: &'a Placement,
    pub(super) hosts: &'a Hosts,
    pub(super) fence: Fence,
    /// If false, runners are only read.
    pub(super) send_orders: bool,
    /// Gigabytes that one host loads, by model.
    pub(super) load_sizes: &'a BTreeMap<ModelName, f64>,
    /// Rate at which this domain may load, in gigabytes per second.
    pub(super) rate: f64,
}

/// Queries.
impl Runners {
    /// Returns true if every host holds this epoch and is ready.
    pub(super) fn is_loaded(&self, group: &GroupName, placed: &PlacedGroup) -> bool {
        placed.hosts.iter().all(|host| {
            let holding = self.holding(host);
            holding.is_some_and(|h| holds(h, group, placed.epoch) && h.ready && !h.draining)
        })
    }

    /// Returns true if some host has reported that it does not hold this epoch.
    pub(super) fn is_unloaded(&self, group: &GroupName, placed: &PlacedGroup) -> bool {
        placed.hosts.iter().any(|host| {
            let holding = self.holding(host);
            holding.is_some_and(|h| !holds(h, group, placed.epoch))
        })
    }

    /// Returns true if nothing runs for this epoch on any host that is up, according to
    /// reports requested no earlier than `since`.
    pub(super) fn is_idle(
        &self,
        hosts: &Hosts,
        members: &[HostName],
        epoch: Epoch,
        since: Time,
    ) -> bool {
        members.iter().all(|host| {
            if hosts.get(host).is_none_or(|h| h.health == Health::Dead) {
                return true;
            }
            let Some(runner) = self.runners.get(host) else {
                return false;
            };
            let Some(holding) = &runner.holding else {
                return false;
            };
            let ended = holding.epoch != epoch || holding.group.is_none();
            runner.read_at >= since && (ended || holding.draining && holding.running == 0)
        })
    }

    /// Returns the weights that hosts hold in memory.
    pub(super) fn held_weights(&self) -> BTreeMap<HostName, (ModelName, VersionName)> {
        let held = self.runners.iter().filter_map(|(host, runner)| {
            let holding = runner.holding.as_ref()?;
            let loaded = (holding.model.clone()?, holding.version.clone()?);
            Some((host.clone(), loaded))
        });
        held.collect()
    }

    /// Returns the highest epoch that any runner has reported.
    pub(super) fn max_epoch(&self) -> i64 {
        let holdings = self.runners.values().filter_map(|r| r.holding.as_ref());
        holdings.map(|h| h.epoch.0).max().unwrap_or(0)
    }

    /// Returns true if an order is in flight.
    pub(super) fn is_busy(&self, now: Time) -> bool {
        let orders = self.runners.values().filter_map(|r| r.order);
        orders
            .into_iter()
            .any(|(_, sent)| now.since(sent) < ORDER_TIMEOUT)
    }

    fn holding(&self, host: &HostName) -> Option<&Holding> {
        self.runners.get(host)?.holding.as_ref()
    }
}

/// Commands.
impl Runners {
    /// Polls runners and sends orders that are due; returns the time until the next pass if a
    /// change is expected.
    pub(super) fn on_tick(
        &mut self,
        ctx: &mut Ctx,
        inputs: &OrderInputs,
        counters: &mut OrderCounters,
    ) -> Option<Span> {
        self.budget.refill(ctx.now, inputs.rate);
        let mut next_wait = None;
        let targets = targets(inputs.record);
        let present: BTreeSet<&HostName> = check::engine_hosts(inputs.hosts, inputs.domain)
            .map(|host| &host.entry.host)
            .collect();
        self.runners.retain(|host, _| present.contains(host));
        for host in check::engine_hosts(inputs.hosts, inputs.domain) {
            let target = targets.get(&host.entry.host).unwrap_or(&Target::Free);
            let wait = self.reconcile(ctx, inputs, host, target, counters);
            next_wait = min_wait(next_wait, wait);
        }
        next_wait
    }

    /// Marks what is known of a host as outdated, so that it is read again soon.
    pub(super) fn invalidate(&mut self, host: &HostName) {
        if let Some(runner) = self.runners.get_mut(host) {
            runner.read_at = Time::default();
        }
    }

    /// Handles the answer to a read; returns true if it was expected and not lost.
    pub(super) fn on_holding(&mut self, host: &HostName, holding: Option<Holding>) -> bool {
        let Some(runner) = self.runners.get_mut(host) else {
            return false;
        };
        let Some(pending_read) = runner.pending_read.take() else {
            return false;
        };
        let Some(holding) = holding else {
            return false;
        };
        runner.read_at = pending_read;
        runner.holding = Some(holding);
        true
    }

    /// Handles the outcome of an order; returns the fencing number of the runner if the order was
    /// stale.
    pub(super) fn on_ordered(
        &mut self,
        ctx: &mut Ctx,
        order: OrderId,
        host: &HostName,
        outcome: &OrderOutcome,
        counters: &mut OrderCounters,
    ) -> Option<Fence> {
        let runner = self.runners.get_mut(host)?;
        let (sent_order, _) = runner.order?;
        if sent_order != order {
            return None;
        }
        match outcome {
            OrderOutcome::Done => runner.order = None,
            OrderOutcome::Lost => counters.lost += 1,
            OrderOutcome::Rejected(reason) => {
                runner.order = None;
                runner.paused_until = ctx.now + REJECTED_DELAY;
                counters.rejected += 1;
                ctx.log(Level::Warning, "order.rejected", host, reason.clone());
            }
            OrderOutcome::Stale { fence } => {
                runner.order = None;
                counters.stale += 1;
                return Some(*fence);
            }
        }
        runner.holding = None;
        runner.pending_read = None;
        None
    }

    /// Polls one host and sends the order that it needs; returns the time until the next pass if
    /// one is needed soon.
    fn reconcile(
        &mut self,
        ctx: &mut Ctx,
        inputs: &OrderInputs,
        host: &Host,
        target: &Target,
        counters: &mut OrderCounters,
    ) -> Option<Span> {
        if host.health == Health::Dead {
            self.runners.remove(&host.entry.host);
            return None;
        }
        let runner = self.runners.entry(host.entry.host.clone()).or_default();
        if runner.has_order(ctx.now) {
            return None;
        }
        let action = runner.holding.as_ref().and_then(|h| next_action(target, h));
        let needs_poll = needs_poll(target, runner.holding.as_ref());
        runner.poll(ctx, host, needs_poll);
        let Some(action) = action else {
            return needs_poll.then_some(POLL_INTERVAL);
        };
        if !inputs.send_orders || ctx.now < runner.paused_until || host.health == Health::Suspect {
            return None;
        }
        if let OrderAction::Load { model, version, .. } = &action {
            let is_warm = runner.holds_weights(model, version);
            let size = inputs.load_sizes.get(model).copied().unwrap_or(1.0);
            if !is_warm && !self.budget.charge(size) {
                return Some(self.budget.wait(inputs.rate));
            }
        }
        runner.send(ctx, host, action, inputs.fence);
        counters.sent += 1;
        None
    }
}

/// Returns the shorter of two optional waits.
fn min_wait(a: Option<Span>, b: Option<Span>) -> Option<Span> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

impl Runner {
    /// Returns true if an order may still take effect; drops one that has timed out.
    fn has_order(&mut self, now: Time) -> bool {
        let Some((_, sent)) = self.order else {
            return false;
        };
        if now.since(sent) < ORDER_TIMEOUT {
            return true;
        }
        self.order = None;
        self.holding = None;
        false
    }

    fn holds_weights(&self, model: &ModelName, version: &VersionName) -> bool {
        self.holding
            .as_ref()
            .is_some_and(|h| h.model.as_ref() == Some(model) && h.version.as_ref() == Some(version))
    }

    /// Reads the runner's state, unless a read is in flight or the last one is recent enough.
    fn poll(&mut self, ctx: &mut Ctx, host: &Host, needs_poll: bool) {
        let interval = if needs_poll || self.read_at == Time::default() {
            POLL_INTERVAL
        } else {
            AUDIT_INTERVAL
        };
        if let Some(pending_read) = self.pending_read
            && ctx.now.since(pending_read) < ORDER_TIMEOUT
        {
            return;
        }
        if self.holding.is_some() && ctx.now.since(self.read_at) < interval {
            return;
        }
        self.pending_read = Some(ctx.now);
        ctx.push(Output::Runner(RunnerOutput::ReadHolding {
            host: host.entry.host.clone(),
            address: host.entry.address,
        }));
    }

    fn send(&mut self, ctx: &mut Ctx, host: &Host, action: OrderAction, fence: Fence) {
        let order = ctx.new_order_id();
        self.order = Some((order, ctx.now));
        ctx.push(Output::Runner(RunnerOutput::Order {
            order,
            host: host.entry.host.clone(),
            address: host.entry.address,
            action,
            fence,
            timeout: ORDER_TIMEOUT,
        }));
    }
}
