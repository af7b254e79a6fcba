//! The tally of a running daemon, shared between the loop and the operators' handlers.

use std::sync::{Mutex, MutexGuard, PoisonError};

use super::{
    burn::{Report, burn},
    objective::Objectives,
    tally::Tally,
};
use crate::core::{Core, input::Input, output::Output, time::Time};

/// A running daemon's tally.
#[derive(Debug, Default)]
pub struct Monitor {
    objectives: Objectives,
    tally: Mutex<Tally>,
}

impl Monitor {
    /// Nothing counted yet.
    pub fn new(objectives: Objectives) -> Self {
        Self {
            objectives,
            tally: Mutex::default(),
        }
    }

    /// The report at this moment.
    pub fn report(&self) -> Report {
        burn(&self.lock(), &self.objectives)
    }

    /// Counts an event that the daemon is handed.
    pub fn record_input(&self, now: Time, core: &Core, input: &Input) {
        self.lock().record_input(now, core, input);
    }

    /// Counts what came of an event.
    pub fn record_outputs(&self, now: Time, core: &Core, out: &[Output]) {
        self.lock().record_outputs(now, core, out);
    }

    fn lock(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
