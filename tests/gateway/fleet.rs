//! Runners in virtual time that carry out orders as real ones do.
//!
//! Orders may be lost or carried out late, hosts may die, and entries lag.
//! Every join and every opening is checked against what must always hold.

use hickoryledge::{
    core::{
        keys::{DomainName, Epoch, GroupName, HallName, HostName, ModelName, ServiceName},
        time::{Span, Time},
    },
    gateway::{
        demand::Demand,
        order::{Directive, Order},
        planner::Planner,
        roster::{Failure, MemberState, Membership, Roster, Runner, RunnerInstance},
        spec::{Engine, Replication, Service, Spec},
    },
};
use std::collections::BTreeMap;

/// The time between two steps of the planner.
pub const STEP: Span = Span::from_millis(100);
/// The time from the order to open to the open head.
const FORM: Span = Span::from_millis(300);
/// The time of joining again with weights in memory.
const REJOIN: Span = Span::from_millis(200);

/// The larger and the smaller model.
pub const LARGE: &str = "large";
pub const SMALL: &str = "small";

/// The model runners' service.
pub fn service() -> ServiceName {
    ServiceName::from("engines")
}

/// A configuration with one service of two models.
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
        form: FORM,
    };
    Spec {
        version: 1,
        services: vec![Service {
            name: service(),
            max_connections: 300,
            engine: Some(engine),
        }],
        ..Spec::default()
    }
}

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Carried out at once.
    Prompt,
    /// Carried out after this time, without an answer.
    Late(Span),
    /// Never carried out.
    Lost,
}

/// A runner as it really is.
#[derive(Clone, Debug)]
struct Real {
    domain: DomainName,
    born: u64,
    is_dead: bool,
    is_draining: bool,
    /// Whether its entry has been removed.
    is_unlisted: bool,
    staged: Vec<ModelName>,
    loading: Option<(ModelName, Time)>,
    member: Option<Place>,
    seen_epoch: Epoch,
    last_model: Option<ModelName>,
}

/// A runner's place in a group, as it really is.
#[derive(Clone, Debug)]
struct Place {
    group: GroupName,
    epoch: Epoch,
    rank: u16,
    model: ModelName,
    members: Vec<HostName>,
    state: MemberState,
    /// When the state changes to the next one.
    due: Option<Time>,
}

/// A fleet of runners and the planner that orders them.
pub struct Fleet {
    pub now: Time,
    pub roster: Roster,
    pub planner: Planner,
    pub demand: Demand,
    pub spec: Spec,
    hosts: BTreeMap<HostName, Real>,
    pending: Vec<(Time, Directive)>,
    reported: BTreeMap<HostName, Runner>,
    /// Hosts that answer no probe, and how they fail to.
    lost: BTreeMap<RunnerInstance, Failure>,
    /// Whether entries reach the daemon no more.
    pub is_dark: bool,
    /// What was broken, in words.
    pub broken: Vec<String>,
}

impl Fleet {
    /// Domains of so many empty hosts each.
    pub fn new(domains: usize, hosts: usize) -> Self {
        let mut fleet = Self {
            now: Time(0),
            roster: Roster::default(),
            planner: Planner::new(Epoch(1_000)),
            demand: Demand::default(),
            spec: spec(),
            hosts: BTreeMap::new(),
            pending: Vec::new(),
            reported: BTreeMap::new(),
            lost: BTreeMap::new(),
            is_dark: false,
            broken: Vec::new(),
        };
        for domain in 0..domains {
            for host in 0..hosts {
                fleet.add(&format!("d{domain}"), &format!("d{domain}-h{host}"));
            }
        }
        fleet
    }

    /// Adds an empty host.
    pub fn add(&mut self, domain: &str, host: &str) {
        let real = Real {
            domain: DomainName::from(domain),
            born: self.now.0 + 1,
            is_dead: false,
            is_draining: false,
            is_unlisted: false,
            staged: Vec::new(),
            loading: None,
            member: None,
            seen_epoch: Epoch(0),
            last_model: None,
        };
        self.hosts.insert(HostName::from(host), real);
    }

