//! Requests: admission, routing, attempts, and answering each once and whole.

pub mod ticket;

use super::{
    config::View,
    count::Count,
    ctx::Ctx,
    group::Groups,
    input::{CallInput, PlatformAnswer, RunnerInput},
    keys::{HostName, PlatformId},
    member::{Hosts, Members},
    timer::RequestTimer,
};

/// What requests are decided by.
#[derive(Clone, Copy, Debug)]
pub struct Site<'a> {
    /// The records in force.
    pub view: &'a View,
    /// The other daemons.
    pub members: &'a Members,
    /// The runner hosts.
    pub hosts: &'a Hosts,
    /// The groups.
    pub groups: &'a Groups,
}

/// The requests open on this daemon.
#[derive(Debug, Default)]
pub struct Requests {}

/// Queries.
impl Requests {
    /// How many requests are open.
    pub fn open(&self) -> usize {
        0
    }

    /// Adds what this part has counted.
    pub fn counts(&self, _counts: &mut Vec<Count>) {}
}

/// Commands.
impl Requests {
    /// Starts the timers that always run.
    pub fn on_start(&mut self, _ctx: &mut Ctx) {}

    /// Takes an event from a caller.
    pub fn on_call(&mut self, _ctx: &mut Ctx, _site: &Site, _input: CallInput) {}

    /// Takes an event of an attempt; returns hosts found silent even on a fresh connection.
    pub fn on_runner(
        &mut self,
        _ctx: &mut Ctx,
        _site: &Site,
        _input: RunnerInput,
    ) -> Vec<HostName> {
        Vec::new()
    }

    /// Takes a timer; returns hosts found silent even on a fresh connection.
    pub fn on_timer(
        &mut self,
        _ctx: &mut Ctx,
        _site: &Site,
        _timer: RequestTimer,
    ) -> Vec<HostName> {
        Vec::new()
    }

    /// Takes the answer to a platform call of this part; nothing means that it failed.
    pub fn on_platform(
        &mut self,
        _ctx: &mut Ctx,
        _site: &Site,
        _id: PlatformId,
        _answer: Option<PlatformAnswer>,
    ) {
    }

    /// Looks again at what waits, after groups, hosts or records have changed.
    pub fn on_site(&mut self, _ctx: &mut Ctx, _site: &Site) {}

    /// Refuses new requests, and asks for the exit once the open ones have ended.
    pub fn on_stop(&mut self, _ctx: &mut Ctx, _site: &Site) {}
}
