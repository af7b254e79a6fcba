//! Context that the parts of the decision logic get with each event.

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
    /// Identity of this daemon.
    pub struct Identity {
        /// Name, the same in every run.
        pub name: DaemonName,
        /// Incarnation, larger than that of any earlier run.
        pub incarnation: Incarnation,
        /// Region of the daemon.
        pub region: RegionName,
        /// Hall of the daemon.
        pub hall: HallName,
        /// Address for callers.
        pub caller: SocketAddr,
        /// Address for other daemons, for both UDP and TCP.
        pub peer: SocketAddr,
        /// Addresses of the daemons to contact first.
        pub seeds: Vec<SocketAddr>,
        /// Secret that signs tickets; shared with no other daemon.
        pub secret: u64,
    }
}

/// State that a daemon keeps between events besides that of its parts.
#[derive(Debug)]
pub(super) struct CtxState {
    /// Identity of this daemon.
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

/// Context of one event: the time, the outputs, and the sources of identifiers and randomness.
pub struct Ctx<'a> {
    /// Time of the event.
    pub now: Time,
    /// Identity of this daemon.
    pub me: &'a Identity,
    /// Options of the decision logic.
    pub options: &'a Options,
    /// The only source of randomness.
    pub rng: &'a mut SmallRng,
    /// Last identifier assigned.
    pub last_id: &'a mut u64,
    /// Outputs for the shell, in order.
    pub out: &'a mut Vec<Output>,
}

impl Ctx<'_> {
    /// Appends an output.
    pub fn push(&mut self, output: Output) {
        self.out.push(output);
    }

    /// Sets a timer, replacing an earlier setting of the same timer.
    pub fn set_timer(&mut self, timer: Timer, after: Span) {
        let at = self.now + after;
        self.push(Output::SetTimer { timer, at });
    }

    /// Calls the platform's store and returns the identifier of the call.
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

    /// Sends a message of any size; a failed delivery is reported.
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

    /// Returns a new identifier for an attempt.
    pub fn new_attempt_id(&mut self) -> AttemptId {
        AttemptId(self.next_id())
    }

    /// Returns a new identifier for an order.
    pub fn new_order_id(&mut self) -> OrderId {
        OrderId(self.next_id())
    }

    /// Returns a new identifier for an operation, chosen at random so that daemons don't collide.
    pub fn new_operation_id(&mut self) -> OperationId {
        OperationId(self.rng.next_u64())
    }

    /// Returns a number that hasn't been returned before in this run.
    pub fn next_id(&mut self) -> u64 {
        *self.last_id += 1;
        *self.last_id
    }
}
