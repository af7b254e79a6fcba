//! The client of the platform's key-value service.

use {
    super::Inbox,
    crate::{
        core::{keys::PlatformId, output::PlatformCall},
        settings::Settings,
    },
};

/// The client.
pub struct Platform {}

impl Platform {
    /// A client of the service that the settings name.
    pub fn new(_inbox: Inbox, _settings: &Settings) -> Self {
        Self {}
    }

    /// Makes a call; its answer comes back as an input.
    pub fn perform(&self, _id: PlatformId, _call: PlatformCall) {}
}
