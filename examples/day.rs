//! Replays recorded days of host failures through the planning decisions
//! alone, under several repair policies, and prints group downtime and
//! stranded accelerator time. `--plan` measures the planner's own cost.

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

/// Replays days of host failures through the planner.
#[derive(FromArgs)]
struct Arguments {
    /// days to replay; day N has seed N
    #[argh(option, default = "100")]
    days: u64,
    /// measure the planner's cost instead
    #[argh(switch)]
    plan: bool,
}

/// Seconds of a day.
const DAY: u64 = 86_400;

/// Host losses a day over the whole fleet in the letter, and its hosts.
const FLEET_FAILURES: f64 = 29.0;
const FLEET_RESTARTS: f64 = 270.0;
const FLEET_HOSTS: f64 = 1_800.0;

/// Hosts of each deployment, engines or not.
const HOSTS: f64 = 68.0;

/// How long hosts stay away, in seconds.
const RESTART: std::ops::Range<u64> = 120..480;
const REPLACEMENT: std::ops::Range<u64> = 7_200..21_600;
const DOMAIN_OUTAGE: u64 = 1_800;

/// When the nightly upgrade starts, in seconds of the day.
const UPGRADE: u64 = 7_200;

/// How long a drain takes, in seconds.
const DRAIN: u64 = 20;

/// How long loading takes beyond reading the weights, in seconds.
const WARM: u64 = 10;

/// How long one host's weights take, in seconds.
const COLD: u64 = 12;

/// Accelerators of each host.
const ACCELERATORS: u16 = 4;

struct Deployment {
    name: &'static str,
    /// Engine hosts and groups of each domain.
    domains: [(usize, usize); 3],
    size: usize,
    costs: Costs,
}

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

/// A host goes down at a second of the day and stays away for so long.
struct Loss {
    at: u64,
    host: HostName,
    lasts: u64,
}

/// The losses of one day.
fn record_day(deployment: &Deployment, seed: u64) -> Vec<Loss> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let hosts: Vec<HostName> = host_names(deployment).into_iter().flatten().collect();
    let mut losses = Vec::new();
    for (daily, lasts) in [(FLEET_FAILURES, REPLACEMENT), (FLEET_RESTARTS, RESTART)] {
        let rate = daily * hosts.len() as f64 / FLEET_HOSTS / DAY as f64;
        for at in 0..DAY {
            if rng.random_bool(rate) {
                let host = hosts[rng.random_range(0..hosts.len())].clone();
                let lasts = rng.random_range(lasts.clone());
                losses.push(Loss { at, host, lasts });
            }
        }
    }
    let at = rng.random_range(0..DAY - DOMAIN_OUTAGE);
    let domain = rng.random_range(0..deployment.domains.len());
    for host in &host_names(deployment)[domain] {
        losses.push(Loss {
            at,
            host: host.clone(),
            lasts: DOMAIN_OUTAGE,
        });
    }
    losses.sort_by_key(|loss| loss.at);
    losses
}

fn host_names(deployment: &Deployment) -> Vec<Vec<HostName>> {
    let domains = deployment.domains.iter().enumerate();
    domains
        .map(|(domain, (hosts, _))| {
            let names = (0..*hosts).map(|host| format!("d{domain}h{host:02}").as_str().into());
            names.collect()
        })
        .collect()
}

/// What a day came to.
#[derive(Clone, Copy, Default)]
struct Outcome {
    down: f64,
    stranded: f64,
    moves: f64,
}

/// One domain under replay.
struct Domain {
    name: DomainName,
    hosts: Vec<HostName>,
    wanted: BTreeMap<GroupName, WantedGroup>,
    record: Placement,
    steadiness: Stability,
    warm: BTreeMap<HostName, (ModelName, VersionName)>,
    /// When each epoch is loaded.
    loading: BTreeMap<Epoch, u64>,
    /// When each ended epoch has drained.
    draining: BTreeMap<Epoch, u64>,
    /// Since when a group has lacked hosts.
    lacking: BTreeMap<GroupName, u64>,
    /// Nothing can change by itself after this.
    busy: u64,
    /// Groups down and accelerators idle, as last worked out.
    idle: (f64, f64),
}

