//! Orders: making runners hold what the record says.
//!
//! What a runner holds is read back, never assumed: after an order, after a
//! lost answer, and now and then. An order carries the fencing number and the
//! epoch; epochs grow, so a late or repeated order changes nothing.

use super::{
    super::{
        config::record::{PlacedGroup, Placement, Stage},
        ctx::Ctx,
        input::{Holding, OrderOutcome},
        keys::{DomainName, Epoch, Fence, GroupName, HostName, ModelName, OrderId, VersionName},
        member::{Health, Host, Hosts},
        output::{Level, OrderAction, Output, RunnerOutput},
        time::{Span, Time},
    },
    check,
};
use std::collections::{BTreeMap, BTreeSet};

/// How long an order may take to have its effect, or never to have one.
pub(super) const ORDER_TIMEOUT: Span = Span::from_secs(3);

/// How often a runner is asked while something is awaited of it.
const POLL: Span = Span::from_millis(250);

/// How often a runner is asked when nothing is awaited of it.
const AUDIT: Span = Span::from_secs(20);

/// The longest wait for the weight store that is worked out ahead.
const MAX_WAIT: Span = Span::from_secs(1);

/// How long after a rejected order the next one waits.
const REJECTED_PAUSE: Span = Span::from_secs(2);

/// What the record wants of one host.
#[derive(Clone, Debug, PartialEq)]
enum Task<'a> {
    /// Hold a placement.
    Hold(&'a GroupName, &'a PlacedGroup),
    /// Finish what runs for an epoch.
    Drain(Epoch),
    /// Hold nothing.
    Free,
}

/// One runner, as its duty holder knows it.
#[derive(Clone, Debug, Default)]
struct Runner {
    /// What it held when it last answered.
    holding: Option<Holding>,
    /// When that answer was asked for.
    read: Time,
    /// When the question now open was asked.
    asked: Option<Time>,
    /// The order now in flight, and when it was sent.
    order: Option<(OrderId, Time)>,
    /// No order before this.
    pause: Time,
}

/// The runners of one domain.
#[derive(Debug, Default)]
pub(super) struct Runners {
    runners: BTreeMap<HostName, Runner>,
    budget: Budget,
}

/// What was counted of orders.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OrderTally {
    pub(super) sent: u64,
    pub(super) lost: u64,
    pub(super) rejected: u64,
    pub(super) stale: u64,
}

/// What a round of orders goes by.
#[derive(Clone, Copy)]
pub(super) struct Round<'a> {
    pub(super) domain: &'a DomainName,
    pub(super) record: &'a Placement,
    pub(super) hosts: &'a Hosts,
    pub(super) fence: Fence,
    /// Orders are sent; otherwise runners are only read.
    pub(super) orders: bool,
    /// Gigabytes that one host loads of each model.
    pub(super) weights: &'a BTreeMap<ModelName, f64>,
    /// Gigabytes a second that this domain may load.
    pub(super) rate: f64,
}

/// What a domain may still load from the weight store, in gigabytes.
///
/// A load is let through while the account is not overdrawn, and charged whole.
#[derive(Debug, Default)]
struct Budget {
    left: f64,
    at: Option<Time>,
}

impl Budget {
    fn refill(&mut self, now: Time, rate: f64) {
        let since = self.at.map_or(Span::ZERO, |at| now.since(at));
        self.at = Some(now);
        self.left = (self.left + rate * since.as_secs_f64()).min(0.0);
    }

    /// How long until the next load is let through, at most [`MAX_WAIT`].
    fn wait(&self, rate: f64) -> Span {
        let secs = -self.left / rate.max(f64::MIN_POSITIVE);
        Span((secs * 1e6).min(MAX_WAIT.0 as f64) as u64)
    }

    fn charge(&mut self, gigabytes: f64) -> bool {
        if self.left < 0.0 {
            return false;
        }
        self.left -= gigabytes;
        true
    }
}

/// Queries.
impl Runners {
    /// Whether every host holds this epoch, ready.
    pub(super) fn loaded(&self, group: &GroupName, placed: &PlacedGroup) -> bool {
        placed.hosts.iter().all(|host| {
            let holding = self.holding(host);
            holding.is_some_and(|h| holds(h, group, placed.epoch) && h.ready && !h.draining)
        })
    }

