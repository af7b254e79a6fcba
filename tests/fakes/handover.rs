//! Hands outputs of a few cores to each other and to the fake platform.
//!
//! Everything that is handed over arrives one step of [`HOP`] later; a daemon
//! that is cut off or paused gets its inputs later or never, as the test says.

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

/// How long anything takes to arrive.
pub const HOP: Span = Span::from_millis(1);

/// What is to arrive.
#[derive(Debug)]
enum Event {
    Input(usize, Input),
    Timer(usize, Timer),
    Call(usize, PlatformId, PlatformCall),
}

/// A few daemons and one platform.
pub struct Handover {
    /// The time.
    pub now: Time,
    /// The platform's service.
    pub kv: FakeKv,
    /// The daemons.
    pub cores: Vec<Core>,
    /// Answers to operators.
    pub answers: BTreeMap<CommandId, OperatorAnswer>,
    /// Daemons that can't reach the platform.
    pub cut: Vec<usize>,
    /// Daemons that get nothing at all; what is for them is kept.
    pub paused: Vec<usize>,
    kept: Vec<Vec<Input>>,
    people: Vec<Identity>,
    timers: Vec<HashMap<Timer, u64>>,
    events: BTreeMap<(Time, u64), Event>,
    serial: u64,
}

impl Handover {
    /// As many daemons as there are halls named, none started yet.
    pub fn new(halls: &[&str], options: &Options) -> Self {
        let people: Vec<Identity> = halls.iter().enumerate().map(identity).collect();
        let cores = people
            .iter()
            .zip(1..)
            .map(|(me, seed)| Core::new(me.clone(), options.clone(), seed))
            .collect();
        Self {
            now: Time(0),
            kv: FakeKv::default(),
            cores,
            answers: BTreeMap::new(),
            cut: Vec::new(),
            paused: Vec::new(),
            kept: vec![Vec::new(); halls.len()],
            timers: vec![HashMap::new(); halls.len()],
            people,
            events: BTreeMap::new(),
            serial: 0,
        }
    }

    /// Starts one daemon.
    pub fn start(&mut self, daemon: usize) {
        self.step(daemon, Input::Start);
    }

    /// Hands an operator's request to a daemon.
    pub fn ask(&mut self, daemon: usize, operation: u64, request: OperatorRequest) -> CommandId {
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

    /// Hands over whatever is due within a span.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + HOP;
            for (daemon, input) in self.kv.poll(self.now) {
                if !self.cut.contains(&daemon) {
                    self.later(HOP, Event::Input(daemon, Input::Platform(input)));
                }
            }
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let serial = entry.key().1;
                let event = entry.remove();
                self.take(serial, event);
            }
        }
    }

    /// Runs until a condition holds; false if it doesn't within a span.
    pub fn run_until<F>(&mut self, span: Span, holds: F) -> bool
    where
        F: Fn(&Self) -> bool,
    {
        let end = self.now + span;
        while !holds(self) {
            if self.now >= end {
                return false;
            }
            self.run(HOP);
        }
        true
    }

    /// Lets every paused daemon go on with what was kept for it.
    pub fn resume(&mut self) {
        for daemon in std::mem::take(&mut self.paused) {
            for input in std::mem::take(&mut self.kept[daemon]) {
                self.step(daemon, input);
            }
        }
    }

    /// Hands one input to a daemon now.
    pub fn step(&mut self, daemon: usize, input: Input) {
        let mut out = Vec::new();
        self.cores[daemon].step(self.now, input, &mut out);
        for output in out {
            self.perform(daemon, output);
        }
    }

    fn take(&mut self, serial: u64, event: Event) {
        match event {
            Event::Timer(daemon, timer) => {
                let set = &mut self.timers[daemon];
                if set.get(&timer) == Some(&serial) {
                    set.remove(&timer);
                    self.take(serial, Event::Input(daemon, Input::Timer(timer)));
                }
            }
            Event::Input(daemon, input) if self.paused.contains(&daemon) => {
                self.kept[daemon].push(input);
            }
            Event::Input(daemon, input) => self.step(daemon, input),
            Event::Call(daemon, id, call) => {
                if let Some(input) = self.kv.call(self.now, daemon, id, call) {
                    self.later(HOP, Event::Input(daemon, Input::Platform(input)));
                }
            }
        }
    }

    fn perform(&mut self, daemon: usize, output: Output) {
        match output {
            Output::SetTimer { timer, at } => {
                let after = at.since(self.now);
                self.later(after, Event::Timer(daemon, timer.clone()));
                self.timers[daemon].insert(timer, self.serial);
            }
            Output::Platform { id, call } => self.call(daemon, id, call),
            Output::Peer { to, message, .. } => {
                let me = &self.people[daemon];
                let input = Input::Peer(PeerInput::Received {
                    from: me.name.clone(),
                    incarnation: me.incarnation,
                    address: me.peer,
                    message,
                });
                if let Some(to) = self.people.iter().position(|p| p.peer == to) {
                    self.later(HOP, Event::Input(to, input));
                }
            }
            Output::Operator { command, answer } => {
                self.answers.insert(command, answer);
            }
            _ => {}
        }
    }

    fn call(&mut self, daemon: usize, id: PlatformId, call: PlatformCall) {
        if !self.cut.contains(&daemon) {
            self.later(HOP, Event::Call(daemon, id, call));
            return;
        }
        let (id, compacted) = (id, false);
        let input = match call {
            PlatformCall::Watch { .. } => {
                hickoryledge::core::input::PlatformInput::WatchEnded { id, compacted }
            }
            _ => hickoryledge::core::input::PlatformInput::Failed { id },
        };
        self.later(HOP, Event::Input(daemon, Input::Platform(input)));
    }

    fn later(&mut self, after: Span, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + after, self.serial), event);
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
