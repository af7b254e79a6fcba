//! Simulated daemons that send requests to heads which become cold, in virtual time.
//!
//! Entries reach each daemon with a delay of its own, a round trip between two
//! daemons takes time and may fail, and so does a connection to a head. Daemons
//! join, die, and are cut off from the store, which they then follow by way of a
//! peer, after some time; alone, their view of the other daemons stays as it was.

use hickoryledge::{
    core::{
        keys::{DaemonName, Epoch, HallName, HostName, Revision, ServiceName},
        time::{Span, Time},
    },
    gateway::{
        coldness::{ColdClaim, ColdEntry, Coldness, EntrySource},
        notices::{AppliedLimit, LimitReason, RateLimit},
        peers::{DaemonEntry, Peers},
        permits::{Authority, Denials, Issuer, Registration, Verdict, authority},
        roster::{HostKey, RunnerInstance},
        spec::{ColdRate, Service, Spec},
        stated::Stated,
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use slotmap::SlotMap;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
};

/// Time for which the daemons have known each other at the start.
const KNOWN_TIME: Span = Span::from_secs(90);

/// Requests a second that a cold head tolerates.
pub const COLD_RATE: f64 = 26.0;
/// Requests that a cold head may get in any second.
pub const MAX_IN_SECOND: usize = 44;
/// Time for which heads are cold after a start.
const COLD_PERIOD: Span = Span::from_secs(15);
/// Objective of the route.
const OBJECTIVE: Span = Span::from_millis(250);
/// Interval at which a head writes its entry.
const WRITE_INTERVAL: Span = Span::from_millis(1_200);
/// Maximum delay from the write of an entry until a daemon has read it.
const MAX_ENTRY_DELAY: Span = Span::from_millis(800);
/// Time after which a daemon that is cut off from the store follows a peer.
const PEER_SEARCH_TIME: Span = Span::from_millis(2_000);
/// Additional delay at a daemon that follows a peer.
const PEER_DELAY: Span = Span::from_millis(300);
/// Time after which an entry whose daemon is gone leaves the store.
const ENTRY_TTL: Span = Span::from_secs(3);
/// Time before its end from which a daemon treats its own lease as expired.
const EXPIRY_MARGIN: Span = Span::from_millis(400);
/// Interval at which a daemon renews its lease.
const RENEWAL_INTERVAL: Span = Span::from_millis(700);
/// Maximum delay of a view of the daemons behind the store.
const MAX_VIEW_LAG: Span = Span::from_millis(900);
/// Timeout of a request for a permit, and time for which the head is left out then.
const REQUEST_TIMEOUT: Span = Span::from_millis(100);
/// Factor from that timeout to the time for which the head is left out.
const UNANSWERED_WAIT_FACTOR: u64 = 5;
/// Wait that a daemon names which is not the authority.
const MISDIRECTED_WAIT: Span = Span::from_millis(250);
/// Age from which a permit is not used any more.
const MAX_PERMIT_AGE: Span = Span::from_millis(150);

/// Way in which daemons share the cold rate of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// One daemon issues permits for a head.
    Permits,
    /// Each daemon has an equal share, by the number of daemons that it knows.
    EqualShares,
    /// This many daemons, by rank, have equal shares of a head; the others send it nothing.
    FewSenders(usize),
    /// Daemons take no notice of cold heads.
    Unlimited,
}

/// One simulated daemon.
pub struct Daemon {
    name: DaemonName,
    address: SocketAddr,
    peers: Peers,
    issuer: Issuer,
    registration: Registration,
    coldness: Coldness,
    /// Instance that it knows at each head, none if the head isn't open.
    known: Vec<Option<u64>>,
    /// Authority of each head, once it was asked for.
    authorities: Vec<Option<Authority>>,
    /// Whether it is among the few senders of each head, once that was asked for.
    sends: Vec<Option<bool>>,
    held_until: Vec<Time>,
    is_alive: bool,
    /// Time since which it is cut off from the store, while it is.
    pub cut_off_since: Option<Time>,
    /// True if it follows no peer while it is cut off, so that its view of the daemons stays as it was.
    pub is_alone: bool,
    /// Number of daemons that it has read.
    listed: Vec<(DaemonName, SocketAddr)>,
    reads_at: Time,
    renews_at: Time,
    /// Time until which the store holds its entry.
    entry_until: Time,
}