    /// Whether some host has answered that it doesn't hold this epoch.
    pub(super) fn emptied(&self, group: &GroupName, placed: &PlacedGroup) -> bool {
        placed.hosts.iter().any(|host| {
            let holding = self.holding(host);
            holding.is_some_and(|h| !holds(h, group, placed.epoch))
        })
    }

    /// Whether nothing runs for this epoch on any host that is up, by answers
    /// asked for after `since`.
    pub(super) fn idle(&self, hosts: &Hosts, set: &[HostName], epoch: Epoch, since: Time) -> bool {
        set.iter().all(|host| {
            if hosts.get(host).is_none_or(|h| h.health == Health::Dead) {
                return true;
            }
            let Some(runner) = self.runners.get(host) else {
                return false;
            };
            let Some(holding) = &runner.holding else {
                return false;
            };
            let over = holding.epoch != epoch || holding.group.is_none();
            runner.read >= since && (over || holding.draining && holding.running == 0)
        })
    }

    /// What hosts hold in memory.
    pub(super) fn warm(&self) -> BTreeMap<HostName, (ModelName, VersionName)> {
        let held = self.runners.iter().filter_map(|(host, runner)| {
            let holding = runner.holding.as_ref()?;
            let loaded = (holding.model.clone()?, holding.version.clone()?);
            Some((host.clone(), loaded))
        });
        held.collect()
    }

    /// The highest epoch that any runner has told of.
    pub(super) fn highest(&self) -> i64 {
        let holdings = self.runners.values().filter_map(|r| r.holding.as_ref());
        holdings.map(|h| h.epoch.0).max().unwrap_or(0)
    }

