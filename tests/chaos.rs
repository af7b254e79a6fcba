//! Injects random faults from fixed seeds into a set of separate processes.
//!
//! Whatever fails, the outcomes reported to callers must be true: a request
//! reported as complete ran, one reported as not run never ran, and a
//! non-idempotent request ran at most once. `CHAOS_SEEDS=20 cargo test --test
//! chaos` runs more seeds.

mod common;

use std::{
    sync::Mutex,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use common::{KEY, TestEnv, call_with_timeout, completion_text, wait_for};
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;

/// Number of seeds to run, unless `CHAOS_SEEDS` is set.
const SEEDS: u64 = 1;

/// Steps of one run, each two faults and then a batch of calls.
const STEPS: usize = 8;

/// Concurrent calls of each step.
const CALLS: usize = 8;

/// Length of each completion in tokens.
const TOKENS: u32 = 30;

/// Time after which a caller disconnects.
const CALLER_TIMEOUT: Duration = Duration::from_secs(6);

/// Outcome of one call, as reported to its caller.
#[derive(Debug)]
struct CallRecord {
    /// Body by which runners count their runs.
    body: String,
    /// Set if the call is not idempotent, so that it may run only once.
    runs_once: bool,
    outcome: Outcome,
}

#[derive(Debug, PartialEq)]
enum Outcome {
    Complete,
    NotRun,
    /// Unknown outcome, a cut stream, or a caller that disconnected.
    Unknown,
}

#[test]
fn reported_outcomes_are_true() {
    let seeds = std::env::var("CHAOS_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        run(seed);
    }
}

fn run(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut env = TestEnv::with_options(3, "options:\n  lease_ms: 3000");
    let mut records = Vec::new();
    let mut paused = [false; 3];
    for step in 0..STEPS {
        let faults = [(); 2].map(|()| inject_fault(&mut rng, &mut env, &mut paused));
        let fault = faults.join(" and ");
        let calls = call_all(&env, &format!("{seed}.{step}"));
        let line = format!("seed {seed} step {step}: {fault}: {}", summary(&calls));
        println!("{line}");
        env.trace.push(format!("{} {line}", unix_millis()));
        env.trace
            .extend(calls.iter().map(|call| format!("{call:?}")));
        records.extend(calls);
    }
    recover(&mut env);
    check(&env, seed, &records);
}

/// Injects or ends one fault and returns its description.
fn inject_fault(rng: &mut SmallRng, env: &mut TestEnv, paused: &mut [bool; 3]) -> String {
    let daemon = rng.random_range(0..3);
    let host = format!("e{}", rng.random_range(1..=4));
    let running = paused.iter().position(|paused| !paused);
    let lead = running.and_then(|index| env.group_hosts(index, "drafting-1").into_iter().next());
    let host = lead.filter(|_| rng.random_bool(0.7)).unwrap_or(host);
    let engine = |fault: serde_json::Value| {
        env.runner_fault(&host, fault.clone());
        format!("{host} {fault}")
    };
    match rng.random_range(0..20) {
        0 | 1 => engine(json!({"mute_open": true})),
        2 => engine(json!({"refuse": true})),
        3 => engine(json!({"stall_after": 5})),
        4 => engine(json!({"cut_after": 7})),
        5 => engine(json!({"crossed": true})),
        6 => engine(json!({"late_ms": 300, "slow": 3.0})),
        7 => engine(json!({"lose_orders": true})),
        8..=10 => engine(json!({})),
        11 | 12 => {
            env.daemons[daemon].process.signal(Signal::SIGSTOP);
            paused[daemon] = true;
            format!("daemon {daemon} is paused")
        }
        13 | 14 => {
            env.daemons[daemon].process.signal(Signal::SIGCONT);
            paused[daemon] = false;
            format!("daemon {daemon} is resumed")
        }
        15 => {
            env.restart_daemon(daemon);
            paused[daemon] = false;
            format!("daemon {daemon} is killed and restarted")
        }
        16 | 17 => {
            let mode = ["hang", "refuse", "lose_answers", "ok"][rng.random_range(0..4)];
            env.platform_fault(json!({"mode": mode}));
            format!("platform {mode}")
        }
        _ => {
            let leaving = rng.random_bool(0.5);
            env.set_leaving(&host, leaving);
            format!("{host} leaving {leaving}")
        }
    }
}

/// Makes idempotent completions and non-idempotent service calls concurrently.
fn call_all(env: &TestEnv, label: &str) -> Vec<CallRecord> {
    let records = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for number in 0..CALLS {
            let records = &records;
            let name = format!("{label}.{number}");
            scope.spawn(move || {
                let record = match number % 4 {
                    3 => call_service(env, number % 3, &name),
                    _ => complete(env, number % 3, &name),
                };
                records.lock().expect("no call should panic").push(record);
            });
        }
    });
    records.into_inner().expect("no call should panic")
}

