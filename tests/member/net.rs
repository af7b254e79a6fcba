//! Hands the outputs of a few cores to each other, in virtual time.

use {
    hickoryledge::{
        core::{
            Core,
            ctx::Identity,
            input::{Input, PeerInput, PlatformAnswer, PlatformEntry, PlatformInput, WatchEvent},
            keys::{Incarnation, LeaseId, Owner, PlatformId, Revision},
            options::Options,
            output::{Expect, Output, PlatformCall, Transport},
            time::{Span, Time},
            timer::Timer,
        },
        wire::envelope::{Channel, Sealer, context},
    },
    rand::{Rng as _, SeedableRng as _, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::{Ipv4Addr, SocketAddr},
    },
};

/// What a datagram costs besides its frame, in bytes.
const UDP_BYTES: u64 = 28;

/// How often the platform's service tells watches that they are complete.
const PROGRESS: Span = Span::from_secs(1);

/// One daemon.
pub struct Node {
    pub core: Core,
    pub me: Identity,
    pub is_up: bool,
    pub is_paused: bool,
    pub hears_platform: bool,
    pub sent: u64,
    pub received: u64,
    pub spent: std::time::Duration,
    /// Outputs other than messages, timers and platform calls.
    pub out: Vec<Output>,
    timers: HashMap<Timer, Time>,
    backlog: Vec<Input>,
    sealer: Sealer,
}

/// The platform's key-value service, whole and never wrong.
#[derive(Default)]
struct Store {
    revision: i64,
    lease: i64,
    entries: BTreeMap<String, PlatformEntry>,
    watches: Vec<(usize, PlatformId)>,
    history: Vec<(Revision, WatchEvent)>,
    calls: u64,
}

/// The cores and what is on its way between them.
pub struct Net {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub delay: (Span, Span),
    pub options: Options,
    cut: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Time, u64), (usize, Incarnation, Input)>,
    drawn: u64,
    rng: SmallRng,
    store: Store,
}

pub fn peer(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + index as u16))
}

impl Net {
    pub fn new(count: usize, seed: u64, options: Options) -> Self {
        let mut net = Self {
            now: Time(0),
            nodes: Vec::new(),
            loss: 0.0,
            delay: (Span::from_millis(1), Span::from_millis(3)),
            options,
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            drawn: 0,
            rng: SmallRng::seed_from_u64(seed),
            store: Store::default(),
        };
        for index in 0..count {
            let node = net.make(index, &format!("d{index:03}"), 1);
            net.nodes.push(node);
        }
        net
    }

    /// Starts every daemon.
    pub fn start(&mut self) {
        for index in 0..self.nodes.len() {
            self.step(index, Input::Start);
        }
    }

