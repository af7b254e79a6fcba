//! Hands the outputs of a few daemons to fakes, and their answers back, in
//! virtual time.

#![allow(dead_code)]

use crate::{fakes::kv::FakeKv, runner::Runner};
use hickoryledge::core::{
    Core,
    config::{
        Key,
        record::{GroupSpec, Model, Placement, Stage},
    },
    ctx::Identity,
    input::{
        HostEntry, HostsInput, Input, LoadReport, OrderChecks, OrderOutcome, PeerInput,
        RunnerInput, RunnerKind,
    },
    keys::{DomainName, Epoch, GroupName, HostName, Incarnation, PlatformId},
    message::Message,
    options::Options,
    output::{Output, PlatformCall, RunnerOutput},
    time::{Span, Time},
    timer::Timer,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// One way over any connection.
const DELAY: Span = Span::from_millis(1);

pub struct Node {
    pub core: Core,
    timers: Vec<(Time, Timer)>,
    /// Nothing reaches it before this.
    pub paused: Time,
    /// How late it hears of changes of configuration.
    pub lag: Span,
    /// How late answers of the platform's service reach it.
    pub slow: Span,
    /// Nothing of the platform's service reaches it, nor the other way.
    pub cut: bool,
    /// What a watch has brought while it was cut off.
    backlog: Vec<Input>,
    /// When the last thing that a watch brought arrives.
    last: Time,
    pub stopped: bool,
}

enum Event {
    Input(usize, Input),
    Platform(usize, PlatformId, PlatformCall),
    Runner(usize, RunnerOutput),
}

pub struct Handover {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub kv: FakeKv,
    pub runners: BTreeMap<HostName, Runner>,
    pub hosts: BTreeMap<HostName, HostEntry>,
    /// Orders that are held back, to be delivered when a test says.
    pub hold_orders: bool,
    pub held: Vec<(usize, RunnerOutput)>,
    /// Whether records and duties are checked after every step.
    pub checks: bool,
    epochs: BTreeMap<Epoch, (GroupName, Vec<HostName>)>,
    queue: BTreeMap<(Time, u64), Event>,
    number: u64,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16))
}

pub fn host_entry(name: &str, domain: &str, checks: OrderChecks) -> HostEntry {
    HostEntry {
        host: name.into(),
        hall: "hall".into(),
        domain: domain.into(),
        address: address(9_000),
        accelerators: 4,
        kind: RunnerKind::Engine,
        leaving: false,
        checks,
    }
}

pub fn model(name: &str, size: u16, floor: u16) -> Model {
    Model {
        name: name.into(),
        version: "v1".into(),
        size,
        floor,
        ..Model::default()
    }
}

pub fn spec(name: &str, model: &str, domain: &str) -> GroupSpec {
    GroupSpec {
        name: name.into(),
        model: model.into(),
        domain: domain.into(),
        ..GroupSpec::default()
    }
}

/// Building.
impl Handover {
    pub fn new(nodes: usize, options: &Options) -> Self {
        let mut handover = Self {
            now: Time(1_000_000),
            nodes: Vec::new(),
            kv: FakeKv::default(),
            runners: BTreeMap::new(),
            hosts: BTreeMap::new(),
            hold_orders: false,
            held: Vec::new(),
            checks: true,
            epochs: BTreeMap::new(),
            queue: BTreeMap::new(),
            number: 0,
        };
        for index in 0..nodes {
            let core = Core::new(identity(index, nodes, 1), options.clone(), index as u64);
            handover.nodes.push(Node {
                core,
                timers: Vec::new(),
                paused: Time(0),
                lag: Span::from_millis(5),
                slow: DELAY,
                cut: false,
                backlog: Vec::new(),
                last: Time(0),
                stopped: false,
            });
            handover.push(Span::ZERO, Event::Input(index, Input::Start));
        }
        handover
    }

    /// Adds hosts `prefix`0 and so on to a domain.
    pub fn add_hosts(&mut self, domain: &str, prefix: &str, count: usize, checks: OrderChecks) {
        for index in 0..count {
            let name = format!("{prefix}{index}");
            let entry = host_entry(&name, domain, checks);
            let host: HostName = name.as_str().into();
            self.hosts.insert(host.clone(), entry);
            let runner = Runner {
                checks,
                ..Runner::default()
            };
            self.runners.insert(host, runner);
        }
        self.list_hosts();
    }