/// One head.
struct Head {
    keys: Vec<HostKey>,
    born: u64,
    cold_until: Time,
    /// Times at which it got requests since it was restarted.
    received: Vec<Time>,
    /// Largest number of requests in a second while it was cold earlier.
    earlier_worst: usize,
}

impl Head {
    fn key(&self) -> HostKey {
        *self.keys.last().expect("a key")
    }
}

/// One request.
#[derive(Clone, Copy, Debug)]
struct Request {
    daemon: usize,
    asking: Span,
    denials: Denials,
}

/// Event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    /// A request looks for a head.
    Choose(Request),
    /// A request for a permit reaches a daemon.
    Asked {
        request: Request,
        head: usize,
        authority: usize,
        claim: Option<ColdClaim>,
        asked_at: Time,
        answer_at: Time,
        timeout: Span,
    },
    /// The verdict, or a timeout, reaches the daemon that asked.
    Answered {
        request: Request,
        head: usize,
        asked_at: Time,
        verdict: Option<Verdict>,
        timeout: Span,
    },
    /// The connection to the head is open.
    Connected {
        request: Request,
        head: usize,
        born: u64,
        asked_at: Option<Time>,
    },
    /// A head writes its entry.
    Write(usize),
    /// An entry reaches a daemon.
    Entry {
        daemon: usize,
        head: usize,
        born: u64,
        entry: ColdEntry,
    },
}

/// Outcome of all requests.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests that were refused because all heads were held back.
    pub refused: usize,
    /// Time that each request spent on asking for permits before it was sent.
    pub asking: Vec<Span>,
    /// Datagrams between daemons.
    pub datagrams: usize,
}

impl Outcome {
    /// Returns the time that a part of the requests doesn't exceed for asking.
    pub fn asking(&self, part: f64) -> Span {
        let mut spans = self.asking.clone();
        spans.sort_unstable();
        let index = (spans.len() as f64 * part) as usize;
        let last = spans.len().saturating_sub(1);
        spans.get(index.min(last)).copied().unwrap_or_default()
    }

    /// Returns the refused requests as a share of all.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.requests.max(1) as f64
    }
}

/// Daemons and heads.
pub struct Fleet {
    /// Current time.
    pub now: Time,
    /// Random number generator.
    pub rng: SmallRng,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// Outcome so far.
    pub outcome: Outcome,
    /// Probability that a request for a permit gets no response.
    pub loss: f64,
    heads: Vec<Head>,
    hosts: SlotMap<HostKey, ()>,
    policy: Policy,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    pending: BTreeMap<u64, Event>,
    next_event: u64,
    revision: i64,
    ranks: BTreeMap<(usize, usize), u64>,
}

fn service() -> ServiceName {
    ServiceName::from("engines")
}

fn rate() -> RateLimit {
    RateLimit::new(COLD_RATE).expect("valid")
}

fn spec() -> Spec {
    let cold = ColdRate {
        period: COLD_PERIOD,
        limit: rate(),
    };
    Spec {
        services: vec![Service {
            name: service(),
            max_connections: 300,
            engine: None,
            cold: Some(cold),
        }],
        ..Spec::default()
    }
}

