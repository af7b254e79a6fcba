//! Simulated daemons that send requests to the heads of one model, in virtual time.
//!
//! Each daemon has its own counts and hears from heads only by the responses to its own requests
//! and by digests; datagrams are delayed and lost, aggregators stop and pause, heads are lost and
//! opened.

use super::engine_heads::{EventQueue, SLOTS, engine, head, model, service, spec};
use hickoryledge::{
    core::{
        keys::{AccountName, DaemonName, Epoch, HallName, HostName},
        time::{Span, Time},
    },
    gateway::{
        account_work::{MAX_TOTALS_BYTES, WorkCounts, WorkReport},
        admission::{self, AdmissionClass, Precedence, max_in_flight},
        balancer::{ChooseError, Criteria, View, choose},
        contention,
        head_limits::HeadLimits,
        load::{LoadReport as RunnerReport, Loads, Total},
        load_exchange::{
            choice::{aggregators, horizon, interval, is_needed},
            estimate::SentReports,
            message::{LoadDigest, LoadReport, ReportId},
            tally::Tally,
            work_tally::WorkTally,
        },
        notices::Notices,
        peers::{DaemonEntry, Peers},
        rank::Rank,
        roster::{HostKey, Roster, SLOW_FACTOR},
        spec::Spec,
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

/// Time within which the first event is on time.
pub const OBJECTIVE: Span = Span::from_millis(300);
/// Requests that may wait at a head before it declines others.
const MAX_WAITING: usize = 48;
/// Number of accounts.
const ACCOUNTS: usize = 24;
/// Interval at which the heads' load is sampled.
const SAMPLE_INTERVAL: Span = Span::from_millis(50);
/// Time at the start that isn't measured.
const WARM_UP: Span = Span::from_secs(5);
/// Time that a daemon needs to notice that it reaches no runner at an address.
const UNREACHED_DELAY: Span = Span::from_millis(50);
/// Time until all daemons know that a head is gone, or that one has opened.
const VIEW_LAG: Span = Span::from_millis(300);
/// Time after which callers of refused requests come back no more.
const MAX_RETURN_TIME: Span = Span::from_secs(5);
/// Bytes of the headers of a datagram below its content.
const DATAGRAM_HEADERS: usize = 28;

/// Way to choose a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The program's own: digests and water-filling.
    Exchange,
    /// The program's own without digests: responses only, two random choices.
    Responses,
    /// Digests and two random choices.
    TwoChoices,
    /// Digests, and each head with a probability by its free slots.
    FreeSlots,
    /// Digests and the head with the fewest requests.
    LeastLoaded,
    /// Responses and own sends, scaled by the number of daemons; two random choices.
    ScaledSends,
    /// The true number of requests at each head, known at once; the least loaded of all.
    Oracle,
    /// The true number of requests at each head, known at once; two random choices.
    OracleTwo,
    /// Equal shares of the slots of each head for each daemon, without messages.
    EqualShares,
}

/// What happens during a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scene {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of heads at the start.
    pub heads: usize,
    /// Offered requests as a fraction of the heads' capacity.
    pub load: f64,
    /// Amplitude of the load's variation over 15 s, as a fraction.
    pub swing: f64,
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// Fraction of the daemons that report nothing.
    pub silent: f64,
    /// Interval at which a tenth of the heads is replaced by others.
    pub replace_every: Option<Span>,
    /// Time from which an aggregator is gone, while its entry stays for three seconds.
    pub aggregator_lost: Option<Span>,
    /// Time from which both aggregators are paused for two seconds.
    pub aggregators_paused: Option<Span>,
    /// Time at which an aggregator restarts.
    pub aggregator_restarts: Option<Span>,
    /// Slowdown factor of one head.
    pub slow: Option<f64>,
    /// True if callers whose requests were refused come back.
    pub returns: bool,
    /// Fraction of the requests that one account has; the others have equal parts of the rest.
    pub largest: f64,
    /// True if daemons exchange the work of accounts.
    pub exchanges_work: bool,
    /// Length of the run after the warm-up.
    pub length: Span,
}