    pub fn put_model(&mut self, model: &Model) {
        self.put(&Key::Model(model.name.clone()), model);
    }

    pub fn put_group(&mut self, spec: &GroupSpec) {
        self.put(&Key::Group(spec.name.clone()), spec);
    }

    pub fn put<T>(&mut self, key: &Key, record: &T)
    where
        T: serde::Serialize,
    {
        let value = serde_json::to_string(record).expect("record is written");
        self.kv.store.put(&key.path(), &value, None, None);
        self.spread();
    }
}

fn identity(index: usize, nodes: usize, incarnation: u64) -> Identity {
    Identity {
        name: format!("d{index}").as_str().into(),
        incarnation: Incarnation(incarnation),
        region: "region".into(),
        hall: "hall".into(),
        caller: address(100 + index),
        peer: address(index),
        seeds: (0..nodes).map(address).collect(),
        secret: index as u64,
    }
}

/// Faults and steps.
impl Handover {
    pub fn list_hosts(&mut self) {
        let entries: Vec<HostEntry> = self.hosts.values().cloned().collect();
        for index in 0..self.nodes.len() {
            // A host counts as gone once it is missing from two lists.
            for _ in 0..2 {
                let input = Input::Hosts(HostsInput::Listed(entries.clone()));
                self.push(DELAY, Event::Input(index, input));
            }
        }
    }

    /// Kills a host: its runner stops, and the list forgets it.
    pub fn kill(&mut self, host: &str) {
        let host: HostName = host.into();
        self.hosts.remove(&host);
        if let Some(runner) = self.runners.get_mut(&host) {
            runner.restart(self.now);
        }
        self.list_hosts();
    }

    pub fn revive(&mut self, host: &str, domain: &str) {
        let name: HostName = host.into();
        let runner = self.runners.get_mut(&name).expect("host is known");
        runner.up = true;
        let entry = host_entry(host, domain, runner.checks);
        self.hosts.insert(name, entry);
        self.list_hosts();
    }

    pub fn set_leaving(&mut self, host: &str, leaving: bool) {
        let host: HostName = host.into();
        self.hosts.get_mut(&host).expect("host is listed").leaving = leaving;
        self.list_hosts();
    }

    pub fn stop(&mut self, index: usize) {
        self.push(Span::ZERO, Event::Input(index, Input::Stop));
    }

