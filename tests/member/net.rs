//! Simulated network of a few daemon cores, in virtual time.

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
        member::{MemberMessage, Update},
        message::Message,
        options::Options,
        output::{Output, PlatformCall, RunnerOutput, Transport},
        time::{Span, Time},
        timer::Timer,
    },
    wire::envelope::{Channel, Sealer, address_context},
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{Ipv4Addr, SocketAddr},
};

/// Size of the IP and UDP headers of a datagram, in bytes.
const HEADER_BYTES: u64 = 28;

/// Interval between polls of the platform's store for its watch events.
const POLL_INTERVAL: Span = Span::from_millis(10);

/// Daemon in the simulation.
pub struct SimDaemon {
    pub core: Core,
    pub me: Identity,
    pub is_up: bool,
    pub is_paused: bool,
    pub reaches_platform: bool,
    pub sent: Traffic,
    pub received: Traffic,
    /// Time spent in the decision logic.
    pub cpu_time: std::time::Duration,
    /// Outputs that the simulation doesn't handle.
    pub outputs: Vec<Output>,
    timers: HashMap<Timer, Time>,
    /// Inputs that arrived during a pause.
    backlog: Vec<Input>,
    sealer: Sealer,
}

/// Runner on a host, with the load that it reports.
#[derive(Default)]
pub struct Runner {
    pub engine: runner::Runner,
    pub report: LoadReport,
}

/// Bytes sent or received, by purpose.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Probes, acks, table syncs and updates about daemons.
    pub membership: u64,
    /// Load digests and announcements of leaving hosts.
    pub digests: u64,
    /// Configuration messages.
    pub config: u64,
    /// Group messages.
    pub groups: u64,
}

impl Traffic {
    fn add(&mut self, message: &Message, bytes: u64) {
        let total = match message {
            Message::Member(MemberMessage::Broadcast { update, .. }) => match update {
                Update::Daemon(_) => &mut self.membership,
                Update::Leaving(_) | Update::Load(_) => &mut self.digests,
            },
            Message::Member(_) => &mut self.membership,
            Message::Config(_) => &mut self.config,
            Message::Group(_) => &mut self.groups,
        };
        *total += bytes;
    }
}

/// Daemons, the inputs queued for them, and fakes of the platform's store and the runners.
pub struct Net {
    pub now: Time,
    pub daemons: Vec<SimDaemon>,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Bounds of the random delay of a message or an answer.
    pub delay: (Span, Span),
    pub options: Options,
    /// Cut links, as sender and receiver.
    cut: BTreeSet<(usize, usize)>,
    /// Inputs in transit, by arrival; those for an earlier incarnation are dropped.
    queue: BTreeMap<(Time, u64), (usize, Incarnation, Input)>,
    sequence: u64,
    rng: SmallRng,
    pub kv: FakeKv,
    /// Number of calls to the platform's store by the membership part.
    pub registry_calls: u64,
    /// Number of load polls.
    pub load_reads: u64,
    pub runners: BTreeMap<HostName, Runner>,
    polled: Time,
}

/// Returns the peer address of the daemon at an index.
pub fn peer(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + index as u16))
}

