//! Simulates days of random host failures with the planner alone, under several
//! repair policies, and prints group downtime and stranded accelerator time.
//! `--plan` measures the planner's own cost instead.

use argh::FromArgs;
use hickoryledge::core::{
    config::record::{PlacedGroup, Placement, Stage},
    group::{
        plan::{self, Allowance, Condition, DomainSnapshot, WantedGroup},
        relocate,
        repair::{Costs, Policy},
        stability::Stability,
    },
    keys::{DomainName, Epoch, GroupName, HostName, ModelName, VersionName},
    member::Health,
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// Simulates days of host failures with the planner.
#[derive(FromArgs)]
struct Args {
    /// number of days to simulate; day N has seed N
    #[argh(option, default = "100")]
    days: u64,
    /// measure the time of a planning round instead
    #[argh(switch)]
    plan: bool,
}

/// Seconds per day.
const DAY_S: u64 = 86_400;

/// Hosts that fail and are replaced per day in the users' whole fleet, as the users report.
const FLEET_FAILURES_PER_DAY: f64 = 29.0;

/// Hosts that restart per day in the users' whole fleet.
const FLEET_RESTARTS_PER_DAY: f64 = 270.0;

/// Number of hosts in the users' whole fleet.
const FLEET_HOSTS: f64 = 1_800.0;

/// Hosts of each deployment, with and without engines.
const DEPLOYMENT_HOSTS: f64 = 68.0;

/// Time for which a restarting host is down, in seconds.
const RESTART_S: std::ops::Range<u64> = 120..480;

/// Time until a failed host is replaced, in seconds.
const REPLACEMENT_S: std::ops::Range<u64> = 7_200..21_600;

/// Time for which all hosts of one domain are down once a day, in seconds.
const DOMAIN_OUTAGE_S: u64 = 1_800;

/// Start of the daily upgrade, in seconds since the start of the day.
const UPGRADE_START_S: u64 = 7_200;

/// Time that draining a group takes, in seconds.
const DRAIN_S: u64 = 20;

/// Time that loading takes in addition to reading the weights, in seconds.
const WARM_UP_S: u64 = 10;

/// Time that reading the weights of one host takes, in seconds.
const READ_WEIGHTS_S: u64 = 12;

/// Accelerators per host.
const ACCELERATORS: u16 = 4;

/// Deployment of one user, whose host failures are simulated.
struct Deployment {
    name: &'static str,
    /// Number of engine hosts and of groups in each domain.
    domains: [(usize, usize); 3],
    /// Hosts per group.
    size: usize,
    /// Costs that the planner weighs, and that the result is priced at.
    costs: Costs,
}

/// Deployments to simulate.
const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "papadakis",
        domains: [(19, 4), (18, 4), (18, 4)],
        size: 4,
        costs: Costs {
            downtime: 1.0,
            stranded: 0.01,
        },
    },
    Deployment {
        name: "greenfry",
        domains: [(19, 9), (18, 8), (18, 8)],
        size: 2,
        costs: Costs {
            downtime: 0.3,
            stranded: 0.1,
        },
    },
];

/// Outage of one host, in seconds.
struct Outage {
    start: u64,
    host: HostName,
    duration: u64,
}

/// Generates the outages of one day, ordered by their start.
fn generate_day(deployment: &Deployment, seed: u64) -> Vec<Outage> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let hosts: Vec<HostName> = host_names(deployment).into_iter().flatten().collect();
    let mut outages = Vec::new();
    for (daily, durations) in [
        (FLEET_FAILURES_PER_DAY, REPLACEMENT_S),
        (FLEET_RESTARTS_PER_DAY, RESTART_S),
    ] {
        let rate = daily * hosts.len() as f64 / FLEET_HOSTS / DAY_S as f64;
        for start in 0..DAY_S {
            if rng.random_bool(rate) {
                let host = hosts[rng.random_range(0..hosts.len())].clone();
                let duration = rng.random_range(durations.clone());
                outages.push(Outage {
                    start,
                    host,
                    duration,
                });
            }
        }
    }
    let start = rng.random_range(0..DAY_S - DOMAIN_OUTAGE_S);
    let domain = rng.random_range(0..deployment.domains.len());
    for host in &host_names(deployment)[domain] {
        outages.push(Outage {
            start,
            host: host.clone(),
            duration: DOMAIN_OUTAGE_S,
        });
    }
    outages.sort_by_key(|outage| outage.start);
    outages
}

