//! Simulated daemons whose callers contend for the heads of one model, in virtual time.
//!
//! Each daemon sees the requests of its own callers, and totals of the heads'
//! requests that are some hundred milliseconds old. Refused callers come back at
//! the time that they are told.

use super::engine_heads::{
    ANSWER_TOKENS, EventQueue, PROMPT_TOKENS, SLOTS, engine, head, model, service, spec,
};
use hickoryledge::{
    core::{
        keys::{AccountName, Epoch, HallName, ModelName, ServiceName},
        time::{Span, Time},
    },
    gateway::{
        account_work::{MAX_TOTALS_BYTES, WorkCounts},
        admission::{AdmissionClass, Precedence, expected_duration},
        balancer::{ChooseError, Criteria, View, choose},
        contention::{Contention, Request},
        head_limits::HeadLimits,
        load::{LoadReport, Loads},
        load_exchange::work_tally::WorkTally,
        notices::Notices,
        rank::{Rank, RankLevel},
        roster::{HostKey, Roster},
        spec::Engine,
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

/// Number of groups that serve the model.
const HEADS: u32 = 13;
/// Interval at which a daemon learns the totals of the heads.
const EXCHANGE_INTERVAL: Span = Span::from_millis(250);
/// Age of the totals when they arrive.
const EXCHANGE_AGE: Span = Span::from_millis(150);
/// Time from the decision until the request is at the head.
const SEND_TIME: Span = Span::from_millis(10);
/// Time to the first event that is on time.
const OBJECTIVE: Span = Span::from_millis(400);
/// Time for which a caller tries.
const PATIENCE: Span = Span::from_secs(8);
/// Time before the outcomes of requests are counted.
const WARM_UP: Span = Span::from_secs(10);
/// Priorities of the requests, with their fractions of the demand.
const RANKS: [(u8, f64); 3] = [(0, 0.25), (1, 0.35), (2, 0.4)];
/// Number of accounts.
const ACCOUNTS: usize = 24;
/// Number of aggregators that get each report and send digests.
const AGGREGATORS: usize = 2;

/// How daemons treat requests of different ranks and accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// All alike.
    Alike,
    /// Each by its rank, and accounts by their shares of the daemon's own sample.
    Ranked,
    /// The same, with the shares of the work at all daemons.
    Exchanged,
}

/// Scene that is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// How daemons treat requests.
    pub policy: Policy,
    /// Number of daemons.
    pub daemons: usize,
    /// Demand in relation to what the heads can serve.
    pub load: f64,
    /// Fraction of the demand that one account has.
    pub largest: f64,
    /// Fraction of the demand that the most urgent rank has; the rest is divided as usual.
    pub most_urgent: f64,
    /// Priority of the last account, if it has one of its own.
    pub account_priority: Option<u8>,
    /// Seed of all chance.
    pub seed: u64,
}

/// Outcomes of requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    /// Requests of callers.
    pub requests: u32,
    /// Those whose first event came within the objective.
    pub on_time: u32,
    /// Those whose first event came later.
    pub late: u32,
}

impl Outcomes {
    /// Returns the fraction of the requests that were served.
    pub fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.requests.max(1))
    }

    /// Returns the fraction of the requests that were served on time.
    pub fn on_time(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.requests.max(1))
    }
}

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Outcomes by priority.
    pub ranks: BTreeMap<u8, Outcomes>,
    /// Outcomes by account; the first one is the largest.
    pub accounts: BTreeMap<usize, Outcomes>,
    /// Mean fraction of the slots that were taken.
    pub taken: f64,
    /// Refusals while less than half of the slots were taken.
    pub refused_while_free: u32,
    /// Bytes that a daemon sends and receives in a second for the work of accounts.
    pub work_bytes: f64,
}

impl Figures {
    /// Returns the outcomes of the last account, which may have a priority of its own.
    pub fn last_account(&self) -> Outcomes {
        self.accounts[&(ACCOUNTS - 1)]
    }