/// How long after an event the planner may still act upon it, in seconds.
const SETTLED: u64 = 700;

struct Replay<'a> {
    deployment: &'a Deployment,
    policy: Policy,
    relocates: bool,
    domains: Vec<Domain>,
    /// Hosts that are down, and until when.
    down: BTreeMap<HostName, u64>,
    outcome: Outcome,
}

impl<'a> Replay<'a> {
    fn new(deployment: &'a Deployment, policy: Policy, relocates: bool) -> Self {
        let domains = host_names(deployment).into_iter().enumerate();
        let domains = domains.map(|(index, hosts)| {
            let groups = deployment.domains[index].1;
            let names = (0..groups).map(|group| format!("d{index}g{group}").as_str().into());
            Domain::new(index, hosts, names.collect(), deployment.size)
        });
        Self {
            deployment,
            policy,
            relocates,
            domains: domains.collect(),
            down: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, losses: &[Loss]) -> Outcome {
        // Groups come up before the day begins.
        for now in 0..600 {
            self.second(now);
        }
        self.outcome = Outcome::default();
        let mut losses = losses.iter().peekable();
        for second in 0..DAY {
            let now = 600 + second;
            while let Some(loss) = losses.next_if(|loss| loss.at <= second) {
                let until = self.down.entry(loss.host.clone()).or_default();
                *until = (*until).max(now + loss.lasts);
                for domain in &mut self.domains {
                    domain.warm.remove(&loss.host);
                }
                self.wake(now);
            }
            let before = self.down.len();
            self.down.retain(|_, until| *until > now);
            if self.down.len() < before {
                self.wake(now);
            }
            if second == UPGRADE {
                self.upgrade();
            }
            self.second(now);
        }
        self.outcome
    }

    fn wake(&mut self, now: u64) {
        for domain in &mut self.domains {
            domain.busy = now + SETTLED;
        }
    }

    fn upgrade(&mut self) {
        for domain in &mut self.domains {
            for wanted in domain.wanted.values_mut() {
                wanted.version = "v2".into();
            }
        }
    }

    /// Plans every domain once, and counts what is out of use for a second.
    fn second(&mut self, now: u64) {
        let turn = self.domains.iter().position(|d| d.is_upgrading());
        let awake = turn.is_some() || self.domains.iter().any(|d| now <= d.busy);
        if !awake {
            self.count();
            return;
        }
        for index in 0..self.domains.len() {
            let starts = usize::from(turn == Some(index));
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
        if self.relocates {
            self.relocate(now);
        }
        for domain in &mut self.domains {
            domain.idle = domain.idle(&self.down);
        }
        self.count();
    }

    fn count(&mut self) {
        for domain in &self.domains {
            self.outcome.down += domain.idle.0;
            self.outcome.stranded += domain.idle.1;
        }
    }

    fn relocate(&mut self, now: u64) {
        let rooms: BTreeMap<DomainName, usize> = self
            .domains
            .iter()
            .map(|d| (d.name.clone(), d.room(&self.down)))
            .collect();
        for index in 0..self.domains.len() {
            let domain = &mut self.domains[index];
            let Some(name) = domain.lacks(now, &self.down) else {
                continue;
            };
            let to = relocate::pick_domain(&rooms, &domain.name, self.deployment.size);
            let Some(to) = to else {
                continue;
            };
            let wanted = domain.wanted.remove(&name).expect("group is wanted");
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
            steadiness: Stability::default(),
            warm: BTreeMap::new(),
            loading: BTreeMap::new(),
            draining: BTreeMap::new(),
            lacking: BTreeMap::new(),
            busy: 0,
            idle: (0.0, 0.0),
        }
    }

    /// Plans once, and gives the hosts that changed their group.
    fn plan(
        &mut self,
        now: u64,
        down: &BTreeMap<HostName, u64>,
        allowance: Allowance,
        policy: Policy,
        costs: Costs,
    ) -> f64 {
        let picture = self.picture(now, down, allowance, policy, costs);
        let next = plan::next(&self.record, &picture);
        if next == self.record {
            return 0.0;
        }
        hickoryledge::core::group::check::placement(&next).expect("a valid record");
        let before = std::mem::replace(&mut self.record, next);
        self.busy = self.busy.max(now + SETTLED);
        self.start_loads(now);
        moved(&before, &self.record)
    }

    fn picture(
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
            self.steadiness.observe(time, host, up);
            let health = if up { Health::Live } else { Health::Dead };
            let condition = self.steadiness.condition(time, host, health);
            hosts.insert(host.clone(), condition);
        }
        let usable = |host: &HostName| hosts.get(host) != Some(&Condition::Lost);
        let ready = |placed: &PlacedGroup| {
            let due = self.loading.get(&placed.epoch).is_some_and(|at| *at <= now);
            due && placed
                .hosts
                .iter()
                .all(|h| usable(h) && !down.contains_key(h))
        };
        let all = self.record.groups.values();
        let next = all.clone().flat_map(|placed| placed.next.as_deref());
        let loaded = all.clone().chain(next).filter(|p| ready(p));
        let emptied = all.filter(|p| p.stage == Stage::Serving && self.is_emptied(p, down));
        DomainSnapshot {
            loaded: loaded.map(|p| p.epoch).collect(),
            unloaded: emptied.map(|p| p.epoch).collect(),
            drained: self.drained(now),
            wanted: self.wanted.clone(),
            held_weights: self.warm.clone(),
            allowance: BTreeMap::from([("m".into(), allowance)]),
            down_for: self.steadiness.down_for(time),
            accelerators: hosts.keys().map(|h| (h.clone(), ACCELERATORS)).collect(),
            load_time: BTreeMap::from([("m".into(), Span::from_secs(COLD + WARM))]),
            costs,
            policy,
            epoch_floor: 0,
            hosts,
        }
    }

    /// Whether a host came back without what it held.
    fn is_emptied(&self, placed: &PlacedGroup, down: &BTreeMap<HostName, u64>) -> bool {
        let hosts = placed.hosts.iter();
        hosts
            .filter(|host| !down.contains_key(*host))
            .any(|host| !self.warm.contains_key(host))
    }

    fn drained(&mut self, now: u64) -> BTreeSet<Epoch> {
        let placed = self.record.groups.values();
        let ended = placed.filter(|p| p.stage == Stage::Draining);
        let retiring = self.record.retiring.iter().map(|r| r.epoch);
        let ended: Vec<Epoch> = ended.map(|p| p.epoch).chain(retiring).collect();
        for epoch in &ended {
            self.draining.entry(*epoch).or_insert(now + DRAIN);
        }
        let is_over = |epoch: &Epoch| self.draining[epoch] <= now;
        ended.into_iter().filter(is_over).collect()
    }

    fn start_loads(&mut self, now: u64) {
        for placed in self.record.groups.values() {
            for placed in std::iter::once(placed).chain(placed.next.as_deref()) {
                if self.loading.contains_key(&placed.epoch) {
                    continue;
                }
                let held = (placed.model.clone(), placed.version.clone());
                let mut time = WARM;
                for host in &placed.hosts {
                    if self.warm.insert(host.clone(), held.clone()) != Some(held.clone()) {
                        time += COLD;
                    }
                }
                self.loading.insert(placed.epoch, now + time);
            }
        }
    }

    fn serving(&self, down: &BTreeMap<HostName, u64>) -> Vec<&PlacedGroup> {
        let wanted = |name: &GroupName| self.wanted.contains_key(name);
        let groups = self.record.groups.iter().filter(|(name, placed)| {
            let up = placed.hosts.iter().all(|h| !down.contains_key(h));
            placed.stage == Stage::Serving && wanted(name) && up && !self.is_emptied(placed, down)
        });
        groups.map(|(_, placed)| placed).collect()
    }

    /// Groups down, and accelerators of hosts that are up in no serving group.
    fn idle(&self, down: &BTreeMap<HostName, u64>) -> (f64, f64) {
        let serving = self.serving(down);
        let used: usize = serving.iter().map(|placed| placed.hosts.len()).sum();
        let up = self.hosts.iter().filter(|h| !down.contains_key(*h)).count();
        let idle = (up - used) * usize::from(ACCELERATORS);
        ((self.wanted.len() - serving.len()) as f64, idle as f64)
    }

    fn is_upgrading(&self) -> bool {
        let groups = self.record.groups.iter();
        groups
            .filter_map(|(name, placed)| Some((self.wanted.get(name)?, placed)))
            .any(|(wanted, placed)| wanted.version != placed.version || placed.next.is_some())
    }

    /// Hosts that no wanted group needs.
    fn room(&self, down: &BTreeMap<HostName, u64>) -> usize {
        let up = self.hosts.iter().filter(|h| !down.contains_key(*h)).count();
        let needed: usize = self.wanted.values().map(|wanted| wanted.size).sum();
        up.saturating_sub(needed)
    }

    /// A group that has lacked hosts for long enough to be moved.
    fn lacks(&mut self, now: u64, down: &BTreeMap<HostName, u64>) -> Option<GroupName> {
        let serving = self.serving(down);
        let working: BTreeSet<Epoch> = serving.iter().map(|placed| placed.epoch).collect();
        let used: usize = serving.iter().map(|placed| placed.hosts.len()).sum();
        let up = self.hosts.iter().filter(|h| !down.contains_key(*h)).count();
        let short = |name: &GroupName, size: usize| {
            let placed = self.record.groups.get(name);
            up - used < size && !placed.is_some_and(|p| working.contains(&p.epoch))
        };
        let lacking: BTreeSet<GroupName> = self
            .wanted
            .iter()
            .filter(|(name, wanted)| short(name, wanted.size))
            .map(|(name, _)| name.clone())
            .collect();
        self.lacking.retain(|name, _| lacking.contains(name));
        for name in lacking {
            self.lacking.entry(name).or_insert(now);
        }
        let limit = relocate::RELOCATE_DELAY.as_millis() / 1_000;
        let due = self
            .lacking
            .iter()
            .find(|(_, since)| now - **since >= limit);
        due.map(|(name, _)| name.clone())
    }
}

/// How many hosts belong to another group than before.
fn moved(before: &Placement, after: &Placement) -> f64 {
    let of = |record: &Placement| -> BTreeMap<HostName, GroupName> {
        let groups = record.groups.iter();
        groups
            .flat_map(|(name, placed)| placed.hosts.iter().map(|h| (h.clone(), name.clone())))
            .collect()
    };
    let before = of(before);
    let after = of(after);
    let changed = after
        .iter()
        .filter(|(host, group)| before.get(*host) != Some(*group));
    changed.count() as f64
}

fn main() {
    let arguments: Arguments = argh::from_env();
    if arguments.plan {
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
        for (name, policy, relocates) in policies {
            let mut sum = Outcome::default();
            for seed in 1..=arguments.days {
                let losses = record_day(deployment, seed);
                let outcome = Replay::new(deployment, policy, relocates).run(&losses);
                sum.down += outcome.down;
                sum.stranded += outcome.stranded;
                sum.moves += outcome.moves;
            }
            let days = arguments.days as f64;
            let Costs { downtime, stranded } = deployment.costs;
            let cost = (sum.down * downtime + sum.stranded * stranded) / days;
            println!(
                "| {} | {name} | {:.0} | {:.0} | {:.1} | {cost:.0} |",
                deployment.name,
                sum.down / days,
                sum.stranded / days,
                sum.moves / days,
            );
        }
    }
}

/// Times a planning round with one lost host, at two sizes of a domain.
fn measure_planner() {
    const ROUNDS: u32 = 200;
    for (hosts, size) in [(HOSTS as usize, 4), (120, 16), (FLEET_HOSTS as usize, 16)] {
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
        domain.picture(600, &down, allowance, Policy::Cheapest, costs);
        let picture = domain.picture(610, &down, allowance, Policy::Cheapest, costs);
        let began = Instant::now();
        let mut changed = 0;
        for _ in 0..ROUNDS {
            changed += u32::from(plan::next(&domain.record, &picture) != domain.record);
        }
        let each = began.elapsed() / ROUNDS;
        println!(
            "{hosts} hosts, groups of {size}: {each:?} a round, {changed} of {ROUNDS} repaired"
        );
    }
}
