//! Simulated daemons that send requests to one runner with a rate limit, in virtual time.
//!
//! Daemons have views of their own, which lag, freeze and differ; they join, die,
//! are refused by the store and lose datagrams.

use hickoryledge::{
    core::{
        keys::{DaemonName, HallName, HostName},
        time::{Span, Time},
    },
    gateway::{
        notices::RateLimit,
        peers::{DaemonEntry, Peers},
        permits::{Authority, Issuer, Registration, Verdict, authority},
        roster::RunnerInstance,
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::net::SocketAddr;

/// Time for which the daemons have known each other at the start.
const KNOWN_TIME: Span = Span::from_secs(90);

/// Window over which the users count requests.
const WINDOW: Span = Span::from_secs(4);
/// Factor by which a runner may get more than its limit, and requests on top of that.
const MAX_EXCESS: (f64, f64) = (1.5, 5.0);
/// Step of the virtual clock.
const TICK: Span = Span::from_millis(5);
/// Time after which an entry whose daemon is gone leaves the store.
const ENTRY_TTL: Span = Span::from_secs(3);
/// Time before its end from which a daemon treats its own lease as expired.
const EXPIRY_MARGIN: Span = Span::from_millis(400);
/// Maximum delay of a view behind the store.
const MAX_VIEW_LAG: Span = Span::from_millis(900);
/// Time for which a daemon waits for a permit's response.
const REQUEST_TIMEOUT: Span = Span::from_millis(100);

/// The runner.
pub fn runner() -> RunnerInstance {
    (HostName::from("limited"), 7)
}

fn limit(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).expect("valid")
}

/// One simulated daemon.
pub struct Daemon {
    name: DaemonName,
    address: SocketAddr,
    peers: Peers,
    issuer: Issuer,
    registration: Registration,
    is_alive: bool,
    /// True while the store refuses it: its lease and its view are not renewed.
    pub is_refused: bool,
    held_until: Time,
    /// Entries that it has read.
    listed: Vec<(DaemonName, SocketAddr)>,
    /// Time at which it reads the store's entries next.
    reads_at: Time,
    renews_at: Time,
    /// Time until which the store holds its entry.
    entry_until: Time,
}

impl Daemon {
    fn read(&mut self, entries: &[(DaemonName, SocketAddr)], now: Time) {
        if self.listed == entries {
            return;
        }
        self.listed = entries.to_vec();
        self.peers.clear(now);
        for (name, address) in entries {
            self.peers.put(name.clone(), entry(*address));
        }
    }
}

/// Way in which daemons share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// One daemon issues permits for the runner.
    Permits,
    /// Each daemon has an equal share, by the number of daemons that it knows.
    EqualShares,
    /// This many daemons have equal shares, the others none.
    FewDaemons(usize),
}

/// Daemons that share one runner.
pub struct Fleet {
    /// Current time.
    pub now: Time,
    /// Random number generator.
    pub rng: SmallRng,
    /// Limit that the runner names.
    pub limit: RateLimit,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// Probability that a request for a permit gets no response.
    pub loss: f64,
    /// Times at which the runner got requests.
    pub sent: Vec<Time>,
    /// Number of requests that daemons had for the runner.
    pub requests: usize,
    /// Number of datagrams between daemons.
    pub datagrams: usize,
    policy: Policy,
}

impl Fleet {
    /// Creates daemons that have known each other for some time.
    pub fn new(count: usize, per_second: f64, seed: u64) -> Self {
        Self::with_policy(Policy::Permits, count, per_second, seed)
    }

    /// Creates daemons that share the limit in a certain way.
    pub fn with_policy(policy: Policy, count: usize, per_second: f64, seed: u64) -> Self {
        let mut fleet = Self {
            now: Time::default() + Span::from_secs(100),
            rng: SmallRng::seed_from_u64(seed),
            limit: limit(per_second),
            daemons: Vec::new(),
            loss: 0.01,
            sent: Vec::new(),
            requests: 0,
            datagrams: 0,
            policy,
        };
        (0..count).for_each(|_| fleet.join());
        let earlier = fleet.now - KNOWN_TIME;
        let daemons = fleet.daemons.iter_mut();
        daemons.for_each(|daemon| daemon.peers.clear(earlier));
        fleet.run_for(Span::from_secs(5), 0.0);
        fleet
    }

    /// Adds a daemon.
    pub fn join(&mut self) {
        let number = self.daemons.len() as u16;
        self.daemons.push(Daemon {
            name: DaemonName::from(format!("d{number}").as_str()),
            address: SocketAddr::from(([10, 0, 0, 1], number)),
            peers: Peers::default(),
            issuer: Issuer::default(),
            registration: Registration::default(),
            is_alive: true,
            is_refused: false,
            held_until: self.now,
            listed: Vec::new(),
            reads_at: self.now,
            renews_at: self.now,
            entry_until: self.now,
        });
    }

    /// Returns the authority, as the daemons see it that the store accepts.
    pub fn accepted_authority(&self) -> Option<usize> {
        let is_accepted = |daemon: &Daemon| daemon.is_alive && !daemon.is_refused;
        let index = self.daemons.iter().position(is_accepted)?;
        let daemon = &self.daemons[index];
        match authority(&daemon.name, &daemon.peers, &runner()) {
            Authority::Own => Some(index),
            Authority::Peer(address) => Some(usize::from(address.port())),
            Authority::Divided(_) => None,
        }
    }