    /// Whether an order is in flight.
    pub(super) fn busy(&self, now: Time) -> bool {
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
    /// Reads and orders what is due; gives how soon more will be, if anything is awaited.
    pub(super) fn on_round(
        &mut self,
        ctx: &mut Ctx,
        round: &Round,
        tally: &mut OrderTally,
    ) -> Option<Span> {
        self.budget.refill(ctx.now, round.rate);
        let mut soonest = None;
        let tasks = tasks(round.record);
        let present: BTreeSet<&HostName> = check::engines(round.hosts, round.domain)
            .map(|host| &host.entry.host)
            .collect();
        self.runners.retain(|host, _| present.contains(host));
        for host in check::engines(round.hosts, round.domain) {
            let task = tasks.get(&host.entry.host).unwrap_or(&Task::Free);
            let soon = self.visit(ctx, round, host, task, tally);
            soonest = earlier(soonest, soon);
        }
        soonest
    }

    /// Asks a host again soon.
    pub(super) fn doubt(&mut self, host: &HostName) {
        if let Some(runner) = self.runners.get_mut(host) {
            runner.read = Time::default();
        }
    }

    /// Takes what a runner holds.
    pub(super) fn on_holding(&mut self, host: &HostName, holding: Option<Holding>) -> bool {
        let Some(runner) = self.runners.get_mut(host) else {
            return false;
        };
        let Some(asked) = runner.asked.take() else {
            return false;
        };
        let Some(holding) = holding else {
            return false;
        };
        runner.read = asked;
        runner.holding = Some(holding);
        true
    }

    /// Takes an order's outcome; a fencing number above ours is handed back.
    pub(super) fn on_ordered(
        &mut self,
        ctx: &mut Ctx,
        order: OrderId,
        host: &HostName,
        outcome: &OrderOutcome,
        tally: &mut OrderTally,
    ) -> Option<Fence> {
        let runner = self.runners.get_mut(host)?;
        let (held, _) = runner.order?;
        if held != order {
            return None;
        }
        match outcome {
            OrderOutcome::Done => runner.order = None,
            OrderOutcome::Lost => tally.lost += 1,
            OrderOutcome::Rejected(reason) => {
                runner.order = None;
                runner.pause = ctx.now + REJECTED_PAUSE;
                tally.rejected += 1;
                ctx.log(Level::Warning, "order.rejected", host, reason.clone());
            }
            OrderOutcome::Stale { fence } => {
                runner.order = None;
                tally.stale += 1;
                return Some(*fence);
            }
        }
        runner.holding = None;
        runner.asked = None;
        None
    }

    /// Reads or orders one host; gives how soon to look at it again.
    fn visit(
        &mut self,
        ctx: &mut Ctx,
        round: &Round,
        host: &Host,
        task: &Task,
        tally: &mut OrderTally,
    ) -> Option<Span> {
        if host.health == Health::Dead {
            self.runners.remove(&host.entry.host);
            return None;
        }
        let runner = self.runners.entry(host.entry.host.clone()).or_default();
        if runner.is_ordered(ctx.now) {
            return None;
        }
        let action = runner.holding.as_ref().and_then(|h| due(task, h));
        let waits = awaits(task, runner.holding.as_ref());
        runner.ask(ctx, host, waits);
        let Some(action) = action else {
            return waits.then_some(POLL);
        };
        if !round.orders || ctx.now < runner.pause || host.health == Health::Suspect {
            return None;
        }
        if let OrderAction::Load { model, version, .. } = &action {
            let warm = runner.holds_weights(model, version);
            let size = round.weights.get(model).copied().unwrap_or(1.0);
            if !warm && !self.budget.charge(size) {
                return Some(self.budget.wait(round.rate));
            }
        }
        runner.send(ctx, host, action, round.fence);
        tally.sent += 1;
        None
    }
}

/// The shorter of two waits.
fn earlier(a: Option<Span>, b: Option<Span>) -> Option<Span> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

impl Runner {
    /// Whether an order may still take effect; a lost one is forgotten after a while.
    fn is_ordered(&mut self, now: Time) -> bool {
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

    fn ask(&mut self, ctx: &mut Ctx, host: &Host, awaits: bool) {
        let period = if awaits || self.read == Time::default() {
            POLL
        } else {
            AUDIT
        };
        if let Some(asked) = self.asked
            && ctx.now.since(asked) < ORDER_TIMEOUT
        {
            return;
        }
        if self.holding.is_some() && ctx.now.since(self.read) < period {
            return;
        }
        self.asked = Some(ctx.now);
        ctx.push(Output::Runner(RunnerOutput::ReadHolding {
            host: host.entry.host.clone(),
            address: host.entry.address,
        }));
    }

    fn send(&mut self, ctx: &mut Ctx, host: &Host, action: OrderAction, fence: Fence) {
        let order = ctx.order();
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

/// What the record wants of each host that it names.
fn tasks(record: &Placement) -> BTreeMap<&HostName, Task<'_>> {
    let mut tasks = BTreeMap::new();
    for (name, placed) in &record.groups {
        for host in &placed.hosts {
            let task = match placed.stage {
                Stage::Draining => Task::Drain(placed.epoch),
                Stage::Loading | Stage::Serving => Task::Hold(name, placed),
            };
            tasks.insert(host, task);
        }
        if let Some(next) = &placed.next {
            let hold = next.hosts.iter().map(|h| (h, Task::Hold(name, next)));
            tasks.extend(hold);
        }
    }
    for retiring in &record.retiring {
        let drain = retiring.hosts.iter();
        tasks.extend(drain.map(|h| (h, Task::Drain(retiring.epoch))));
    }
    tasks
}

/// The order that brings a runner from what it holds towards its task.
fn due(task: &Task, holding: &Holding) -> Option<OrderAction> {
    match task {
        Task::Hold(group, placed) => {
            let held = holds(holding, group, placed.epoch);
            // A serving placement is never loaded again under its own epoch.
            if held || placed.stage != Stage::Loading {
                return None;
            }
            Some(OrderAction::Load {
                group: (*group).clone(),
                epoch: placed.epoch,
                model: placed.model.clone(),
                version: placed.version.clone(),
                adapters: placed.adapters.clone(),
                members: placed.hosts.clone(),
            })
        }
        Task::Drain(epoch) => {
            let drains = holding.group.is_some() && holding.epoch == *epoch && !holding.draining;
            drains.then_some(OrderAction::Drain { epoch: *epoch })
        }
        Task::Free => {
            holding.group.as_ref()?;
            let epoch = holding.epoch;
            if !holding.draining {
                return Some(OrderAction::Drain { epoch });
            }
            (holding.running == 0).then_some(OrderAction::Unload { epoch })
        }
    }
}

/// Whether a runner's next answer is waited for.
fn awaits(task: &Task, holding: Option<&Holding>) -> bool {
    let Some(holding) = holding else {
        return true;
    };
    match task {
        Task::Hold(_, placed) => placed.stage == Stage::Loading,
        Task::Drain(epoch) => holding.epoch == *epoch,
        Task::Free => holding.group.is_some(),
    }
}

fn holds(holding: &Holding, group: &GroupName, epoch: Epoch) -> bool {
    holding.group.as_ref() == Some(group) && holding.epoch == epoch
}
