//! Configuration: bringing the platform's records into force on this daemon.

pub mod record;
mod view;

pub use view::{Key, ROOT, Versioned, View};

use super::{
    count::Count,
    ctx::Ctx,
    input::{OperatorRequest, PlatformAnswer, WatchEvent},
    keys::{CommandId, DaemonName, OperationId, PlatformId, Revision},
    member::Members,
    timer::ConfigTimer,
};

crate::record! {
    /// Messages between the configuration parts of two daemons.
    pub enum ConfigMessage {
        /// The revision in force on the sender.
        Revision(Revision),
    }
}

/// The configuration in force, and the work of keeping it current.
#[derive(Debug, Default)]
pub struct Config {
    view: View,
}

/// Queries.
impl Config {
    /// The records in force.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Adds what this part has counted.
    pub fn counts(&self, _counts: &mut Vec<Count>) {}
}

/// Commands. Each returns the keys whose records changed.
impl Config {
    /// Starts listing and watching.
    pub fn on_start(&mut self, _ctx: &mut Ctx) -> Vec<Key> {
        Vec::new()
    }

    /// Takes the answer to a platform call of this part; nothing means that it failed.
    pub fn on_platform(
        &mut self,
        _ctx: &mut Ctx,
        _id: PlatformId,
        _answer: Option<PlatformAnswer>,
    ) -> Vec<Key> {
        Vec::new()
    }

    /// Takes changes under a watch.
    pub fn on_watched(
        &mut self,
        _ctx: &mut Ctx,
        _id: PlatformId,
        _revision: Revision,
        _events: Vec<WatchEvent>,
    ) -> Vec<Key> {
        Vec::new()
    }

    /// Starts a new watch after the old one ended.
    pub fn on_watch_ended(
        &mut self,
        _ctx: &mut Ctx,
        _id: PlatformId,
        _compacted: bool,
    ) -> Vec<Key> {
        Vec::new()
    }

    /// Takes a message of another daemon's configuration part.
    pub fn on_message(
        &mut self,
        _ctx: &mut Ctx,
        _members: &Members,
        _from: &DaemonName,
        _message: ConfigMessage,
    ) -> Vec<Key> {
        Vec::new()
    }

    /// Takes a timer.
    pub fn on_timer(
        &mut self,
        _ctx: &mut Ctx,
        _timer: ConfigTimer,
        _members: &Members,
    ) -> Vec<Key> {
        Vec::new()
    }

    /// Writes what an operator asks for; the request has been found possible.
    pub fn on_operator(
        &mut self,
        _ctx: &mut Ctx,
        _command: CommandId,
        _operation: OperationId,
        _request: OperatorRequest,
    ) {
    }
}