    /// Returns the outcomes of all requests.
    pub fn all(&self) -> Outcomes {
        sum(self.accounts.values())
    }

    /// Returns the outcomes of all accounts but the largest.
    pub fn small_accounts(&self) -> Outcomes {
        sum(self.accounts.range(1..).map(|(_, outcomes)| outcomes))
    }
}

fn sum<'a>(parts: impl Iterator<Item = &'a Outcomes>) -> Outcomes {
    parts.fold(Outcomes::default(), |sum, part| Outcomes {
        requests: sum.requests + part.requests,
        on_time: sum.on_time + part.on_time,
        late: sum.late + part.late,
    })
}

/// Request of a caller.
#[derive(Clone, Copy, Debug)]
struct Call {
    priority: u8,
    account: usize,
    arrived: Time,
    answer_tokens: u32,
}

/// Request on its way to a head, or there.
#[derive(Clone, Copy, Debug)]
struct Sent {
    call: Call,
    daemon: usize,
    head: usize,
    urgency: u8,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A new caller.
    Arrival,
    /// A caller tries again.
    Return(Call),
    /// A request arrives at its head.
    AtHead(Sent),
    /// A request ends at its head.
    End(Sent),
    /// A daemon learns the totals.
    Exchange(usize),
    /// The totals are taken.
    Snapshot,
}

struct Daemon {
    loads: Loads,
    contention: Contention,
    /// Own requests by head.
    own: Vec<u32>,
    address: SocketAddr,
    /// Time of the last digest of accounts' work that has arrived.
    work_at: Time,
}

/// Requests of each head, and those of each daemon among them.
struct Totals {
    at: Time,
    all: Vec<u32>,
    own: Vec<Vec<u32>>,
}

#[derive(Default)]
struct Head {
    running: u32,
    /// Waiting requests by urgency and arrival.
    waiting: BTreeMap<(u8, u64), Sent>,
}

struct World {
    scene: Scene,
    now: Time,
    rng: SmallRng,
    roster: Roster,
    notices: Notices,
    engine: Engine,
    model: ModelName,
    service: ServiceName,
    hall: HallName,
    heads: Vec<HostKey>,
    runners: Vec<Head>,
    daemons: Vec<Daemon>,
    accounts: Vec<AccountName>,
    totals: VecDeque<Totals>,
    works: WorkTally,
    /// The last digest of accounts' work.
    work: (Time, WorkCounts),
    work_bytes: usize,
    agenda: EventQueue<Event>,
    sequence: u64,
    figures: Figures,
    slot_seconds: f64,
}

/// Simulates a scene for this time after the warm-up.
pub fn simulate(scene: Scene, span: Span) -> Figures {
    let mut world = World::new(scene);
    let end = Time(0) + WARM_UP + span;
    while let Some((at, event)) = world.agenda.pop_before(end) {
        world.count_slots(at);
        world.now = at;
        world.handle(event);
    }
    let mut figures = world.figures;
    let daemon_seconds = (WARM_UP + span).as_secs_f64() * scene.daemons as f64;
    figures.work_bytes = world.work_bytes as f64 / daemon_seconds;
    figures.taken = world.slot_seconds / span.as_secs_f64() / f64::from(HEADS * SLOTS);
    figures
}

/// Returns the heads that serve the model, and their engine.
pub fn serving_heads() -> (Roster, Engine) {
    let mut roster = Roster::default();
    let heads = (0..HEADS).map(|index| head(index as usize, Epoch(i64::from(index) + 1)));
    roster.replace(heads.collect(), Time(0));
    roster.rebuild_groups(&spec());
    (roster, engine())
}

