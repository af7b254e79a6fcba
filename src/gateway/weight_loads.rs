//! Tracks the runners' loads of model weights from the weight store.
//!
//! The weight store has a limit on loads that run at once, beyond which each
//! takes longer, and a limit on loads that start in a window. Before the first
//! request loads are quick and don't count towards the second limit.

use super::{
    budget::LoadBudget,
    spec::{Engine, Replication},
};
use crate::core::{
    keys::{HostName, ModelName},
    time::{Span, Time},
};

/// Window of the weight store's limit on started loads.
const LOAD_WINDOW: Span = Span::from_secs(5);

/// Factor by which loads are faster before the first request.
const EARLY_SPEEDUP_FACTOR: u64 = 10;

/// Loads in progress, as estimated from the orders sent.
#[derive(Debug)]
pub(super) struct WeightLoads {
    loads: Vec<WeightLoad>,
    budget: LoadBudget,
}

#[derive(Debug)]
struct WeightLoad {
    host: HostName,
    model: ModelName,
    /// Expected end.
    until: Time,
}

impl WeightLoads {
    /// Creates a tracker without loads in progress.
    pub(super) fn new() -> Self {
        Self {
            loads: Vec::new(),
            budget: LoadBudget::new(LOAD_WINDOW),
        }
    }

    /// Drops loads whose expected end has passed.
    pub(super) fn expire(&mut self, now: Time) {
        self.loads.retain(|load| load.until > now);
    }

    /// Returns true if one more load would not slow down the others.
    pub(super) fn has_capacity(&self, engine: &Engine) -> bool {
        self.loads.len() < engine.load_parallel as usize
    }

    /// Returns the model that a host is loading.
    pub(super) fn model_on(&self, host: &HostName) -> Option<&ModelName> {
        let load = self.loads.iter().find(|load| load.host == *host)?;
        Some(&load.model)
    }

    /// Starts a load on each of the hosts, or returns false and starts none if the window's limit
    /// would be exceeded.
    pub(super) fn try_start(
        &mut self,
        hosts: &[HostName],
        replication: &Replication,
        engine: &Engine,
        has_traffic: bool,
        now: Time,
    ) -> bool {
        let max_loads = (engine.load_rate * LOAD_WINDOW.as_secs_f64()) as usize;
        if has_traffic && !hosts.is_empty() && !self.budget.try_take(hosts.len(), max_loads, now) {
            return false;
        }
        let duration = match has_traffic {
            true => replication.load,
            false => Span(replication.load.0 / EARLY_SPEEDUP_FACTOR),
        };
        self.loads.retain(|load| !hosts.contains(&load.host));
        self.loads.extend(hosts.iter().map(|host| WeightLoad {
            host: host.clone(),
            model: replication.model.clone(),
            until: now + duration,
        }));
        true
    }
}
