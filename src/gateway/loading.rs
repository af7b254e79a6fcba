//! Loads of weights from the weight store that are thought to be under way, and the limits on them.
//!
//! Beyond a number of loads at once each takes longer, and only so many may
//! begin in a window. Before the first request loads are quick and don't count.

use super::{
    budget::LoadBudget,
    spec::{Engine, Replication},
};
use crate::core::{
    keys::{HostName, ModelName},
    time::{Span, Time},
};

/// The window of the weight store's limit on loads.
const LOAD_WINDOW: Span = Span::from_secs(5);

/// How much faster loads are before the first request.
const EARLY_LOAD_FACTOR: u64 = 10;

/// Loads under way.
#[derive(Debug)]
pub(super) struct Loading {
    loads: Vec<Load>,
    budget: LoadBudget,
}

#[derive(Debug)]
struct Load {
    host: HostName,
    model: ModelName,
    /// Its likely end.
    until: Time,
}

impl Loading {
    /// None under way.
    pub(super) fn new() -> Self {
        Self {
            loads: Vec::new(),
            budget: LoadBudget::new(LOAD_WINDOW),
        }
    }

    /// Forgets those that have ended.
    pub(super) fn expire(&mut self, now: Time) {
        self.loads.retain(|load| load.until > now);
    }

    /// Whether one more would not slow down the others.
    pub(super) fn has_room(&self, engine: &Engine) -> bool {
        self.loads.len() < engine.load_parallel as usize
    }

    /// The model that a host is loading.
    pub(super) fn model_on(&self, host: &HostName) -> Option<&ModelName> {
        let load = self.loads.iter().find(|load| load.host == *host)?;
        Some(&load.model)
    }

    /// Begins a load on each host, all or none; false if the limit forbids it.
    pub(super) fn begin(
        &mut self,
        hosts: &[HostName],
        replication: &Replication,
        engine: &Engine,
        is_busy: bool,
        now: Time,
    ) -> bool {
        let most = (engine.load_rate * LOAD_WINDOW.as_secs_f64()) as usize;
        if is_busy && !hosts.is_empty() && !self.budget.try_take(hosts.len(), most, now) {
            return false;
        }
        let time = match is_busy {
            true => replication.load,
            false => Span(replication.load.0 / EARLY_LOAD_FACTOR),
        };
        self.loads.retain(|load| !hosts.contains(&load.host));
        self.loads.extend(hosts.iter().map(|host| Load {
            host: host.clone(),
            model: replication.model.clone(),
            until: now + time,
        }));
        true
    }
}
