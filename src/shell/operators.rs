//! The gRPC side towards operators.

use {
    super::Inbox,
    crate::{
        core::{keys::CommandId, output::OperatorAnswer},
        settings::Settings,
    },
    compio::net::TcpListener,
};

/// Operators' open requests.
pub struct Operators {}

impl Operators {
    /// Serves operators until the loop ends.
    pub fn start(_listener: TcpListener, _inbox: Inbox, _settings: &Settings) -> Self {
        Self {}
    }

    /// Answers an operator.
    pub fn perform(&self, _command: CommandId, _answer: OperatorAnswer) {}
}
