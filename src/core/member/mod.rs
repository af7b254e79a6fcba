//! Members: the other daemons, discovery for callers, and the runner hosts.

mod hosts;

pub use hosts::{Health, Host, Hosts};

use {
    super::{
        config::{Key, View},
        count::Count,
        ctx::Ctx,
        group::Groups,
        input::PlatformAnswer,
        keys::{CallId, DaemonName, HostName, Incarnation, KeyHash, ModelName, PlatformId},
        status::DaemonStatus,
        time::Time,
    },
    std::net::SocketAddr,
};

crate::record! {
    /// Messages between the membership parts of two daemons.
    pub enum MemberMessage {
        /// Asks for a sign of life.
        Probe {
            /// Names the probe in its answer.
            number: u64,
        },
        /// A sign of life.
        Alive {
            /// The probe answered.
            number: u64,
        },
    }

    /// Timers of the membership part.
    #[derive(Copy, Eq, Hash)]
    pub enum MemberTimer {
        /// The next probe is due.
        Probe,
    }
}

/// The other daemons, as far as this one knows.
#[derive(Debug, Default)]
pub struct Members {}

/// Queries.
impl Members {
    /// Whether what this daemon knows can be taken as current.
    pub fn is_fresh(&self, _now: Time) -> bool {
        true
    }

    /// The peer address of a daemon that is thought alive, if the run is the one named.
    pub fn address(
        &self,
        _daemon: &DaemonName,
        _incarnation: Option<Incarnation>,
    ) -> Option<SocketAddr> {
        None
    }

    /// The other daemons thought alive, by name.
    pub fn live(&self) -> impl Iterator<Item = (&DaemonName, SocketAddr)> {
        std::iter::empty()
    }

    /// The daemons' part of the report.
    pub fn status(&self, _view: &View) -> Vec<DaemonStatus> {
        Vec::new()
    }

    /// Adds what this part has counted.
    pub fn counts(&self, _counts: &mut Vec<Count>) {}
}

/// Commands.
impl Members {
    /// Starts probing, and registers at the platform's service.
    pub fn on_start(&mut self, _ctx: &mut Ctx) {}

    /// Notes that the platform's service has answered.
    pub fn on_platform_heard(&mut self, _now: Time) {}

    /// Notes a sign of life; false if it is from a run known to be over.
    pub fn on_heard(
        &mut self,
        _ctx: &mut Ctx,
        _from: &DaemonName,
        _incarnation: Incarnation,
        _address: SocketAddr,
    ) -> bool {
        true
    }

    /// Notes that a message over a stream could not be delivered.
    pub fn on_undelivered(&mut self, _ctx: &mut Ctx, _address: SocketAddr) {}

    /// Takes a message; returns the hosts whose health or load changed.
    pub fn on_message(
        &mut self,
        _ctx: &mut Ctx,
        _view: &View,
        _hosts: &mut Hosts,
        _from: &DaemonName,
        _message: MemberMessage,
    ) -> Vec<HostName> {
        Vec::new()
    }

    /// Takes a timer; returns the hosts whose health or load changed.
    pub fn on_timer(
        &mut self,
        _ctx: &mut Ctx,
        _view: &View,
        _hosts: &mut Hosts,
        _groups: &Groups,
        _timer: MemberTimer,
    ) -> Vec<HostName> {
        Vec::new()
    }

    /// Takes the answer to a platform call of this part; nothing means that it failed.
    pub fn on_platform(
        &mut self,
        _ctx: &mut Ctx,
        _id: PlatformId,
        _answer: Option<PlatformAnswer>,
    ) {
    }

    /// Takes changes of the records in force.
    pub fn on_config(&mut self, _ctx: &mut Ctx, _view: &View, _changed: &[Key]) {}

    /// Answers a caller who asks which daemons to use.
    pub fn on_entries(
        &mut self,
        _ctx: &mut Ctx,
        _view: &View,
        _call: CallId,
        _credential: KeyHash,
        _model: Option<ModelName>,
    ) {
    }

    /// Leaves discovery, and tells the others.
    pub fn on_stop(&mut self, _ctx: &mut Ctx, _view: &View) {}
}