/// Returns the entry of a host whose name starts with its domain.
fn host_entry(host: &HostName) -> HostEntry {
    let (domain, _) = host
        .as_str()
        .split_once('-')
        .expect("the name starts with a domain");
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
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            kv: FakeKv::default(),
            registry_calls: 0,
            load_reads: 0,
            runners: BTreeMap::new(),
            polled: Time(0),
        };
        for index in 0..count {
            let daemon = net.new_daemon(index, &format!("d{index:03}"), 1);
            net.daemons.push(daemon);
        }
        net
    }

    /// Starts all daemons.
    pub fn start(&mut self) {
        for index in 0..self.daemons.len() {
            self.step(index, Input::Start);
        }
    }

    /// Replaces a daemon by another incarnation, under the given name.
    pub fn restart(&mut self, index: usize, name: &str, incarnation: u64) {
        self.daemons[index] = self.new_daemon(index, name, incarnation);
        self.step(index, Input::Start);
        self.list_hosts(index);
    }

    /// Stops a daemon without notice.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index].is_up = false;
    }

    /// Pauses a daemon; its inputs are queued until it resumes.
    pub fn pause(&mut self, index: usize) {
        self.daemons[index].is_paused = true;
    }

    /// Resumes a daemon, which then handles the inputs queued during the pause.
    pub fn resume(&mut self, index: usize) {
        self.daemons[index].is_paused = false;
        for input in std::mem::take(&mut self.daemons[index].backlog) {
            self.step(index, input);
        }
    }

    /// Cuts or restores the link from one daemon to another, in that direction only.
    pub fn cut(&mut self, from: usize, to: usize, is_cut: bool) {
        if is_cut {
            self.cut.insert((from, to));
        } else {
            self.cut.remove(&(from, to));
        }
    }

    /// Cuts or restores all links between the daemons before `at` and the others.
    pub fn split(&mut self, at: usize, is_cut: bool) {
        for a in 0..at {
            for b in at..self.daemons.len() {
                self.cut(a, b, is_cut);
                self.cut(b, a, is_cut);
            }
        }
    }

    /// Makes the platform's store reachable or unreachable for all daemons.
    pub fn set_platform(&mut self, is_reachable: bool) {
        for daemon in &mut self.daemons {
            daemon.reaches_platform = is_reachable;
        }
    }

    /// Adds hosts to a domain, and passes the new host list to all daemons.
    pub fn add_hosts(&mut self, domain: &str, count: usize) {
        for index in 0..count {
            let name = format!("{domain}-{index:03}");
            self.runners.insert(name.as_str().into(), Runner::default());
        }
        for index in 0..self.daemons.len() {
            self.list_hosts(index);
        }
    }

    /// Passes the host list to a daemon.
    fn list_hosts(&mut self, index: usize) {
        let entries: Vec<HostEntry> = self.runners.keys().map(host_entry).collect();
        let input = HostsInput::Listed(entries);
        self.step(index, Input::Hosts(input));
    }

    /// Configures `count` groups of `size` hosts in a domain, so that a daemon takes its duty.
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

    /// Advances the simulation by `span`.
    pub fn run(&mut self, span: Span) {
        self.run_until(span, |_| false);
    }

    /// Advances the simulation until a condition holds, but at most by `span`.
    ///
    /// Returns the time it took, or `None` if the condition never held.
    pub fn run_until<F>(&mut self, span: Span, holds: F) -> Option<Span>
    where
        F: Fn(&Net) -> bool,
    {
        let (began, end) = (self.now, self.now + span);
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), (index, incarnation, input)) = entry.remove_entry();
            self.now = at;
            self.poll();
            let daemon = &mut self.daemons[index];
            if !daemon.is_up || daemon.me.incarnation != incarnation {
                continue;
            }
            if let Input::Timer(timer) = &input
                && daemon.timers.get(timer) != Some(&at)
            {
                continue;
            }
            if daemon.is_paused {
                daemon.backlog.push(input);
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

    /// Passes one input to a daemon and handles its outputs.
    pub fn step(&mut self, index: usize, input: Input) {
        let mut outputs = Vec::new();
        let daemon = &mut self.daemons[index];
        let began = std::time::Instant::now();
        daemon.core.step(self.now, input, &mut outputs);
        daemon.cpu_time += began.elapsed();
        for output in outputs {
            self.handle_output(index, output);
        }
    }

    fn new_daemon(&self, index: usize, name: &str, incarnation: u64) -> SimDaemon {
        let me = Identity {
            name: name.into(),
            incarnation: Incarnation(incarnation),
            region: "north".into(),
            hall: "one".into(),
            caller: SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000 + index as u16)),
            peer: peer(index),
            seeds: vec![peer(0), peer(1)],
            secret: 1,
        };
        let seed = 77 * incarnation + index as u64;
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
            outputs: Vec::new(),
            timers: HashMap::new(),
            backlog: Vec::new(),
        }
    }

    fn handle_output(&mut self, index: usize, output: Output) {
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
            Output::Platform { id, call } => self.call_platform(index, id, call),
            Output::Runner(output) => self.call_runner(index, output),
            output => self.daemons[index].outputs.push(output),
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, transport: Transport, message: Message) {
        let index = usize::from(to.port()) - 10_000;
        let frame =
            self.daemons[from]
                .sealer
                .seal(Channel::Datagram, &address_context(to), &message);
        let bytes = frame.len() as u64 + HEADER_BYTES;
        self.daemons[from].sent.add(&message, bytes);
        let is_stream = transport == Transport::Stream || frame.len() > 1_200;
        let is_lost = !is_stream && self.rng.random_bool(self.loss);
        let is_dead = self.daemons.get(index).is_none_or(|daemon| !daemon.is_up);
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

    /// Draws the delay of a message or an answer.
    fn latency(&mut self) -> Span {
        Span(self.rng.random_range(self.delay.0.0..=self.delay.1.0))
    }

    fn queue_at(&mut self, at: Time, index: usize, input: Input) {
        self.sequence += 1;
        let incarnation = self.daemons[index].me.incarnation;
        self.queue
            .insert((at, self.sequence), (index, incarnation, input));
    }

    fn call_platform(&mut self, index: usize, id: PlatformId, call: PlatformCall) {
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

    /// Queues the watch events of the platform's store.
    fn poll(&mut self) {
        if self.now.since(self.polled) < POLL_INTERVAL {
            return;
        }
        self.polled = self.now;
        for (index, input) in self.kv.poll(self.now) {
            let daemon = &self.daemons[index];
            if daemon.is_up && daemon.reaches_platform {
                self.queue_at(self.now + POLL_INTERVAL, index, Input::Platform(input));
            }
        }
    }

    /// Handles a call of a runner; a dead one yields the input of a failed call.
    fn call_runner(&mut self, index: usize, output: RunnerOutput) {
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
                self.daemons[index].outputs.push(Output::Runner(output));
                return;
            }
        };
        let at = self.now + self.latency();
        self.queue_at(at, index, Input::Runner(input));
    }
}