/// Returns the host names of each domain.
fn host_names(deployment: &Deployment) -> Vec<Vec<HostName>> {
    let domains = deployment.domains.iter().enumerate();
    domains
        .map(|(domain, (hosts, _))| {
            let names = (0..*hosts).map(|host| format!("d{domain}h{host:02}").as_str().into());
            names.collect()
        })
        .collect()
}

/// Result of one or more days.
#[derive(Clone, Copy, Default)]
struct Outcome {
    /// Seconds of downtime, summed over the groups.
    downtime: f64,
    /// Seconds that accelerators of live hosts were in no serving group, summed over them.
    stranded: f64,
    /// Number of times that a host joined another group.
    moves: f64,
}

/// Simulated domain.
struct Domain {
    name: DomainName,
    hosts: Vec<HostName>,
    wanted: BTreeMap<GroupName, WantedGroup>,
    record: Placement,
    stability: Stability,
    /// Weights that each host holds in memory.
    held_weights: BTreeMap<HostName, (ModelName, VersionName)>,
    /// Time at which each epoch has loaded.
    loaded_at: BTreeMap<Epoch, u64>,
    /// Time at which each ended epoch has drained.
    drained_at: BTreeMap<Epoch, u64>,
    /// Time since which each group has lacked hosts.
    lacking_since: BTreeMap<GroupName, u64>,
    /// Time until which the planner may still act without a new event.
    active_until: u64,
    /// Groups down and accelerators stranded after the last planning round.
    unused: (f64, f64),
}

/// Time after an event during which the planner may still act on it, in seconds.
const SETTLE_WINDOW_S: u64 = 700;