    /// Ends a daemon without a word.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].stopped = true;
    }

    /// Pauses a daemon, unless it is paused already.
    pub fn pause(&mut self, index: usize, lasts: Span) {
        let node = &mut self.nodes[index];
        if node.paused <= self.now {
            node.paused = self.now + lasts;
        }
    }

    /// Delivers the orders held back so far.
    pub fn release_orders(&mut self) {
        self.hold_orders = false;
        for (index, output) in std::mem::take(&mut self.held) {
            self.push(DELAY, Event::Runner(index, output));
        }
    }

    /// Hands over until `check` holds; false if it doesn't within `limit`.
    pub fn until<F>(&mut self, limit: Span, mut check: F) -> bool
    where
        F: FnMut(&mut Self) -> bool,
    {
        let end = self.now + limit;
        loop {
            if check(self) {
                return true;
            }
            if self.now >= end || !self.advance(end) {
                return false;
            }
        }
    }

    pub fn run(&mut self, lasts: Span) {
        self.until(lasts, |_| false);
    }

    /// Takes the next event; false if there is none before `end`.
    fn advance(&mut self, end: Time) -> bool {
        let timer = self.next_timer();
        let queued = self.queue.keys().next().copied();
        let due = match (timer, queued) {
            (Some((at, _)), Some((queued, _))) => at.min(queued),
            (Some((at, _)), None) => at,
            (None, Some((queued, _))) => queued,
            (None, None) => return false,
        };
        if due > end {
            self.now = end;
            return false;
        }
        self.now = self.now.max(due);
        self.spread();
        match (timer, queued) {
            (timer, Some(key)) if timer.is_none_or(|(at, _)| key.0 <= at) => {
                let event = self.queue.remove(&key).expect("event is queued");
                self.take(event);
            }
            (Some((_, index)), _) => self.fire(index),
            _ => {}
        }
        true
    }

    fn next_timer(&self) -> Option<(Time, usize)> {
        let running = self.nodes.iter().enumerate().filter(|(_, n)| !n.stopped);
        running
            .flat_map(|(index, node)| {
                let timers = node.timers.iter();
                timers.map(move |(at, _)| ((*at).max(node.paused), index))
            })
            .min()
    }

    fn fire(&mut self, index: usize) {
        let timers = &mut self.nodes[index].timers;
        let first = (0..timers.len()).min_by_key(|i| timers[*i].0);
        let (_, timer) = timers.remove(first.expect("a timer is due"));
        self.step(index, Input::Timer(timer));
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Input(index, input) => {
                let node = &self.nodes[index];
                if node.paused > self.now {
                    let wait = node.paused.since(self.now);
                    self.push(wait, Event::Input(index, input));
                } else if !node.stopped {
                    self.step(index, input);
                }
            }
            Event::Platform(index, id, call) => {
                if self.nodes[index].cut || self.nodes[index].stopped {
                    return;
                }
                if let Some(input) = self.kv.call(self.now, index, id, call) {
                    let slow = self.nodes[index].slow;
                    self.push(slow, Event::Input(index, Input::Platform(input)));
                }
                self.spread();
            }
            Event::Runner(index, output) => self.call_runner(index, output),
        }
    }

    fn step(&mut self, index: usize, input: Input) {
        let mut out = Vec::new();
        self.nodes[index].core.step(self.now, input, &mut out);
        self.check();
        for output in out {
            self.perform(index, output);
        }
    }

    fn perform(&mut self, index: usize, output: Output) {
        match output {
            Output::SetTimer { timer, at } => {
                let timers = &mut self.nodes[index].timers;
                timers.retain(|(_, held)| *held != timer);
                timers.push((at, timer));
            }
            Output::Platform { id, call } => self.push(DELAY, Event::Platform(index, id, call)),
            Output::Runner(output @ RunnerOutput::Order { .. }) if self.hold_orders => {
                self.held.push((index, output));
            }
            Output::Runner(output) => self.push(DELAY, Event::Runner(index, output)),
            Output::Peer { to, message, .. } => {
                let target = (0..self.nodes.len()).find(|i| address(*i) == to);
                if let Some(target) = target {
                    let me = identity(index, 0, 1);
                    let after = match message {
                        Message::Config(_) => self.nodes[target].lag,
                        _ => DELAY,
                    };
                    let input = Input::Peer(PeerInput::Received {
                        from: me.name,
                        incarnation: me.incarnation,
                        address: me.peer,
                        message,
                    });
                    self.push(after, Event::Input(target, input));
                }
            }
            Output::Log(event) => {
                if std::env::var_os("SHOW_LOG").is_some() {
                    eprintln!("{} d{index} {event:?}", self.now.0 / 1_000);
                }
            }
            Output::Call(_) | Output::Operator { .. } | Output::Exit => {}
        }
    }

    /// Hands changes at the platform's service to those who watch.
    fn spread(&mut self) {
        for (index, input) in self.kv.poll(self.now) {
            let input = Input::Platform(input);
            if self.nodes[index].cut {
                self.nodes[index].backlog.push(input);
            } else {
                self.watched(index, input);
            }
        }
    }

    /// Hands on what a watch brought, in order.
    fn watched(&mut self, index: usize, input: Input) {
        let node = &mut self.nodes[index];
        node.last = node.last.max(self.now + node.lag);
        let after = node.last.since(self.now);
        self.push(after, Event::Input(index, input));
    }

    /// Connects a daemon with the platform's service again.
    pub fn reconnect(&mut self, index: usize) {
        self.nodes[index].cut = false;
        for input in std::mem::take(&mut self.nodes[index].backlog) {
            self.watched(index, input);
        }
    }

    fn call_runner(&mut self, index: usize, output: RunnerOutput) {
        let now = self.now;
        let input = match output {
            RunnerOutput::ReadHolding { host, .. } => {
                let runner = self.runners.get_mut(&host).filter(|r| r.up);
                let holding = runner.map(|r| r.holding(now));
                RunnerInput::Holding { host, holding }
            }
            RunnerOutput::Order {
                order,
                host,
                action,
                fence,
                ..
            } => {
                let runner = self.runners.get_mut(&host).filter(|r| r.up);
                let outcome = runner.map_or(OrderOutcome::Lost, |r| r.order(now, fence, action));
                RunnerInput::Ordered {
                    order,
                    host,
                    outcome,
                }
            }
            RunnerOutput::ReadLoad { host, .. } => {
                let runner = self.runners.get(&host).filter(|r| r.up);
                let report = runner.map(|_| LoadReport::default());
                RunnerInput::Load { host, report }
            }
            _ => return,
        };
        self.push(DELAY, Event::Input(index, Input::Runner(input)));
    }

    fn push(&mut self, after: Span, event: Event) {
        self.number += 1;
        self.queue.insert((self.now + after, self.number), event);
    }
}

