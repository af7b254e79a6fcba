//! A fleet that loses hosts faster than weights are loaded, and what its groups serve meanwhile.
//!
//! The daemon notices losses as late as its probes and the store tell, and sees the requests of
//! one daemon in sixty.

use crate::fleet::{Fleet, SMALL, STEP_INTERVAL, service, spec};
use hickoryledge::{
    core::{
        keys::{DomainName, HallName, HostName, ModelName},
        time::{Span, Time},
    },
    gateway::{
        contention::Request,
        demand::Demand,
        rank::Rank,
        spec::{Engine, Spec},
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use std::collections::{BTreeMap, BTreeSet};

/// Number of domains; each two lie in one hall.
const DOMAINS: usize = 6;
const HALLS: usize = 3;
/// Daemons that callers choose among.
const DAEMONS: usize = 60;
/// Time in which the first groups are formed and the spares staged.
const SETTLE_TIME: Span = Span::from_secs(40);
/// Time with requests before the first loss.
const WARM_UP: Span = Span::from_secs(20);
/// Interval between losses.
const LOSS_INTERVAL: Span = Span::from_secs(3);
/// Time from the first loss to the first new host.
const REPLACEMENT_DELAY: Span = Span::from_secs(12);
/// Time for which a domain is unreachable.
const UNREACHABLE_TIME: Span = Span::from_secs(8);
/// Interval between restarts.
const RESTART_INTERVAL: Span = Span::from_millis(700);
/// Time that a runner drains before it stops.
const DRAIN_TIME: Span = Span::from_millis(2_500);
/// Time from the end of a runner to its next start.
const REBOOT_TIME: Span = Span::from_millis(2_000);
/// Time that heads take to finish their requests.
const FINISH_TIME: Span = Span::from_millis(1_400);
/// Relative amplitude and period of the work of a model.
const SWING: f64 = 0.55;
const SWING_PERIOD_SECS: f64 = 15.0;

/// Sizes of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Family {
    /// Hosts in each domain.
    pub hosts: usize,
    /// Hosts in a replica of each model, the larger first.
    pub sizes: [u16; 2],
    /// Groups that the work of each model needs.
    pub wanted: [f64; 2],
    /// Weight loads that may start in a second.
    pub load_rate: f64,
    /// Loads that the weight store serves at once without a delay.
    pub parallel: u32,
    /// Hosts that are lost at once, at least and at most.
    pub losses: [usize; 2],
}

/// Domains of 27 hosts with replicas of 12 and 6, and as many groups wanted of each model.
pub const LARGE_DOMAINS: Family = Family {
    hosts: 27,
    sizes: [12, 6],
    wanted: [6.0, 6.0],
    load_rate: 14.0,
    parallel: 20,
    losses: [2, 3],
};

/// What happens to the hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Members are lost for good, one hall after the other, and empty hosts added later.
    Losses,
    /// A domain is unreachable for some seconds.
    UnreachableDomain,
    /// A third of the hosts is restarted one after the other.
    Restarts,
}

impl Pattern {
    fn length(self) -> Span {
        match self {
            Pattern::Losses => Span::from_secs(90),
            Pattern::UnreachableDomain => Span::from_secs(25),
            Pattern::Restarts => Span::from_secs(50),
        }
    }
}

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Group-seconds in service up to those that the work needs, and those needed, by model.
    pub served: [(f64, f64); 2],
    /// Mean number of groups in service, by model.
    pub groups: [f64; 2],
    /// Times from the loss of a group to the next with one of its members, by model; those that were
    /// not repaired last to the end.
    pub repairs: [Vec<f64>; 2],
    /// Host-seconds in no group.
    pub idle: f64,
    pub orders: usize,
    pub loads: usize,
    /// Groups whose requests were cut although no member was lost.
    pub cuts: usize,
    pub violations: Vec<String>,
}

impl Figures {
    /// Returns the work served over the work wanted; each model counts the same.
    pub fn weighted(&self) -> f64 {
        self.fractions().iter().sum::<f64>() / 2.0
    }

