//! Tests guarantees to callers and operators while processes, hosts, connections or the
//! platform fail, with all programs in separate processes.

mod common;

use std::thread;

use common::{CallResponse, KEY, TestEnv, completion_text, http_call, wait_for};
use nix::sys::signal::Signal;
use serde_json::json;

/// Streams `count` completions concurrently through the first daemon, calls `during` once all
/// are running, and returns the responses.
fn stream_during<F>(env: &mut TestEnv, count: usize, tokens: u32, during: F) -> Vec<CallResponse>
where
    F: FnOnce(&mut TestEnv),
{
    let address = env.daemons[0].caller;
    let streams: Vec<_> = (0..count)
        .map(|number| {
            thread::spawn(move || {
                let prompt = format!("notice {number}");
                let body = json!({
                    "model": "drafting-llm", "prompt": prompt, "max_tokens": tokens, "stream": true,
                });
                let key = format!("Bearer {KEY}");
                let headers = [("authorization", key.as_str())];
                http_call(
                    address,
                    "POST",
                    "/v1/completions",
                    &headers,
                    body.to_string(),
                )
            })
        })
        .collect();
    wait_for("all streams to run", || {
        (env.active_runs() >= count as u64).then_some(())
    });
    during(env);
    streams
        .into_iter()
        .map(|stream| stream.join().expect("stream should end"))
        .collect()
}

fn assert_all_complete(responses: &[CallResponse], tokens: u32) {
    for (number, response) in responses.iter().enumerate() {
        let expected = completion_text(&format!("notice {number}"), tokens);
        assert_eq!(response.stream(), (expected, true), "{response:?}");
    }
}

fn service_call(
    env: &TestEnv,
    daemon: usize,
    body: &str,
    headers: &[(&str, &str)],
) -> CallResponse {
    env.call(
        daemon,
        "POST",
        "/services/mailroom-app/invoices",
        headers,
        body.to_owned(),
    )
}

/// A daemon that receives SIGTERM leaves discovery, refuses new calls and finishes its streams.
#[test]
fn graceful_stop_cuts_no_stream() {
    let mut env = TestEnv::with_group(2);
    let responses = stream_during(&mut env, 8, 200, |env| {
        env.daemons[0].process.signal(Signal::SIGTERM);
        wait_for("discovery to drop the stopping daemon", || {
            (env.listed_daemons(1) == ["entry-1"]).then_some(())
        });
        let late = env.complete(0, "late", 1);
        assert!(late.status == 0 || late.outcome == "not-run", "{late:?}");
    });
    assert_all_complete(&responses, 200);
    assert_eq!(env.daemons[0].process.wait_exit(), 0);
    assert_eq!(env.started_runs("late"), 0);
}

/// A daemon is killed while it streams: no caller sees a complete response, the runners stop the
/// work, and another daemon serves.
#[test]
fn streams_of_a_killed_daemon_are_not_complete() {
    let mut env = TestEnv::with_group(2);
    let responses = stream_during(&mut env, 4, 2_000, |env| env.daemons[0].process.kill());
    for response in responses {
        assert!(!response.stream().1, "{response:?}");
        assert_ne!(response.outcome, "complete");
    }
    wait_for("runners to stop the work", || {
        (env.active_runs() == 0).then_some(())
    });
    let again = env.complete(1, "again", 5);
    assert_eq!(again.stream(), (completion_text("again", 5), true));
}