/// What must always hold.
impl Handover {
    /// Checks the records and the duties, as far as this hand-over is to check them.
    fn check(&mut self) {
        if !self.checks {
            return;
        }
        for domain in ["rack", "row"] {
            assert!(self.holders(domain).len() <= 1, "one holder of {domain}");
        }
        let mut used: BTreeSet<HostName> = BTreeSet::new();
        for domain in ["rack", "row"] {
            let record = self.placement(domain);
            for (group, epoch, hosts) in sets(&record) {
                for host in &hosts {
                    assert!(used.insert(host.clone()), "{host} is in one group");
                }
                let seen = self
                    .epochs
                    .entry(epoch)
                    .or_insert((group.clone(), hosts.clone()));
                assert_eq!(*seen, (group, hosts), "{epoch:?} names one placement");
            }
        }
    }

    /// The work that orders cut on any runner.
    pub fn cut(&self) -> usize {
        self.runners.values().map(|r| r.cut).sum()
    }

    /// Sends work by what a daemon knows, to every group of a model in service.
    ///
    /// Whatever is taken must find every host of the group holding its part,
    /// but for those that have just died.
    pub fn work(&mut self, index: usize, model: &str, lasts: Span) -> usize {
        let groups = self.nodes[index].core.groups();
        let keys = groups.serving(&model.into());
        let found: Vec<_> = keys
            .iter()
            .filter_map(|key| groups.get(*key))
            .cloned()
            .collect();
        let now = self.now;
        let mut taken = 0;
        for group in found {
            let runner = self
                .runners
                .get_mut(&group.hosts[0])
                .expect("host is known");
            if !runner.work(now, group.epoch, lasts) {
                continue;
            }
            taken += 1;
            for host in &group.hosts {
                let runner = self.runners.get_mut(host).expect("host is known");
                if !runner.up {
                    continue;
                }
                let holding = runner.holding(now);
                assert_eq!(holding.epoch, group.epoch, "{host} holds its part");
                assert!(holding.ready, "{host} is ready");
            }
        }
        taken
    }
}

/// Every placement of a record: its group, epoch and hosts.
fn sets(record: &Placement) -> Vec<(GroupName, Epoch, Vec<HostName>)> {
    let mut sets = Vec::new();
    for (name, placed) in &record.groups {
        sets.push((name.clone(), placed.epoch, placed.hosts.clone()));
        if let Some(next) = &placed.next {
            sets.push((name.clone(), next.epoch, next.hosts.clone()));
        }
    }
    for retiring in &record.retiring {
        sets.push((
            retiring.group.clone(),
            retiring.epoch,
            retiring.hosts.clone(),
        ));
    }
    sets
}

/// What can be seen.
impl Handover {
    /// The placement as the platform's service holds it.
    pub fn placement(&self, domain: &str) -> Placement {
        let key = Key::Placement(DomainName::from(domain)).path();
        let entry = self.kv.store.get(&key);
        entry
            .map(|e| serde_json::from_str(&e.value).expect("record is read"))
            .unwrap_or_default()
    }

    /// The groups of a model in service on a daemon.
    pub fn serving(&self, index: usize, model: &str) -> Vec<(GroupName, Epoch)> {
        let groups = self.nodes[index].core.groups();
        let keys = groups.serving(&model.into());
        let found = keys.iter().filter_map(|key| groups.get(*key));
        found.map(|g| (g.name.clone(), g.epoch)).collect()
    }

    /// Whether a group is recorded as serving.
    pub fn is_placed(&self, domain: &str, group: &str) -> bool {
        let placement = self.placement(domain);
        let placed = placement.groups.get(&GroupName::from(group));
        placed.is_some_and(|p| p.stage == Stage::Serving)
    }

    /// Who holds a domain's duty by its own clock.
    pub fn holders(&self, domain: &str) -> Vec<usize> {
        let domain = DomainName::from(domain);
        let holds = |index: &usize| {
            let node = &self.nodes[*index];
            !node.stopped && node.core.groups().holds_duty(&domain, self.now)
        };
        (0..self.nodes.len()).filter(holds).collect()
    }
}
