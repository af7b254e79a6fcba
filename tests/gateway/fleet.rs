//! A simulated fleet of runners that execute orders in virtual time.
//!
//! Orders may be dropped or delayed, hosts may fail, and entries reach the
//! daemon one step late. Invariants are checked at every join and opening.

use hickoryledge::{
    core::{
        keys::{DomainName, Epoch, GroupName, HallName, HostName, ModelName, ServiceName},
        time::{Span, Time},
    },
    gateway::{
        demand::Demand,
        order::{Directive, Order, OrderAnswer},
        planner::Planner,
        roster::{HostKey, MemberState, Membership, ProbeFailure, Roster, Runner, RunnerInstance},
        spec::{Engine, Replication, Service, Spec},
        stated::Stated,
    },
};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

/// Interval between two steps of the planner.
pub const STEP_INTERVAL: Span = Span::from_millis(100);
/// Delay from the order to open until the head is open.
const OPEN_DELAY: Span = Span::from_millis(300);
/// Delay of a join with the weights in memory.
const REJOIN_DELAY: Span = Span::from_millis(200);

/// Model whose replicas need more hosts.
pub const LARGE: &str = "large";
/// Model whose replicas need fewer hosts.
pub const SMALL: &str = "small";

/// Returns the service of the model runners.
pub fn service() -> ServiceName {
    ServiceName::from("engines")
}

/// Returns a configuration with one service of two models.
pub fn spec() -> Spec {
    let replication = |model: &str, size, pace, share, load, warm| Replication {
        model: ModelName::from(model),
        size,
        pace,
        share,
        load: Span::from_millis(load),
        warm: Span::from_millis(warm),
    };
    let engine = Engine {
        slots: 26,
        stride: 6,
        models: vec![
            replication(LARGE, 6, 1.0, 0.67, 16_000, 1_600),
            replication(SMALL, 3, 0.6, 0.33, 12_000, 1_100),
        ],
        step: Span(6_450),
        step_each: Span(97),
        read_rate: 56_100.0,
        chunk: 2_048,
        usual_prompt: 1_115,
        usual_answer: 152,
        load_rate: 5.5,
        load_parallel: 8,
        form: OPEN_DELAY,
    };
    Spec {
        version: 1,
        services: vec![Service {
            name: service(),
            max_connections: 300,
            engine: Some(engine),
            cold: None,
        }],
        ..Spec::default()
    }
}

/// Outcome of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Executed at once.
    Immediate,
    /// Executed after this delay, without a response.
    Delayed(Span),
    /// Never executed.
    Dropped,
}

/// Actual state of a runner, which the daemon knows only from entries and probes.
#[derive(Clone, Debug)]
struct SimRunner {
    address: SocketAddr,
    domain: DomainName,
    born: u64,
    is_dead: bool,
    is_draining: bool,
    /// True once its entry has been removed.
    is_unlisted: bool,
    staged: Vec<ModelName>,
    loading: Option<(ModelName, Time)>,
    member: Option<SimMember>,
    /// Epoch of the last group that it joined; earlier ones are refused.
    last_epoch: Epoch,
    /// Model whose weights are in memory.
    last_model: Option<ModelName>,
    /// Number of orders that it has accepted.
    orders: u64,
}

/// Actual membership of a runner in a group.
#[derive(Clone, Debug)]
struct SimMember {
    group: GroupName,
    epoch: Epoch,
    rank: u16,
    model: ModelName,
    members: Vec<HostName>,
    state: MemberState,
    /// Time at which the state changes to the next one.
    due: Option<Time>,
}