impl Fleet {
    /// Creates daemons and heads that have known each other for some time; no head is cold.
    pub fn new(policy: Policy, daemons: usize, heads: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: Time::default() + Span::from_secs(100),
            rng: SmallRng::seed_from_u64(seed),
            daemons: Vec::new(),
            outcome: Outcome::default(),
            loss: 0.01,
            heads: Vec::new(),
            hosts: SlotMap::with_key(),
            policy,
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next_event: 0,
            revision: 0,
            ranks: BTreeMap::new(),
        };
        for head in 0..heads {
            let key = fleet.hosts.insert(());
            fleet.heads.push(Head {
                keys: vec![key],
                born: 1,
                cold_until: Time::default(),
                received: Vec::new(),
                earlier_worst: 0,
            });
            let first = Span(fleet.rng.random_range(0..WRITE_INTERVAL.0));
            fleet.schedule(first, Event::Write(head));
        }
        (0..daemons).for_each(|_| fleet.join());
        let earlier = fleet.now - KNOWN_TIME;
        let daemons = fleet.daemons.iter_mut();
        daemons.for_each(|daemon| daemon.peers.clear(earlier));
        fleet.run_for(Span::from_secs(5), 0.0);
        fleet
    }

    /// Adds a daemon, which lists all heads.
    pub fn join(&mut self) {
        let number = self.daemons.len() as u16;
        let mut coldness = Coldness::default();
        coldness.configure(&spec());
        let mut daemon = Daemon {
            name: DaemonName::from(format!("d{number}").as_str()),
            address: SocketAddr::from(([10, 0, 0, 1], number)),
            peers: Peers::default(),
            issuer: Issuer::default(),
            registration: Registration::default(),
            coldness,
            known: Vec::new(),
            authorities: vec![None; self.heads.len()],
            sends: vec![None; self.heads.len()],
            held_until: vec![Time::default(); self.heads.len()],
            is_alive: true,
            cut_off_since: None,
            is_alone: false,
            listed: Vec::new(),
            reads_at: self.now,
            renews_at: self.now,
            entry_until: self.now,
        };
        for head in 0..self.heads.len() {
            let entry = self.entry(head, EntrySource::FirstList);
            let is_open = entry.open_epoch.is_some();
            daemon.known.push(is_open.then_some(self.heads[head].born));
            let key = self.heads[head].key();
            daemon.coldness.record_entry(key, &entry, self.now);
        }
        self.daemons.push(daemon);
    }

    /// Cuts a daemon off from the store.
    pub fn cut_off(&mut self, index: usize) {
        self.daemons[index].cut_off_since.get_or_insert(self.now);
    }

    /// Ends the cut of a daemon from the store.
    pub fn reconnect(&mut self, index: usize) {
        self.daemons[index].cut_off_since = None;
    }

    /// Returns the authority of a head, as the daemons see it that read the others' entries.
    pub fn informed_authority(&mut self, head: usize) -> Option<usize> {
        let now = self.now;
        let informed = |daemon: &Daemon| daemon.is_alive && daemon.is_informed(now);
        let index = self.daemons.iter().position(informed)?;
        match self.authority(index, head) {
            Authority::Own => Some(index),
            Authority::Peer(address) => Some(usize::from(address.port())),
            Authority::Divided(_) => None,
        }
    }

    /// Kills a daemon without notice.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index].is_alive = false;
    }

    /// Restarts a head: it serves again, cold, once daemons have read its entry.
    pub fn restart(&mut self, head: usize) {
        let key = self.hosts.insert(());
        let restarted = &mut self.heads[head];
        restarted.earlier_worst = worst_second(restarted, Span::ZERO);
        restarted.keys.push(key);
        restarted.born += 1;
        restarted.cold_until = self.now + COLD_PERIOD;
        restarted.received.clear();
        for daemon in &mut self.daemons {
            daemon.known[head] = None;
            daemon.authorities[head] = None;
        }
        self.write(head);
    }

    /// Makes a head cold that goes on serving; its entry says so when it is written next.
    pub fn become_cold(&mut self, head: usize) {
        self.heads[head].cold_until = self.now + COLD_PERIOD;
    }

    /// Returns the number of heads.
    pub fn head_count(&self) -> usize {
        self.heads.len()
    }

    /// Runs with so many requests a second, each at a random daemon.
    pub fn run_for(&mut self, span: Span, demand: f64) {
        let end = self.now + span;
        let mut next_request = self.now + self.request_gap(demand);
        let mut next_tick = self.now;
        loop {
            let next_event = self.events.peek().map_or(end, |Reverse((at, _))| *at);
            let next = next_event.min(next_request).min(next_tick).min(end);
            self.now = self.now.max(next);
            if self.now >= end {
                return;
            }
            if next_tick <= self.now {
                self.renew_and_read();
                next_tick = self.now + Span::from_millis(20);
            } else if next_event <= self.now {
                let Reverse((_, id)) = self.events.pop().expect("an event");
                let event = self.pending.remove(&id).expect("pending");
                self.apply(event);
            } else {
                next_request = self.now + self.request_gap(demand);
                self.arrive();
            }
        }
    }

    fn request_gap(&mut self, demand: f64) -> Span {
        if demand <= 0.0 {
            return Span::from_secs(3_600);
        }
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Span((-draw.ln() / demand * 1e6) as u64 + 1)
    }

    fn schedule(&mut self, delay: Span, event: Event) {
        let id = self.next_event;
        self.next_event += 1;
        self.pending.insert(id, event);
        self.events.push(Reverse((self.now + delay, id)));
    }

    fn renew_and_read(&mut self) {
        let now = self.now;
        let entries: Vec<(DaemonName, SocketAddr)> = self
            .daemons
            .iter()
            .filter(|daemon| daemon.entry_until > now)
            .map(|daemon| (daemon.name.clone(), daemon.address))
            .collect();
        for daemon in &mut self.daemons {
            if !daemon.is_alive || !daemon.is_informed(now) {
                continue;
            }
            if now >= daemon.renews_at && daemon.cut_off_since.is_none() {
                let until = now + (ENTRY_TTL - EXPIRY_MARGIN);
                daemon.registration.renew(now, until);
                daemon.entry_until = now + ENTRY_TTL;
                daemon.renews_at = now + RENEWAL_INTERVAL;
            }
            if now >= daemon.reads_at {
                daemon.read(&entries, now);
                let lag = self.rng.random_range(0..MAX_VIEW_LAG.0);
                daemon.reads_at = now + Span(lag);
            }
        }
    }

    /// Returns the entry of a head as it is written now.
    fn entry(&mut self, head: usize, source: EntrySource) -> ColdEntry {
        self.revision += 1;
        let head = &self.heads[head];
        ColdEntry {
            service: service(),
            cold_left: Stated::Value(head.cold_until.since(self.now)),
            open_epoch: Some(Epoch(head.born as i64)),
            revision: Revision(self.revision),
            source,
        }
    }

    /// Writes the entry of a head; each daemon reads it after a delay of its own.
    fn write(&mut self, head: usize) {
        let entry = self.entry(head, EntrySource::Current);
        let born = self.heads[head].born;
        for daemon in 0..self.daemons.len() {
            let mut delay = Span(self.rng.random_range(0..MAX_ENTRY_DELAY.0));
            if self.daemons[daemon].cut_off_since.is_some() {
                delay = delay + PEER_DELAY;
            }
            let entry = entry.clone();
            let event = Event::Entry {
                daemon,
                head,
                born,
                entry,
            };
            self.schedule(delay, event);
        }
    }

    fn arrive(&mut self) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        if !self.daemons[daemon].is_alive {
            return;
        }
        self.outcome.requests += 1;
        let request = Request {
            daemon,
            asking: Span::ZERO,
            denials: Denials::default(),
        };
        self.choose(request);
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Choose(request) => self.choose(request),
            Event::Asked {
                request,
                head,
                authority,
                claim,
                asked_at,
                answer_at,
                timeout,
            } => {
                let verdict = self.answer(head, authority, claim);
                let answered = Event::Answered {
                    request,
                    head,
                    asked_at,
                    verdict: verdict.filter(|_| answer_at.since(asked_at) <= timeout),
                    timeout,
                };
                let at = match answer_at.since(asked_at) <= timeout && verdict.is_some() {
                    true => answer_at,
                    false => asked_at + timeout,
                };
                self.schedule(at.since(self.now), answered);
            }
            Event::Answered {
                request,
                head,
                asked_at,
                verdict,
                timeout,
            } => self.answered(request, head, asked_at, verdict, timeout),
            Event::Connected {
                request,
                head,
                born,
                asked_at,
            } => self.connected(request, head, born, asked_at),
            Event::Write(head) => {
                self.write(head);
                self.schedule(WRITE_INTERVAL, Event::Write(head));
            }
            Event::Entry {
                daemon,
                head,
                born,
                entry,
            } => self.read_entry(daemon, head, born, &entry),
        }
    }

    fn read_entry(&mut self, daemon: usize, head: usize, born: u64, entry: &ColdEntry) {
        if self.heads[head].born != born {
            return;
        }
        let (key, now) = (self.heads[head].key(), self.now);
        let daemon = &mut self.daemons[daemon];
        daemon.known[head] = entry.open_epoch.map(|_| born);
        if self.policy != Policy::Unlimited {
            daemon.coldness.record_entry(key, entry, now);
        }
    }

    /// Looks for a head for a request.
    fn choose(&mut self, request: Request) {
        let is_picky = request.denials.are_enough(OBJECTIVE);
        let heads: Vec<usize> = (0..self.heads.len())
            .filter(|head| self.may_send(request.daemon, *head))
            .collect();
        let daemon = &self.daemons[request.daemon];
        let candidates: Vec<usize> = heads
            .into_iter()
            .filter(|head| daemon.known[*head] == Some(self.heads[*head].born))
            .filter(|head| daemon.held_until[*head] <= self.now)
            .filter(|head| {
                let key = self.heads[*head].key();
                !is_picky || !daemon.coldness.is_cold(key, self.now)
            })
            .collect();
        let Some(head) = candidates.choose(&mut self.rng).copied() else {
            self.outcome.refused += 1;
            return;
        };
        let key = self.heads[head].key();
        match self.daemons[request.daemon].coldness.limit(key, self.now) {
            None => self.connect(request, head, None),
            Some(_) => self.ask(request, head),
        }
    }

    fn ask(&mut self, request: Request, head: usize) {
        let (now, timeout) = (self.now, request.denials.time_left(OBJECTIVE));
        let timeout = REQUEST_TIMEOUT.min(timeout);
        let verdict = match self.policy {
            Policy::Permits => match self.authority(request.daemon, head) {
                Authority::Own => self.issue(request.daemon, head, None, 1.0),
                Authority::Divided(count) => {
                    self.issue(request.daemon, head, None, 1.0 / count as f64)
                }
                Authority::Peer(address) => {
                    let daemon = &self.daemons[request.daemon];
                    let claim = daemon.coldness.claim(self.heads[head].key(), now);
                    return self.send_ask(request, head, usize::from(address.port()), claim);
                }
            },
            Policy::EqualShares => {
                let known = self.daemons[request.daemon].peers.count().max(1);
                self.issue_locally(request.daemon, head, 1.0 / known as f64)
            }
            Policy::FewSenders(count) => match self.is_sender(request.daemon, head, count) {
                true => self.issue_locally(request.daemon, head, 1.0 / count as f64),
                false => Verdict::Denied {
                    wait: MISDIRECTED_WAIT,
                },
            },
            Policy::Unlimited => Verdict::Granted,
        };
        self.answered(request, head, now, Some(verdict), timeout);
    }

    /// Sends a request for a permit to another daemon.
    fn send_ask(
        &mut self,
        request: Request,
        head: usize,
        authority: usize,
        claim: Option<ColdClaim>,
    ) {
        self.outcome.datagrams += 2;
        let (there, back) = (self.datagram_delay(), self.datagram_delay());
        let timeout = REQUEST_TIMEOUT.min(request.denials.time_left(OBJECTIVE));
        let event = Event::Asked {
            request,
            head,
            authority,
            claim,
            asked_at: self.now,
            answer_at: self.now + there + back,
            timeout,
        };
        self.schedule(there, event);
    }

    /// Returns the delay of a datagram: mostly a millisecond or two, more if a daemon has no CPU time.
    fn datagram_delay(&mut self) -> Span {
        let usual = Span(self.rng.random_range(300..3_000));
        match self.rng.random_bool(0.05) {
            true => usual + Span(self.rng.random_range(0..60_000)),
            false => usual,
        }
    }

    /// Returns the authority of a head, as a daemon sees it.
    fn authority(&mut self, index: usize, head: usize) -> Authority {
        let runner = self.runner(head);
        let daemon = &mut self.daemons[index];
        let (name, peers) = (&daemon.name, &daemon.peers);
        *daemon.authorities[head].get_or_insert_with(|| authority(name, peers, &runner))
    }

    fn answer(
        &mut self,
        head: usize,
        authority_index: usize,
        claim: Option<ColdClaim>,
    ) -> Option<Verdict> {
        let now = self.now;
        let key = self.heads[head].key();
        let daemon = &mut self.daemons[authority_index];
        if !daemon.is_alive || self.rng.random_bool(self.loss) {
            return None;
        }
        if let Some(claim) = claim {
            daemon.coldness.record_claim(key, claim.left, now);
        }
        let known = daemon.coldness.limit(key, now).map(AppliedLimit::cold);
        let claimed = claim.map(|claim| AppliedLimit::cold(claim.limit));
        let limit = AppliedLimit::lower(known, claimed);
        let verdict = match (self.authority(authority_index, head), limit) {
            (_, None) => Verdict::Granted,
            (Authority::Own, _) => self.issue(authority_index, head, limit, 1.0),
            _ => Verdict::Denied {
                wait: MISDIRECTED_WAIT,
            },
        };
        Some(verdict)
    }

    fn answered(
        &mut self,
        mut request: Request,
        head: usize,
        asked_at: Time,
        verdict: Option<Verdict>,
        timeout: Span,
    ) {
        let elapsed = self.now.since(asked_at);
        request.asking = request.asking + elapsed;
        let wait = match verdict {
            Some(Verdict::Granted) => return self.connect(request, head, Some(asked_at)),
            Some(Verdict::Denied { wait }) => wait,
            None => timeout.times(UNANSWERED_WAIT_FACTOR),
        };
        self.daemons[request.daemon].held_until[head] = self.now + wait;
        // Without a round trip a request may look at all heads.
        if self.policy == Policy::Permits {
            request.denials.record(LimitReason::Cold, elapsed);
        }
        // Not at once: a chain of many heads would be a deep recursion.
        self.schedule(Span::ZERO, Event::Choose(request));
    }

    /// Opens a connection to a head, which takes long now and then.
    fn connect(&mut self, request: Request, head: usize, asked_at: Option<Time>) {
        let usual = Span(self.rng.random_range(500..4_000));
        let delay = match self.rng.random_bool(0.03) {
            true => usual + Span(self.rng.random_range(0..250_000)),
            false => usual,
        };
        let born = self.heads[head].born;
        let event = Event::Connected {
            request,
            head,
            born,
            asked_at,
        };
        self.schedule(delay, event);
    }

    fn connected(&mut self, request: Request, head: usize, born: u64, asked_at: Option<Time>) {
        if self.heads[head].born != born {
            return;
        }
        let key = self.heads[head].key();
        let is_cold = self.daemons[request.daemon].coldness.is_cold(key, self.now);
        let is_recent = |at: Time| self.now.since(at) <= MAX_PERMIT_AGE;
        if is_cold && !asked_at.is_some_and(is_recent) {
            return self.ask(request, head);
        }
        self.heads[head].received.push(self.now);
        self.outcome.asking.push(request.asking);
    }

    fn issue(
        &mut self,
        index: usize,
        head: usize,
        limit: Option<AppliedLimit>,
        part: f64,
    ) -> Verdict {
        let (runner, now) = (self.runner(head), self.now);
        let daemon = &mut self.daemons[index];
        let (own, peers) = (&daemon.name, &daemon.peers);
        let share = daemon.registration.share(own, peers, &runner, now) * part;
        let limit = limit.unwrap_or(AppliedLimit::cold(rate()));
        daemon.issuer.issue(&runner, limit, share, now)
    }

    fn issue_locally(&mut self, index: usize, head: usize, share: f64) -> Verdict {
        let (runner, now) = (self.runner(head), self.now);
        let limit = AppliedLimit::cold(rate());
        self.daemons[index].issuer.issue(&runner, limit, share, now)
    }

    /// Returns false if a head is cold and others are to send it requests.
    fn may_send(&mut self, index: usize, head: usize) -> bool {
        let key = self.heads[head].key();
        let is_cold = self.daemons[index].coldness.is_cold(key, self.now);
        match self.policy {
            Policy::FewSenders(count) if is_cold => self.is_sender(index, head, count),
            _ => true,
        }
    }

    /// Returns true if a daemon is among the first for a head, of those that it knows.
    fn is_sender(&mut self, index: usize, head: usize, count: usize) -> bool {
        if let Some(is_sender) = self.daemons[index].sends[head] {
            return is_sender;
        }
        let known: Vec<usize> = self.daemons[index]
            .listed
            .iter()
            .map(|(_, address)| usize::from(address.port()))
            .collect();
        let own = self.rank(index, head);
        let before = known.iter().filter(|other| self.rank(**other, head) < own);
        let is_sender = before.count() < count;
        self.daemons[index].sends[head] = Some(is_sender);
        is_sender
    }

    fn rank(&mut self, daemon: usize, head: usize) -> u64 {
        let rng = &mut self.rng;
        let ranks = &mut self.ranks;
        *ranks.entry((daemon, head)).or_insert_with(|| rng.random())
    }

    fn runner(&self, head: usize) -> RunnerInstance {
        let name = HostName::from(format!("h{head}").as_str());
        (name, self.heads[head].born)
    }

    /// Returns the largest number of requests that a cold head got in any second that begins
    /// at least `grace` after it became cold.
    pub fn worst_second(&self, grace: Span) -> usize {
        let heads = self.heads.iter();
        heads
            .map(|head| worst_second(head, grace))
            .max()
            .unwrap_or(0)
    }

    /// Returns the requests that the heads got since `since`, as a share of their cold rates.
    pub fn used_share(&self, since: Time) -> f64 {
        let received = self.heads.iter().map(|head| {
            let later = head.received.iter().filter(|at| **at >= since);
            later.count()
        });
        let span = self.now.since(since).as_secs_f64();
        received.sum::<usize>() as f64 / (COLD_RATE * self.heads.len() as f64 * span)
    }
}

