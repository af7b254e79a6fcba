//! Rate limits of runners, kept by all daemons together, in virtual time.
//!
//! Daemons with views of their own send requests to one runner. Their views of
//! each other lag, freeze and differ; they join, die, are refused by the store
//! and lose datagrams.

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

fn runner() -> RunnerInstance {
    (HostName::from("limited"), 7)
}

fn limit(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).expect("valid")
}

/// One simulated daemon.
struct Daemon {
    name: DaemonName,
    address: SocketAddr,
    peers: Peers,
    issuer: Issuer,
    registration: Registration,
    is_alive: bool,
    /// True while the store refuses it: its lease and its view are not renewed.
    is_refused: bool,
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
    fn read(&mut self, entries: &[(DaemonName, SocketAddr)]) {
        if self.listed == entries {
            return;
        }
        self.listed = entries.to_vec();
        self.peers.clear();
        for (name, address) in entries {
            self.peers.put(name.clone(), entry(*address));
        }
    }
}

/// Daemons that share one runner.
struct Fleet {
    now: Time,
    rng: SmallRng,
    limit: RateLimit,
    daemons: Vec<Daemon>,
    /// Probability that a request for a permit gets no response.
    loss: f64,
    /// Times at which the runner got requests.
    sent: Vec<Time>,
    requests: usize,
}

impl Fleet {
    fn new(count: usize, per_second: f64, seed: u64) -> Self {
        let mut fleet = Self {
            now: Time::default() + Span::from_secs(10),
            rng: SmallRng::seed_from_u64(seed),
            limit: limit(per_second),
            daemons: Vec::new(),
            loss: 0.01,
            sent: Vec::new(),
            requests: 0,
        };
        (0..count).for_each(|_| fleet.join());
        fleet.run_for(Span::from_secs(5), 0.0);
        fleet
    }

    fn join(&mut self) {
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

    fn kill(&mut self, index: usize) {
        self.daemons[index].is_alive = false;
    }

    /// Runs with so many requests a second, each at a random daemon.
    fn run_for(&mut self, span: Span, demand: f64) {
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
                daemon.read(&entries);
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
        let daemon = &self.daemons[index];
        let issuer = match authority(&daemon.name, &daemon.peers, &runner()) {
            Authority::Own => return Some(self.issue(index, 1.0)),
            Authority::Divided(count) => return Some(self.issue(index, 1.0 / count as f64)),
            Authority::Peer(address) => usize::from(address.port()),
        };
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
        let share = daemon.registration.share(self.now) * part;
        daemon.issuer.issue(&runner(), self.limit, share, self.now)
    }

    /// Returns the largest number of requests in any window.
    fn worst_window(&self) -> usize {
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

    fn allowed(&self) -> f64 {
        MAX_EXCESS.0 * self.limit.per_second() * WINDOW.as_secs_f64() + MAX_EXCESS.1
    }

    fn assert_limit_kept(&self, context: &str) {
        let (worst, allowed) = (self.worst_window(), self.allowed());
        assert!(
            worst as f64 <= allowed,
            "{context}: {worst}, allowed {allowed}"
        );
    }

    /// Returns the requests sent since `since` as a share of what the limit allows.
    fn used_share(&self, since: Time) -> f64 {
        let sent = self.sent.iter().filter(|at| **at >= since).count();
        sent as f64 / (self.limit.per_second() * self.now.since(since).as_secs_f64())
    }
}

fn entry(peer: SocketAddr) -> DaemonEntry {
    DaemonEntry {
        caller: peer,
        hall: HallName::from("hall"),
        peer: Some(peer),
        processor_percent: 25,
    }
}

#[test]
fn limit_holds_and_is_used_for_any_number_of_daemons() {
    for count in [1, 8, 58, 195, 340] {
        for per_second in [0.5, 3.0, 20.0] {
            let mut fleet = Fleet::new(count, per_second, 1);
            let since = fleet.now;
            fleet.run_for(Span::from_secs(30), per_second * 4.0);
            let context = format!("{count} daemons, {per_second} a second");
            fleet.assert_limit_kept(&context);
            let used = fleet.used_share(since);
            assert!(used >= 0.8, "{context}: {used} of the limit used");
        }
    }
}

// One day of the users showed three times the limit: each of 8 daemons sent as before.
#[test]
fn limit_holds_while_daemons_join_die_and_are_refused_by_store() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(8, [1.0, 3.0, 10.0][seed as usize % 3], seed);
        let demand = fleet.limit.per_second() * 6.0;
        for _ in 0..12 {
            let index = fleet.rng.random_range(0..fleet.daemons.len());
            match fleet.rng.random_range(0..4) {
                0 => fleet.join(),
                1 => fleet.kill(index),
                2 => fleet.daemons[index].is_refused ^= true,
                _ => {}
            }
            let span = Span::from_millis(fleet.rng.random_range(200..4_000));
            fleet.run_for(span, demand);
        }
        fleet.assert_limit_kept(&format!("seed {seed}"));
    }
}

// Then half of the daemons see the other half as gone, while those go on with an old view.
#[test]
fn limit_holds_while_store_refuses_half_of_the_daemons() {
    for seed in 0..50 {
        for count in [8, 58] {
            let mut fleet = Fleet::new(count, 3.0, seed);
            fleet.run_for(Span::from_secs(4), 30.0);
            for daemon in fleet.daemons.iter_mut().step_by(2) {
                daemon.is_refused = true;
            }
            fleet.run_for(Span::from_secs(12), 30.0);
            for daemon in &mut fleet.daemons {
                daemon.is_refused = false;
            }
            fleet.run_for(Span::from_secs(8), 30.0);
            fleet.assert_limit_kept(&format!("seed {seed}, {count} daemons"));
        }
    }
}

#[test]
fn part_of_the_limit_is_used_while_the_store_is_away() {
    let mut fleet = Fleet::new(8, 4.0, 3);
    fleet
        .daemons
        .iter_mut()
        .for_each(|daemon| daemon.is_refused = true);
    fleet.run_for(Span::from_secs(4), 20.0);
    let since = fleet.now;
    fleet.run_for(Span::from_secs(20), 20.0);
    fleet.assert_limit_kept("store away");
    assert!(fleet.used_share(since) >= 0.2);
}

// Only a response can end a limit, so a runner that takes nothing is tried now and then.
#[test]
fn runner_with_a_limit_of_zero_gets_a_request_every_ten_seconds() {
    let mut fleet = Fleet::new(8, 0.0, 4);
    fleet.run_for(Span::from_secs(60), 50.0);
    fleet.assert_limit_kept("zero");
    assert!((3..=6).contains(&fleet.sent.len()), "{}", fleet.sent.len());
}

#[test]
fn huge_limit_holds_nothing_back() {
    let mut fleet = Fleet::new(8, 1e300, 5);
    fleet.loss = 0.0;
    fleet.run_for(Span::from_secs(5), 100.0);
    assert_eq!(fleet.sent.len(), fleet.requests);
}

// Without addresses for each other, daemons can't ask.
#[test]
fn limit_is_divided_among_daemons_without_addresses() {
    let mut peers = Peers::default();
    for number in 0..4 {
        let mut entry = entry(SocketAddr::from(([10, 0, 0, 1], number)));
        entry.peer = None;
        peers.put(DaemonName::from(format!("d{number}").as_str()), entry);
    }
    let chosen = authority(&DaemonName::from("d1"), &peers, &runner());
    assert_eq!(chosen, Authority::Divided(4));
}
