//! What a stand-in runner holds, and the orders that change it.

use std::time::{Duration, Instant};

use hickoryledge::core::{
    input::{Holding, OrderChecks},
    keys::Fence,
    output::OrderAction,
};
use serde::Deserialize;

/// An order as it comes in.
#[derive(Debug, Deserialize)]
pub struct Order {
    /// The sender's fencing number.
    pub fence: Fence,
    /// What to do.
    pub action: OrderAction,
}

/// What came of an order.
pub enum Outcome {
    /// Carried out.
    Done,
    /// The fencing number is old.
    Stale(Fence),
    /// It can't be carried out.
    Rejected(String),
}

/// What the runner holds, and when it has finished loading.
pub struct Holder {
    holding: Holding,
    ready_at: Instant,
    checks: OrderChecks,
    load_time: Duration,
}

impl Holder {
    /// Holds nothing.
    pub fn new(checks: OrderChecks, load_time: Duration) -> Self {
        Self {
            holding: Holding::default(),
            ready_at: Instant::now(),
            checks,
            load_time,
        }
    }

    /// What it holds now.
    pub fn holding(&self, running: u32) -> Holding {
        Holding {
            ready: self.holding.group.is_some() && Instant::now() >= self.ready_at,
            running,
            ..self.holding.clone()
        }
    }

    /// Takes an order. Runners that don't check fencing numbers carry out whatever comes.
    pub fn take(&mut self, order: Order) -> Outcome {
        let held = self.holding.fence;
        if self.checks == OrderChecks::Fenced && order.fence < held {
            return Outcome::Stale(held);
        }
        self.holding.fence = order.fence.max(held);
        match order.action {
            OrderAction::Load {
                group,
                epoch,
                model,
                version,
                adapters,
                ..
            } => {
                let same = self.holding.epoch == epoch
                    && self.holding.group.as_ref() == Some(&group)
                    && self.holding.version.as_ref() == Some(&version);
                if !same {
                    self.ready_at = Instant::now() + self.load_time;
                }
                self.holding = Holding {
                    group: Some(group),
                    epoch,
                    model: Some(model),
                    version: Some(version),
                    adapters,
                    draining: false,
                    ..self.holding.clone()
                };
                Outcome::Done
            }
            OrderAction::Drain { epoch } if epoch >= self.holding.epoch => {
                self.holding.draining = true;
                Outcome::Done
            }
            OrderAction::Unload { epoch } if epoch >= self.holding.epoch => {
                self.holding = Holding {
                    fence: self.holding.fence,
                    ..Holding::default()
                };
                Outcome::Done
            }
            OrderAction::Drain { .. } | OrderAction::Unload { .. } => {
                Outcome::Rejected("a later epoch is held".to_owned())
            }
        }
    }
}