    /// Returns the work served over the work wanted by model.
    pub fn fractions(&self) -> [f64; 2] {
        self.served.map(|(served, wanted)| served / wanted)
    }
}

/// Group that was lost and is not repaired yet.
struct LostGroup {
    model: usize,
    survivors: BTreeSet<HostName>,
    since: Time,
}

/// Host that was lost, and when the daemon detects it.
struct UndetectedLoss {
    host: HostName,
    unreachable_at: Time,
    unlisted_at: Time,
}

/// Fleet whose hosts fail by a pattern.
pub struct LossFleet {
    fleet: Fleet,
    family: Family,
    engine: Engine,
    rng: SmallRng,
    /// Phase of each model's work.
    phases: [f64; 2],
    undetected: Vec<UndetectedLoss>,
    /// Scheduled events.
    events: Vec<(Time, Event)>,
    lost_groups: Vec<LostGroup>,
    serving: BTreeMap<u64, (usize, BTreeSet<HostName>)>,
    figures: Figures,
    added: usize,
}

#[derive(Clone, Debug)]
enum Event {
    Lose { hall: usize, count: usize },
    Add { hall: usize },
    Cut { domain: usize },
    Reconnect { host: HostName },
    Drain { host: HostName },
    Stop { host: HostName },
    Reboot { host: HostName },
}

fn spec_of(family: Family) -> Spec {
    let mut spec = spec();
    let engine = spec.services[0].engine.as_mut().expect("an engine");
    engine.slots = 48;
    engine.load_rate = family.load_rate;
    engine.load_parallel = family.parallel;
    for (replication, size) in engine.models.iter_mut().zip(family.sizes) {
        replication.size = size;
        replication.share = 0.5;
    }
    spec
}

fn model_index(model: &ModelName) -> usize {
    usize::from(model.as_str() == SMALL)
}

/// Simulates a pattern on a settled fleet.
pub fn simulate(family: Family, pattern: Pattern, seed: u64) -> Figures {
    let mut fleet = LossFleet::settled(family, seed);
    fleet.schedule(pattern);
    let (orders, loads) = (fleet.fleet.order_count, fleet.fleet.load_count);
    let end = fleet.fleet.now + pattern.length();
    while fleet.fleet.now < end {
        fleet.step();
        fleet.measure();
    }
    let mut figures = fleet.figures;
    for group in fleet.lost_groups {
        figures.repairs[group.model].push(end.since(group.since).as_secs_f64());
    }
    figures.groups = figures
        .groups
        .map(|sum| sum / pattern.length().as_secs_f64());
    figures.orders = fleet.fleet.order_count - orders;
    figures.loads = fleet.fleet.load_count - loads;
    figures.cuts = fleet.fleet.cut_count;
    figures.violations = fleet.fleet.violations;
    figures
}

impl LossFleet {
    /// Returns a fleet with its first groups and spares, which has had requests for some time.
    fn settled(family: Family, seed: u64) -> Self {
        let spec = spec_of(family);
        let engine = spec.services[0].engine.clone().expect("an engine");
        let mut fleet = Fleet::with_spec(spec, DOMAINS, family.hosts);
        fleet.halls = (0..DOMAINS)
            .map(|domain| {
                let hall = HallName::from(format!("hall{}", domain % HALLS));
                (DomainName::from(format!("d{domain}")), hall)
            })
            .collect();
        fleet.finish_time = FINISH_TIME;
        fleet.demand = Demand::default();
        fleet.demand.set_daemons(DAEMONS);
        let mut rng = SmallRng::seed_from_u64(seed);
        let phases = [rng.random::<f64>(), rng.random::<f64>()];
        fleet.run_for(SETTLE_TIME);
        fleet.planner.has_traffic = true;
        let mut settled = Self {
            fleet,
            family,
            engine,
            rng,
            phases,
            undetected: Vec::new(),
            events: Vec::new(),
            lost_groups: Vec::new(),
            serving: BTreeMap::new(),
            figures: Figures::default(),
            added: 0,
        };
        let end = settled.fleet.now + WARM_UP;
        while settled.fleet.now < end {
            settled.step();
        }
        settled
    }

