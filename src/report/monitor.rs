//! Statistics of a running daemon, shared between the event loop and the operators' handlers.

use std::sync::{Mutex, MutexGuard, PoisonError};

use super::{
    burn::{Report, build_report},
    objective::Objectives,
    stats::SloStats,
};
use crate::core::{Core, input::Input, output::Output, time::Time};

/// Statistics of a running daemon, from which a report can be built at any time.
#[derive(Debug, Default)]
pub struct Monitor {
    objectives: Objectives,
    stats: Mutex<SloStats>,
}

impl Monitor {
    /// Creates a monitor without recorded events.
    pub fn new(objectives: Objectives) -> Self {
        Self {
            objectives,
            stats: Mutex::default(),
        }
    }

    /// Builds the current report.
    pub fn report(&self) -> Report {
        build_report(&self.lock(), &self.objectives)
    }

    /// Records an input of the core.
    pub fn record_input(&self, now: Time, core: &Core, input: &Input) {
        self.lock().record_input(now, core, input);
    }

    /// Records the outputs that the core gave for one input.
    pub fn record_outputs(&self, now: Time, core: &Core, out: &[Output]) {
        self.lock().record_outputs(now, core, out);
    }

    fn lock(&self) -> MutexGuard<'_, SloStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