impl World {
    fn new(scene: Scene) -> Self {
        let (roster, engine) = serving_heads();
        let heads: Vec<HostKey> = roster.hosts().map(|(key, _)| key).collect();
        let daemon = |index: usize| Daemon {
            loads: Loads::default(),
            contention: Contention::default(),
            own: vec![0; heads.len()],
            address: ([10, 1, 0, 1], index as u16).into(),
            work_at: Time(0),
        };
        let mut world = Self {
            scene,
            now: Time(0),
            rng: SmallRng::seed_from_u64(scene.seed),
            roster,
            notices: Notices::default(),
            engine,
            model: model(),
            service: service(),
            hall: HallName::from("hall"),
            runners: heads.iter().map(|_| Head::default()).collect(),
            daemons: (0..scene.daemons).map(daemon).collect(),
            heads,
            accounts: (0..ACCOUNTS)
                .map(|number| AccountName::from(format!("a{number}")))
                .collect(),
            totals: VecDeque::new(),
            works: WorkTally::default(),
            work: (Time(0), WorkCounts::default()),
            work_bytes: 0,
            agenda: EventQueue::default(),
            sequence: 0,
            figures: Figures::default(),
            slot_seconds: 0.0,
        };
        world.schedule(Span::ZERO, Event::Arrival);
        world.schedule(Span::ZERO, Event::Snapshot);
        for daemon in 0..scene.daemons {
            let phase = world.rng.random_range(0..EXCHANGE_INTERVAL.0);
            world.schedule(EXCHANGE_AGE + Span(phase), Event::Exchange(daemon));
        }
        world
    }

    fn schedule(&mut self, after: Span, event: Event) {
        self.agenda.add(self.now + after, event);
    }

