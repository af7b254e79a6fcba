//! Hands the outputs of a few cores to each other, in virtual time.

use crate::{fakes::kv::FakeKv, runner};
use hickoryledge::{
    core::{
        Core,
        ctx::Identity,
        input::{
            HostEntry, HostsInput, Input, LoadReport, OrderChecks, OrderOutcome, PeerInput,
            PlatformInput, RunnerInput, RunnerKind,
        },
        keys::{HostName, Incarnation, Owner, PlatformId},
        member::{MemberMessage, News},
        message::Message,
        options::Options,
        output::{Output, PlatformCall, RunnerOutput, Transport},
        time::{Span, Time},
        timer::Timer,
    },
    wire::envelope::{Channel, Sealer, context},
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{Ipv4Addr, SocketAddr},
};

/// What a datagram costs besides its frame, in bytes.
const UDP_BYTES: u64 = 28;

/// How often the platform's service is asked what it tells by itself.
const POLL: Span = Span::from_millis(10);

/// One daemon.
pub struct SimDaemon {
    pub core: Core,
    pub me: Identity,
    pub is_up: bool,
    pub is_paused: bool,
    pub reaches_platform: bool,
    pub sent: Traffic,
    pub received: Traffic,
    pub cpu_time: std::time::Duration,
    /// Outputs other than messages, timers and platform calls.
    pub out: Vec<Output>,
    timers: HashMap<Timer, Time>,
    backlog: Vec<Input>,
    sealer: Sealer,
}

/// The runner on a host.
#[derive(Default)]
pub struct Runner {
    pub engine: runner::Runner,
    pub report: LoadReport,
}

/// Bytes sent, by what they were for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Probes, their answers and news of daemons.
    pub membership: u64,
    /// Load digests and news of hosts.
    pub digests: u64,
    /// Configuration.
    pub config: u64,
    /// Groups.
    pub groups: u64,
}

impl Traffic {
    fn add(&mut self, message: &Message, bytes: u64) {
        let kind = match message {
            Message::Member(MemberMessage::Spread { news, .. }) => match news {
                News::Daemon(_) => &mut self.membership,
                News::Leaving(_) | News::Load(_) => &mut self.digests,
            },
            Message::Member(_) => &mut self.membership,
            Message::Config(_) => &mut self.config,
            Message::Group(_) => &mut self.groups,
        };
        *kind += bytes;
    }
}

/// The cores and what is on its way between them.
pub struct Net {
    pub now: Time,
    pub daemons: Vec<SimDaemon>,
    pub loss: f64,
    pub delay: (Span, Span),
    pub options: Options,
    cut: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Time, u64), (usize, Incarnation, Input)>,
    drawn: u64,
    rng: SmallRng,
    pub kv: FakeKv,
    pub registry_calls: u64,
    /// Load reports asked for.
    pub load_reads: u64,
    pub runners: BTreeMap<HostName, Runner>,
    polled: Time,
}

pub fn peer(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + index as u16))
}

/// A host of the domain that its name begins with.
fn host_entry(host: &HostName) -> HostEntry {
    let (domain, _) = host.as_str().split_once('-').expect("a domain's host");
    HostEntry {
        host: host.clone(),
        hall: "one".into(),
        domain: domain.into(),
        address: peer(900),
        accelerators: 4,
        kind: RunnerKind::Engine,
        leaving: false,
        checks: OrderChecks::Fenced,
    }
}

impl Net {
    pub fn new(count: usize, seed: u64, options: Options) -> Self {
        let mut net = Self {
            now: Time(0),
            daemons: Vec::new(),
            loss: 0.0,
            delay: (Span::from_millis(1), Span::from_millis(3)),
            options,
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            drawn: 0,
            rng: SmallRng::seed_from_u64(seed),
            kv: FakeKv::default(),
            registry_calls: 0,
            load_reads: 0,
            runners: BTreeMap::new(),
            polled: Time(0),
        };
        for index in 0..count {
            let node = net.make(index, &format!("d{index:03}"), 1);
            net.daemons.push(node);
        }
        net
    }

    /// Starts every daemon.
    pub fn start(&mut self) {
        for index in 0..self.daemons.len() {
            self.step(index, Input::Start);
        }
    }

    /// Starts another run on a node, under this name.
    pub fn restart(&mut self, index: usize, name: &str, run: u64) {
        self.daemons[index] = self.make(index, name, run);
        self.step(index, Input::Start);
        self.list_hosts(index);
    }