/// Figures of a run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Requests that arrived.
    pub arrived: usize,
    /// Requests whose first event was on time.
    pub on_time: usize,
    /// Requests whose first event came later.
    pub late: usize,
    /// Requests of the largest account that arrived.
    pub large_arrived: usize,
    /// Requests of the largest account whose first event was on time.
    pub large_on_time: usize,
    /// Requests that a daemon refused.
    pub refused: usize,
    /// Requests that were refused at first and served when they came back.
    pub served_after_return: usize,
    /// Requests refused while some head had free slots and nothing waiting.
    pub refused_wrongly: usize,
    /// Requests refused while less than half of all slots were taken.
    pub refused_below_half: usize,
    /// Times that a head declined a request.
    pub declined: usize,
    /// Standard deviation of the heads' requests at a moment, mean over all samples.
    pub deviation: f64,
    /// Requests at the fullest head over the mean, mean over all samples.
    pub max_over_mean: f64,
    /// Median time to the first event, in milliseconds.
    pub p50: f64,
    /// 95th percentile of the time to the first event, in milliseconds.
    pub p95: f64,
    /// 99th percentile of the time to the first event, in milliseconds.
    pub p99: f64,
    /// Bytes that a daemon which is no aggregator sends and receives in a second.
    pub daemon_bytes: f64,
    /// Bytes that an aggregator sends and receives in a second.
    pub aggregator_bytes: f64,
}

impl Figures {
    /// Returns the fraction of the requests whose first event was on time.
    pub fn served(&self) -> f64 {
        self.on_time as f64 / self.arrived.max(1) as f64
    }
}

#[derive(Debug)]
enum Message {
    Report(LoadReport, Option<WorkReport>),
    Digest(LoadDigest, Option<ReportId>, Option<WorkCounts>),
}

#[derive(Debug)]
enum Event {
    Arrive,
    Retry(usize),
    Reach(usize),
    Step(usize),
    Answer(usize, RunnerReport),
    End(usize),
    Exchange(usize),
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    Replace,
    View,
    Lose(usize),
    Forget(usize),
    Restart(usize),
    Sample,
}

/// A request.
#[derive(Clone, Debug)]
struct Request {
    daemon: usize,
    account: usize,
    arrived: Time,
    prompt: u32,
    left: u32,
    tried: Vec<HostKey>,
    head: usize,
    class: AdmissionClass,
    /// True once its first event has arrived.
    has_begun: bool,
}

/// A head, as it really is.
struct Head {
    key: HostKey,
    name: HostName,
    slowdown: f64,
    is_alive: bool,
    is_open: bool,
    /// Requests whose prompts aren't prefilled, with the tokens left.
    prefill: VecDeque<(usize, u32)>,
    waiting: VecDeque<usize>,
    /// Decoding requests, with the steps left to the next event.
    running: Vec<(usize, u32)>,
    is_stepping: bool,
    coming: usize,
    seen_open: Time,
}

impl Head {
    fn taken(&self) -> usize {
        self.running.len() + self.prefill.len()
    }

    fn total(&self) -> usize {
        self.taken() + self.waiting.len()
    }
}

struct Daemon {
    name: DaemonName,
    address: SocketAddr,
    loads: Loads,
    sent: SentReports,
    tally: Tally,
    works: WorkTally,
    contention: contention::Contention,
    rng: SmallRng,
    is_silent: bool,
    is_gone: bool,
    bytes: usize,
}

/// Simulated daemons and heads.
pub struct LoadFleet {
    now: Time,
    scene: Scene,
    policy: Policy,
    spec: Spec,
    roster: Roster,
    notices: Notices,
    peers: Peers,
    daemons: Vec<Daemon>,
    heads: Vec<Head>,
    requests: Vec<Request>,
    agenda: EventQueue<Event>,
    next_epoch: i64,
    rng: SmallRng,
    /// Draws the requests, which are the same for all policies.
    demand: SmallRng,
    /// Draws the requests' accounts.
    account_rng: SmallRng,
    accounts: Vec<AccountName>,
    figures: Figures,
    first_events: Vec<f64>,
    samples: usize,
}

fn address(index: usize) -> SocketAddr {
    ([10, 1, (index / 250) as u8, (index % 250) as u8], 80).into()
}