/// A ticket is used again after its request ran: through another daemon, after the issuing daemon
/// was killed, and after it has restarted.
#[test]
fn ticket_of_a_killed_daemon_runs_at_most_once() {
    let mut env = TestEnv::with_group(2);
    let ticket = env.entries(0)["ticket"]
        .as_str()
        .expect("response should have a ticket")
        .to_owned();
    let headers = [("x-ticket", ticket.as_str())];
    let first = service_call(&env, 0, "invoice 1", &headers);
    assert_eq!(first.outcome, "complete", "{first:?}");
    let relayed = service_call(&env, 1, "invoice 1", &headers);
    assert_eq!(relayed.outcome, "unknown", "{relayed:?}");
    env.daemons[0].process.kill();
    let orphaned = service_call(&env, 1, "invoice 1", &headers);
    assert_eq!(orphaned.outcome, "unknown", "{orphaned:?}");
    env.restart_daemon(0);
    let late = service_call(&env, 0, "invoice 1", &headers);
    assert_eq!(late.outcome, "unknown", "{late:?}");
    assert_eq!(env.started_runs("invoice 1"), 1);
}

/// Concurrent calls with one ticket through two daemons must not run the request twice, nor report
/// that it did not run.
#[test]
fn ticket_used_through_two_daemons_runs_once() {
    let env = TestEnv::with_group(2);
    for round in 0..5 {
        let ticket = env.entries(round % 2)["ticket"]
            .as_str()
            .expect("response should have a ticket")
            .to_owned();
        let body = format!("demand {round}");
        let outcomes: Vec<String> = thread::scope(|scope| {
            let calls: Vec<_> = (0..4)
                .map(|number| {
                    let (env, body, ticket) = (&env, &body, &ticket);
                    scope
                        .spawn(move || service_call(env, number % 2, body, &[("x-ticket", ticket)]))
                })
                .collect();
            calls
                .into_iter()
                .map(|call| call.join().expect("call should end").outcome)
                .collect()
        });
        assert_eq!(env.started_runs(&body), 1, "{outcomes:?}");
        assert!(!outcomes.contains(&"not-run".to_owned()), "{outcomes:?}");
    }
}

/// A call with an idempotency key needs a claim on the platform; without one it must not run.
#[test]
fn idempotency_key_is_refused_during_platform_outage() {
    let env = TestEnv::with_group(1);
    env.platform_fault(json!({"mode": "refuse"}));
    let refused = service_call(&env, 0, "invoice 2", &[("idempotency-key", "k2")]);
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    assert_eq!(env.started_runs("invoice 2"), 0);
    env.platform_fault(json!({"mode": "ok"}));
    let accepted = wait_for("the platform to be used again", || {
        let response = service_call(&env, 0, "invoice 2", &[("idempotency-key", "k2")]);
        (response.outcome == "complete").then_some(response)
    });
    assert_eq!(accepted.status, 200);
    let repeated = service_call(&env, 0, "invoice 2", &[("idempotency-key", "k2")]);
    assert_ne!(repeated.outcome, "complete");
    assert_eq!(env.started_runs("invoice 2"), 1);
}

/// The open connections to the runners stall; the attempts are resumed on new connections.
#[test]
fn silent_connections_lose_no_stream() {
    let mut env = TestEnv::with_group(1);
    let responses = stream_during(&mut env, 4, 100, |env| {
        for name in ["e1", "e2", "e3", "e4"] {
            env.runner_fault(name, json!({"mute_open": true}));
        }
    });
    assert_all_complete(&responses, 100);
}

/// The process of a group's host is killed; the group moves to other hosts and serves again.
#[test]
fn dead_host_is_replaced_by_a_spare() {
    let mut env = TestEnv::with_group(2);
    let hosts = env.group_hosts(0, "drafting-1");
    env.kill_runner(&hosts[0]);
    wait_for("the group to move to other hosts", || {
        let now = env.group_hosts(0, "drafting-1");
        (!now.is_empty() && !now.contains(&hosts[0])).then_some(())
    });
    for index in 0..2 {
        env.wait_serving(index, "drafting-1");
        let response = env.complete(index, "after", 10);
        assert_eq!(
            response.stream(),
            (completion_text("after", 10), true),
            "{response:?}"
        );
    }
}