    fn count_slots(&mut self, until: Time) {
        let from = self.now.max(Time(0) + WARM_UP);
        let running: u32 = self.runners.iter().map(|head| head.running).sum();
        self.slot_seconds += until.since(from).as_secs_f64() * f64::from(running);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Return(call) => self.ask(call),
            Event::AtHead(sent) => {
                self.sequence += 1;
                let key = (sent.urgency, self.sequence);
                self.runners[sent.head].waiting.insert(key, sent);
                self.start_waiting(sent.head);
            }
            Event::End(sent) => {
                let daemon = &mut self.daemons[sent.daemon];
                daemon.own[sent.head] -= 1;
                daemon.loads.request_ended(self.heads[sent.head]);
                self.runners[sent.head].running -= 1;
                self.start_waiting(sent.head);
            }
            Event::Exchange(daemon) => {
                self.learn_totals(daemon);
                if self.scene.policy == Policy::Exchanged {
                    self.exchange_work(daemon);
                }
                self.schedule(EXCHANGE_INTERVAL, Event::Exchange(daemon));
            }
            Event::Snapshot => {
                self.take_totals();
                self.sum_work();
                self.schedule(Span::from_millis(50), Event::Snapshot);
            }
        }
    }

    fn take_totals(&mut self) {
        let own: Vec<Vec<u32>> = self
            .daemons
            .iter()
            .map(|daemon| daemon.own.clone())
            .collect();
        let all = (0..self.heads.len())
            .map(|head| own.iter().map(|own| own[head]).sum())
            .collect();
        let at = self.now;
        self.totals.push_back(Totals { at, all, own });
        if self.totals.len() > 8 {
            self.totals.pop_front();
        }
    }

    /// Replaces a daemon's view of the other daemons' requests by the latest totals that have
    /// reached it.
    fn learn_totals(&mut self, daemon: usize) {
        let mut known = self.totals.iter().rev();
        let Some(totals) = known.find(|totals| self.now.since(totals.at) >= EXCHANGE_AGE) else {
            return;
        };
        let view = &mut self.daemons[daemon];
        for (head, key) in self.heads.iter().enumerate() {
            let others = totals.all[head] - totals.own[daemon][head];
            let report = LoadReport {
                running: others + view.own[head],
                waiting: 0,
                slots: SLOTS,
            };
            view.loads.load_reported(*key, report, self.now);
        }
    }

    /// Sums the accounts' work at all daemons, if that is due.
    fn sum_work(&mut self) {
        let daemons = self.daemons.iter().map(|daemon| daemon.address).collect();
        let rates = self.works.take_rates(&daemons, EXCHANGE_INTERVAL, self.now);
        if let Some(rates) = rates {
            self.work = (self.now, WorkCounts::new(&rates, MAX_TOTALS_BYTES));
        }
    }

    /// Reports the accounts' work at a daemon, and adopts the last digest if it has arrived.
    fn exchange_work(&mut self, daemon: usize) {
        let (now, (at, rates)) = (self.now, &self.work);
        let daemon = &mut self.daemons[daemon];
        if let Some(report) = daemon.contention.take_report(now) {
            self.work_bytes += AGGREGATORS * encoded_bytes(&report);
            self.works.record(daemon.address, report, now);
        }
        let is_new = daemon.work_at < *at && now.since(*at) >= EXCHANGE_AGE;
        if is_new && !rates.is_empty() {
            self.work_bytes += AGGREGATORS * encoded_bytes(rates);
            daemon.work_at = *at;
            daemon.contention.add_totals(rates, EXCHANGE_INTERVAL, now);
        }
    }

    /// Creates a caller's request and schedules the next one.
    fn arrive(&mut self) {
        let Scene {
            load,
            largest,
            most_urgent,
            account_priority,
            ..
        } = self.scene;
        let replication = &self.engine.models[0];
        let duration = self
            .engine
            .request_duration(replication, PROMPT_TOKENS, ANSWER_TOKENS);
        let capacity = f64::from(HEADS * SLOTS) / duration.as_secs_f64();
        let mean_pause = 1e6 / (capacity * load);
        let pause = -(1.0 - self.rng.random::<f64>()).ln() * mean_pause;
        self.schedule(Span(pause as u64), Event::Arrival);
        let is_largest = self.rng.random_bool(largest);
        let account = match is_largest {
            true => 0,
            false => self.rng.random_range(1..ACCOUNTS),
        };
        let drawn = self.draw_priority(most_urgent);
        let own = account_priority.filter(|_| account == ACCOUNTS - 1);
        let call = Call {
            priority: own.unwrap_or(drawn),
            account,
            arrived: self.now,
            answer_tokens: self
                .rng
                .random_range(ANSWER_TOKENS / 3..=ANSWER_TOKENS * 5 / 3),
        };
        if self.is_counted(&call) {
            let of_rank = self.figures.ranks.entry(call.priority).or_default();
            of_rank.requests += 1;
            let of_account = self.figures.accounts.entry(account).or_default();
            of_account.requests += 1;
        }
        self.ask(call);
    }

    fn draw_priority(&mut self, most_urgent: f64) -> u8 {
        if self.rng.random_bool(most_urgent) {
            return RANKS[0].0;
        }
        let others: f64 = RANKS[1..].iter().map(|(_, fraction)| fraction).sum();
        match self.rng.random_bool(RANKS[1].1 / others) {
            true => RANKS[1].0,
            false => RANKS[2].0,
        }
    }

    fn is_counted(&self, call: &Call) -> bool {
        call.arrived >= Time(0) + WARM_UP
    }

    /// Sends a call to a head by the decision of any daemon, or has the caller come back.
    fn ask(&mut self, call: Call) {
        let index = self.rng.random_range(0..self.daemons.len());
        let is_late = self.now.since(call.arrived) > OBJECTIVE;
        let class = match is_late {
            true => AdmissionClass::Late,
            false => AdmissionClass::OnTime,
        };
        let priorities: BTreeSet<u8> = RANKS.iter().map(|(priority, _)| *priority).collect();
        let rank = match self.scene.policy {
            Policy::Alike => Rank::default(),
            Policy::Ranked | Policy::Exchanged => Rank::new(call.priority, &priorities),
        };
        let daemon = &mut self.daemons[index];
        let request = Request {
            service: &self.service,
            model: &self.model,
            engine: &self.engine,
            rank,
            account: Some(&self.accounts[call.account]),
            prompt_tokens: PROMPT_TOKENS,
            answer_tokens: call.answer_tokens,
        };
        daemon.contention.record_request(&request, self.now);
        daemon.contention.report_request(&request, class);
        let contention = &daemon.contention;
        let precedence: Precedence = contention.precedence(&request, self.scene.daemons, self.now);
        let criteria = Criteria {
            service: &self.service,
            model: Some((&self.model, &self.engine)),
            class,
            precedence,
            duration: expected_duration(
                Some((&self.engine, &self.model)),
                PROMPT_TOKENS,
                call.answer_tokens,
            ),
            remaining: PATIENCE - self.now.since(call.arrived),
            hall: &self.hall,
            tried: &[],
            unlimited: false,
        };
        let view = View {
            limits: &HeadLimits::default(),
            roster: &self.roster,
            loads: &daemon.loads,
            notices: &self.notices,
        };
        match choose(view, criteria, self.now, &mut self.rng) {
            Ok(endpoint) => {
                daemon.contention.record_admission(&request, self.now);
                daemon.contention.report_admission(&request);
                daemon.loads.request_started(endpoint.host);
                let mut heads = self.heads.iter();
                let head = heads.position(|key| *key == endpoint.host);
                let head = head.expect("a known head");
                daemon.own[head] += 1;
                let sent = Sent {
                    call,
                    daemon: index,
                    head,
                    urgency: urgency(class, rank),
                };
                self.schedule(SEND_TIME, Event::AtHead(sent));
            }
            Err(ChooseError::AllFull { retry_delay, .. }) => self.refuse(call, retry_delay),
            Err(error) => panic!("heads serve: {error:?}"),
        }
    }

    fn refuse(&mut self, call: Call, retry_delay: Span) {
        let running: u32 = self.runners.iter().map(|head| head.running).sum();
        let has_waiting = self.runners.iter().any(|head| !head.waiting.is_empty());
        if running < HEADS * SLOTS / 2 && !has_waiting {
            self.figures.refused_while_free += 1;
        }
        if self.now.since(call.arrived) + retry_delay < PATIENCE {
            self.schedule(retry_delay, Event::Return(call));
        }
    }

    /// Starts the most urgent waiting requests in the free slots of a head.
    fn start_waiting(&mut self, head: usize) {
        while self.runners[head].running < SLOTS {
            let Some((_, sent)) = self.runners[head].waiting.pop_first() else {
                return;
            };
            self.runners[head].running += 1;
            let replication = &self.engine.models[0];
            let duration = |answer| {
                let engine = &self.engine;
                engine.request_duration(replication, PROMPT_TOKENS, answer)
            };
            let first_event = self.now + duration(1);
            let duration = duration(sent.call.answer_tokens);
            if self.is_counted(&sent.call) {
                let is_on_time = first_event.since(sent.call.arrived) <= OBJECTIVE;
                let figures = &mut self.figures;
                for outcomes in [
                    figures.ranks.entry(sent.call.priority).or_default(),
                    figures.accounts.entry(sent.call.account).or_default(),
                ] {
                    outcomes.on_time += u32::from(is_on_time);
                    outcomes.late += u32::from(!is_on_time);
                }
            }
            self.schedule(duration, Event::End(sent));
        }
    }
}

/// Returns the order in which a runner starts waiting requests: by class, then by rank.
fn urgency(class: AdmissionClass, rank: Rank) -> u8 {
    let by_class = match class {
        AdmissionClass::Resumed => 0,
        AdmissionClass::OnTime => 3,
        AdmissionClass::Late => 6,
    };
    let by_rank = match rank.level() {
        RankLevel::First => 0,
        RankLevel::Middle => 1,
        RankLevel::Last => 2,
    };
    by_class + by_rank
}

fn encoded_bytes<T>(message: &T) -> usize
where
    T: Serialize,
{
    let bytes = postcard::to_stdvec(message);
    bytes.expect("serializes").len()
}
