//! In-memory fake of a runner that loads, drains and runs work, and counts the work interrupted.

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
    /// Rejects orders for an epoch before the one held.
    pub checks_epochs: bool,
    /// Refuses new work while draining.
    pub respects_drain: bool,
    pub load_time: Span,
    pub holding: Holding,
    pub loaded_at: Time,
    /// End times of the running work.
    pub work: Vec<Time>,
    /// Number of work items interrupted so far.
    pub interrupted: usize,
    /// Orders received so far.
    pub orders: Vec<(Time, Fence, OrderAction)>,
}

impl Default for Runner {
    fn default() -> Self {
        Self {
            up: true,
            checks: OrderChecks::Fenced,
            checks_epochs: true,
            respects_drain: true,
            load_time: Span::from_secs(2),
            holding: Holding::default(),
            loaded_at: Time(u64::MAX),
            work: Vec::new(),
            interrupted: 0,
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

    /// Starts work for an epoch; returns false if it is refused without being run.
    pub fn work(&mut self, now: Time, epoch: Epoch, duration: Span) -> bool {
        let holding = self.holding(now);
        let refuses = holding.draining && self.respects_drain;
        if !self.up || refuses || !holding.ready || holding.epoch != epoch {
            return false;
        }
        self.work.push(now + duration);
        true
    }

    /// Stops the runner, which interrupts its work and drops what it holds.
    pub fn restart(&mut self, now: Time) {
        self.up = false;
        self.interrupt_work(now);
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
        if self.checks_epochs && epoch < self.holding.epoch {
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
                let is_same = self.holding.group.as_ref() == Some(&group);
                if is_same && self.holding.epoch == epoch {
                    return OrderOutcome::Done;
                }
                self.interrupt_work(now);
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
                self.interrupt_work(now);
                self.holding = Holding {
                    epoch,
                    fence: self.holding.fence,
                    ..Holding::default()
                };
            }
        }
        OrderOutcome::Done
    }

    fn interrupt_work(&mut self, now: Time) {
        self.work.retain(|end| *end > now);
        self.interrupted += self.work.len();
        self.work.clear();
    }
}
