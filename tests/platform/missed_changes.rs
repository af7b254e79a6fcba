//! A daemon that missed more changes of the store than it reads in one response.

use super::env::TestEnv;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

/// Size of a version of the configuration, of the megabyte that a value may have.
const VERSION_BYTES: usize = 700 << 10;

/// Versions that are missed, 11 MB in the form in which the store sends them.
const VERSIONS: u64 = 12;

/// Writes a version of the configuration, with a field that makes it long.
fn configure_at_length(env: &TestEnv, version: u64) {
    env.configure(version);
    let text = env.store.value("op/config");
    let mut config: Value = serde_json::from_str(&text).expect("JSON");
    config["Padding"] = json!("x".repeat(VERSION_BYTES));
    env.store.put("op/config", &config.to_string());
}

/// Guards against CONFIG: the changes that were missed came in a response that was too long to be
/// read, and were asked for again and again; dropped routes stayed in force.
#[test]
fn daemon_that_missed_many_changes_lists_anew() {
    let env = TestEnv::start();
    let moved = |env: &TestEnv| env.call("GET", "/moved/x", &[], "").status;
    assert_eq!(moved(&env), 200);
    env.daemon.signal(Signal::SIGSTOP);
    (1..=VERSIONS).for_each(|number| configure_at_length(&env, 2 * number));
    env.daemon.signal(Signal::SIGCONT);
    env.eventually("the newest configuration is in force", |env| {
        moved(env) == 404
    });
    env.configure(2 * VERSIONS + 1);
    env.eventually("changes are followed again", |env| moved(env) == 200);
}
