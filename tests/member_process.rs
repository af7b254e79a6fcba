//! Membership, discovery and freshness of daemon processes under failure.

mod common;

use common::{KEY, TestEnv, http_call, wait_for};
use nix::sys::signal::Signal;
use serde_json::{Value, json};

/// Number of daemons, few enough for all to be entries of one account.
const DAEMONS: usize = 4;

/// Asks for as many entries as there are daemons, so that each live daemon is one.
const ALL_LISTED: &str = "options:\n  entry_count: 4";

fn env() -> TestEnv {
    let env = TestEnv::with_options(DAEMONS, ALL_LISTED);
    for index in 0..DAEMONS {
        wait_for("all daemons to be listed", || {
            (env.listed_daemons(index).len() == DAEMONS).then_some(())
        });
    }
    env
}

/// Waits until all other daemons list the one at `index`, or until none does.
fn wait_listed(env: &TestEnv, index: usize, is_listed: bool) {
    let name = &env.daemons[index].name;
    for other in (0..DAEMONS).filter(|other| *other != index) {
        wait_for(&format!("{name} listed: {is_listed}"), || {
            (env.listed_daemons(other).contains(name) == is_listed).then_some(())
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
fn killed_daemon_is_replaced_by_new_incarnation() {
    let mut env = env();
    env.daemons[2].process.signal(Signal::SIGKILL);
    wait_listed(&env, 2, false);
    env.restart_daemon(2);
    wait_listed(&env, 2, true);
    wait_for("the restarted daemon knows the others", || {
        let status = env.status(2);
        let live = status.iter().filter(|line| line["daemon"].is_string());
        let live = live.filter(|line| line["state"] == "live");
        (live.count() == DAEMONS).then_some(())
    });
}

#[test]
fn paused_daemon_is_omitted_until_resumed() {
    let env = env();
    for _ in 0..2 {
        env.daemons[1].process.signal(Signal::SIGSTOP);
        wait_listed(&env, 1, false);
        env.daemons[1].process.signal(Signal::SIGCONT);
        wait_listed(&env, 1, true);
        wait_for("the resumed daemon accepts work", || {
            is_ready(&env, 1).then_some(())
        });
    }
}

/// A daemon that reaches neither the platform nor its peers may act on old state.
#[test]
fn isolated_daemon_refuses_new_work() {
    let env = env();
    env.platform_fault(json!({"mode": "hang"}));
    for daemon in &env.daemons[1..] {
        daemon.process.signal(Signal::SIGSTOP);
    }
    wait_for("the isolated daemon refuses new work", || {
        (!is_ready(&env, 0)).then_some(())
    });
    let response = env.complete(0, "notice", 3);
    assert_eq!(response.outcome, "not-run", "{response:?}");
    env.platform_fault(json!({"mode": "ok"}));
    wait_for("the daemon accepts work again", || {
        is_ready(&env, 0).then_some(())
    });
    for daemon in &env.daemons[1..] {
        daemon.process.signal(Signal::SIGCONT);
    }
    wait_listed(&env, 1, true);
}

/// Only the load report of the runner reports that it is leaving; the host list doesn't.
#[test]
fn leaving_runner_gets_no_new_work_from_any_daemon() {
    let env = env();
    let hosts = env.group_hosts(0, "drafting-1");
    env.runner_fault(&hosts[0], json!({"leaving": true}));
    for index in 0..DAEMONS {
        wait_for("the group to serve without the leaving host", || {
            let members = env.group_hosts(index, "drafting-1");
            let is_serving =
                |line: &Value| line["group"] == "drafting-1" && line["state"] == "serving";
            let serves = env.status(index).iter().any(is_serving);
            (serves && !members.contains(&hosts[0])).then_some(())
        });
    }
}