/// Simulated runners, and the planner that sends them orders.
pub struct Fleet {
    pub now: Time,
    pub roster: Roster,
    pub planner: Planner,
    pub demand: Demand,
    pub spec: Spec,
    hosts: BTreeMap<HostName, SimRunner>,
    /// Halls of domains that aren't in the usual one.
    pub halls: BTreeMap<DomainName, HallName>,
    /// Number of addresses that were given to hosts.
    addresses: u32,
    /// True if the entries don't tell the starts of the runners.
    pub hides_starts: bool,
    /// Delayed orders with the time of their execution.
    pending_orders: Vec<(Time, Directive)>,
    /// Entries that reach the daemon at the next step.
    pending_entries: BTreeMap<HostName, Runner>,
    /// Runners that respond to no probe, and the failure of the probes.
    unreachable: BTreeMap<RunnerInstance, ProbeFailure>,
    /// True while the store is down, so that no entries reach the daemon.
    pub is_store_down: bool,
    /// Time that heads take to finish their requests when they are closed without a cut.
    pub finish_time: Span,
    /// Orders that arrived.
    pub order_count: usize,
    /// Loads from the weight store that began.
    pub load_count: usize,
    /// Groups whose requests were cut although all of their members were alive.
    pub cut_count: usize,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
}

impl Fleet {
    /// Creates domains with this number of empty hosts in each.
    pub fn new(domains: usize, hosts: usize) -> Self {
        Self::with_spec(spec(), domains, hosts)
    }

    /// Creates domains with this number of empty hosts in each, for a configuration.
    pub fn with_spec(spec: Spec, domains: usize, hosts: usize) -> Self {
        let mut fleet = Self {
            now: Time(0),
            roster: Roster::default(),
            planner: Planner::new(Epoch(1_000)),
            demand: Demand::default(),
            spec,
            hosts: BTreeMap::new(),
            halls: BTreeMap::new(),
            addresses: 0,
            hides_starts: false,
            pending_orders: Vec::new(),
            pending_entries: BTreeMap::new(),
            unreachable: BTreeMap::new(),
            is_store_down: false,
            finish_time: Span::ZERO,
            order_count: 0,
            load_count: 0,
            cut_count: 0,
            violations: Vec::new(),
        };
        for domain in 0..domains {
            for host in 0..hosts {
                fleet.add(&format!("d{domain}"), &format!("d{domain}-h{host}"));
            }
        }
        fleet
    }

    /// Adds an empty host at an address of its own.
    pub fn add(&mut self, domain: &str, host: &str) {
        self.addresses += 1;
        let address = Ipv4Addr::from_bits(0x0a00_0000 + self.addresses);
        self.add_at((address, 80).into(), domain, host);
    }

    /// Starts a host's runner again after a crash: at its address, under another name.
    pub fn restart(&mut self, host: &HostName, name: &str) {
        let former = self.hosts[host].clone();
        self.add_at(former.address, former.domain.as_str(), name);
        let runner = self.hosts.get_mut(&HostName::from(name)).expect("added");
        runner.staged = former.staged;
    }

    /// Stops a host's runner without a sign of it; the daemon learns of it later.
    pub fn stop_silently(&mut self, host: &HostName) {
        self.hosts.get_mut(host).expect("known").is_dead = true;
    }

    /// Starts a host's runner again under the same name; its staged weights are still there.
    pub fn reboot(&mut self, host: &HostName) {
        let former = self.hosts[host].clone();
        let instance = (host.clone(), self.born(&former));
        self.unreachable.remove(&instance);
        self.add_at(former.address, former.domain.as_str(), host.as_str());
        self.hosts.get_mut(host).expect("added").staged = former.staged;
    }

    fn add_at(&mut self, address: SocketAddr, domain: &str, host: &str) {
        let runner = SimRunner {
            address,
            domain: DomainName::from(domain),
            born: self.now.0 + 1,
            is_dead: false,
            is_draining: false,
            is_unlisted: false,
            staged: Vec::new(),
            loading: None,
            member: None,
            last_epoch: Epoch(0),
            last_model: None,
            orders: 0,
        };
        self.hosts.insert(HostName::from(host), runner);
    }

    /// Makes the store unavailable to the daemon.
    pub fn stop_store(&mut self) {
        self.is_store_down = true;
    }

    /// Makes the store available again; hosts that left meanwhile are unlisted at once.
    pub fn recover_store(&mut self) {
        self.is_store_down = false;
        self.roster.store_recovered(self.now);
        let left = self.hosts.iter();
        let left = left.filter(|(_, runner)| runner.is_dead || runner.is_unlisted);
        for (name, _) in left {
            self.roster.mark_unlisted(name, self.now);
        }
    }

