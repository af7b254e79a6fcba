//! Group membership and weights of a simulated runner, and the orders that change them.

use std::time::{Duration, Instant};

use hickoryledge::core::{
    input::{Holding, OrderChecks},
    keys::Fence,
    output::OrderAction,
};
use serde::Deserialize;

/// Order as it is received.
#[derive(Debug, Deserialize)]
pub struct Order {
    /// Fencing number of the sender.
    pub fence: Fence,
    /// Requested action.
    pub action: OrderAction,
}

/// Outcome of an order.
pub enum OrderOutcome {
    /// The order was carried out.
    Done,
    /// The fencing number is lower than this one, the highest seen.
    Stale(Fence),
    /// The order can't be carried out, for this reason.
    Rejected(String),
}

/// Loads, drains and unloads as orders request.
pub struct Loader {
    holding: Holding,
    /// Time at which the weights have loaded.
    ready_at: Instant,
    checks: OrderChecks,
    load_time: Duration,
}

impl Loader {
    /// Creates a loader that holds nothing.
    pub fn new(checks: OrderChecks, load_time: Duration) -> Self {
        Self {
            holding: Holding::default(),
            ready_at: Instant::now(),
            checks,
            load_time,
        }
    }

    /// Returns what the runner holds now.
    pub fn holding(&self, running: u32) -> Holding {
        Holding {
            ready: self.holding.group.is_some() && Instant::now() >= self.ready_at,
            running,
            ..self.holding.clone()
        }
    }

    /// Applies an order; a runner that doesn't check fencing numbers applies stale ones too.
    pub fn apply(&mut self, order: Order) -> OrderOutcome {
        let current = self.holding.fence;
        if self.checks == OrderChecks::Fenced && order.fence < current {
            return OrderOutcome::Stale(current);
        }
        self.holding.fence = order.fence.max(current);
        match order.action {
            OrderAction::Load {
                group,
                epoch,
                model,
                version,
                adapters,
                ..
            } => {
                let is_held = self.holding.epoch == epoch
                    && self.holding.group.as_ref() == Some(&group)
                    && self.holding.version.as_ref() == Some(&version);
                if !is_held {
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
                OrderOutcome::Done
            }
            OrderAction::Drain { epoch } if epoch >= self.holding.epoch => {
                self.holding.draining = true;
                OrderOutcome::Done
            }
            OrderAction::Unload { epoch } if epoch >= self.holding.epoch => {
                self.holding = Holding {
                    fence: self.holding.fence,
                    ..Holding::default()
                };
                OrderOutcome::Done
            }
            OrderAction::Drain { .. } | OrderAction::Unload { .. } => {
                OrderOutcome::Rejected("a later epoch is held".to_owned())
            }
        }
    }
}