impl LoadFleet {
    /// Creates the fleet of a scene.
    pub fn new(policy: Policy, scene: Scene, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut peers = Peers::default();
        let silent = (scene.daemons as f64 * scene.silent) as usize;
        let daemons = (0..scene.daemons).map(|index| {
            let name = DaemonName::from(format!("d{index:03}"));
            let entry = DaemonEntry {
                caller: address(index),
                hall: HallName::from("hall"),
                peer: Some(address(index)),
                relay: None,
                processor_percent: if index < 6 { 50 } else { 12 },
            };
            peers.put(name.clone(), entry);
            Daemon {
                name,
                address: address(index),
                loads: Loads::default(),
                sent: SentReports::new(rng.random()),
                tally: Tally::default(),
                works: WorkTally::default(),
                contention: contention::Contention::default(),
                rng: SmallRng::seed_from_u64(rng.random()),
                is_silent: index >= scene.daemons - silent,
                is_gone: false,
                bytes: 0,
            }
        });
        let daemons = daemons.collect();
        let mut fleet = Self {
            now: Time(0),
            scene,
            policy,
            spec: spec(),
            roster: Roster::default(),
            notices: Notices::default(),
            peers,
            daemons,
            heads: Vec::new(),
            requests: Vec::new(),
            agenda: EventQueue::default(),
            next_epoch: 1 << 40,
            rng,
            demand: SmallRng::seed_from_u64(seed),
            account_rng: SmallRng::seed_from_u64(seed),
            accounts: (0..ACCOUNTS)
                .map(|index| AccountName::from(format!("a{index}")))
                .collect(),
            figures: Figures::default(),
            first_events: Vec::new(),
            samples: 0,
        };
        for _ in 0..scene.heads {
            fleet.open_head();
        }
        fleet.apply_view();
        if let (Some(slowdown), Some(head)) = (scene.slow, fleet.heads.first_mut()) {
            head.slowdown = slowdown;
            let slow = (head.name.clone(), 1);
            fleet.roster.set_slow(BTreeMap::from([(slow, slowdown)]));
        }
        fleet.schedule_scene();
        fleet
    }

    fn schedule_scene(&mut self) {
        self.after(Span::ZERO, Event::Arrive);
        self.after(WARM_UP, Event::Sample);
        let interval = interval(self.daemons.len());
        for daemon in 0..self.daemons.len() {
            let phase = Span(self.rng.random_range(0..interval.0));
            self.after(phase, Event::Exchange(daemon));
        }
        if let Some(every) = self.scene.replace_every {
            self.after(WARM_UP + every, Event::Replace);
        }
        if let Some(at) = self.scene.aggregator_lost {
            self.after(WARM_UP + at, Event::Lose(0));
            self.after(WARM_UP + at + Span::from_secs(3), Event::Forget(0));
        }
        if let Some(at) = self.scene.aggregator_restarts {
            self.after(WARM_UP + at, Event::Restart(0));
        }
    }

    fn after(&mut self, span: Span, event: Event) {
        self.agenda.add(self.now + span, event);
    }

    fn open_head(&mut self) {
        let index = self.heads.len();
        self.next_epoch += 3;
        let (name, runner) = head(index, Epoch(self.next_epoch));
        self.roster.put(name.clone(), runner);
        let (key, _) = self.roster.host_by_name(&name).expect("added");
        self.heads.push(Head {
            key,
            name,
            slowdown: 1.0,
            is_alive: true,
            is_open: true,
            prefill: VecDeque::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            is_stepping: false,
            coming: 0,
            seen_open: self.now,
        });
    }

    /// Lets all daemons know which heads are there.
    fn apply_view(&mut self) {
        let gone: Vec<HostName> = self
            .heads
            .iter()
            .filter(|head| !head.is_alive && head.is_open)
            .map(|head| head.name.clone())
            .collect();
        for name in gone {
            self.roster.mark_unlisted(&name, self.now);
        }
        self.roster.expire(self.now);
        self.heads
            .iter_mut()
            .filter(|head| !head.is_alive)
            .for_each(|head| head.is_open = false);
        let spec = self.spec.clone();
        self.roster.rebuild_groups(&spec);
    }

    /// Plays the scene.
    pub fn run(mut self) -> Figures {
        let end = Time(0) + WARM_UP + self.scene.length;
        while let Some((at, event)) = self.agenda.pop_before(end) {
            self.now = at;
            self.handle(event);
        }
        self.finish()
    }