    /// Powers a host off: its probes fail at once, and its entry is removed if `unlisted`.
    pub fn power_off(&mut self, host: &HostName, unlisted: bool) {
        self.fail(host, unlisted, ProbeFailure::Silent);
    }

    /// Cuts a host off from the store and from the daemon: its runner goes on, and nothing of it
    /// arrives.
    pub fn cut_off(&mut self, host: &HostName) {
        let instance = (host.clone(), self.born(&self.hosts[host]));
        self.unreachable.insert(instance, ProbeFailure::Silent);
        self.unlist(host);
    }

    /// Ends the cut of a host; its entry is back at once.
    pub fn reconnect(&mut self, host: &HostName) {
        let instance = (host.clone(), self.born(&self.hosts[host]));
        self.unreachable.remove(&instance);
        self.hosts.get_mut(host).expect("known").is_unlisted = false;
    }

    /// Crashes a host's runner: its probes fail at once, and its entry is removed.
    pub fn crash(&mut self, host: &HostName) {
        self.fail(host, true, ProbeFailure::Refused);
    }

    fn fail(&mut self, host: &HostName, unlisted: bool, failure: ProbeFailure) {
        let Some(runner) = self.hosts.get_mut(host) else {
            return;
        };
        runner.is_dead = true;
        let born = if self.hides_starts { 0 } else { runner.born };
        self.unreachable.insert((host.clone(), born), failure);
        if unlisted {
            self.roster.mark_unlisted(host, self.now);
        }
    }

    /// Returns the entries in the store.
    pub fn entries(&self) -> Vec<(HostName, Runner)> {
        let listed = self.hosts.iter();
        let listed = listed.filter(|(_, runner)| !runner.is_dead && !runner.is_unlisted);
        listed
            .map(|(name, runner)| (name.clone(), self.entry(runner)))
            .collect()
    }

    /// Hands the duty over to a daemon that has just started: it knows the current list, and learns
    /// from its predecessor which groups no longer hold their members.
    pub fn hand_over_to_new_daemon(&mut self, epoch: Epoch) {
        let listed = self.entries();
        let released = self.planner.released_groups(&self.roster, self.now);
        self.roster = Roster::default();
        self.roster.replace(listed, self.now);
        self.roster.set_released(&released);
        self.pending_entries.clear();
        self.unreachable.clear();
        self.planner = Planner::new(epoch);
        self.planner.has_traffic = true;
    }

    /// Hands the duty over to a daemon that has listed all hosts but probed none; it learns from its
    /// predecessor which hosts are dead.
    pub fn hand_over_to_peer(&mut self, epoch: Epoch) {
        let dead = self.roster.dead_instances();
        let known = self.hosts.iter();
        let listed: Vec<_> = known
            .map(|(name, runner)| (name.clone(), self.entry(runner)))
            .collect();
        self.roster = Roster::default();
        self.roster.replace(listed, self.now);
        self.roster.mark_dead(&dead);
        self.pending_entries.clear();
        self.planner = Planner::new(epoch);
        self.planner.has_traffic = true;
    }

    /// Returns the domain of a host.
    pub fn domain_of(&self, host: &HostName) -> DomainName {
        self.hosts[host].domain.clone()
    }

    /// Clears the set of hosts whose probes fail.
    pub fn clear_unreachable(&mut self) {
        self.unreachable.clear();
    }

    /// Slows a host down by a factor.
    pub fn slow_down(&mut self, host: &HostName, slowdown: f64) {
        let instance = (host.clone(), self.born(&self.hosts[host]));
        self.roster.set_slow(BTreeMap::from([(instance, slowdown)]));
    }

    /// Removes a host's entry without announcement, as a leaving host does.
    pub fn unlist(&mut self, host: &HostName) {
        if let Some(runner) = self.hosts.get_mut(host) {
            runner.is_unlisted = true;
        }
        self.roster.mark_unlisted(host, self.now);
    }