    /// Kills a daemon without notice.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index].is_alive = false;
    }

    /// Runs with so many requests a second, each at a random daemon.
    pub fn run_for(&mut self, span: Span, demand: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.renew_and_read();
            let expected = demand * TICK.as_secs_f64();
            let arrivals = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
            for _ in 0..arrivals {
                let index = self.rng.random_range(0..self.daemons.len());
                self.request(index);
            }
        }
    }

    fn renew_and_read(&mut self) {
        let now = self.now;
        let is_held = |daemon: &Daemon| daemon.entry_until > now;
        let entries: Vec<(DaemonName, SocketAddr)> = self
            .daemons
            .iter()
            .filter(|daemon| is_held(daemon))
            .map(|daemon| (daemon.name.clone(), daemon.address))
            .collect();
        for daemon in &mut self.daemons {
            if !daemon.is_alive || daemon.is_refused {
                continue;
            }
            if now >= daemon.renews_at {
                daemon
                    .registration
                    .renew(now, now + (ENTRY_TTL - EXPIRY_MARGIN));
                daemon.entry_until = now + ENTRY_TTL;
                daemon.renews_at = now + Span::from_millis(700);
            }
            if now >= daemon.reads_at {
                daemon.read(&entries, now);
                let lag = self.rng.random_range(0..MAX_VIEW_LAG.0);
                daemon.reads_at = now + Span(lag);
            }
        }
    }

    /// A daemon has a request for the runner, and sends it if it gets a permit.
    fn request(&mut self, index: usize) {
        let daemon = &self.daemons[index];
        if !daemon.is_alive || daemon.held_until > self.now {
            return;
        }
        self.requests += 1;
        let wait = match self.acquire(index) {
            Some(Verdict::Granted) => {
                self.sent.push(self.now);
                return;
            }
            Some(Verdict::Denied { wait }) => wait,
            None => REQUEST_TIMEOUT + Span::from_millis(500),
        };
        self.daemons[index].held_until = self.now + wait;
    }

    fn acquire(&mut self, index: usize) -> Option<Verdict> {
        match self.policy {
            Policy::Permits => self.ask(index),
            Policy::EqualShares => {
                let known = self.daemons[index].peers.count().max(1);
                Some(self.take_share(index, known))
            }
            Policy::FewDaemons(count) if self.is_among_first(index, count) => {
                Some(self.take_share(index, count))
            }
            Policy::FewDaemons(_) => None,
        }
    }

    /// Takes a permit out of the daemon's own share of the limit.
    fn take_share(&mut self, index: usize, daemons: usize) -> Verdict {
        let share = 1.0 / daemons as f64;
        let issuer = &mut self.daemons[index].issuer;
        issuer.issue(&runner(), self.limit, share, self.now)
    }

    /// Returns true if a daemon is among the first of those that it knows.
    fn is_among_first(&self, index: usize, count: usize) -> bool {
        let daemon = &self.daemons[index];
        let known = daemon.peers.daemons().map(|(name, _)| name);
        known.take(count).any(|name| *name == daemon.name)
    }

    fn ask(&mut self, index: usize) -> Option<Verdict> {
        let daemon = &self.daemons[index];
        let issuer = match authority(&daemon.name, &daemon.peers, &runner()) {
            Authority::Own => return Some(self.issue(index, 1.0)),
            Authority::Divided(count) => return Some(self.issue(index, 1.0 / count as f64)),
            Authority::Peer(address) => usize::from(address.port()),
        };
        self.datagrams += 2;
        let other = &self.daemons[issuer];
        if !other.is_alive || self.rng.random_bool(self.loss) {
            return None;
        }
        match authority(&other.name, &other.peers, &runner()) {
            Authority::Own => Some(self.issue(issuer, 1.0)),
            _ => Some(Verdict::Denied {
                wait: Span::from_millis(250),
            }),
        }
    }

    fn issue(&mut self, index: usize, part: f64) -> Verdict {
        let daemon = &mut self.daemons[index];
        let (own, peers) = (&daemon.name, &daemon.peers);
        let share = daemon.registration.share(own, peers, &runner(), self.now) * part;
        daemon.issuer.issue(&runner(), self.limit, share, self.now)
    }

    /// Returns the largest number of requests in any window.
    pub fn worst_window(&self) -> usize {
        let in_window = |(first, start): (usize, &Time)| {
            let later = self.sent[first..].iter();
            later.take_while(|at| at.since(*start) < WINDOW).count()
        };
        self.sent
            .iter()
            .enumerate()
            .map(in_window)
            .max()
            .unwrap_or(0)
    }

    /// Returns the number of requests that the runner may get in a window.
    pub fn allowed(&self) -> f64 {
        MAX_EXCESS.0 * self.limit.per_second() * WINDOW.as_secs_f64() + MAX_EXCESS.1
    }

    /// Fails if the runner got too many requests in any window.
    pub fn assert_limit_kept(&self, context: &str) {
        let (worst, allowed) = (self.worst_window(), self.allowed());
        assert!(
            worst as f64 <= allowed,
            "{context}: {worst}, allowed {allowed}"
        );
    }

    /// Returns the requests sent since `since` as a share of what the limit allows.
    pub fn used_share(&self, since: Time) -> f64 {
        let sent = self.sent.iter().filter(|at| **at >= since).count();
        sent as f64 / (self.limit.per_second() * self.now.since(since).as_secs_f64())
    }
}

/// Returns the entry of a daemon with an address for others.
pub fn entry(peer: SocketAddr) -> DaemonEntry {
    DaemonEntry {
        caller: peer,
        hall: HallName::from("hall"),
        peer: Some(peer),
        relay: None,
        processor_percent: 25,
    }
}