fn complete(env: &TestEnv, daemon: usize, prompt: &str) -> CallRecord {
    let body = json!({
        "model": "drafting-llm", "prompt": prompt, "max_tokens": TOKENS, "stream": true,
    });
    let body = body.to_string();
    let key = format!("Bearer {KEY}");
    let headers = [("authorization", key.as_str()), ("x-deadline-ms", "5000")];
    let address = env.daemons[daemon].caller;
    let (response, _) = call_with_timeout(
        CALLER_TIMEOUT,
        address,
        "POST",
        "/v1/completions",
        &headers,
        body.clone(),
    );
    let (text, done) = response.stream();
    let expected = completion_text(prompt, TOKENS);
    assert!(
        expected.starts_with(&text),
        "part of another response: {response:?}"
    );
    let outcome = match (done, response.outcome.as_str()) {
        (true, _) => {
            assert_eq!(text, expected, "an incomplete response looks complete");
            Outcome::Complete
        }
        (false, "not-run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    CallRecord {
        body,
        runs_once: false,
        outcome,
    }
}

fn call_service(env: &TestEnv, daemon: usize, name: &str) -> CallRecord {
    let key = format!("Bearer {KEY}");
    let headers = [("authorization", key.as_str()), ("x-deadline-ms", "5000")];
    let address = env.daemons[daemon].caller;
    let path = "/services/mailroom-app/invoices";
    let (response, in_time) = call_with_timeout(
        CALLER_TIMEOUT,
        address,
        "POST",
        path,
        &headers,
        name.to_owned(),
    );
    let outcome = match response.outcome.as_str() {
        "complete" if response.body_complete && in_time => Outcome::Complete,
        "not-run" => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    CallRecord {
        body: name.to_owned(),
        runs_once: true,
        outcome,
    }
}

fn summary(records: &[CallRecord]) -> String {
    let count = |outcome| {
        records
            .iter()
            .filter(|record| record.outcome == outcome)
            .count()
    };
    format!(
        "{} complete, {} not run, {} unknown",
        count(Outcome::Complete),
        count(Outcome::NotRun),
        count(Outcome::Unknown)
    )
}

/// Ends all faults and waits until every daemon completes a request again.
fn recover(env: &mut TestEnv) {
    env.platform_fault(json!({"mode": "ok"}));
    for name in ["e1", "e2", "e3", "e4"] {
        env.runner_fault(name, json!({}));
        env.set_leaving(name, false);
    }
    for daemon in &env.daemons {
        daemon.process.signal(Signal::SIGCONT);
    }
    for index in 0..env.daemons.len() {
        wait_for("a complete response after recovery", || {
            let record = complete(env, index, "afterwards");
            let line = format!("{} daemon {index}: {record:?}", unix_millis());
            env.trace.push(line);
            (record.outcome == Outcome::Complete).then_some(())
        });
    }
    let hosts: Vec<_> = (0..3)
        .map(|index| env.group_hosts(index, "drafting-1"))
        .collect();
    assert!(hosts.iter().all(|hosts| hosts.len() == 2), "{hosts:?}");
}

fn unix_millis() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("the clock should be after 1970").as_millis()
}

fn check(env: &TestEnv, seed: u64, records: &[CallRecord]) {
    for record in records {
        let started = env.started_runs(&record.body);
        let is_true = match record.outcome {
            Outcome::Complete => started >= 1,
            Outcome::NotRun => started == 0,
            Outcome::Unknown => true,
        };
        assert!(
            is_true,
            "seed {seed}: {record:?} was started {started} times"
        );
        assert!(
            !record.runs_once || started <= 1,
            "seed {seed}: {record:?} was started {started} times"
        );
    }
}