    pub fn kill(&mut self, index: usize) {
        self.daemons[index].is_up = false;
    }

    pub fn pause(&mut self, index: usize) {
        self.daemons[index].is_paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.daemons[index].is_paused = false;
        for input in std::mem::take(&mut self.daemons[index].backlog) {
            self.step(index, input);
        }
    }

    /// Cuts or mends the way from one node to another, one way.
    pub fn cut(&mut self, from: usize, to: usize, is_cut: bool) {
        if is_cut {
            self.cut.insert((from, to));
        } else {
            self.cut.remove(&(from, to));
        }
    }

    /// Cuts or mends every way between the nodes before `at` and the others.
    pub fn split(&mut self, at: usize, is_cut: bool) {
        for a in 0..at {
            for b in at..self.daemons.len() {
                self.cut(a, b, is_cut);
                self.cut(b, a, is_cut);
            }
        }
    }

    pub fn platform(&mut self, is_heard: bool) {
        for node in &mut self.daemons {
            node.reaches_platform = is_heard;
        }
    }

    /// Adds hosts to a domain, in the list that every daemon reads.
    pub fn add_hosts(&mut self, domain: &str, count: usize) {
        for index in 0..count {
            let name = format!("{domain}-{index:03}");
            self.runners.insert(name.as_str().into(), Runner::default());
        }
        for index in 0..self.daemons.len() {
            self.list_hosts(index);
        }
    }

    /// Hands the list of hosts to a daemon.
    fn list_hosts(&mut self, index: usize) {
        let entries: Vec<HostEntry> = self.runners.keys().map(host_entry).collect();
        let input = HostsInput::Listed(entries);
        self.step(index, Input::Hosts(input));
    }