/// Simulation of one deployment under one policy.
struct Simulation<'a> {
    deployment: &'a Deployment,
    policy: Policy,
    /// Moves groups that lack hosts to another domain.
    can_relocate: bool,
    domains: Vec<Domain>,
    /// Hosts that are down, with the time of their return.
    down: BTreeMap<HostName, u64>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    fn new(deployment: &'a Deployment, policy: Policy, can_relocate: bool) -> Self {
        let domains = host_names(deployment).into_iter().enumerate();
        let domains = domains.map(|(index, hosts)| {
            let groups = deployment.domains[index].1;
            let names = (0..groups).map(|group| format!("d{index}g{group}").as_str().into());
            Domain::new(index, hosts, names.collect(), deployment.size)
        });
        Self {
            deployment,
            policy,
            can_relocate,
            domains: domains.collect(),
            down: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    /// Simulates one day.
    fn run(mut self, outages: &[Outage]) -> Outcome {
        // Lets all groups load before the day begins.
        for now in 0..600 {
            self.simulate_second(now);
        }
        self.outcome = Outcome::default();
        let mut outages = outages.iter().peekable();
        for second in 0..DAY_S {
            let now = 600 + second;
            while let Some(outage) = outages.next_if(|outage| outage.start <= second) {
                let until = self.down.entry(outage.host.clone()).or_default();
                *until = (*until).max(now + outage.duration);
                for domain in &mut self.domains {
                    domain.held_weights.remove(&outage.host);
                }
                self.mark_active(now);
            }
            let before = self.down.len();
            self.down.retain(|_, until| *until > now);
            if self.down.len() < before {
                self.mark_active(now);
            }
            if second == UPGRADE_START_S {
                self.upgrade();
            }
            self.simulate_second(now);
        }
        self.outcome
    }

    /// Records an event that the planner may act on.
    fn mark_active(&mut self, now: u64) {
        for domain in &mut self.domains {
            domain.active_until = now + SETTLE_WINDOW_S;
        }
    }

    /// Asks for the next version of all groups.
    fn upgrade(&mut self) {
        for domain in &mut self.domains {
            for wanted in domain.wanted.values_mut() {
                wanted.version = "v2".into();
            }
        }
    }

    /// Runs a planning round in every domain, then adds one second to the outcome.
    fn simulate_second(&mut self, now: u64) {
        let upgrading = self.domains.iter().position(|d| d.is_upgrading());
        let is_active = upgrading.is_some() || self.domains.iter().any(|d| now <= d.active_until);
        if !is_active {
            self.count_second();
            return;
        }
        for index in 0..self.domains.len() {
            let starts = usize::from(upgrading == Some(index));
            let allowance = Allowance {
                starts,
                removals: 1,
            };
            let policy = self.policy;
            let costs = self.deployment.costs;
            let domain = &mut self.domains[index];
            let moves = domain.plan(now, &self.down, allowance, policy, costs);
            self.outcome.moves += moves;
        }
        if self.can_relocate {
            self.relocate(now);
        }
        for domain in &mut self.domains {
            domain.unused = domain.count_unused(&self.down);
        }
        self.count_second();
    }

    /// Adds one second of the groups and accelerators that are out of use.
    fn count_second(&mut self) {
        for domain in &self.domains {
            self.outcome.downtime += domain.unused.0;
            self.outcome.stranded += domain.unused.1;
        }
    }

    /// Moves at most one group that lacks hosts to another domain.
    fn relocate(&mut self, now: u64) {
        let spare_hosts: BTreeMap<DomainName, usize> = self
            .domains
            .iter()
            .map(|d| (d.name.clone(), d.spare_hosts(&self.down)))
            .collect();
        for index in 0..self.domains.len() {
            let domain = &mut self.domains[index];
            let Some(name) = domain.group_to_relocate(now, &self.down) else {
                continue;
            };
            let to = relocate::pick_domain(&spare_hosts, &domain.name, self.deployment.size);
            let Some(to) = to else {
                continue;
            };
            let wanted = domain
                .wanted
                .remove(&name)
                .expect("relocated group is wanted");
            let target = self.domains.iter_mut().find(|d| d.name == to);
            target.expect("domain is known").wanted.insert(name, wanted);
            return;
        }
    }
}

impl Domain {
    fn new(index: usize, hosts: Vec<HostName>, groups: Vec<GroupName>, size: usize) -> Self {
        let name: DomainName = format!("d{index}").as_str().into();
        let wanted = WantedGroup {
            model: "m".into(),
            version: "v1".into(),
            adapters: Vec::new(),
            size,
            enabled: true,
        };
        Self {
            record: Placement {
                domain: name.clone(),
                ..Placement::default()
            },
            name,
            hosts,
            wanted: groups.into_iter().map(|g| (g, wanted.clone())).collect(),
            stability: Stability::default(),
            held_weights: BTreeMap::new(),
            loaded_at: BTreeMap::new(),
            drained_at: BTreeMap::new(),
            lacking_since: BTreeMap::new(),
            active_until: 0,
            unused: (0.0, 0.0),
        }
    }

    /// Runs a planning round and returns the number of hosts that changed their group.
    fn plan(
        &mut self,
        now: u64,
        down: &BTreeMap<HostName, u64>,
        allowance: Allowance,
        policy: Policy,
        costs: Costs,
    ) -> f64 {
        let snapshot = self.snapshot(now, down, allowance, policy, costs);
        let next = plan::next(&self.record, &snapshot);
        if next == self.record {
            return 0.0;
        }
        hickoryledge::core::group::check::placement(&next).expect("planned placement is valid");
        let before = std::mem::replace(&mut self.record, next);
        self.active_until = self.active_until.max(now + SETTLE_WINDOW_S);
        self.start_loads(now);
        count_moves(&before, &self.record)
    }

    /// Returns the planner's input.
    fn snapshot(
        &mut self,
        now: u64,
        down: &BTreeMap<HostName, u64>,
        allowance: Allowance,
        policy: Policy,
        costs: Costs,
    ) -> DomainSnapshot {
        let time = Time(now * 1_000_000);
        let mut hosts = BTreeMap::new();
        for host in &self.hosts {
            let up = !down.contains_key(host);
            self.stability.observe(time, host, up);
            let health = if up { Health::Live } else { Health::Dead };
            let condition = self.stability.condition(time, host, health);
            hosts.insert(host.clone(), condition);
        }
        let usable = |host: &HostName| hosts.get(host) != Some(&Condition::Lost);
        let ready = |placed: &PlacedGroup| {
            let due = self
                .loaded_at
                .get(&placed.epoch)
                .is_some_and(|at| *at <= now);
            due && placed
                .hosts
                .iter()
                .all(|h| usable(h) && !down.contains_key(h))
        };
        let all = self.record.groups.values();
        let next = all.clone().flat_map(|placed| placed.next.as_deref());
        let loaded = all.clone().chain(next).filter(|p| ready(p));
        let unloaded = all.filter(|p| p.stage == Stage::Serving && self.has_lost_weights(p, down));
        DomainSnapshot {
            loaded: loaded.map(|p| p.epoch).collect(),
            unloaded: unloaded.map(|p| p.epoch).collect(),
            drained: self.drained(now),
            wanted: self.wanted.clone(),
            held_weights: self.held_weights.clone(),
            allowance: BTreeMap::from([("m".into(), allowance)]),
            down_for: self.stability.down_for(time),
            accelerators: hosts.keys().map(|h| (h.clone(), ACCELERATORS)).collect(),
            load_time: BTreeMap::from([("m".into(), Span::from_secs(READ_WEIGHTS_S + WARM_UP_S))]),
            costs,
            policy,
            epoch_floor: 0,
            hosts,
        }
    }

    /// Returns true if a host of the group came back without the weights that it held.
    fn has_lost_weights(&self, placed: &PlacedGroup, down: &BTreeMap<HostName, u64>) -> bool {
        let hosts = placed.hosts.iter();
        hosts
            .filter(|host| !down.contains_key(*host))
            .any(|host| !self.held_weights.contains_key(host))
    }

    /// Starts the drain of each epoch that has ended; returns the epochs that have drained.
    fn drained(&mut self, now: u64) -> BTreeSet<Epoch> {
        let placed = self.record.groups.values();
        let ended = placed.filter(|p| p.stage == Stage::Draining);
        let retiring = self.record.retiring.iter().map(|r| r.epoch);
        let ended: Vec<Epoch> = ended.map(|p| p.epoch).chain(retiring).collect();
        for epoch in &ended {
            self.drained_at.entry(*epoch).or_insert(now + DRAIN_S);
        }
        let is_drained = |epoch: &Epoch| self.drained_at[epoch] <= now;
        ended.into_iter().filter(is_drained).collect()
    }

    /// Starts to load each epoch that is new in the placement.
    fn start_loads(&mut self, now: u64) {
        for placed in self.record.groups.values() {
            for placed in std::iter::once(placed).chain(placed.next.as_deref()) {
                if self.loaded_at.contains_key(&placed.epoch) {
                    continue;
                }
                let weights = (placed.model.clone(), placed.version.clone());
                let mut time = WARM_UP_S;
                for host in &placed.hosts {
                    if self.held_weights.insert(host.clone(), weights.clone())
                        != Some(weights.clone())
                    {
                        time += READ_WEIGHTS_S;
                    }
                }
                self.loaded_at.insert(placed.epoch, now + time);
            }
        }
    }

    /// Returns the wanted groups that are in service.
    fn serving(&self, down: &BTreeMap<HostName, u64>) -> Vec<&PlacedGroup> {
        let wanted = |name: &GroupName| self.wanted.contains_key(name);
        let groups = self.record.groups.iter().filter(|(name, placed)| {
            let up = placed.hosts.iter().all(|h| !down.contains_key(h));
            placed.stage == Stage::Serving
                && wanted(name)
                && up
                && !self.has_lost_weights(placed, down)
        });
        groups.map(|(_, placed)| placed).collect()
    }

    /// Returns the groups that are down and the accelerators of live hosts in no serving group.
    fn count_unused(&self, down: &BTreeMap<HostName, u64>) -> (f64, f64) {
        let serving = self.serving(down);
        let used: usize = serving.iter().map(|placed| placed.hosts.len()).sum();
        let up = self.hosts.iter().filter(|h| !down.contains_key(*h)).count();
        let stranded = (up - used) * usize::from(ACCELERATORS);
        ((self.wanted.len() - serving.len()) as f64, stranded as f64)
    }

    /// Returns true if a group has yet to reach its wanted version.
    fn is_upgrading(&self) -> bool {
        let groups = self.record.groups.iter();
        groups
            .filter_map(|(name, placed)| Some((self.wanted.get(name)?, placed)))
            .any(|(wanted, placed)| wanted.version != placed.version || placed.next.is_some())
    }

    /// Returns the number of live hosts beyond those that the wanted groups need.
    fn spare_hosts(&self, down: &BTreeMap<HostName, u64>) -> usize {
        let up = self.hosts.iter().filter(|h| !down.contains_key(*h)).count();
        let needed: usize = self.wanted.values().map(|wanted| wanted.size).sum();
        up.saturating_sub(needed)
    }

    /// Returns a group that has lacked hosts for the relocation delay.
    fn group_to_relocate(&mut self, now: u64, down: &BTreeMap<HostName, u64>) -> Option<GroupName> {
        let serving = self.serving(down);
        let serving_epochs: BTreeSet<Epoch> = serving.iter().map(|placed| placed.epoch).collect();
        let used: usize = serving.iter().map(|placed| placed.hosts.len()).sum();
        let up = self.hosts.iter().filter(|h| !down.contains_key(*h)).count();
        let lacks_hosts = |name: &GroupName, size: usize| {
            let placed = self.record.groups.get(name);
            up - used < size && !placed.is_some_and(|p| serving_epochs.contains(&p.epoch))
        };
        let lacking: BTreeSet<GroupName> = self
            .wanted
            .iter()
            .filter(|(name, wanted)| lacks_hosts(name, wanted.size))
            .map(|(name, _)| name.clone())
            .collect();
        self.lacking_since.retain(|name, _| lacking.contains(name));
        for name in lacking {
            self.lacking_since.entry(name).or_insert(now);
        }
        let delay = relocate::RELOCATE_DELAY.as_millis() / 1_000;
        let due = self
            .lacking_since
            .iter()
            .find(|(_, since)| now - **since >= delay);
        due.map(|(name, _)| name.clone())
    }
}

/// Returns the number of hosts that joined another group.
fn count_moves(before: &Placement, after: &Placement) -> f64 {
    let groups_by_host = |record: &Placement| -> BTreeMap<HostName, GroupName> {
        let groups = record.groups.iter();
        groups
            .flat_map(|(name, placed)| placed.hosts.iter().map(|h| (h.clone(), name.clone())))
            .collect()
    };
    let before = groups_by_host(before);
    let after = groups_by_host(after);
    let changed = after
        .iter()
        .filter(|(host, group)| before.get(*host) != Some(*group));
    changed.count() as f64
}

fn main() {
    let args: Args = argh::from_env();
    if args.plan {
        measure_planner();
        return;
    }
    let policies = [
        ("wait", Policy::Wait, false),
        ("spare", Policy::Spare, false),
        ("cheapest", Policy::Cheapest, false),
        ("cheapest, across domains", Policy::Cheapest, true),
    ];
    println!(
        "| deployment | policy | group downtime, s | stranded, accelerator-s | hosts moved | cost |"
    );
    println!("| --- | --- | ---: | ---: | ---: | ---: |");
    for deployment in &DEPLOYMENTS {
        for (name, policy, can_relocate) in policies {
            let mut total = Outcome::default();
            for seed in 1..=args.days {
                let outages = generate_day(deployment, seed);
                let outcome = Simulation::new(deployment, policy, can_relocate).run(&outages);
                total.downtime += outcome.downtime;
                total.stranded += outcome.stranded;
                total.moves += outcome.moves;
            }
            let days = args.days as f64;
            let Costs { downtime, stranded } = deployment.costs;
            let cost = (total.downtime * downtime + total.stranded * stranded) / days;
            println!(
                "| {} | {name} | {:.0} | {:.0} | {:.1} | {cost:.0} |",
                deployment.name,
                total.downtime / days,
                total.stranded / days,
                total.moves / days,
            );
        }
    }
}

/// Measures a planning round with one lost host, at several sizes of a domain.
fn measure_planner() {
    const ROUNDS: u32 = 200;
    for (hosts, size) in [
        (DEPLOYMENT_HOSTS as usize, 4),
        (120, 16),
        (FLEET_HOSTS as usize, 16),
    ] {
        let names: Vec<HostName> = (0..hosts)
            .map(|host| format!("h{host:04}").as_str().into())
            .collect();
        let groups = hosts * 9 / 10 / size;
        let groups = (0..groups).map(|group| format!("g{group:03}").as_str().into());
        let mut domain = Domain::new(0, names.clone(), groups.collect(), size);
        let mut down = BTreeMap::new();
        let allowance = Allowance::default();
        let costs = Costs::default();
        for now in 0..600 {
            domain.plan(now, &down, allowance, Policy::Cheapest, costs);
        }
        down.insert(names[0].clone(), u64::MAX);
        domain.snapshot(600, &down, allowance, Policy::Cheapest, costs);
        let snapshot = domain.snapshot(610, &down, allowance, Policy::Cheapest, costs);
        let began = Instant::now();
        let mut changed = 0;
        for _ in 0..ROUNDS {
            changed += u32::from(plan::next(&domain.record, &snapshot) != domain.record);
        }
        let round_time = began.elapsed() / ROUNDS;
        println!(
            "{hosts} hosts, groups of {size}: {round_time:?} a round, {changed} of {ROUNDS} repaired"
        );
    }
}