    fn schedule(&mut self, pattern: Pattern) {
        let start = self.fleet.now;
        match pattern {
            Pattern::Losses => self.schedule_losses(start),
            Pattern::UnreachableDomain => {
                let domain = self.rng.random_range(0..DOMAINS);
                self.events.push((start, Event::Cut { domain }));
            }
            Pattern::Restarts => {
                let hosts = self.fleet.alive();
                let chosen: Vec<_> = hosts
                    .choose_multiple(&mut self.rng, hosts.len() / 3)
                    .cloned()
                    .collect();
                for (number, host) in chosen.into_iter().enumerate() {
                    let at = start + RESTART_INTERVAL.times(number as u64);
                    self.events.push((at, Event::Drain { host }));
                }
            }
        }
    }

    fn schedule_losses(&mut self, start: Time) {
        let rounds = Pattern::Losses.length().0 / LOSS_INTERVAL.0;
        let [least, most] = self.family.losses;
        for round in 0..rounds {
            let at = start + LOSS_INTERVAL.times(round);
            let hall = round as usize % HALLS;
            let count = self.rng.random_range(least..=most);
            self.events.push((at, Event::Lose { hall, count }));
            for _ in 0..count {
                let jitter = Span(self.rng.random_range(0..1_000_000));
                let at = at + REPLACEMENT_DELAY + jitter;
                self.events.push((at, Event::Add { hall }));
            }
        }
    }

    /// Simulates the events that are due, adds the requests of an interval, and runs the planner.
    fn step(&mut self) {
        let now = self.fleet.now;
        let (due, left) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.events = left;
        for (_, event) in Vec::into_iter(due) {
            self.apply(event);
        }
        self.detect_losses();
        self.add_requests();
        self.fleet.run_for(STEP_INTERVAL);
    }

    fn apply(&mut self, event: Event) {
        let now = self.fleet.now;
        match event {
            Event::Lose { hall, count } => {
                let members = self.members_in(hall);
                let lost: Vec<_> = members
                    .choose_multiple(&mut self.rng, count)
                    .cloned()
                    .collect();
                for host in lost {
                    self.fleet.stop_silently(&host);
                    self.schedule_detection(host);
                }
            }
            Event::Add { hall } => {
                let domain = hall + HALLS * self.rng.random_range(0..DOMAINS / HALLS);
                self.added += 1;
                self.fleet
                    .add(&format!("d{domain}"), &format!("new{}", self.added));
            }
            Event::Cut { domain } => {
                let domain = DomainName::from(format!("d{domain}"));
                let mut hosts = self.fleet.alive();
                hosts.retain(|host| self.fleet.domain_of(host) == domain);
                for host in hosts {
                    self.fleet.cut_off(&host);
                    let delay = Span(self.rng.random_range(0..1_000_000));
                    let at = now + UNREACHABLE_TIME + delay;
                    self.events.push((at, Event::Reconnect { host }));
                }
            }
            Event::Reconnect { host } => self.fleet.reconnect(&host),
            Event::Drain { host } => {
                self.fleet.drain(&host);
                self.events.push((now + DRAIN_TIME, Event::Stop { host }));
            }
            Event::Stop { host } => {
                self.fleet.crash(&host);
                self.events
                    .push((now + REBOOT_TIME, Event::Reboot { host }));
            }
            Event::Reboot { host } => self.fleet.reboot(&host),
        }
    }

    /// Returns the members of the groups of a hall that serve.
    fn members_in(&self, hall: usize) -> Vec<HostName> {
        let hall = HallName::from(format!("hall{hall}"));
        let groups = self.fleet.serving_groups();
        let members = groups.into_iter().flat_map(|(_, _, members)| members);
        members
            .filter(|host| self.fleet.halls[&self.fleet.domain_of(host)] == hall)
            .collect()
    }

