//! A cluster of a few daemons in virtual time: passes their outputs to fakes of
//! the runners and the platform's store, and the answers back to them.

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

/// One-way delay of every connection.
const LINK_DELAY: Span = Span::from_millis(1);

/// A daemon, and the faults applied to it.
pub struct Daemon {
    pub core: Core,
    timers: Vec<(Time, Timer)>,
    /// Time before which no input reaches it.
    pub paused_until: Time,
    /// Delay of configuration changes and of configuration messages.
    pub config_delay: Span,
    /// Delay of the answers of the platform's store.
    pub platform_delay: Span,
    /// True while it is disconnected from the platform's store in both directions.
    pub disconnected: bool,
    /// Watch events held back while it is disconnected.
    backlog: Vec<Input>,
    /// Arrival time of the last watch event, so that events stay in order.
    last_delivery: Time,
    /// True once it has crashed.
    pub stopped: bool,
}

/// An event to be delivered.
enum Event {
    Input(usize, Input),
    Platform(usize, PlatformId, PlatformCall),
    Runner(usize, RunnerOutput),
}

/// Daemons, runners and the platform's store, connected in virtual time.
pub struct Cluster {
    pub now: Time,
    pub daemons: Vec<Daemon>,
    pub kv: FakeKv,
    pub runners: BTreeMap<HostName, Runner>,
    pub hosts: BTreeMap<HostName, HostEntry>,
    /// If true, orders are held back until [`Cluster::release_orders`].
    pub hold_orders: bool,
    /// Orders held back so far, with the daemon that sent each.
    pub held_orders: Vec<(usize, RunnerOutput)>,
    /// If true, records and duties are checked after every step.
    pub check_invariants: bool,
    /// Group and hosts that each epoch was first seen with.
    epochs: BTreeMap<Epoch, (GroupName, Vec<HostName>)>,
    queue: BTreeMap<(Time, u64), Event>,
    sequence: u64,
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

/// Setup.
impl Cluster {
    pub fn new(daemons: usize, options: &Options) -> Self {
        let mut cluster = Self {
            now: Time(1_000_000),
            daemons: Vec::new(),
            kv: FakeKv::default(),
            runners: BTreeMap::new(),
            hosts: BTreeMap::new(),
            hold_orders: false,
            held_orders: Vec::new(),
            check_invariants: true,
            epochs: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
        };
        for index in 0..daemons {
            let core = Core::new(identity(index, daemons, 1), options.clone(), index as u64);
            cluster.daemons.push(Daemon {
                core,
                timers: Vec::new(),
                paused_until: Time(0),
                config_delay: Span::from_millis(5),
                platform_delay: LINK_DELAY,
                disconnected: false,
                backlog: Vec::new(),
                last_delivery: Time(0),
                stopped: false,
            });
            cluster.push(Span::ZERO, Event::Input(index, Input::Start));
        }
        cluster
    }

    /// Adds the hosts `prefix`0, `prefix`1 and so on to a domain.
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
        self.poll_watches();
    }
}

fn identity(index: usize, daemons: usize, incarnation: u64) -> Identity {
    Identity {
        name: format!("d{index}").as_str().into(),
        incarnation: Incarnation(incarnation),
        region: "region".into(),
        hall: "hall".into(),
        caller: address(100 + index),
        peer: address(index),
        seeds: (0..daemons).map(address).collect(),
        secret: index as u64,
    }
}

/// Faults and steps.
impl Cluster {
    /// Sends the current host list to every daemon.
    pub fn list_hosts(&mut self) {
        let entries: Vec<HostEntry> = self.hosts.values().cloned().collect();
        for index in 0..self.daemons.len() {
            // A host counts as dead only once it is missing from two lists.
            for _ in 0..2 {
                let input = Input::Hosts(HostsInput::Listed(entries.clone()));
                self.push(LINK_DELAY, Event::Input(index, input));
            }
        }
    }

    /// Kills a host: its runner stops, and the host list no longer has it.
    pub fn kill(&mut self, host: &str) {
        let host: HostName = host.into();
        self.hosts.remove(&host);
        if let Some(runner) = self.runners.get_mut(&host) {
            runner.restart(self.now);
        }
        self.list_hosts();
    }

    /// Starts the runner of a host again and lists the host in a domain.
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

    /// Stops a daemon gracefully.
    pub fn stop(&mut self, index: usize) {
        self.push(Span::ZERO, Event::Input(index, Input::Stop));
    }

    /// Crashes a daemon.
    pub fn crash(&mut self, index: usize) {
        self.daemons[index].stopped = true;
    }