    /// Cuts the daemon off from the store and from its duty.
    pub fn lose_store(&mut self) {
        self.is_dark = true;
    }

    /// Lets the store answer again: entries that are gone are so at once.
    pub fn regain_store(&mut self) {
        self.is_dark = false;
        self.roster.store_recovered(self.now);
        let gone = self.hosts.iter();
        let gone = gone.filter(|(_, real)| real.is_dead || real.is_unlisted);
        for (name, _) in gone {
            self.roster.mark_unlisted(name, self.now);
        }
    }

    /// Takes a host's power away; it is found lost at once, and its entry goes if `unlisted`.
    pub fn power_off(&mut self, host: &HostName, unlisted: bool) {
        self.lose(host, unlisted, Failure::Silent);
    }

    /// Ends a host's runner; it is found lost at once, and its entry goes.
    pub fn crash(&mut self, host: &HostName) {
        self.lose(host, true, Failure::Refused);
    }

    fn lose(&mut self, host: &HostName, unlisted: bool, failure: Failure) {
        let Some(real) = self.hosts.get_mut(host) else {
            return;
        };
        real.is_dead = true;
        self.lost.insert((host.clone(), real.born), failure);
        if unlisted {
            self.roster.mark_unlisted(host, self.now);
        }
    }

    /// Hands the duty to a daemon that has just started, and knows only what is listed now.
    pub fn hand_to_newcomer(&mut self, epoch: Epoch) {
        let listed = self
            .hosts
            .iter()
            .filter(|(_, real)| !real.is_dead && !real.is_unlisted)
            .map(|(name, real)| (name.clone(), entry(real)))
            .collect();
        let ended = self.planner.ended(&self.roster, self.now);
        self.roster = Roster::default();
        self.roster.replace(listed, self.now);
        self.roster.set_released(&ended);
        self.reported.clear();
        self.lost.clear();
        self.planner = Planner::new(epoch);
        self.planner.busy = true;
    }

    /// Hands the duty to a daemon that has listed all hosts, but has probed none; it learns what
    /// its predecessor found out.
    pub fn hand_to_peer(&mut self, epoch: Epoch) {
        let dead = self.roster.dead();
        let known = self.hosts.iter();
        let listed = known.map(|(name, real)| (name.clone(), entry(real)));
        self.roster = Roster::default();
        self.roster.replace(listed.collect(), self.now);
        self.roster.mark_dead(&dead);
        self.reported.clear();
        self.planner = Planner::new(epoch);
        self.planner.busy = true;
    }

    /// Forgets which hosts were found dead.
    pub fn forget_lost(&mut self) {
        self.lost.clear();
    }

    /// Lets a host work so many times slower.
    pub fn slow_down(&mut self, host: &HostName, pace: f64) {
        let life = (host.clone(), self.hosts[host].born);
        self.roster.set_slow(BTreeMap::from([(life, pace)]));
    }

    /// Lets a host's entry go without a word, as a host that leaves.
    pub fn unlist(&mut self, host: &HostName) {
        if let Some(real) = self.hosts.get_mut(host) {
            real.is_unlisted = true;
        }
        self.roster.mark_unlisted(host, self.now);
    }

    /// Lets a host answer no more, though it goes on with its requests.
    pub fn deafen(&mut self, host: &HostName) {
        let life = (host.clone(), self.hosts[host].born);
        self.lost.insert(life, Failure::Refused);
    }

    /// Lets a host announce that it leaves.
    pub fn drain(&mut self, host: &HostName) {
        if let Some(real) = self.hosts.get_mut(host) {
            real.is_draining = true;
        }
    }

    /// All hosts that live.
    pub fn alive(&self) -> Vec<HostName> {
        let alive = self.hosts.iter().filter(|(_, real)| !real.is_dead);
        alive.map(|(name, _)| name.clone()).collect()
    }

