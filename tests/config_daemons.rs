//! Configuration of real daemon processes that are paused, start late or meet platform faults.

mod common;

use common::{TestEnv, wait_for};
use nix::sys::signal::Signal;
use serde_json::json;

/// Starts daemons without hosts or groups, and waits until each knows all others.
fn start_daemons(count: usize) -> TestEnv {
    let mut env = TestEnv::new();
    for index in 0..count {
        env.start_daemon(&format!("entry-{index}"));
    }
    for index in 0..count {
        let up = format!("hickoryledge_members_up {}", count - 1);
        wait_for("members", || {
            metrics(&env, index).contains(&up).then_some(())
        });
    }
    env
}

fn metrics(env: &TestEnv, index: usize) -> String {
    let caller = env.daemons[index].caller;
    env.http(caller, "GET", "/metrics", &[], String::new()).body
}

/// Returns the daemons that watch the platform.
fn watchers(env: &TestEnv) -> Vec<usize> {
    let watches = |index: &usize| metrics(env, *index).contains("hickoryledge_config_watching 1");
    (0..env.daemons.len()).filter(watches).collect()
}

fn put_account(env: &TestEnv, index: usize, name: &str) -> bool {
    let key = format!("key-of-{name}");
    let output = env.try_operate(index, &["account", "put", name, "--key", &key]);
    output.status.success()
}

/// Waits until a daemon knows an account's key.
fn wait_for_account(env: &TestEnv, index: usize, name: &str) {
    let key = format!("Bearer key-of-{name}");
    let caller = env.daemons[index].caller;
    wait_for(&format!("{name} at {index}"), || {
        let headers = [("authorization", key.as_str())];
        let answer = env.http(caller, "GET", "/v1/entries", &headers, String::new());
        (answer.status != 401 && answer.status != 0).then_some(())
    });
}

#[test]
fn paused_watchers_are_replaced_and_catch_up() {
    let env = start_daemons(4);
    let paused = wait_for("two watchers", || {
        let watchers = watchers(&env);
        (watchers.len() == 2).then_some(watchers)
    });
    let others: Vec<usize> = (0..4).filter(|index| !paused.contains(index)).collect();
    for index in &paused {
        env.daemons[*index].process.signal(Signal::SIGSTOP);
    }
    assert!(put_account(&env, others[0], "clerks"));
    wait_for_account(&env, others[1], "clerks");
    for index in &paused {
        env.daemons[*index].process.signal(Signal::SIGCONT);
        wait_for_account(&env, *index, "clerks");
    }
}

#[test]
fn daemon_started_while_platform_hangs_gets_accounts_from_peers() {
    let mut env = start_daemons(2);
    assert!(put_account(&env, 0, "clerks"));
    wait_for_account(&env, 1, "clerks");
    env.platform_fault(json!({"mode": "hang"}));
    let late = env.start_daemon("entry-late");
    wait_for_account(&env, late, "clerks");
}

#[test]
fn write_with_lost_answer_is_accepted_after_read_back() {
    let env = start_daemons(1);
    env.platform_fault(json!({"mode": "lose_answers", "for_ms": 3_000}));
    assert!(put_account(&env, 0, "clerks"));
    wait_for_account(&env, 0, "clerks");
    assert!(metrics(&env, 0).contains("hickoryledge_config_writes_total{end=\"accepted\"} 1"));
}