    /// Makes a host refuse connections although it keeps running its requests.
    pub fn stop_listening(&mut self, host: &HostName) {
        let instance = (host.clone(), self.born(&self.hosts[host]));
        self.unreachable.insert(instance, ProbeFailure::Refused);
    }

    /// Makes a host announce that it is draining.
    pub fn drain(&mut self, host: &HostName) {
        if let Some(runner) = self.hosts.get_mut(host) {
            runner.is_draining = true;
        }
    }

    /// Returns the hosts that aren't dead.
    pub fn alive(&self) -> Vec<HostName> {
        let alive = self.hosts.iter().filter(|(_, runner)| !runner.is_dead);
        alive.map(|(name, _)| name.clone()).collect()
    }

    /// Runs until a time; `delivery` decides what becomes of each order.
    pub fn run<F>(&mut self, until: Time, mut delivery: F)
    where
        F: FnMut(&Directive) -> Delivery,
    {
        while self.now < until {
            self.advance_runners();
            self.report_entries();
            self.roster
                .set_unreachable(self.unreachable.keys().cloned().collect());
            for (instance, failure) in &self.unreachable {
                if let Some(key) = self.key_of(instance) {
                    self.roster.probe_failed(key, *failure);
                }
            }
            self.roster.rebuild_groups(&self.spec);
            for directive in self
                .planner
                .step(&self.roster, &self.spec, &self.demand, self.now)
            {
                match delivery(&directive) {
                    Delivery::Immediate => {
                        self.execute(&directive);
                        if !self.is_reached(&directive.host) {
                            continue;
                        }
                        let answer = OrderAnswer {
                            directive,
                            is_accepted: true,
                        };
                        self.planner.order_answered(&self.roster, answer);
                    }
                    Delivery::Delayed(delay) => {
                        self.pending_orders.push((self.now + delay, directive))
                    }
                    Delivery::Dropped => {}
                }
            }
            self.now = self.now + STEP_INTERVAL;
        }
    }

    /// Runs for a time with all orders executed at once.
    pub fn run_for(&mut self, span: Span) {
        self.run(self.now + span, |_| Delivery::Immediate);
    }

    /// Returns the number of serving groups of a model.
    pub fn serving_count(&self, model: &str) -> usize {
        let groups = self.roster.groups().iter();
        groups
            .filter(|group| group.model.as_str() == model)
            .filter(|group| self.roster.is_serving(group, self.now))
            .count()
    }

    /// Returns the model and the members of each group that serves, whether the daemon knows it or
    /// not.
    pub fn serving_groups(&self) -> Vec<(ModelName, Epoch, Vec<HostName>)> {
        let heads = self.hosts.values().filter_map(|runner| {
            let member = runner.member.as_ref()?;
            (member.rank == 0 && member.state == MemberState::Open).then_some(member)
        });
        let is_present = |name: &HostName, epoch| {
            let member = self.hosts[name].member.as_ref();
            self.is_reached(name) && member.is_some_and(|member| member.epoch == epoch)
        };
        heads
            .filter(|head| head.members.iter().all(|name| is_present(name, head.epoch)))
            .map(|head| (head.model.clone(), head.epoch, head.members.clone()))
            .collect()
    }

    /// Returns the number of free hosts that have a model staged.
    pub fn spare_count(&self, model: &str) -> usize {
        let model = ModelName::from(model);
        let free = |runner: &&SimRunner| !runner.is_dead && runner.member.is_none();
        self.hosts
            .values()
            .filter(free)
            .filter(|runner| runner.staged.contains(&model))
            .count()
    }

    /// Returns the members of one of the groups that serve a model, the head first.
    pub fn members(&self, model: &str) -> Vec<HostName> {
        let mut groups = self.roster.groups().iter();
        let group = groups
            .find(|group| group.model.as_str() == model && self.roster.is_serving(group, self.now))
            .expect("a group serves");
        let names = group.members.values();
        names
            .map(|key| self.roster.host(*key).expect("known").name.clone())
            .collect()
    }