    fn schedule_detection(&mut self, host: HostName) {
        let unreachable = Span(self.rng.random_range(800_000..1_200_000));
        let unlisted = Span(self.rng.random_range(3_600_000..4_800_000));
        self.undetected.push(UndetectedLoss {
            host,
            unreachable_at: self.fleet.now + unreachable,
            unlisted_at: self.fleet.now + unlisted,
        });
    }

    /// Lets the daemon detect lost hosts, by its probes and by missing entries.
    fn detect_losses(&mut self) {
        let now = self.fleet.now;
        for loss in &self.undetected {
            if now >= loss.unlisted_at {
                self.fleet.power_off(&loss.host, true);
            } else if now >= loss.unreachable_at {
                self.fleet.power_off(&loss.host, false);
            }
        }
        self.undetected.retain(|loss| now < loss.unlisted_at);
    }

    /// Counts the requests that one daemon gets in an interval.
    fn add_requests(&mut self) {
        let service = service();
        for (index, replication) in self.engine.models.iter().enumerate() {
            let wave = self.fleet.now.since(Time(0)).as_secs_f64() / SWING_PERIOD_SECS
                + self.phases[index];
            let swing = 1.0 + SWING * (wave * std::f64::consts::TAU).sin();
            let work = self.engine.mean_request_time().as_secs_f64() * replication.pace;
            let rate = self.family.wanted[index] * swing / work / DAEMONS as f64;
            let mut expected = rate * STEP_INTERVAL.as_secs_f64();
            let request = Request {
                service: &service,
                model: &replication.model,
                engine: &self.engine,
                rank: Rank::default(),
                account: None,
                prompt_tokens: self.engine.usual_prompt,
                answer_tokens: self.engine.usual_answer,
            };
            while expected > 0.0 {
                // Slices of at most a tenth of a request approximate a Poisson process.
                let slice = f64::min(expected, 0.1);
                if self.rng.random::<f64>() < slice {
                    self.fleet.demand.count(&request, self.fleet.now);
                }
                expected -= slice;
            }
        }
    }

    fn measure(&mut self) {
        let step = STEP_INTERVAL.as_secs_f64();
        let serving = self.fleet.serving_groups();
        let mut counts = [0.0; 2];
        let mut in_groups = 0;
        let mut current = BTreeMap::new();
        for (model, epoch, members) in serving {
            let index = model_index(&model);
            counts[index] += 1.0;
            in_groups += members.len();
            current.insert(epoch.0 as u64, (index, members.into_iter().collect()));
        }
        self.figures.idle += (self.fleet.alive().len() - in_groups) as f64 * step;
        for (index, count) in counts.into_iter().enumerate() {
            let wanted = self.family.wanted[index];
            self.figures.served[index].0 += f64::min(count, wanted) * step;
            self.figures.served[index].1 += wanted * step;
            self.figures.groups[index] += count * step;
        }
        self.record_repairs(current);
    }

    /// Notes which groups were lost since the last step, and which were repaired.
    fn record_repairs(&mut self, current: BTreeMap<u64, (usize, BTreeSet<HostName>)>) {
        let now = self.fleet.now;
        let former = std::mem::take(&mut self.serving);
        let lost = former
            .iter()
            .filter(|(epoch, _)| !current.contains_key(*epoch));
        for (_, (model, members)) in lost {
            self.lost_groups.push(LostGroup {
                model: *model,
                survivors: members.clone(),
                since: now,
            });
        }
        for (epoch, (_, members)) in &current {
            if former.contains_key(epoch) {
                continue;
            }
            let repaired = |lost: &LostGroup| !lost.survivors.is_disjoint(members);
            for group in self.lost_groups.extract_if(.., |lost| repaired(lost)) {
                let time = now.since(group.since).as_secs_f64();
                self.figures.repairs[group.model].push(time);
            }
        }
        self.serving = current;
    }
}
