//! Membership, discovery and freshness in separate processes, under failure.

mod common;

use common::{KEY, TestEnv, http_call, wait_for};
use nix::sys::signal::Signal;
use serde_json::{Value, json};

/// All daemons are named to an account at this count.
const DAEMONS: usize = 4;

/// As many entries as there are daemons, so that each is named while it is thought alive.
const ALL_NAMED: &str = "options:\n  entry_count: 4";

fn env() -> TestEnv {
    let env = TestEnv::with_options(DAEMONS, ALL_NAMED);
    for index in 0..DAEMONS {
        wait_for("all daemons named", || {
            (env.listed(index).len() == DAEMONS).then_some(())
        });
    }
    env
}

/// Waits until every daemon but `index` names it, or none does.
fn wait_named(env: &TestEnv, index: usize, is_named: bool) {
    let name = &env.daemons[index].name;
    for other in (0..DAEMONS).filter(|other| *other != index) {
        wait_for(&format!("{name} named: {is_named}"), || {
            (env.listed(other).contains(name) == is_named).then_some(())
        });
    }
}

fn is_ready(env: &TestEnv, index: usize) -> bool {
    let address = env.daemons[index].caller;
    let key = format!("Bearer {KEY}");
    let headers = [("authorization", key.as_str())];
    http_call(address, "GET", "/ready", &headers, String::new()).status == 200
}

#[test]
fn a_killed_daemon_leaves_discovery_and_comes_back_with_a_new_run() {
    let mut env = env();
    env.daemons[2].process.signal(Signal::SIGKILL);
    wait_named(&env, 2, false);
    env.restart_daemon(2);
    wait_named(&env, 2, true);
    wait_for("it knows the others", || {
        let status = env.status(2);
        let live = status.iter().filter(|line| line["daemon"].is_string());
        let live = live.filter(|line| line["state"] == "live");
        (live.count() == DAEMONS).then_some(())
    });
}

#[test]
fn a_paused_daemon_leaves_discovery_until_it_runs_again() {
    let env = env();
    for _ in 0..2 {
        env.daemons[1].process.signal(Signal::SIGSTOP);
        wait_named(&env, 1, false);
        env.daemons[1].process.signal(Signal::SIGCONT);
        wait_named(&env, 1, true);
        wait_for("it takes work", || is_ready(&env, 1).then_some(()));
    }
}

#[test]
fn a_daemon_that_hears_nobody_takes_no_new_work() {
    let env = env();
    env.platform_fault(json!({"mode": "hang"}));
    for daemon in &env.daemons[1..] {
        daemon.process.signal(Signal::SIGSTOP);
    }
    wait_for("it refuses new work", || (!is_ready(&env, 0)).then_some(()));
    let answer = env.complete(0, "notice", 3);
    assert_eq!(answer.outcome, "not-run", "{answer:?}");
    env.platform_fault(json!({"mode": "ok"}));
    wait_for("it takes work again", || is_ready(&env, 0).then_some(()));
    for daemon in &env.daemons[1..] {
        daemon.process.signal(Signal::SIGCONT);
    }
    wait_named(&env, 1, true);
}

/// The list says nothing; the runner's load report alone says that it is leaving.
#[test]
fn a_runner_that_says_it_is_leaving_gets_no_new_work_through_any_daemon() {
    let env = env();
    let hosts = env.group_hosts(0, "drafting-1");
    env.runner_fault(&hosts[0], json!({"leaving": true}));
    for index in 0..DAEMONS {
        wait_for("the group without the leaving host", || {
            let held = env.group_hosts(index, "drafting-1");
            let is_serving =
                |line: &Value| line["group"] == "drafting-1" && line["state"] == "serving";
            let serves = env.status(index).iter().any(is_serving);
            (serves && !held.contains(&hosts[0])).then_some(())
        });
    }
}
