//! Lists of the runners' entries that a daemon gets from a peer when it starts.

use super::env::{Daemon, DaemonSettings, TestEnv};
use serde_json::json;

/// Number of daemons in the store that don't exist, so that the fleet counts as large.
const OTHERS: usize = 64;

/// Registers daemons that don't exist, on small hosts and without an address for other daemons.
fn register_others(env: &TestEnv) {
    for index in 0..OTHERS {
        let entry = json!({ "caller": "127.0.0.1:9", "hall": "hall", "processor_percent": 1 });
        let key = format!("hickoryledge/daemons/other-{index}");
        env.store.put(&key, &entry.to_string());
    }
}

/// Starts a daemon with less processor time than the first one, which therefore watches the store.
fn start_small_daemon(env: &TestEnv, name: &str) -> Daemon {
    let settings = DaemonSettings {
        cores: 0.1,
        ..DaemonSettings::new(name, env.store_address())
    };
    env.start_daemon_with(settings)
}

fn lists_of_runners(env: &TestEnv) -> usize {
    let calls = env.store.calls();
    let lists = calls.iter().filter(|(_, prefix)| prefix == "servers/");
    lists.count()
}

fn eventually_serves(env: &TestEnv, daemon: &Daemon) {
    env.eventually("the new daemon serves", |env| {
        env.call_at(daemon, "GET", "/read/x", &[], "").status == 200
    });
}

/// Guards against a fleet that serves nothing for seconds after all daemons were killed, because
/// each of them lists all runners from the store.
#[test]
fn daemon_of_a_large_fleet_lists_runners_from_a_peer() {
    let env = TestEnv::start();
    register_others(&env);
    let second = env.start_daemon("d2");
    eventually_serves(&env, &second);
    let before = lists_of_runners(&env);
    let third = start_small_daemon(&env, "d3");
    eventually_serves(&env, &third);
    assert_eq!(lists_of_runners(&env), before);
    assert!(env.log_of("d3").contains("entries listed from a peer"));
}

/// Guards against a daemon that waits for a peer that is gone.
#[test]
fn daemon_lists_runners_from_the_store_if_no_watcher_is_reached() {
    let env = TestEnv::start();
    register_others(&env);
    for name in ["lost-1", "lost-2"] {
        let entry = json!({
            "caller": "127.0.0.1:9", "hall": "hall", "peer": "127.0.0.1:9", "processor_percent": 900,
        });
        let key = format!("hickoryledge/daemons/{name}");
        env.store.put(&key, &entry.to_string());
    }
    let before = lists_of_runners(&env);
    let daemon = start_small_daemon(&env, "d2");
    eventually_serves(&env, &daemon);
    assert!(lists_of_runners(&env) > before);
}