    /// Pauses a daemon for a while, unless it is paused already.
    pub fn pause(&mut self, index: usize, duration: Span) {
        let daemon = &mut self.daemons[index];
        if daemon.paused_until <= self.now {
            daemon.paused_until = self.now + duration;
        }
    }

    /// Delivers the orders held back so far, and holds back no further ones.
    pub fn release_orders(&mut self) {
        self.hold_orders = false;
        for (index, output) in std::mem::take(&mut self.held_orders) {
            self.push(LINK_DELAY, Event::Runner(index, output));
        }
    }

    /// Runs until `condition` holds; returns false if it doesn't within `timeout`.
    pub fn run_until<F>(&mut self, timeout: Span, mut condition: F) -> bool
    where
        F: FnMut(&mut Self) -> bool,
    {
        let end = self.now + timeout;
        loop {
            if condition(self) {
                return true;
            }
            if self.now >= end || !self.advance(end) {
                return false;
            }
        }
    }

    /// Runs for a duration of virtual time.
    pub fn run_for(&mut self, duration: Span) {
        self.run_until(duration, |_| false);
    }

    /// Processes the next event or timer; returns false if there is none up to `end`.
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
        self.poll_watches();
        match (timer, queued) {
            (timer, Some(key)) if timer.is_none_or(|(at, _)| key.0 <= at) => {
                let event = self.queue.remove(&key).expect("event is queued");
                self.deliver(event);
            }
            (Some((_, index)), _) => self.fire_timer(index),
            _ => {}
        }
        true
    }

    fn next_timer(&self) -> Option<(Time, usize)> {
        let running = self.daemons.iter().enumerate().filter(|(_, n)| !n.stopped);
        running
            .flat_map(|(index, daemon)| {
                let timers = daemon.timers.iter();
                timers.map(move |(at, _)| ((*at).max(daemon.paused_until), index))
            })
            .min()
    }

    fn fire_timer(&mut self, index: usize) {
        let timers = &mut self.daemons[index].timers;
        let first = (0..timers.len()).min_by_key(|i| timers[*i].0);
        let (_, timer) = timers.remove(first.expect("a timer is due"));
        self.step(index, Input::Timer(timer));
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::Input(index, input) => {
                let daemon = &self.daemons[index];
                if daemon.paused_until > self.now {
                    let wait = daemon.paused_until.since(self.now);
                    self.push(wait, Event::Input(index, input));
                } else if !daemon.stopped {
                    self.step(index, input);
                }
            }
            Event::Platform(index, id, call) => {
                if self.daemons[index].disconnected || self.daemons[index].stopped {
                    return;
                }
                if let Some(input) = self.kv.call(self.now, index, id, call) {
                    let platform_delay = self.daemons[index].platform_delay;
                    self.push(platform_delay, Event::Input(index, Input::Platform(input)));
                }
                self.poll_watches();
            }
            Event::Runner(index, output) => self.call_runner(index, output),
        }
    }

    /// Passes one input to a daemon, checks the invariants, and performs the outputs.
    fn step(&mut self, index: usize, input: Input) {
        let mut out = Vec::new();
        self.daemons[index].core.step(self.now, input, &mut out);
        self.assert_invariants();
        for output in out {
            self.perform(index, output);
        }
    }

    fn perform(&mut self, index: usize, output: Output) {
        match output {
            Output::SetTimer { timer, at } => {
                let timers = &mut self.daemons[index].timers;
                timers.retain(|(_, held)| *held != timer);
                timers.push((at, timer));
            }
            Output::Platform { id, call } => {
                self.push(LINK_DELAY, Event::Platform(index, id, call))
            }
            Output::Runner(output @ RunnerOutput::Order { .. }) if self.hold_orders => {
                self.held_orders.push((index, output));
            }
            Output::Runner(output) => self.push(LINK_DELAY, Event::Runner(index, output)),
            Output::Peer { to, message, .. } => {
                let target = (0..self.daemons.len()).find(|i| address(*i) == to);
                if let Some(target) = target {
                    let me = identity(index, 0, 1);
                    let after = match message {
                        Message::Config(_) => self.daemons[target].config_delay,
                        _ => LINK_DELAY,
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

    /// Sends changes in the platform's store to the daemons that watch them.
    fn poll_watches(&mut self) {
        for (index, input) in self.kv.poll(self.now) {
            let input = Input::Platform(input);
            if self.daemons[index].disconnected {
                self.daemons[index].backlog.push(input);
            } else {
                self.deliver_watched(index, input);
            }
        }
    }

    /// Delivers a watch event to a daemon after its delay, in order.
    fn deliver_watched(&mut self, index: usize, input: Input) {
        let daemon = &mut self.daemons[index];
        daemon.last_delivery = daemon.last_delivery.max(self.now + daemon.config_delay);
        let after = daemon.last_delivery.since(self.now);
        self.push(after, Event::Input(index, input));
    }

    /// Reconnects a daemon to the platform's store, and delivers the watch events held back.
    pub fn reconnect(&mut self, index: usize) {
        self.daemons[index].disconnected = false;
        for input in std::mem::take(&mut self.daemons[index].backlog) {
            self.deliver_watched(index, input);
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
        self.push(LINK_DELAY, Event::Input(index, Input::Runner(input)));
    }

    fn push(&mut self, after: Span, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }
}

/// Invariants and work.
impl Cluster {
    /// Asserts that each domain has at most one duty holder, no host is in two groups, and no epoch
    /// names two placements; does nothing if `check_invariants` is off.
    fn assert_invariants(&mut self) {
        if !self.check_invariants {
            return;
        }
        for domain in ["rack", "row"] {
            assert!(self.holders(domain).len() <= 1, "one holder of {domain}");
        }
        let mut used: BTreeSet<HostName> = BTreeSet::new();
        for domain in ["rack", "row"] {
            let record = self.placement(domain);
            for (group, epoch, hosts) in assignments(&record) {
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

    /// Returns the number of work items interrupted by orders or kills on any runner.
    pub fn interrupted(&self) -> usize {
        self.runners.values().map(|r| r.interrupted).sum()
    }

    /// Sends work to every group of a model that a daemon sees in service, and returns the number
    /// of groups that accepted it.
    ///
    /// Asserts that every host of an accepting group holds its part, except hosts that have just
    /// died.
    pub fn send_work(&mut self, index: usize, model: &str, duration: Span) -> usize {
        let groups = self.daemons[index].core.groups();
        let keys = groups.serving(&model.into());
        let groups_found: Vec<_> = keys
            .iter()
            .filter_map(|key| groups.get(*key))
            .cloned()
            .collect();
        let now = self.now;
        let mut accepted = 0;
        for group in groups_found {
            let runner = self
                .runners
                .get_mut(&group.hosts[0])
                .expect("host is known");
            if !runner.work(now, group.epoch, duration) {
                continue;
            }
            accepted += 1;
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
        accepted
    }
}

/// Returns every placement of a record: its group, epoch and hosts.
fn assignments(record: &Placement) -> Vec<(GroupName, Epoch, Vec<HostName>)> {
    let mut assignments = Vec::new();
    for (name, placed) in &record.groups {
        assignments.push((name.clone(), placed.epoch, placed.hosts.clone()));
        if let Some(next) = &placed.next {
            assignments.push((name.clone(), next.epoch, next.hosts.clone()));
        }
    }
    for retiring in &record.retiring {
        assignments.push((
            retiring.group.clone(),
            retiring.epoch,
            retiring.hosts.clone(),
        ));
    }
    assignments
}

/// Queries.
impl Cluster {
    /// Returns the placement record of a domain in the platform's store.
    pub fn placement(&self, domain: &str) -> Placement {
        let key = Key::Placement(DomainName::from(domain)).path();
        let entry = self.kv.store.get(&key);
        entry
            .map(|e| serde_json::from_str(&e.value).expect("record is read"))
            .unwrap_or_default()
    }

    /// Returns the groups of a model that a daemon sees in service.
    pub fn serving(&self, index: usize, model: &str) -> Vec<(GroupName, Epoch)> {
        let groups = self.daemons[index].core.groups();
        let keys = groups.serving(&model.into());
        let groups_found = keys.iter().filter_map(|key| groups.get(*key));
        groups_found.map(|g| (g.name.clone(), g.epoch)).collect()
    }

    /// Returns true if the placement record has a group as serving.
    pub fn is_serving(&self, domain: &str, group: &str) -> bool {
        let placement = self.placement(domain);
        let placed = placement.groups.get(&GroupName::from(group));
        placed.is_some_and(|p| p.stage == Stage::Serving)
    }

    /// Returns the daemons that hold a domain's duty by their own clocks.
    pub fn holders(&self, domain: &str) -> Vec<usize> {
        let domain = DomainName::from(domain);
        let holds = |index: &usize| {
            let daemon = &self.daemons[*index];
            !daemon.stopped && daemon.core.groups().holds_duty(&domain, self.now)
        };
        (0..self.daemons.len()).filter(holds).collect()
    }
}