impl Daemon {
    /// Returns true if it reads the daemons' entries, from the store or from a peer.
    fn is_informed(&self, now: Time) -> bool {
        let follows = |since| !self.is_alone && now.since(since) >= PEER_SEARCH_TIME;
        self.cut_off_since.is_none_or(follows)
    }

    fn read(&mut self, entries: &[(DaemonName, SocketAddr)], now: Time) {
        if self.listed == entries {
            return;
        }
        self.listed = entries.to_vec();
        self.authorities.fill(None);
        self.sends.fill(None);
        self.peers.clear(now);
        for (name, address) in entries {
            let entry = DaemonEntry {
                caller: *address,
                hall: HallName::from("hall"),
                peer: Some(*address),
                relay: None,
                processor_percent: 25,
            };
            self.peers.put(name.clone(), entry);
        }
    }
}

fn worst_second(head: &Head, grace: Span) -> usize {
    let since = head.cold_until - COLD_PERIOD + grace;
    let counted: Vec<Time> = head
        .received
        .iter()
        .filter(|at| since <= **at && **at < head.cold_until)
        .copied()
        .collect();
    let in_second = |(first, start): (usize, &Time)| {
        let later = counted[first..].iter();
        let second = Span::from_secs(1);
        later.take_while(|at| at.since(*start) < second).count()
    };
    let worst = counted.iter().enumerate().map(in_second).max();
    worst.unwrap_or(0).max(head.earlier_worst)
}