    /// Starts another run on a node, under this name.
    pub fn restart(&mut self, index: usize, name: &str, run: u64) {
        self.nodes[index] = self.make(index, name, run);
        self.step(index, Input::Start);
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].is_up = false;
        self.store.watches.retain(|(node, _)| *node != index);
    }

    pub fn pause(&mut self, index: usize) {
        self.nodes[index].is_paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].is_paused = false;
        for input in std::mem::take(&mut self.nodes[index].backlog) {
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
            for b in at..self.nodes.len() {
                self.cut(a, b, is_cut);
                self.cut(b, a, is_cut);
            }
        }
    }

    pub fn platform(&mut self, is_heard: bool) {
        for node in &mut self.nodes {
            node.hears_platform = is_heard;
        }
    }

    pub fn platform_calls(&self) -> u64 {
        self.store.calls
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
            if at.0 / PROGRESS.0 > self.now.0 / PROGRESS.0 {
                self.mark_progress();
            }
            self.now = at;
            let node = &mut self.nodes[index];
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
        let node = &mut self.nodes[index];
        let began = std::time::Instant::now();
        node.core.step(self.now, input, &mut out);
        node.spent += began.elapsed();
        for output in out {
            self.perform(index, output);
        }
    }

    fn make(&self, index: usize, name: &str, run: u64) -> Node {
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
        Node {
            core: Core::new(me.clone(), self.options.clone(), seed),
            sealer: Sealer::new([0; 32], me.name.clone(), me.incarnation),
            me,
            is_up: true,
            is_paused: false,
            hears_platform: true,
            sent: 0,
            received: 0,
            spent: std::time::Duration::ZERO,
            out: Vec::new(),
            timers: HashMap::new(),
            backlog: Vec::new(),
        }
    }

    fn perform(&mut self, index: usize, output: Output) {
        match output {
            Output::SetTimer { timer, at } => {
                let at = at.max(self.now);
                self.nodes[index].timers.insert(timer.clone(), at);
                self.queue_at(at, index, Input::Timer(timer));
            }
            Output::Peer {
                to,
                transport,
                message,
            } => self.send(index, to, transport, message),
            Output::Platform { id, call } => self.call(index, id, call),
            output => self.nodes[index].out.push(output),
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: SocketAddr,
        transport: Transport,
        message: hickoryledge::core::message::Message,
    ) {
        let index = usize::from(to.port()) - 10_000;
        let frame = self.nodes[from]
            .sealer
            .seal(Channel::Datagram, &context(to), &message);
        let bytes = frame.len() as u64 + UDP_BYTES;
        self.nodes[from].sent += bytes;
        let is_stream = transport == Transport::Stream || frame.len() > 1_200;
        let is_lost = !is_stream && self.rng.random_bool(self.loss);
        let is_dead = self.nodes.get(index).is_none_or(|node| !node.is_up);
        let at = self.now + self.latency();
        if is_dead || is_lost || self.cut.contains(&(from, index)) {
            if is_stream {
                let input = PeerInput::Undelivered { address: to };
                self.queue_at(at, from, Input::Peer(input));
            }
            return;
        }
        self.nodes[index].received += bytes;
        let input = PeerInput::Received {
            from: self.nodes[from].me.name.clone(),
            incarnation: self.nodes[from].me.incarnation,
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
        let run = self.nodes[index].me.incarnation;
        self.queue.insert((at, self.drawn), (index, run, input));
    }

    fn call(&mut self, index: usize, id: PlatformId, call: PlatformCall) {
        self.store.calls += u64::from(id.owner == Owner::Member);
        let at = self.now + self.latency();
        if !self.nodes[index].hears_platform {
            let input = PlatformInput::Failed { id };
            self.queue_at(at, index, Input::Platform(input));
            return;
        }
        let Some(answer) = self.answer(index, id, call) else {
            return;
        };
        let input = PlatformInput::Answered { id, answer };
        self.queue_at(at, index, Input::Platform(input));
    }

    fn answer(
        &mut self,
        index: usize,
        id: PlatformId,
        call: PlatformCall,
    ) -> Option<PlatformAnswer> {
        let revision = Revision(self.store.revision);
        let entries = &self.store.entries;
        Some(match call {
            PlatformCall::List { prefix } => {
                let found = entries.values().filter(|e| e.key.starts_with(&prefix));
                let entries = found.cloned().collect();
                PlatformAnswer::Entries { revision, entries }
            }
            PlatformCall::Get { key } => {
                let entries = entries.get(&key).cloned().into_iter().collect();
                PlatformAnswer::Entries { revision, entries }
            }
            PlatformCall::Put {
                key,
                value,
                expect,
                lease,
            } => {
                let current = entries.get(&key).cloned();
                let held = current.as_ref().map(|entry| entry.revision);
                let wanted = match expect {
                    Expect::Absent => None,
                    Expect::At(revision) => Some(revision),
                };
                if held != wanted {
                    return Some(PlatformAnswer::Conflict { revision, current });
                }
                let revision = self.put(key, value, lease);
                PlatformAnswer::Written { revision }
            }
            PlatformCall::Grant { ttl } => {
                self.store.lease += 1;
                let lease = LeaseId(self.store.lease);
                PlatformAnswer::Leased { lease, ttl }
            }
            PlatformCall::KeepAlive { lease } => {
                let is_held = entries.values().any(|entry| entry.lease == Some(lease));
                let ttl = Span::from_secs(if is_held { 60 } else { 0 });
                PlatformAnswer::Leased { lease, ttl }
            }
            PlatformCall::Watch { from, .. } => {
                let history = self.store.history.iter();
                let missed = history.filter(|(revision, _)| *revision >= from);
                let events = missed.map(|(_, event)| event.clone()).collect();
                self.watched(index, id, events);
                self.store.watches.push((index, id));
                return None;
            }
            PlatformCall::Revoke { lease } => {
                self.drop_lease(lease);
                PlatformAnswer::Revoked
            }
            PlatformCall::Delete { .. } | PlatformCall::Unwatch { .. } => return None,
        })
    }

    fn put(&mut self, key: String, value: String, lease: Option<LeaseId>) -> Revision {
        self.store.revision += 1;
        let revision = Revision(self.store.revision);
        let entry = PlatformEntry {
            key: key.clone(),
            value,
            revision,
            lease,
        };
        self.store.entries.insert(key, entry.clone());
        self.tell(WatchEvent::Put(entry));
        revision
    }

    /// Ends a lease, and with it the entries that hang on it.
    pub fn drop_lease(&mut self, lease: LeaseId) {
        let hanging = self.store.entries.values();
        let hanging = hanging.filter(|entry| entry.lease == Some(lease));
        let keys: Vec<String> = hanging.map(|entry| entry.key.clone()).collect();
        for key in keys {
            self.store.entries.remove(&key);
            self.store.revision += 1;
            let revision = Revision(self.store.revision);
            self.tell(WatchEvent::Deleted { key, revision });
        }
    }

    /// The lease that an entry hangs on.
    pub fn lease_of(&self, key: &str) -> Option<LeaseId> {
        self.store.entries.get(key)?.lease
    }

    /// An entry's value.
    pub fn value(&self, key: &str) -> Option<&str> {
        Some(&self.store.entries.get(key)?.value)
    }

    fn tell(&mut self, event: WatchEvent) {
        let revision = Revision(self.store.revision);
        self.store.history.push((revision, event.clone()));
        for (index, id) in self.store.watches.clone() {
            self.watched(index, id, vec![event.clone()]);
        }
    }

    /// Tells every watch that it is complete.
    fn mark_progress(&mut self) {
        for (index, id) in self.store.watches.clone() {
            self.watched(index, id, Vec::new());
        }
    }

    fn watched(&mut self, index: usize, id: PlatformId, events: Vec<WatchEvent>) {
        if !self.nodes[index].hears_platform {
            return;
        }
        let input = PlatformInput::Watched {
            id,
            revision: Revision(self.store.revision),
            events,
        };
        let at = self.now + Span::from_millis(5);
        self.queue_at(at, index, Input::Platform(input));
    }
}