    /// Asks for groups of so many hosts in a domain, so that somebody drives it.
    pub fn put_groups(&mut self, domain: &str, count: usize, size: u16) {
        let model = serde_json::json!({ "name": "m", "version": "1" });
        let store = &mut self.kv.store;
        store.put(
            "/hickoryledge/config/model/m",
            &model.to_string(),
            None,
            None,
        );
        for index in 0..count {
            let name = format!("{domain}-{index}");
            let key = format!("/hickoryledge/config/group/{name}");
            let group = serde_json::json!({
                "name": name, "model": "m", "domain": domain, "size": size,
            });
            store.put(&key, &group.to_string(), None, None);
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Span) {
        self.run_until(span, |_| false);
    }

    /// Lets time pass until something holds; the time it took, unless it never held.
    pub fn run_until<F>(&mut self, span: Span, holds: F) -> Option<Span>
    where
        F: Fn(&Net) -> bool,
    {
        let (began, end) = (self.now, self.now + span);
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), (index, run, input)) = entry.remove_entry();
            self.now = at;
            self.poll();
            let node = &mut self.daemons[index];
            if !node.is_up || node.me.incarnation != run {
                continue;
            }
            if let Input::Timer(timer) = &input
                && node.timers.get(timer) != Some(&at)
            {
                continue;
            }
            if node.is_paused {
                node.backlog.push(input);
                continue;
            }
            self.step(index, input);
            if holds(self) {
                return Some(self.now.since(began));
            }
        }
        self.now = end;
        None
    }

    /// Hands one input to a core, and its outputs on.
    pub fn step(&mut self, index: usize, input: Input) {
        let mut out = Vec::new();
        let node = &mut self.daemons[index];
        let began = std::time::Instant::now();
        node.core.step(self.now, input, &mut out);
        node.cpu_time += began.elapsed();
        for output in out {
            self.perform(index, output);
        }
    }

    fn make(&self, index: usize, name: &str, run: u64) -> SimDaemon {
        let me = Identity {
            name: name.into(),
            incarnation: Incarnation(run),
            region: "north".into(),
            hall: "one".into(),
            caller: SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000 + index as u16)),
            peer: peer(index),
            seeds: vec![peer(0), peer(1)],
            secret: 1,
        };
        let seed = 77 * run + index as u64;
        SimDaemon {
            core: Core::new(me.clone(), self.options.clone(), seed),
            sealer: Sealer::new([0; 32], me.name.clone(), me.incarnation),
            me,
            is_up: true,
            is_paused: false,
            reaches_platform: true,
            sent: Traffic::default(),
            received: Traffic::default(),
            cpu_time: std::time::Duration::ZERO,
            out: Vec::new(),
            timers: HashMap::new(),
            backlog: Vec::new(),
        }
    }

    fn perform(&mut self, index: usize, output: Output) {
        match output {
            Output::SetTimer { timer, at } => {
                let at = at.max(self.now);
                self.daemons[index].timers.insert(timer.clone(), at);
                self.queue_at(at, index, Input::Timer(timer));
            }
            Output::Peer {
                to,
                transport,
                message,
            } => self.send(index, to, transport, message),
            Output::Platform { id, call } => self.call(index, id, call),
            Output::Runner(output) => self.ask_runner(index, output),
            output => self.daemons[index].out.push(output),
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, transport: Transport, message: Message) {
        let index = usize::from(to.port()) - 10_000;
        let frame = self.daemons[from]
            .sealer
            .seal(Channel::Datagram, &context(to), &message);
        let bytes = frame.len() as u64 + UDP_BYTES;
        self.daemons[from].sent.add(&message, bytes);
        let is_stream = transport == Transport::Stream || frame.len() > 1_200;
        let is_lost = !is_stream && self.rng.random_bool(self.loss);
        let is_dead = self.daemons.get(index).is_none_or(|node| !node.is_up);
        let at = self.now + self.latency();
        if is_dead || is_lost || self.cut.contains(&(from, index)) {
            if is_stream {
                let input = PeerInput::Undelivered { address: to };
                self.queue_at(at, from, Input::Peer(input));
            }
            return;
        }
        self.daemons[index].received.add(&message, bytes);
        let input = PeerInput::Received {
            from: self.daemons[from].me.name.clone(),
            incarnation: self.daemons[from].me.incarnation,
            address: peer(from),
            message,
        };
        self.queue_at(at, index, Input::Peer(input));
    }

    fn latency(&mut self) -> Span {
        Span(self.rng.random_range(self.delay.0.0..=self.delay.1.0))
    }

    fn queue_at(&mut self, at: Time, index: usize, input: Input) {
        self.drawn += 1;
        let run = self.daemons[index].me.incarnation;
        self.queue.insert((at, self.drawn), (index, run, input));
    }

    fn call(&mut self, index: usize, id: PlatformId, call: PlatformCall) {
        self.registry_calls += u64::from(id.owner == Owner::Member);
        let at = self.now + self.latency();
        let answer = if self.daemons[index].reaches_platform {
            self.kv.call(self.now, index, id, call)
        } else {
            Some(PlatformInput::Failed { id })
        };
        if let Some(input) = answer {
            self.queue_at(at, index, Input::Platform(input));
        }
    }

    /// Hands over what the platform's service tells by itself.
    fn poll(&mut self) {
        if self.now.since(self.polled) < POLL {
            return;
        }
        self.polled = self.now;
        for (index, input) in self.kv.poll(self.now) {
            let node = &self.daemons[index];
            if node.is_up && node.reaches_platform {
                self.queue_at(self.now + POLL, index, Input::Platform(input));
            }
        }
    }

    /// Does what is asked of a runner; a dead one answers too, by its silence.
    fn ask_runner(&mut self, index: usize, output: RunnerOutput) {
        let now = self.now;
        let input = match output {
            RunnerOutput::ReadLoad { host, .. } => {
                self.load_reads += 1;
                let runner = self.runners.get(&host).filter(|r| r.engine.up);
                let report = runner.map(|r| r.report.clone());
                RunnerInput::Load { host, report }
            }
            RunnerOutput::ReadHolding { host, .. } => {
                let runner = self.runners.get_mut(&host).filter(|r| r.engine.up);
                let holding = runner.map(|r| r.engine.holding(now));
                RunnerInput::Holding { host, holding }
            }
            RunnerOutput::Order {
                order,
                host,
                action,
                fence,
                ..
            } => {
                let runner = self.runners.get_mut(&host).filter(|r| r.engine.up);
                let outcome =
                    runner.map_or(OrderOutcome::Lost, |r| r.engine.order(now, fence, action));
                RunnerInput::Ordered {
                    order,
                    host,
                    outcome,
                }
            }
            output => {
                self.daemons[index].out.push(Output::Runner(output));
                return;
            }
        };
        let at = self.now + self.latency();
        self.queue_at(at, index, Input::Runner(input));
    }
}
