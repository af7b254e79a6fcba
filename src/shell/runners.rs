//! The HTTP side towards runners.

use {
    super::{Inbox, calls::Calls},
    crate::{
        core::{ctx::Identity, output::RunnerOutput},
        settings::Settings,
    },
    std::rc::Rc,
};

/// Connections to runners, and the attempts on them.
pub struct Runners {}

impl Runners {
    /// No connections yet.
    pub fn new(_inbox: Inbox, _calls: Rc<Calls>, _me: &Identity, _settings: &Settings) -> Self {
        Self {}
    }

    /// Carries out an output for a runner.
    pub fn perform(&self, _output: RunnerOutput) {}
}