/// A host of a group is marked as leaving while the group streams.
#[test]
fn leaving_host_is_drained_without_cutting_streams() {
    let mut env = TestEnv::with_group(2);
    let hosts = env.group_hosts(0, "drafting-1");
    let responses = stream_during(&mut env, 6, 300, |env| env.set_leaving(&hosts[1], true));
    assert_all_complete(&responses, 300);
    wait_for("the group to move off the leaving host", || {
        let now = env.group_hosts(0, "drafting-1");
        (now.len() == 2 && !now.contains(&hosts[1])).then_some(())
    });
    env.wait_serving(1, "drafting-1");
    let response = env.complete(1, "after", 10);
    assert_eq!(
        response.stream(),
        (completion_text("after", 10), true),
        "{response:?}"
    );
}

/// The platform hangs; completions need no platform, and changes are accepted once it is back.
#[test]
fn platform_outage_stops_no_completion() {
    let env = TestEnv::with_group(2);
    env.platform_fault(json!({"mode": "hang"}));
    for number in 0..20 {
        let response = env.complete(number % 2, "during", 50);
        assert_eq!(
            response.stream(),
            (completion_text("during", 50), true),
            "{response:?}"
        );
    }
    env.platform_fault(json!({"mode": "ok"}));
    wait_for("a change to be accepted", || {
        let output = env.try_operate(
            0,
            &[
                "account",
                "put",
                "greenfry",
                "--key",
                "another-key-of-tests",
            ],
        );
        output.status.success().then_some(())
    });
}

/// The platform applies writes but its responses are lost; an accepted change must be stored.
#[test]
fn lost_platform_answer_does_not_lose_the_change() {
    let env = TestEnv::with_group(1);
    env.platform_fault(json!({"mode": "lose_answers", "for_ms": 1_000}));
    let output = env.try_operate(
        0,
        &[
            "model",
            "put",
            "second-llm",
            "--version",
            "v9",
            "--size",
            "1",
        ],
    );
    assert!(output.status.success(), "{output:?}");
    env.operate(&[
        "group",
        "create",
        "second-1",
        "--model",
        "second-llm",
        "--domain",
        "kalamaria-1",
    ]);
    env.wait_serving(0, "second-1");
}

/// Two daemons receive conflicting creations of one group; exactly one succeeds and both daemons
/// agree on it.
#[test]
fn concurrent_group_creations_have_one_winner() {
    let env = TestEnv::with_group(2);
    let codes: Vec<Option<i32>> = thread::scope(|scope| {
        let racers: Vec<_> = (0..6)
            .map(|index| {
                let env = &env;
                let size = ["1", "2"][index % 2];
                let create = ["group", "create", "race", "--model", "drafting-llm"];
                let args = [&create[..], &["--domain", "kalamaria-1", "--size", size]].concat();
                scope.spawn(move || env.try_operate(index % 2, &args).status.code())
            })
            .collect();
        racers
            .into_iter()
            .map(|racer| racer.join().expect("command should end"))
            .collect()
    });
    let winners = codes.iter().filter(|code| **code == Some(0)).count();
    let losers = codes.iter().filter(|code| **code == Some(5)).count();
    assert_eq!((winners, losers), (1, 5), "{codes:?}");
    for index in 0..2 {
        env.wait_serving(index, "race");
    }
    assert_eq!(env.group_hosts(0, "race"), env.group_hosts(1, "race"));
}