    fn is_measured(&self, at: Time) -> bool {
        at >= Time(0) + WARM_UP
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Retry(request) => self.send(request),
            Event::Reach(request) => self.reach(request),
            Event::Step(head) => self.step(head),
            Event::Answer(request, report) => self.answer(request, report),
            Event::End(request) => self.end(request),
            Event::Exchange(daemon) => self.exchange(daemon),
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Replace => self.replace_heads(),
            Event::View => self.apply_view(),
            Event::Lose(daemon) => self.daemons[daemon].is_gone = true,
            Event::Forget(daemon) => {
                let name = self.daemons[daemon].name.clone();
                self.peers.remove(&name, self.now);
            }
            Event::Restart(daemon) => {
                let run = self.rng.random();
                let daemon = &mut self.daemons[daemon];
                daemon.loads = Loads::default();
                daemon.sent = SentReports::new(run);
                daemon.tally = Tally::default();
                daemon.works = WorkTally::default();
                daemon.contention = contention::Contention::default();
            }
            Event::Sample => self.sample(),
        }
    }

    /// Returns the requests that all heads of the scene serve in a second.
    pub fn capacity(heads: usize) -> f64 {
        heads as f64 / engine().mean_request_time().as_secs_f64()
    }

    fn arrive(&mut self) {
        let phase = self.now.0 as f64 / 15e6 * std::f64::consts::TAU;
        let capacity = Self::capacity(self.scene.heads);
        let rate = capacity * self.scene.load * (1.0 + self.scene.swing * phase.sin());
        let pause = -(1.0 - self.demand.random::<f64>()).ln() / rate.max(1.0);
        self.after(Span((pause * 1e6) as u64), Event::Arrive);
        let alive: Vec<usize> = (0..self.daemons.len())
            .filter(|daemon| !self.daemons[*daemon].is_gone)
            .collect();
        let daemon = *alive.choose(&mut self.demand).expect("a daemon");
        let spread = |rng: &mut SmallRng| 0.25 + 1.5 * rng.random::<f64>();
        let request = Request {
            daemon,
            account: self.draw_account(),
            arrived: self.now,
            prompt: (1_115.0 * spread(&mut self.demand)) as u32,
            left: (152.0 * spread(&mut self.demand)) as u32,
            tried: Vec::new(),
            head: usize::MAX,
            class: AdmissionClass::OnTime,
            has_begun: false,
        };
        self.requests.push(request);
        if self.is_measured(self.now) {
            let is_large = self.requests.last().is_some_and(|last| last.account == 0);
            self.figures.arrived += 1;
            self.figures.large_arrived += usize::from(is_large);
        }
        self.send(self.requests.len() - 1);
    }

    fn draw_account(&mut self) -> usize {
        match self.account_rng.random_bool(self.scene.largest) {
            true => 0,
            false => self.account_rng.random_range(1..ACCOUNTS),
        }
    }

    /// Returns the heads that daemons know as serving.
    fn serving(&self) -> Vec<HostKey> {
        let groups = self.roster.groups().iter();
        let serving = groups.filter(|group| self.roster.is_serving(group, self.now));
        serving.filter_map(|group| group.head()).collect()
    }

    fn choose(&mut self, index: usize) -> Option<HostKey> {
        let request = &self.requests[index];
        if matches!(self.policy, Policy::Oracle | Policy::OracleTwo) {
            let limit = SLOTS as usize;
            let alive: Vec<&Head> = self
                .heads
                .iter()
                .filter(|head| head.is_open && head.total() + head.coming < limit)
                .collect();
            let drawn: Vec<&&Head> = if self.policy == Policy::Oracle {
                alive.iter().collect()
            } else {
                alive.choose_multiple(&mut self.rng, 2).collect()
            };
            return drawn
                .into_iter()
                .min_by_key(|head| head.total() + head.coming)
                .map(|head| head.key);
        }
        if matches!(self.policy, Policy::Exchange | Policy::Responses) {
            return self.choose_by_program(request.clone());
        }
        let (class, tried) = (request.class, request.tried.clone());
        let daemons = self.peers.count() as u32;
        let now = self.now;
        let mut heads = self.serving();
        let daemon = &mut self.daemons[self.requests[index].daemon];
        let (loads, rng) = (&daemon.loads, &mut daemon.rng);
        heads.retain(|head| !tried.contains(head) && !loads.is_avoided(*head, now));
        let own = |head: HostKey| loads.own_requests(head);
        let in_flight = |head: HostKey| match self.policy {
            Policy::EqualShares => own(head) * daemons,
            Policy::ScaledSends => loads.in_flight(head, now).max(own(head) * daemons / 2),
            _ => loads.in_flight(head, now),
        };
        let share = f64::from(SLOTS + 2) / f64::from(daemons);
        let whole = share.floor() as u32;
        // The rest of the slots goes to some of the daemons, by chance.
        let is_extra = rng.random::<f64>() < share.fract();
        heads.retain(|head| match self.policy {
            Policy::EqualShares if class == AdmissionClass::OnTime => {
                own(*head) < whole + u32::from(is_extra)
            }
            _ => in_flight(*head) < max_in_flight(SLOTS, class),
        });
        match self.policy {
            Policy::FreeSlots => {
                let weight =
                    |head: &HostKey| f64::from((SLOTS + 3).saturating_sub(in_flight(*head)).max(1));
                heads.choose_weighted(rng, weight).ok().copied()
            }
            Policy::LeastLoaded => {
                let start = rng.random_range(0..heads.len().max(1));
                let start = start.min(heads.len());
                heads.rotate_left(start);
                heads.into_iter().min_by_key(|head| in_flight(*head))
            }
            _ => {
                let drawn = heads.choose_multiple(rng, 2).copied();
                drawn.min_by_key(|head| in_flight(*head))
            }
        }
    }

    fn choose_by_program(&mut self, request: Request) -> Option<HostKey> {
        let engine = self.spec.services[0].engine.as_ref().expect("an engine");
        let (service, model) = (service(), model());
        let contending = contention::Request {
            service: &service,
            model: &model,
            engine,
            rank: Rank::default(),
            account: Some(&self.accounts[request.account]),
            prompt_tokens: request.prompt,
            answer_tokens: request.left,
        };
        let (now, daemons) = (self.now, self.peers.count());
        let contention = &mut self.daemons[request.daemon].contention;
        let is_first = request.tried.is_empty() && request.class != AdmissionClass::Resumed;
        let mut precedence = Precedence::default();
        if is_first {
            contention.report_request(&contending, request.class);
        }
        if request.class != AdmissionClass::Resumed {
            precedence = contention.precedence(&contending, daemons, now);
        }
        let criteria = Criteria {
            service: &service,
            model: Some((&model, engine)),
            precedence,
            class: request.class,
            duration: admission::expected_duration(
                Some((engine, &model)),
                request.prompt,
                request.left,
            ),
            remaining: Span::from_secs(8),
            hall: &HallName::from("hall"),
            tried: &request.tried,
            unlimited: false,
        };
        let daemon = &mut self.daemons[request.daemon];
        let view = View {
            limits: &HeadLimits::default(),
            roster: &self.roster,
            loads: &daemon.loads,
            notices: &self.notices,
        };
        let chosen = choose(view, criteria, self.now, &mut daemon.rng);
        if let Err(ChooseError::AllFull { host, .. }) = chosen
            && request.class == AdmissionClass::OnTime
        {
            daemon.loads.request_refused(host);
        }
        let chosen = chosen.ok()?;
        if is_first {
            daemon.contention.report_admission(&contending);
        }
        Some(chosen.host)
    }

    fn send(&mut self, index: usize) {
        if self.daemons[self.requests[index].daemon].is_gone {
            return;
        }
        let is_new = self.requests[index].class != AdmissionClass::Resumed;
        let attempts = self.requests[index].tried.len();
        let chosen = if attempts < 4 {
            self.choose(index)
        } else {
            None
        };
        let Some(key) = chosen else {
            if self.is_measured(self.requests[index].arrived)
                && is_new
                && !self.requests[index].has_begun
            {
                if self.requests[index].class == AdmissionClass::OnTime {
                    self.refuse();
                }
                if self.scene.returns {
                    self.requests[index].class = AdmissionClass::Late;
                    self.requests[index].tried.clear();
                    let delay = Span(self.rng.random_range(1_200_000..2_200_000));
                    let is_over = self.now.since(self.requests[index].arrived) > MAX_RETURN_TIME;
                    if !is_over {
                        self.after(delay, Event::Retry(index));
                    }
                }
            }
            return;
        };
        let head = self
            .heads
            .iter()
            .position(|head| head.key == key)
            .expect("known");
        let request = &mut self.requests[index];
        request.head = head;
        request.tried.push(key);
        self.heads[head].coming += 1;
        self.daemons[request.daemon].loads.request_started(key);
        let delay = Span(self.rng.random_range(500..3_000));
        self.after(delay, Event::Reach(index));
    }

    fn refuse(&mut self) {
        self.figures.refused += 1;
        let alive = self
            .heads
            .iter()
            .filter(|head| head.is_alive && head.is_open);
        let alive: Vec<&Head> = alive.collect();
        let has_free = alive.iter().any(|head| {
            head.slowdown < SLOW_FACTOR && head.taken() < SLOTS as usize && head.waiting.is_empty()
        });
        self.figures.refused_wrongly += usize::from(has_free);
        let taken: usize = alive.iter().map(|head| head.total()).sum();
        let is_below_half = taken * 2 < alive.len() * SLOTS as usize;
        self.figures.refused_below_half += usize::from(is_below_half);
    }

    fn reach(&mut self, index: usize) {
        let head = self.requests[index].head;
        let key = self.heads[head].key;
        let daemon = self.requests[index].daemon;
        let is_alive = self.heads[head].is_alive;
        self.heads[head].coming -= 1;
        if !is_alive || self.heads[head].waiting.len() >= MAX_WAITING {
            if is_alive && self.is_measured(self.now) {
                self.figures.declined += 1;
            }
            let loads = &mut self.daemons[daemon].loads;
            loads.request_ended(key);
            loads.runner_failed(key, self.now);
            let delay = if is_alive {
                Span::from_millis(2)
            } else {
                UNREACHED_DELAY
            };
            self.after(delay, Event::Retry(index));
            return;
        }
        self.heads[head].waiting.push_back(index);
        if !std::mem::replace(&mut self.heads[head].is_stepping, true) {
            self.after(Span::ZERO, Event::Step(head));
        }
    }

    /// Performs one step of a head: continuous batching with prefill in chunks.
    fn step(&mut self, index: usize) {
        let engine = engine();
        let head = &mut self.heads[index];
        if !head.is_alive {
            return;
        }
        while head.taken() < SLOTS as usize
            && let Some(request) = head.waiting.pop_front()
        {
            head.prefill
                .push_back((request, self.requests[request].prompt));
        }
        if head.taken() == 0 {
            head.is_stepping = false;
            return;
        }
        let mut budget = engine.chunk;
        let mut ready = Vec::new();
        while budget > 0
            && let Some((request, left)) = head.prefill.front_mut()
        {
            let part = budget.min(*left);
            *left -= part;
            budget -= part;
            if *left == 0 {
                ready.push(*request);
                head.prefill.pop_front();
            }
        }
        let prefill = f64::from(engine.chunk - budget) / engine.read_rate * 1e6;
        let decode = engine.step.0 as f64 + engine.step_each.0 as f64 * head.running.len() as f64;
        let duration = Span(((prefill + decode) * head.slowdown) as u64);
        let report = RunnerReport {
            running: head.taken() as u32 + ready.len() as u32,
            waiting: head.waiting.len() as u32,
            slots: SLOTS,
        };
        let mut due = Vec::new();
        for (request, steps) in &mut head.running {
            let state = &mut self.requests[*request];
            state.left = state.left.saturating_sub(1);
            *steps -= 1;
            if *steps == 0 || state.left == 0 {
                *steps = engine.stride;
                due.push(*request);
            }
        }
        let requests = &self.requests;
        head.running
            .retain(|(request, _)| requests[*request].left > 0);
        head.running
            .extend(ready.into_iter().map(|request| (request, engine.stride)));
        for request in due {
            let delay = duration + Span::from_millis(1);
            if !self.requests[request].has_begun {
                self.requests[request].has_begun = true;
                self.after(delay, Event::Answer(request, report));
            }
            if self.requests[request].left == 0 {
                self.after(delay, Event::End(request));
            }
        }
        self.after(duration, Event::Step(index));
    }

    fn answer(&mut self, index: usize, report: RunnerReport) {
        let request = &self.requests[index];
        let key = self.heads[request.head].key;
        let daemon = &mut self.daemons[request.daemon];
        if daemon.is_gone {
            return;
        }
        daemon.loads.load_reported(key, report, self.now);
        daemon.loads.request_served(key);
        let waited = self.now.since(request.arrived);
        if request.class == AdmissionClass::Late && self.is_measured(request.arrived) {
            self.figures.served_after_return += 1;
        }
        if request.class == AdmissionClass::OnTime && self.is_measured(request.arrived) {
            self.first_events.push(waited.as_secs_f64() * 1e3);
            match waited <= OBJECTIVE {
                true => {
                    self.figures.on_time += 1;
                    self.figures.large_on_time += usize::from(request.account == 0);
                }
                false => self.figures.late += 1,
            }
        }
    }

    fn end(&mut self, index: usize) {
        let request = &self.requests[index];
        let key = self.heads[request.head].key;
        self.daemons[request.daemon].loads.request_ended(key);
    }

    fn replace_heads(&mut self) {
        let every = self.scene.replace_every.expect("set");
        self.after(every, Event::Replace);
        let alive: Vec<usize> = (0..self.heads.len())
            .filter(|head| self.heads[*head].is_alive)
            .collect();
        let count = (alive.len() / 10).max(1);
        let lost: Vec<usize> = alive
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        for index in lost {
            let head = &mut self.heads[index];
            head.is_alive = false;
            let cut: Vec<usize> = head
                .running
                .drain(..)
                .map(|(request, _)| request)
                .chain(head.waiting.drain(..))
                .chain(head.prefill.drain(..).map(|(request, _)| request))
                .collect();
            let key = head.key;
            for request in cut {
                let delay = Span(self.rng.random_range(1_000..200_000));
                let state = &mut self.requests[request];
                let daemon = state.daemon;
                if state.has_begun {
                    state.class = AdmissionClass::Resumed;
                }
                self.daemons[daemon].loads.request_ended(key);
                self.after(delay, Event::Retry(request));
            }
            self.open_head();
        }
        self.after(VIEW_LAG, Event::View);
    }

    fn is_paused(&self, daemon: usize) -> bool {
        let Some(at) = self.scene.aggregators_paused else {
            return false;
        };
        let since = self.now.since(Time(0) + WARM_UP + at);
        daemon < 2 && since > Span::ZERO && since < Span::from_secs(2)
    }

    /// Returns the time left of a pause of the aggregators.
    fn pause_left(&self) -> Span {
        let start = Time(0) + WARM_UP + self.scene.aggregators_paused.unwrap_or_default();
        (start + Span::from_secs(2)).since(self.now)
    }

    fn exchange(&mut self, index: usize) {
        if self.daemons[index].is_gone {
            return;
        }
        if self.is_paused(index) {
            let left = self.pause_left();
            self.after(left, Event::Exchange(index));
            return;
        }
        let interval = interval(self.peers.count());
        self.after(interval, Event::Exchange(index));
        let uses_digests = !matches!(
            self.policy,
            Policy::Oracle
                | Policy::OracleTwo
                | Policy::Responses
                | Policy::ScaledSends
                | Policy::EqualShares
        );
        if !uses_digests || !is_needed(self.peers.count(), SLOTS) || self.daemons[index].is_silent {
            return;
        }
        let now = self.now;
        let heads: Vec<(Epoch, HostKey)> = self
            .roster
            .groups()
            .iter()
            .filter_map(|group| Some((group.epoch, group.head()?)))
            .collect();
        let daemon = &mut self.daemons[index];
        let counts = heads
            .iter()
            .map(|(epoch, key)| (*epoch, daemon.loads.take_own_requests(*key)));
        let report = daemon.sent.report(counts.collect(), now);
        let work = match self.scene.exchanges_work {
            true => daemon.contention.take_report(now),
            false => None,
        };
        let own = daemon.address;
        let mut is_aggregator = false;
        for (_, address) in aggregators(&self.peers) {
            if address == own {
                is_aggregator = true;
                let message = Message::Report(report.clone(), work.clone());
                self.deliver(index, index, message);
            } else {
                let message = Message::Report(report.clone(), work.clone());
                self.transmit(index, address, message);
            }
        }
        if is_aggregator {
            self.send_digest(index);
        }
    }

    fn send_digest(&mut self, index: usize) {
        let now = self.now;
        let known: BTreeSet<SocketAddr> = self
            .peers
            .daemons()
            .filter_map(|(_, entry)| entry.peer)
            .collect();
        let interval = interval(known.len());
        let digest = self.daemons[index].tally.digest(&known, interval, now);
        let rates = self.daemons[index].works.take_rates(&known, interval, now);
        let work = rates.map(|rates| WorkCounts::new(&rates, MAX_TOTALS_BYTES));
        for address in known {
            let contained = self.daemons[index].tally.contained(address);
            let message = Message::Digest(digest.clone(), contained, work.clone());
            if address == self.daemons[index].address {
                self.deliver(index, index, message);
            } else {
                self.transmit(index, address, message);
            }
        }
    }

    fn transmit(&mut self, from: usize, address: SocketAddr, message: Message) {
        let content = match &message {
            Message::Report(report, None) => postcard::to_stdvec(report),
            Message::Report(report, work) => postcard::to_stdvec(&(report, work)),
            Message::Digest(digest, own, None) => postcard::to_stdvec(&(digest, own)),
            Message::Digest(digest, own, work) => postcard::to_stdvec(&(digest, own, work)),
        };
        let size = content.expect("serializes").len() + 1 + DATAGRAM_HEADERS;
        let to = self
            .daemons
            .iter()
            .position(|daemon| daemon.address == address)
            .expect("known");
        if self.is_measured(self.now) {
            self.daemons[from].bytes += size;
            self.daemons[to].bytes += size;
        }
        if self.rng.random::<f64>() < self.scene.loss {
            return;
        }
        // Most daemons have an eighth of a core, so one in ten is not scheduled at once.
        let delay = match self.rng.random_range(0..10) {
            0 => self.rng.random_range(5_000..60_000),
            _ => self.rng.random_range(300..5_000),
        };
        self.after(Span(delay), Event::Deliver { from, to, message });
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        if self.daemons[to].is_gone || self.daemons[to].is_silent {
            return;
        }
        if self.is_paused(to) {
            let left = self.pause_left();
            self.after(left, Event::Deliver { from, to, message });
            return;
        }
        let now = self.now;
        let from = self.daemons[from].address;
        let daemon = &mut self.daemons[to];
        match message {
            Message::Report(report, work) => {
                let is_recorded = daemon.tally.record(from, report, now);
                if let Some(work) = work.filter(|_| is_recorded) {
                    daemon.works.record(from, work, now);
                }
            }
            Message::Digest(digest, own, work) => {
                let daemons = self.peers.count();
                let read = daemon
                    .sent
                    .interpret(&digest, own, daemons, interval(daemons), now);
                let Ok(others) = read else {
                    return;
                };
                for group in self.roster.groups() {
                    let Some(head) = group.head() else {
                        continue;
                    };
                    let counts = Total {
                        load: others.heads.get(&group.epoch).copied().unwrap_or_default(),
                        at: others.at,
                        until: others.until,
                        horizon: horizon(interval(daemons)),
                    };
                    daemon.loads.total_reported(head, counts);
                }
                if let Some(work) = work {
                    let contention = &mut daemon.contention;
                    contention.add_totals(&work, interval(daemons), now);
                }
            }
        }
    }

    fn sample(&mut self) {
        self.after(SAMPLE_INTERVAL, Event::Sample);
        // A head that has just opened fills up for a while.
        let settled =
            |head: &&Head| head.is_alive && self.now.since(head.seen_open) > Span::from_secs(3);
        let totals: Vec<f64> = self
            .heads
            .iter()
            .filter(settled)
            .map(|head| head.total() as f64)
            .collect();
        let mean = totals.iter().sum::<f64>() / totals.len() as f64;
        let variance = totals
            .iter()
            .map(|total| (total - mean).powi(2))
            .sum::<f64>()
            / totals.len() as f64;
        self.samples += 1;
        self.figures.deviation += variance.sqrt();
        self.figures.max_over_mean +=
            totals.iter().fold(0.0_f64, |max, total| max.max(*total)) / mean.max(1.0);
    }

    fn finish(mut self) -> Figures {
        let mut figures = self.figures;
        figures.deviation /= self.samples.max(1) as f64;
        figures.max_over_mean /= self.samples.max(1) as f64;
        self.first_events.sort_by(f64::total_cmp);
        let times = &self.first_events;
        let quantile = |part: f64| {
            times
                .get((times.len() as f64 * part) as usize)
                .copied()
                .unwrap_or_default()
        };
        (figures.p50, figures.p95, figures.p99) = (quantile(0.5), quantile(0.95), quantile(0.99));
        let seconds = self.scene.length.as_secs_f64();
        let rate = |daemons: &[Daemon]| {
            daemons.iter().map(|daemon| daemon.bytes).sum::<usize>() as f64
                / seconds
                / daemons.len() as f64
        };
        figures.aggregator_bytes = rate(&self.daemons[..2]);
        figures.daemon_bytes = rate(&self.daemons[2..]);
        figures
    }
}
