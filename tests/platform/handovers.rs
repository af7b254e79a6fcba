//! Orders of two daemons between which the duty changes hands.

use super::{
    env::{Daemon, TestEnv},
    runner::Runner,
};
use nix::sys::signal::Signal;
use serde_json::Value;
use std::{
    collections::BTreeMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Key of the claim of the duty's holder.
const CLAIM: &str = "hickoryledge/duty";

/// Epochs of each claim.
const EPOCHS_PER_CLAIM: i64 = 1_000;

/// Time for which a lease lasts without a renewal.
const LEASE_TTL: Duration = Duration::from_secs(3);

/// Time after a change of a runner at which the holder pauses: before it knows, while it orders, and
/// after.
const PAUSE_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(60),
    Duration::from_millis(120),
    Duration::from_millis(250),
];

/// Time after a pause in which a former holder would send what it had decided on before.
const LATE_TIME: Duration = Duration::from_millis(1_200);

/// Minimum time between two sends of the same order by one daemon, less what a machine delays it.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Order with the time at which a runner received it.
type Received = (Instant, &'static str, Value);

/// Returns the name of the daemon that holds the duty; empty if there is none.
fn holder(env: &TestEnv) -> String {
    let claim: Value = serde_json::from_str(&env.store.value(CLAIM)).unwrap_or_default();
    claim["holder"].as_str().unwrap_or_default().to_owned()
}

/// Returns the orders that the heads have received, in the order of time.
fn received(heads: &[Arc<Runner>]) -> Vec<Received> {
    let orders = heads.iter().flat_map(|head| {
        let orders = head.orders().into_iter();
        orders.map(|(at, order)| (at, head.name, order))
    });
    let mut orders: Vec<Received> = orders.collect();
    orders.sort_by_key(|(at, ..)| *at);
    orders
}

/// Asserts that no order to join came under an earlier claim than the one of that time.
fn check_claims(orders: &[Received], claims: &[(Instant, i64)]) {
    for (at, head, order) in orders.iter().filter(|(.., order)| order["Op"] == "join") {
        let claim = order["epoch"].as_i64().expect("an epoch") / EPOCHS_PER_CLAIM;
        let current = claims.iter().rfind(|(since, _)| since <= at);
        let current = current.map_or(0, |(_, revision)| *revision);
        assert!(
            claim >= current,
            "{head} got {order} under claim {claim} while {current} was in force"
        );
    }
}

/// Asserts that no runner got the same order twice within the interval of a repeat.
fn check_repeats(orders: &[Received]) {
    let mut last: BTreeMap<(&str, String), Instant> = BTreeMap::new();
    for (at, head, order) in orders {
        let before = last.insert((head, order.to_string()), *at);
        assert!(
            before.is_none_or(|before| *at - before >= REPEAT_INTERVAL),
            "{head} got {order} twice"
        );
    }
}

/// Guards against a duty that nobody takes: a claim that no daemon can read, left by somebody else,
/// was taken for that of a holder and never replaced.
#[test]
fn unreadable_claim_is_replaced() {
    let env = TestEnv::unconfigured();
    env.store.put(CLAIM, "{\"holder\":7}");
    // The heads serve only after the holder of the duty has ordered them into groups.
    let env = env.served();
    assert_eq!(holder(&env), "d1");
    let second = env.start_daemon("d2");
    env.eventually("both daemons have entries", |env| {
        env.store.keys("hickoryledge/daemons/").len() == 2
    });
    env.store.put(CLAIM, "not a claim");
    env.eventually("the claim can be read", |env| !holder(env).is_empty());
    env.heads[0].restart();
    env.eventually("both heads serve", |env| {
        env.heads.iter().all(|head| head.is_open())
    });
    let logs = format!("{}{}", env.log_of("d1"), env.log_of("d2"));
    let replaced = logs
        .matches("unreadable claim of the duty replaced")
        .count();
    assert_eq!(replaced, 2);
    drop(second);
}

// Elsewhere the former holder, back from a pause, and its successor ordered the same runners for a
// moment, and orders came twice.
#[test]
fn holder_back_from_a_pause_sends_no_order_beside_its_successor() {
    let env = TestEnv::start();
    let second: Daemon = env.start_daemon("d2");
    env.eventually("both daemons have entries", |env| {
        env.store.keys("hickoryledge/daemons/").len() == 2
    });
    let mut claims = vec![(Instant::now(), env.store.revision_of(CLAIM))];
    let start = received(&env.heads).len();
    for (round, delay) in PAUSE_DELAYS.into_iter().enumerate() {
        env.eventually("both heads serve", |env| {
            !holder(env).is_empty() && env.heads.iter().all(|head| head.is_open())
        });
        let former = holder(&env);
        let paused = if former == "d1" { &env.daemon } else { &second };
        // Its new run has no group, so that it is given orders.
        env.heads[round % 2].restart();
        thread::sleep(delay);
        paused.signal(Signal::SIGSTOP);
        thread::sleep(LEASE_TTL);
        env.store.expire_lease_of(CLAIM);
        env.eventually("the successor holds the duty", |env| {
            let holder = holder(env);
            !holder.is_empty() && holder != former
        });
        claims.push((Instant::now(), env.store.revision_of(CLAIM)));
        // The successor is at work when the former holder is back.
        env.heads[(round + 1) % 2].restart();
        thread::sleep(delay);
        paused.signal(Signal::SIGCONT);
        thread::sleep(LATE_TIME);
        env.eventually("both heads serve", |env| {
            env.heads.iter().all(|head| head.is_open())
        });
        assert_ne!(holder(&env), former, "the successor keeps the duty");
    }
    let orders = received(&env.heads).split_off(start);
    assert!(orders.len() >= 4 * PAUSE_DELAYS.len(), "{orders:?}");
    check_claims(&orders, &claims);
    check_repeats(&orders);
}

// A lease that ends in the store earlier than its holder thinks: the holder learns of it with the
// next renewal, and by then its successor may be at work.
#[test]
fn holder_whose_lease_ends_early_sends_no_order_beside_its_successor() {
    let env = TestEnv::start();
    let _second: Daemon = env.start_daemon("d2");
    env.eventually("both daemons have entries", |env| {
        env.store.keys("hickoryledge/daemons/").len() == 2
    });
    let mut claims = vec![(Instant::now(), env.store.revision_of(CLAIM))];
    let start = received(&env.heads).len();
    for round in 0..12 {
        env.eventually("both heads serve", |env| {
            !holder(env).is_empty() && env.heads.iter().all(|head| head.is_open())
        });
        let before = env.store.revision_of(CLAIM);
        env.store.expire_lease_of(CLAIM);
        env.eventually("a daemon holds the duty", |env| {
            env.store.revision_of(CLAIM) > before
        });
        claims.push((Instant::now(), env.store.revision_of(CLAIM)));
        env.heads[round % 2].restart();
        // Renewals come at any time of the rounds.
        thread::sleep(Duration::from_millis(37 * round as u64));
    }
    env.eventually("both heads serve", |env| {
        env.heads.iter().all(|head| head.is_open())
    });
    let orders = received(&env.heads).split_off(start);
    check_claims(&orders, &claims);
    check_repeats(&orders);
}

// A planned stop of the holder, several times in turn.
#[test]
fn stop_of_the_holder_doubles_no_order() {
    let env = TestEnv::start();
    let mut daemons: BTreeMap<String, Daemon> = BTreeMap::new();
    let start = received(&env.heads).len();
    for number in 2..5 {
        let name = format!("d{number}");
        daemons.insert(name.clone(), env.start_daemon(&name));
        env.eventually("the new daemon serves", |env| {
            env.call_at(&daemons[&name], "GET", "/read/x", &[], "")
                .status
                == 200
        });
        env.eventually("both heads serve", |env| {
            !holder(env).is_empty() && env.heads.iter().all(|head| head.is_open())
        });
        let former = holder(&env);
        env.heads[number % 2].restart();
        match daemons.get(&former) {
            Some(daemon) => daemon.signal(Signal::SIGTERM),
            None => env.daemon.signal(Signal::SIGTERM),
        }
        env.heads[(number + 1) % 2].restart();
        env.eventually("the successor holds the duty", |env| {
            let holder = holder(env);
            !holder.is_empty() && holder != former
        });
        env.eventually("both heads serve", |env| {
            env.heads.iter().all(|head| head.is_open())
        });
    }
    let orders = received(&env.heads).split_off(start);
    assert!(!orders.is_empty());
    check_repeats(&orders);
}
