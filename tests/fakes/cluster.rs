//! A cluster of a few daemons in virtual time: delivers their outputs to each
//! other and to the fake platform.
//!
//! Messages and calls arrive after [`DELIVERY_DELAY`]. A daemon that is cut off
//! can't reach the platform; a paused one gets its inputs when it is resumed.

use super::kv::FakeKv;
use hickoryledge::core::{
    Core,
    ctx::Identity,
    input::{Input, OperatorInput, OperatorRequest, PeerInput},
    keys::{CommandId, Incarnation, OperationId, PlatformId},
    options::Options,
    output::{OperatorAnswer, Output, PlatformCall},
    time::{Span, Time},
    timer::Timer,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

/// Delay of every message and platform call, and the resolution of the virtual time.
pub const DELIVERY_DELAY: Span = Span::from_millis(1);

/// Input, timer or platform call to be delivered.
#[derive(Debug)]
enum Delivery {
    Input(usize, Input),
    Timer(usize, Timer),
    PlatformCall(usize, PlatformId, PlatformCall),
}

/// Daemons, and the platform that they share.
pub struct TestCluster {
    /// Virtual time.
    pub now: Time,
    /// Fake of the platform's store.
    pub kv: FakeKv,
    /// Decision logic of each daemon.
    pub cores: Vec<Core>,
    /// Answers to operators, by request.
    pub answers: BTreeMap<CommandId, OperatorAnswer>,
    /// Daemons whose calls to the platform fail.
    pub cut_off: Vec<usize>,
    /// Daemons whose inputs are held back.
    pub paused: Vec<usize>,
    held_back: Vec<Vec<Input>>,
    identities: Vec<Identity>,
    timers: Vec<HashMap<Timer, u64>>,
    deliveries: BTreeMap<(Time, u64), Delivery>,
    serial: u64,
}

impl TestCluster {
    /// Creates one daemon per entry of `halls`, none of them started.
    pub fn new(halls: &[&str], options: &Options) -> Self {
        let identities: Vec<Identity> = halls.iter().enumerate().map(identity).collect();
        let cores = identities
            .iter()
            .zip(1..)
            .map(|(me, seed)| Core::new(me.clone(), options.clone(), seed))
            .collect();
        Self {
            now: Time(0),
            kv: FakeKv::default(),
            cores,
            answers: BTreeMap::new(),
            cut_off: Vec::new(),
            paused: Vec::new(),
            held_back: vec![Vec::new(); halls.len()],
            timers: vec![HashMap::new(); halls.len()],
            identities,
            deliveries: BTreeMap::new(),
            serial: 0,
        }
    }

    /// Starts a daemon.
    pub fn start(&mut self, daemon: usize) {
        self.step(daemon, Input::Start);
    }

    /// Sends an operator's request to a daemon.
    pub fn submit(&mut self, daemon: usize, operation: u64, request: OperatorRequest) -> CommandId {
        self.serial += 1;
        let command = CommandId(self.serial);
        let operation = OperationId(operation);
        self.step(
            daemon,
            Input::Operator(OperatorInput {
                command,
                operation,
                request,
            }),
        );
        command
    }

    /// Advances the time, and makes all deliveries due within it.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + DELIVERY_DELAY;
            for (daemon, input) in self.kv.poll(self.now) {
                if !self.cut_off.contains(&daemon) {
                    self.schedule(
                        DELIVERY_DELAY,
                        Delivery::Input(daemon, Input::Platform(input)),
                    );
                }
            }
            while let Some(entry) = self.deliveries.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let serial = entry.key().1;
                let delivery = entry.remove();
                self.handle(serial, delivery);
            }
        }
    }

    /// Runs until a condition holds; returns false if it doesn't hold within `span`.
    pub fn run_until<F>(&mut self, span: Span, holds: F) -> bool
    where
        F: Fn(&Self) -> bool,
    {
        let end = self.now + span;
        while !holds(self) {
            if self.now >= end {
                return false;
            }
            self.run(DELIVERY_DELAY);
        }
        true
    }

    /// Resumes all paused daemons and gives them the inputs held back.
    pub fn resume(&mut self) {
        for daemon in std::mem::take(&mut self.paused) {
            for input in std::mem::take(&mut self.held_back[daemon]) {
                self.step(daemon, input);
            }
        }
    }

    /// Gives a daemon an input, and performs its outputs.
    pub fn step(&mut self, daemon: usize, input: Input) {
        let mut out = Vec::new();
        self.cores[daemon].step(self.now, input, &mut out);
        for output in out {
            self.perform(daemon, output);
        }
    }

    fn handle(&mut self, serial: u64, delivery: Delivery) {
        match delivery {
            Delivery::Timer(daemon, timer) => {
                let timers = &mut self.timers[daemon];
                if timers.get(&timer) == Some(&serial) {
                    timers.remove(&timer);
                    self.handle(serial, Delivery::Input(daemon, Input::Timer(timer)));
                }
            }
            Delivery::Input(daemon, input) if self.paused.contains(&daemon) => {
                self.held_back[daemon].push(input);
            }
            Delivery::Input(daemon, input) => self.step(daemon, input),
            Delivery::PlatformCall(daemon, id, call) => {
                if let Some(input) = self.kv.call(self.now, daemon, id, call) {
                    self.schedule(
                        DELIVERY_DELAY,
                        Delivery::Input(daemon, Input::Platform(input)),
                    );
                }
            }
        }
    }

    fn perform(&mut self, daemon: usize, output: Output) {
        match output {
            Output::SetTimer { timer, at } => {
                let after = at.since(self.now);
                self.schedule(after, Delivery::Timer(daemon, timer.clone()));
                self.timers[daemon].insert(timer, self.serial);
            }
            Output::Platform { id, call } => self.call_platform(daemon, id, call),
            Output::Peer { to, message, .. } => {
                let me = &self.identities[daemon];
                let input = Input::Peer(PeerInput::Received {
                    from: me.name.clone(),
                    incarnation: me.incarnation,
                    address: me.peer,
                    message,
                });
                if let Some(to) = self.identities.iter().position(|p| p.peer == to) {
                    self.schedule(DELIVERY_DELAY, Delivery::Input(to, input));
                }
            }
            Output::Operator { command, answer } => {
                self.answers.insert(command, answer);
            }
            _ => {}
        }
    }

    fn call_platform(&mut self, daemon: usize, id: PlatformId, call: PlatformCall) {
        if !self.cut_off.contains(&daemon) {
            self.schedule(DELIVERY_DELAY, Delivery::PlatformCall(daemon, id, call));
            return;
        }
        let (id, compacted) = (id, false);
        let input = match call {
            PlatformCall::Watch { .. } => {
                hickoryledge::core::input::PlatformInput::WatchEnded { id, compacted }
            }
            _ => hickoryledge::core::input::PlatformInput::Failed { id },
        };
        self.schedule(
            DELIVERY_DELAY,
            Delivery::Input(daemon, Input::Platform(input)),
        );
    }

    fn schedule(&mut self, after: Span, delivery: Delivery) {
        self.serial += 1;
        self.deliveries
            .insert((self.now + after, self.serial), delivery);
    }
}

fn identity((number, hall): (usize, &&str)) -> Identity {
    let port = number as u16 + 1;
    let peer = SocketAddr::from(([127, 0, 0, 1], port));
    Identity {
        name: format!("d{number}").into(),
        incarnation: Incarnation(1),
        region: "r".into(),
        hall: (*hall).into(),
        caller: SocketAddr::from(([127, 0, 0, 1], 1_000 + port)),
        peer,
        seeds: vec![SocketAddr::from(([127, 0, 0, 1], 1))],
        secret: 1,
    }
}