    /// Runs until a time; `fate` decides on each order.
    pub fn run<F>(&mut self, until: Time, mut fate: F)
    where
        F: FnMut(&Directive) -> Fate,
    {
        while self.now < until {
            self.tick();
            self.report();
            self.roster
                .set_unreachable(self.lost.keys().cloned().collect());
            for ((name, _), failure) in &self.lost {
                self.roster.missed(name, *failure);
            }
            self.roster.rebuild_groups(&self.spec);
            for directive in self
                .planner
                .step(&self.roster, &self.spec, &self.demand, self.now)
            {
                match fate(&directive) {
                    Fate::Prompt => self.carry_out(&directive),
                    Fate::Late(delay) => self.pending.push((self.now + delay, directive)),
                    Fate::Lost => {}
                }
            }
            self.now = self.now + STEP;
        }
    }

    /// Runs with all orders carried out.
    pub fn run_for(&mut self, span: Span) {
        self.run(self.now + span, |_| Fate::Prompt);
    }

    /// Groups of a model that serve.
    pub fn serving(&self, model: &str) -> usize {
        let groups = self.roster.groups().iter();
        groups
            .filter(|group| group.model.as_str() == model)
            .filter(|group| self.roster.is_serving(group, self.now))
            .count()
    }

    /// Free hosts that have a model staged.
    pub fn spares(&self, model: &str) -> usize {
        let model = ModelName::from(model);
        let free = |real: &&Real| !real.is_dead && real.member.is_none();
        self.hosts
            .values()
            .filter(free)
            .filter(|real| real.staged.contains(&model))
            .count()
    }

    /// The members of some group that serves a model, the head first.
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

