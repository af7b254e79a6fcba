//! A runner in memory: it loads, drains and runs, and counts the work cut.

#![allow(dead_code)]

use hickoryledge::core::{
    input::{Holding, OrderChecks, OrderOutcome},
    keys::{Epoch, Fence},
    output::OrderAction,
    time::{Span, Time},
};

pub struct Runner {
    pub up: bool,
    pub checks: OrderChecks,
    /// Whether an order for an earlier epoch changes nothing.
    pub orders_epochs: bool,
    /// Whether a drained runner refuses new work.
    pub obeys_drain: bool,
    pub load_time: Span,
    pub holding: Holding,
    pub loaded_at: Time,
    /// Ends of the work under way.
    pub work: Vec<Time>,
    pub cut: usize,
    pub orders: Vec<(Time, Fence, OrderAction)>,
}

impl Default for Runner {
    fn default() -> Self {
        Self {
            up: true,
            checks: OrderChecks::Fenced,
            orders_epochs: true,
            obeys_drain: true,
            load_time: Span::from_secs(2),
            holding: Holding::default(),
            loaded_at: Time(u64::MAX),
            work: Vec::new(),
            cut: 0,
            orders: Vec::new(),
        }
    }
}

impl Runner {
    pub fn holding(&mut self, now: Time) -> Holding {
        self.work.retain(|end| *end > now);
        let mut holding = self.holding.clone();
        holding.ready = holding.group.is_some() && now >= self.loaded_at;
        holding.running = self.work.len() as u32;
        holding
    }

    /// Takes work for an epoch; false if it is declined as not run.
    pub fn work(&mut self, now: Time, epoch: Epoch, lasts: Span) -> bool {
        let holding = self.holding(now);
        let closed = holding.draining && self.obeys_drain;
        if !self.up || closed || !holding.ready || holding.epoch != epoch {
            return false;
        }
        self.work.push(now + lasts);
        true
    }

    pub fn restart(&mut self, now: Time) {
        self.up = false;
        self.end_work(now);
        self.holding = Holding::default();
    }

    pub fn order(&mut self, now: Time, fence: Fence, action: OrderAction) -> OrderOutcome {
        self.orders.push((now, fence, action.clone()));
        let highest = self.holding.fence;
        if self.checks == OrderChecks::Fenced && fence < highest {
            return OrderOutcome::Stale { fence: highest };
        }
        self.holding.fence = highest.max(fence);
        let epoch = match &action {
            OrderAction::Load { epoch, .. }
            | OrderAction::Drain { epoch }
            | OrderAction::Unload { epoch } => *epoch,
        };
        if self.orders_epochs && epoch < self.holding.epoch {
            return OrderOutcome::Rejected("a later epoch is held".to_owned());
        }
        match action {
            OrderAction::Load {
                group,
                epoch,
                model,
                version,
                adapters,
                ..
            } => {
                let same = self.holding.group.as_ref() == Some(&group);
                if same && self.holding.epoch == epoch {
                    return OrderOutcome::Done;
                }
                self.end_work(now);
                self.holding = Holding {
                    group: Some(group),
                    epoch,
                    model: Some(model),
                    version: Some(version),
                    adapters,
                    fence: self.holding.fence,
                    ..Holding::default()
                };
                self.loaded_at = now + self.load_time;
            }
            OrderAction::Drain { .. } => self.holding.draining = true,
            OrderAction::Unload { epoch } => {
                self.end_work(now);
                self.holding = Holding {
                    epoch,
                    fence: self.holding.fence,
                    ..Holding::default()
                };
            }
        }
        OrderOutcome::Done
    }

    fn end_work(&mut self, now: Time) {
        self.work.retain(|end| *end > now);
        self.cut += self.work.len();
        self.work.clear();
    }
}
