//! A store that comes back from an older copy, and gives its revisions and leases out again.

use super::env::{Daemon, TestEnv};
use serde_json::Value;
use std::{thread, time::Duration};

/// Returns the status of a request for a route that only odd versions of the configuration have.
fn moved(env: &TestEnv, daemon: &Daemon) -> u16 {
    env.call_at(daemon, "GET", "/moved/x", &[], "").status
}

fn await_status(env: &TestEnv, daemon: &Daemon, status: u16) {
    env.eventually("the configuration is in force", |env| {
        moved(env, daemon) == status
    });
}

#[test]
fn older_copy_does_not_take_configuration_back() {
    let env = TestEnv::start();
    env.configure(3);
    await_status(&env, &env.daemon, 200);
    let copy = env.store.copy();
    env.configure(4);
    await_status(&env, &env.daemon, 404);
    env.store.restore(copy);
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(moved(&env, &env.daemon), 404);
    env.configure(5);
    await_status(&env, &env.daemon, 200);
}

// A watch that went on at its old revision would miss the changes up to there.
#[test]
fn changes_at_revisions_that_are_given_out_again_are_seen_by_all_daemons() {
    let env = TestEnv::start();
    // A hall of this size has daemons that follow others.
    let others = ["d2", "d3", "d4", "d5"].map(|name| env.start_daemon(name));
    let daemons = || [&env.daemon].into_iter().chain(&others);
    for daemon in daemons() {
        env.eventually("all daemons serve", |env| {
            env.call_at(daemon, "GET", "/read/x", &[], "").status == 200
        });
    }
    let copy = env.store.copy();
    for version in 2..12 {
        env.configure(version * 2);
    }
    daemons().for_each(|daemon| await_status(&env, daemon, 404));
    let lists = |env: &TestEnv| {
        let calls = env.store.calls().into_iter();
        calls.filter(|(path, _)| path == "/kv-range").count()
    };
    let before = lists(&env);
    env.store.restore(copy);
    env.configure(33);
    daemons().for_each(|daemon| await_status(&env, daemon, 200));
    // Each of five daemons lists three prefixes, the holder of the duty one more.
    let listed = lists(&env) - before;
    assert!(listed <= 5 * 3 * 3, "{listed} lists");
    env.configure(34);
    daemons().for_each(|daemon| await_status(&env, daemon, 404));
}

// The lease is gone, and its number may be another daemon's.
#[test]
fn daemon_registers_again_and_requests_are_served_meanwhile() {
    let env = TestEnv::unconfigured();
    let copy = env.store.copy();
    env.configure(1);
    env.eventually("requests are served", |env| env.stream(&[]).status == 200);
    env.eventually("the daemon is registered", |env| {
        !env.store.keys("hickoryledge/daemons/").is_empty()
    });
    env.store.restore(copy);
    env.configure(1);
    env.heads.iter().for_each(|head| head.register());
    env.plain_runners
        .iter()
        .for_each(|runner| runner.register());
    assert!((0..20).all(|_| env.call("GET", "/read/x", &[], "").status == 200));
    env.eventually("the daemon is registered again", |env| {
        !env.store.keys("hickoryledge/daemons/").is_empty()
    });
}

// Runners refuse epochs below those that they have seen, and revisions have gone back.
#[test]
fn epochs_grow_although_revisions_go_back() {
    let env = TestEnv::start();
    let epoch = |env: &TestEnv| -> i64 {
        let entry: Value = serde_json::from_str(&env.store.value("servers/h1")).expect("JSON");
        entry["group"]["epoch"].as_i64().unwrap_or_default()
    };
    let copy = env.store.copy();
    let before = epoch(&env);
    (0..50).for_each(|number| env.store.put("other/key", &number.to_string()));
    env.store.restore(copy);
    env.store.delete("hickoryledge/duty");
    // The head has restarted without a group, so the next holder of the duty forms one.
    env.heads[0].restart();
    env.eventually("a group is formed again", |env| epoch(env) > 0);
    assert!(
        epoch(&env) > before + 1_000_000,
        "{} after {before}",
        epoch(&env)
    );
}