    /// Moves every runner on to the present.
    fn tick(&mut self) {
        let due: Vec<Directive> = {
            let now = self.now;
            let (due, left) = std::mem::take(&mut self.pending)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.pending = left;
            Vec::into_iter(due)
                .map(|(_, directive)| directive)
                .collect()
        };
        for directive in due {
            self.carry_out(&directive);
        }
        let now = self.now;
        for real in self.hosts.values_mut() {
            if let Some((model, at)) = real.loading.clone()
                && at <= now
            {
                real.staged = vec![model];
                real.loading = None;
            }
            if let Some(member) = &mut real.member
                && member.due.is_some_and(|due| due <= now)
            {
                member.due = None;
                if member.state == MemberState::Joining {
                    real.staged = vec![member.model.clone()];
                    real.last_model = Some(member.model.clone());
                    member.state = MemberState::Ready;
                } else {
                    member.state = MemberState::Open;
                }
            }
        }
        let opened: Vec<HostName> = self
            .hosts
            .iter()
            .filter(|(_, real)| {
                real.member
                    .as_ref()
                    .is_some_and(|member| member.rank == 0 && member.state == MemberState::Open)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for head in opened {
            self.check_size(&head);
        }
    }

    /// An open group has as many members as its model needs.
    fn check_size(&mut self, head: &HostName) {
        let member = self.hosts[head].member.as_ref().expect("open");
        let size = if member.model.as_str() == LARGE { 6 } else { 3 };
        if member.members.len() != size {
            self.broken
                .push(format!("{head} opened a group of another size"));
        }
    }

    fn carry_out(&mut self, directive: &Directive) {
        let now = self.now;
        let is_dead = self
            .hosts
            .get(&directive.host)
            .is_none_or(|real| real.is_dead);
        if is_dead {
            return;
        }
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
                        member.due = Some(now + FORM);
                    }
                });
            }
            Order::Close { group, epoch, .. } => {
                self.with_member(&directive.host, group, *epoch, |member| {
                    member.state = MemberState::Ready;
                    member.due = None;
                });
            }
            Order::Stage { model } => {
                let load = self.load_of(model);
                let real = self.hosts.get_mut(&directive.host).expect("known");
                let is_loading = real
                    .loading
                    .as_ref()
                    .is_some_and(|(other, _)| other == model);
                if !real.staged.contains(model) && !is_loading {
                    real.loading = Some((model.clone(), now + load));
                }
            }
        }
    }

    fn join(
        &mut self,
        host: &HostName,
        group: &GroupName,
        epoch: Epoch,
        model: &ModelName,
        members: &[HostName],
    ) {
        let real = &self.hosts[host];
        if epoch < real.seen_epoch {
            return;
        }
        if let Some(member) = &real.member {
            if member.group == *group && member.epoch == epoch {
                return;
            }
            let head = &member.members[0];
            if self.is_active(head, &member.group, member.epoch) {
                self.broken
                    .push(format!("{host} joined {group} while {head} was open"));
            }
        }
        let delay = match (&real.last_model, real.staged.contains(model)) {
            (Some(last), _) if last == model => REJOIN,
            (_, true) => self.warm_of(model),
            _ => self.load_of(model),
        };
        let rank = members.iter().position(|member| member == host);
        let real = self.hosts.get_mut(host).expect("known");
        real.seen_epoch = epoch;
        real.member = Some(Place {
            group: group.clone(),
            epoch,
            rank: rank.expect("a member of its own group") as u16,
            model: model.clone(),
            members: members.to_vec(),
            state: MemberState::Joining,
            due: Some(self.now + delay),
        });
    }

    /// Every member is ready before the head is ordered to open.
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
            let is_excused = self.hosts[name].is_dead || self.hosts[name].seen_epoch > epoch;
            if !is_ready && !is_excused {
                self.broken
                    .push(format!("{head} opened before {name} was ready"));
            }
        }
    }

    fn is_active(&self, head: &HostName, group: &GroupName, epoch: Epoch) -> bool {
        let real = &self.hosts[head];
        !real.is_dead
            && real.member.as_ref().is_some_and(|member| {
                member.group == *group
                    && member.epoch == epoch
                    && matches!(member.state, MemberState::Open | MemberState::Closing)
            })
    }

    fn with_member<F>(&mut self, host: &HostName, group: &GroupName, epoch: Epoch, act: F)
    where
        F: FnOnce(&mut Place),
    {
        let real = self.hosts.get_mut(host).expect("known");
        if let Some(member) = &mut real.member
            && member.group == *group
            && member.epoch == epoch
        {
            act(member);
        }
    }

    fn load_of(&self, model: &ModelName) -> Span {
        let load = self.replication(model).load;
        match self.planner.busy {
            true => load,
            // The weight store is ten times as fast before the first request.
            false => Span(load.0 / 10),
        }
    }

    fn warm_of(&self, model: &ModelName) -> Span {
        self.replication(model).warm
    }

    fn replication(&self, model: &ModelName) -> &Replication {
        let engine = self.spec.services[0].engine.as_ref().expect("an engine");
        engine.replication(model).expect("a known model")
    }

    /// Puts entries that changed into the roster, one step behind.
    fn report(&mut self) {
        if self.is_dark {
            return;
        }
        for (name, runner) in std::mem::take(&mut self.reported) {
            self.roster.put(name, runner);
        }

        for (name, real) in self.hosts.iter().filter(|(_, real)| !real.is_dead) {
            let entry = entry(real);
            if !self.lost.contains_key(&(name.clone(), real.born)) {
                self.roster.report(name, entry.member.clone(), self.now);
            }
            if real.is_unlisted {
                continue;
            }
            let is_known = self
                .roster
                .host_by_name(name)
                .is_some_and(|(_, host)| host.runner == entry && host.unlisted.is_none());
            if !is_known {
                self.reported.insert(name.clone(), entry);
            }
        }
    }
}

fn entry(real: &Real) -> Runner {
    Runner {
        service: service(),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: HallName::from("hall"),
        domain: Some(real.domain.clone()),
        slots: 26,
        draining: real.is_draining,
        born: real.born,
        staged: real.staged.clone(),
        member: real.member.as_ref().map(|member| Membership {
            group: member.group.clone(),
            epoch: member.epoch,
            rank: member.rank,
            model: Some(member.model.clone()),
            state: member.state,
        }),
    }
}