    /// Returns the epoch of a host's group.
    pub fn epoch_of(&self, host: &HostName) -> Epoch {
        let member = self.hosts[host].member.as_ref();
        member.expect("a member").epoch
    }

    /// Returns the number of hosts that are members of the group of an epoch.
    pub fn count_members(&self, epoch: Epoch) -> usize {
        let members = self.hosts.values();
        let members = members.filter_map(|runner| runner.member.as_ref());
        members.filter(|member| member.epoch == epoch).count()
    }

    /// Executes due orders and completes the state changes that are due.
    fn advance_runners(&mut self) {
        let due: Vec<Directive> = {
            let now = self.now;
            let (due, left) = std::mem::take(&mut self.pending_orders)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.pending_orders = left;
            Vec::into_iter(due)
                .map(|(_, directive)| directive)
                .collect()
        };
        for directive in due {
            self.execute(&directive);
        }
        self.share_weight_store();
        let now = self.now;
        for runner in self.hosts.values_mut() {
            if let Some((model, at)) = runner.loading.clone()
                && at <= now
            {
                runner.staged = vec![model];
                runner.loading = None;
            }
            if let Some(member) = &mut runner.member
                && member.due.is_some_and(|due| due <= now)
            {
                member.due = None;
                if member.state == MemberState::Closing {
                    member.state = MemberState::Ready;
                } else if member.state == MemberState::Joining {
                    runner.staged = vec![member.model.clone()];
                    runner.last_model = Some(member.model.clone());
                    member.state = MemberState::Ready;
                } else {
                    member.state = MemberState::Open;
                }
            }
        }
        let opened: Vec<HostName> = self
            .hosts
            .iter()
            .filter(|(_, runner)| {
                runner
                    .member
                    .as_ref()
                    .is_some_and(|member| member.rank == 0 && member.state == MemberState::Open)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for head in opened {
            self.check_size(&head);
        }
    }

    /// Delays the loads that run if there are more of them than the weight store serves at once.
    fn share_weight_store(&mut self) {
        let engine = self.spec.services[0].engine.as_ref().expect("an engine");
        let parallel = f64::from(engine.load_parallel);
        let live = self.hosts.values_mut().filter(|runner| !runner.is_dead);
        let mut loads: Vec<&mut Time> = live
            .filter_map(|runner| Some(&mut runner.loading.as_mut()?.1))
            .collect();
        let speed = (parallel / loads.len() as f64).min(1.0);
        let delay = STEP_INTERVAL.scaled(1.0 - speed);
        loads.iter_mut().for_each(|at| **at = **at + delay);
    }

    /// Checks that an open group has as many members as its model needs.
    fn check_size(&mut self, head: &HostName) {
        let member = self.hosts[head].member.as_ref().expect("open");
        let size = self.replication(&member.model).size;
        if member.members.len() != usize::from(size) {
            self.violations
                .push(format!("{head} opened a group of another size"));
        }
    }

    /// Returns true if orders reach a host.
    fn is_reached(&self, host: &HostName) -> bool {
        let runner = self.hosts.get(host).filter(|runner| !runner.is_dead);
        runner.is_some_and(|runner| {
            let instance = (host.clone(), self.born(runner));
            !self.unreachable.contains_key(&instance)
        })
    }

    fn execute(&mut self, directive: &Directive) {
        let now = self.now;
        if !self.is_reached(&directive.host) {
            return;
        }
        self.order_count += 1;
        match &directive.order {
            Order::Join {
                group,
                epoch,
                model,
                members,
            } => self.join(&directive.host, group, *epoch, model, members),
            Order::Open { group, epoch } => {
                self.check_ready(&directive.host, group, *epoch);
                self.with_member(&directive.host, group, *epoch, |member| {
                    if member.state == MemberState::Ready && member.due.is_none() {
                        member.due = Some(now + OPEN_DELAY);
                    }
                });
                self.count_order(&directive.host);
            }
            Order::Close { group, epoch, cut } => {
                let is_whole = self.is_whole(&directive.host);
                let finish_time = self.finish_time;
                let mut is_cut = false;
                self.with_member(&directive.host, group, *epoch, |member| {
                    if !cut && finish_time > Span::ZERO {
                        if member.state == MemberState::Open {
                            member.state = MemberState::Closing;
                            member.due = Some(now + finish_time);
                        }
                        return;
                    }
                    is_cut = *cut && member.state != MemberState::Ready && is_whole;
                    member.state = MemberState::Ready;
                    member.due = None;
                });
                self.cut_count += usize::from(is_cut);
                self.count_order(&directive.host);
            }
            Order::Leave { group, epoch } => {
                let runner = self.hosts.get_mut(&directive.host).expect("known");
                let is_member = runner
                    .member
                    .as_ref()
                    .is_some_and(|member| member.group == *group && member.epoch == *epoch);
                if is_member {
                    runner.member = None;
                    runner.orders += 1;
                }
            }
            Order::Stage { model } => {
                let load = self.load_time(model);
                let runner = self.hosts.get_mut(&directive.host).expect("known");
                let is_loading = runner
                    .loading
                    .as_ref()
                    .is_some_and(|(other, _)| other == model);
                if !runner.staged.contains(model) && !is_loading {
                    runner.orders += 1;
                    self.load_count += 1;
                    runner.loading = Some((model.clone(), now + load));
                }
            }
        }
    }

    fn count_order(&mut self, host: &HostName) {
        self.hosts.get_mut(host).expect("known").orders += 1;
    }

    fn join(
        &mut self,
        host: &HostName,
        group: &GroupName,
        epoch: Epoch,
        model: &ModelName,
        members: &[HostName],
    ) {
        let runner = &self.hosts[host];
        if epoch < runner.last_epoch {
            return;
        }
        if let Some(member) = &runner.member {
            if member.group == *group && member.epoch == epoch {
                return;
            }
            let head = &member.members[0];
            if self.is_active(head, &member.group, member.epoch) {
                self.violations
                    .push(format!("{host} joined {group} while {head} was open"));
            }
        }
        let delay = match (&runner.last_model, runner.staged.contains(model)) {
            (Some(last), _) if last == model => REJOIN_DELAY,
            (_, true) => self.warm_time(model),
            _ => {
                self.load_count += 1;
                self.load_time(model)
            }
        };
        let rank = members.iter().position(|member| member == host);
        let runner = self.hosts.get_mut(host).expect("known");
        runner.last_epoch = epoch;
        runner.orders += 1;
        runner.member = Some(SimMember {
            group: group.clone(),
            epoch,
            rank: rank.expect("a member of its own group") as u16,
            model: model.clone(),
            members: members.to_vec(),
            state: MemberState::Joining,
            due: Some(self.now + delay),
        });
    }

    /// Returns true if all members of the group of a head are alive.
    fn is_whole(&self, head: &HostName) -> bool {
        let member = self.hosts[head].member.as_ref();
        let names = member.into_iter().flat_map(|member| &member.members);
        names.into_iter().all(|name| !self.hosts[name].is_dead)
    }

    /// Checks that every member is ready when the head is ordered to open.
    fn check_ready(&mut self, head: &HostName, group: &GroupName, epoch: Epoch) {
        let Some(member) = self.hosts[head].member.clone() else {
            return;
        };
        if member.group != *group || member.epoch != epoch || member.state != MemberState::Ready {
            return;
        }
        for name in &member.members {
            let is_ready = self.hosts[name].member.as_ref().is_some_and(|other| {
                other.group == *group && other.epoch == epoch && other.state != MemberState::Joining
            });
            let is_excused = self.hosts[name].is_dead || self.hosts[name].last_epoch > epoch;
            if !is_ready && !is_excused {
                self.violations
                    .push(format!("{head} opened before {name} was ready"));
            }
        }
    }

    fn is_active(&self, head: &HostName, group: &GroupName, epoch: Epoch) -> bool {
        let runner = &self.hosts[head];
        !runner.is_dead
            && runner.member.as_ref().is_some_and(|member| {
                member.group == *group
                    && member.epoch == epoch
                    && matches!(member.state, MemberState::Open | MemberState::Closing)
            })
    }

    fn with_member<F>(&mut self, host: &HostName, group: &GroupName, epoch: Epoch, act: F)
    where
        F: FnOnce(&mut SimMember),
    {
        let runner = self.hosts.get_mut(host).expect("known");
        if let Some(member) = &mut runner.member
            && member.group == *group
            && member.epoch == epoch
        {
            act(member);
        }
    }

    fn load_time(&self, model: &ModelName) -> Span {
        let load = self.replication(model).load;
        match self.planner.has_traffic {
            true => load,
            // Loads are ten times as fast before the first request.
            false => Span(load.0 / 10),
        }
    }

    fn warm_time(&self, model: &ModelName) -> Span {
        self.replication(model).warm
    }

    fn replication(&self, model: &ModelName) -> &Replication {
        let engine = self.spec.services[0].engine.as_ref().expect("an engine");
        engine.replication(model).expect("a known model")
    }

    /// Passes changed entries to the roster with a delay of one step, and responds to probes.
    fn report_entries(&mut self) {
        if self.is_store_down {
            return;
        }
        for (name, runner) in std::mem::take(&mut self.pending_entries) {
            self.roster.put(name, runner);
        }
        self.roster.expire(self.now);
        self.answer_probes();
        for (name, runner) in self.hosts.iter().filter(|(_, runner)| !runner.is_dead) {
            let entry = self.entry(runner);
            if runner.is_unlisted {
                continue;
            }
            let is_known = self
                .roster
                .host_by_name(name)
                .is_some_and(|(_, host)| host.runner == entry && host.unlisted_since.is_none());
            if !is_known {
                self.pending_entries.insert(name.clone(), entry);
            }
        }
    }

    /// Answers the probes of all known hosts: each by the runner that is at its address now.
    fn answer_probes(&mut self) {
        let known = self.roster.hosts();
        let known: Vec<(HostKey, RunnerInstance, SocketAddr)> = known
            .map(|(key, host)| (key, host.instance(), host.runner.address))
            .collect();
        for (key, instance, address) in known {
            let mut alive = self.hosts.iter().filter(|(_, runner)| !runner.is_dead);
            let Some((answering, runner)) = alive.find(|(_, runner)| runner.address == address)
            else {
                continue;
            };
            let own = (answering.clone(), self.born(runner));
            if self.unreachable.contains_key(&own) {
                continue;
            }
            let member = self.entry(runner).member;
            self.roster.probe_answered(key, member, self.now);
            self.unreachable.remove(&instance);
        }
    }

    /// Returns the key of a runner instance, if that is the current one of its host.
    fn key_of(&self, instance: &RunnerInstance) -> Option<HostKey> {
        let (key, host) = self.roster.host_by_name(&instance.0)?;
        (host.instance() == *instance).then_some(key)
    }

    /// Returns the start of a runner as its entry tells it.
    fn born(&self, runner: &SimRunner) -> u64 {
        if self.hides_starts { 0 } else { runner.born }
    }

    /// Returns the entry that a runner writes to the store.
    fn entry(&self, runner: &SimRunner) -> Runner {
        let born = self.born(runner);
        let usual = entry(runner);
        let hall = self.halls.get(&runner.domain).cloned();
        Runner {
            born,
            hall: hall.unwrap_or(usual.hall),
            ..usual
        }
    }
}

/// Returns the entry that a runner writes to the store.
fn entry(runner: &SimRunner) -> Runner {
    Runner {
        service: service(),
        address: runner.address,
        hall: HallName::from("hall"),
        domain: Some(runner.domain.clone()),
        slots: 26,
        draining: runner.is_draining,
        born: runner.born,
        orders: runner.orders,
        cold_left: Stated::Absent,
        staged: runner.staged.clone(),
        member: runner.member.as_ref().map(|member| Membership {
            group: member.group.clone(),
            epoch: member.epoch,
            rank: member.rank,
            model: Some(member.model.clone()),
            state: member.state,
        }),
    }
}