/// The holder of the duty is paused past its lease and resumed after another daemon has moved the
/// group; its old placement must not be written.
#[test]
fn resumed_duty_holder_does_not_overwrite_the_new_holder() {
    let env = TestEnv::with_options(3, "options:\n  lease_ms: 2000");
    let holder = |index: usize| {
        let status = env.status(index);
        let line = status
            .into_iter()
            .find(|line| line.get("holder").is_some())?;
        line["holder"].as_str().map(str::to_owned)
    };
    let first = wait_for("a holder", || holder(0).filter(|name| !name.is_empty()));
    let paused = env
        .daemons
        .iter()
        .position(|daemon| daemon.name == first)
        .expect("holder should be a daemon of the test");
    let other = (paused + 1) % 3;
    env.daemons[paused].process.signal(Signal::SIGSTOP);
    wait_for("another daemon to take the duty", || {
        holder(other).filter(|name| !name.is_empty() && *name != first)
    });
    let hosts = env.group_hosts(other, "drafting-1");
    env.set_leaving(&hosts[0], true);
    wait_for("the group to move", || {
        let now = env.group_hosts(other, "drafting-1");
        (now.len() == 2 && !now.contains(&hosts[0])).then_some(())
    });
    env.wait_serving(other, "drafting-1");
    env.daemons[paused].process.signal(Signal::SIGCONT);
    wait_for("the resumed daemon to report the same placement", || {
        (env.group_hosts(paused, "drafting-1") == env.group_hosts(other, "drafting-1"))
            .then_some(())
    });
    for index in 0..3 {
        env.wait_serving(index, "drafting-1");
        let response = env.complete(index, "after", 10);
        assert_eq!(
            response.stream(),
            (completion_text("after", 10), true),
            "{response:?}"
        );
    }
}

/// Requests are sent continuously while a group is upgraded to a new version.
#[test]
fn upgrade_cuts_no_request() {
    let env = TestEnv::with_group(2);
    env.operate(&[
        "model",
        "put",
        "drafting-llm",
        "--version",
        "v1",
        "--size",
        "2",
        "--floor",
        "1",
    ]);
    env.operate(&[
        "upgrade",
        "start",
        "night",
        "--model",
        "drafting-llm",
        "--to",
        "v2",
    ]);
    let upgraded = || {
        let group = env.group(0, "drafting-1")?;
        (group["version"] == "v2" && group["state"] == "serving").then_some(())
    };
    let mut calls = 0;
    wait_for("the new version to serve", || {
        calls += 1;
        let response = env.complete(calls % 2, "nightly", 20);
        assert_eq!(
            response.stream(),
            (completion_text("nightly", 20), true),
            "call {calls}: {response:?}"
        );
        upgraded()
    });
    assert!(calls > 0);
}

/// A group of the same name on all four hosts is created after the first was deleted.
#[test]
fn deleted_group_frees_its_name_and_hosts() {
    let env = TestEnv::with_group(2);
    env.operate(&["group", "delete", "drafting-1"]);
    for index in 0..2 {
        wait_for("the group to be deleted", || {
            env.group(index, "drafting-1").is_none().then_some(())
        });
    }
    let create = ["group", "create", "drafting-1", "--model", "drafting-llm"];
    env.operate(&[&create[..], &["--domain", "kalamaria-1", "--size", "4"]].concat());
    env.wait_serving(1, "drafting-1");
}

/// A paused daemon accepts connections but never responds; the command must exit with code 6.
#[test]
fn operator_command_times_out_on_a_paused_daemon() {
    let env = TestEnv::with_group(1);
    env.daemons[0].process.signal(Signal::SIGSTOP);
    let output = env.try_operate(0, &["status"]);
    assert_eq!(output.status.code(), Some(6), "{output:?}");
}

/// The lease of 120 s is longer than the test waits, so that only a handover can move the duty.
#[test]
fn graceful_stop_hands_over_the_duty_before_the_lease_expires() {
    let mut env = TestEnv::with_options(2, "options:\n  lease_ms: 120000");
    let holder = |env: &TestEnv, index: usize| {
        let status = env.status(index);
        let line = status
            .into_iter()
            .find(|line| line.get("holder").is_some())?;
        line["holder"].as_str().map(str::to_owned)
    };
    let first = wait_for("a holder", || {
        holder(&env, 0).filter(|name| !name.is_empty())
    });
    let index = usize::from(env.daemons[0].name != first);
    env.daemons[index].process.signal(Signal::SIGTERM);
    assert_eq!(env.daemons[index].process.wait_exit(), 0);
    let other = env.daemons[1 - index].name.clone();
    wait_for("the duty to be handed over", || {
        (holder(&env, 1 - index)? == other).then_some(())
    });
}
