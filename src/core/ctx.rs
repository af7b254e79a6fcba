//! What every part of the decision logic is handed with an event.

use super::{
    keys::{
        AttemptId, DaemonName, HallName, Incarnation, OperationId, OrderId, Owner, PlatformId,
        RegionName,
    },
    message::Message,
    options::Options,
    output::{Event, Level, Output, PlatformCall, Transport},
    time::{Span, Time},
    timer::Timer,
};
use rand::{RngCore, SeedableRng, rngs::SmallRng};
use std::net::SocketAddr;

crate::record! {
    /// Who this daemon is.
    pub struct Identity {
        /// Its name, the same in every run.
        pub name: DaemonName,
        /// This run; larger than any before.
        pub incarnation: Incarnation,
        /// Its region.
        pub region: RegionName,
        /// Its hall.
        pub hall: HallName,
        /// Its address for callers.
        pub caller: SocketAddr,
        /// Its address for other daemons, UDP and TCP alike.
        pub peer: SocketAddr,
        /// Addresses of daemons to ask first.
        pub seeds: Vec<SocketAddr>,
        /// Signs tickets; shared by no other daemon.
        pub secret: u64,
    }
}

/// What a daemon keeps between events besides its parts.
#[derive(Debug)]
pub(super) struct CtxState {
    /// Who this daemon is.
    pub(super) me: Identity,
    options: Options,
    rng: SmallRng,
    last_id: u64,
}

impl CtxState {
    pub(super) fn new(me: Identity, options: Options, seed: u64) -> Self {
        Self {
            me,
            options,
            rng: SmallRng::seed_from_u64(seed),
            last_id: 0,
        }
    }

    pub(super) fn ctx<'a>(&'a mut self, now: Time, out: &'a mut Vec<Output>) -> Ctx<'a> {
        Ctx {
            now,
            me: &self.me,
            options: &self.options,
            rng: &mut self.rng,
            last_id: &mut self.last_id,
            out,
        }
    }
}

/// The time, the way out, and the sources of identifiers and chance.
pub struct Ctx<'a> {
    /// The time of the event.
    pub now: Time,
    /// Who this daemon is.
    pub me: &'a Identity,
    /// What may be tuned.
    pub options: &'a Options,
    /// The one source of chance.
    pub rng: &'a mut SmallRng,
    /// The last number drawn for an identifier.
    pub last_id: &'a mut u64,
    /// What the shell is to do, in order.
    pub out: &'a mut Vec<Output>,
}

impl Ctx<'_> {
    /// Asks for something.
    pub fn push(&mut self, output: Output) {
        self.out.push(output);
    }

    /// Sets a timer, replacing the same one set before.
    pub fn set_timer(&mut self, timer: Timer, after: Span) {
        let at = self.now + after;
        self.push(Output::SetTimer { timer, at });
    }

    /// Calls the platform's service, and returns the call's name.
    pub fn call_platform(&mut self, owner: Owner, call: PlatformCall) -> PlatformId {
        let id = PlatformId {
            owner,
            number: self.next_id(),
        };
        self.push(Output::Platform { id, call });
        id
    }

    /// Sends a message that may be lost.
    pub fn send_datagram(&mut self, to: SocketAddr, message: Message) {
        self.push(Output::Peer {
            to,
            transport: Transport::Datagram,
            message,
        });
    }

    /// Sends a message of any size; an undelivered one is reported.
    pub fn send_stream(&mut self, to: SocketAddr, message: Message) {
        self.push(Output::Peer {
            to,
            transport: Transport::Stream,
            message,
        });
    }

    /// Logs a change of state.
    pub fn log<S, D>(&mut self, level: Level, kind: &str, subject: S, detail: D)
    where
        S: ToString,
        D: Into<String>,
    {
        self.push(Output::Log(Event {
            level,
            kind: kind.to_owned(),
            subject: subject.to_string(),
            detail: detail.into(),
        }));
    }

    /// A new attempt's identifier.
    pub fn new_attempt_id(&mut self) -> AttemptId {
        AttemptId(self.next_id())
    }

    /// A new order's identifier.
    pub fn new_order_id(&mut self) -> OrderId {
        OrderId(self.next_id())
    }

    /// A new operation's identifier, unlike any other daemon's.
    pub fn new_operation_id(&mut self) -> OperationId {
        OperationId(self.rng.next_u64())
    }

    /// A number not drawn before in this run.
    pub fn next_id(&mut self) -> u64 {
        *self.last_id += 1;
        *self.last_id
    }
}
