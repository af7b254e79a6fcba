//! Faults drawn by chance from fixed seeds, against separate processes.
//!
//! Whatever fails, what callers were told must be true. `CHAOS_SEEDS=20 cargo
//! test --test chaos` runs more seeds.

mod common;

use std::{sync::Mutex, thread, time::Duration};

use common::{KEY, TestEnv, call_with_timeout, completion_text, wait_for};
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;

/// Seeds run, unless `CHAOS_SEEDS` says otherwise.
const SEEDS: u64 = 1;

/// Faults of one run, each followed by calls.
const STEPS: usize = 8;

/// Calls made at once after each fault.
const CALLS: usize = 8;

/// Tokens of each completion.
const TOKENS: u32 = 30;

/// How long a caller waits before it goes away.
const WAIT: Duration = Duration::from_secs(6);

/// What one caller was told.
#[derive(Debug)]
struct Told {
    /// The body that runners count by.
    body: String,
    /// Whether it may run once only.
    once: bool,
    outcome: Outcome,
}

#[derive(Debug, PartialEq)]
enum Outcome {
    Complete,
    NotRun,
    /// Unknown, cut, or the caller went away.
    Unknown,
}

#[test]
fn what_callers_were_told_is_true() {
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
    let mut told = Vec::new();
    let mut paused = [false; 3];
    for step in 0..STEPS {
        let faults = [(); 2].map(|()| draw(&mut rng, &mut env, &mut paused));
        let fault = faults.join(" and ");
        let calls = call_all(&env, &format!("{seed}.{step}"));
        println!("seed {seed} step {step}: {fault}: {}", summary(&calls));
        told.extend(calls);
    }
    recover(&mut env);
    check(&env, seed, &told);
}

/// Causes one fault, or ends one.
fn draw(rng: &mut SmallRng, env: &mut TestEnv, paused: &mut [bool; 3]) -> String {
    let daemon = rng.random_range(0..3);
    let host = format!("e{}", rng.random_range(1..=4));
    let asked = paused.iter().position(|paused| !paused);
    let lead = asked.and_then(|index| env.group_hosts(index, "drafting-1").into_iter().next());
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
            format!("daemon {daemon} pauses")
        }
        13 | 14 => {
            env.daemons[daemon].process.signal(Signal::SIGCONT);
            paused[daemon] = false;
            format!("daemon {daemon} goes on")
        }
        15 => {
            env.restart_daemon(daemon);
            paused[daemon] = false;
            format!("daemon {daemon} is killed and starts again")
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

/// Makes completions and calls that may run once only, all at once.
fn call_all(env: &TestEnv, label: &str) -> Vec<Told> {
    let told = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for number in 0..CALLS {
            let told = &told;
            let name = format!("{label}.{number}");
            scope.spawn(move || {
                let one = match number % 4 {
                    3 => serve(env, number % 3, &name),
                    _ => complete(env, number % 3, &name),
                };
                told.lock().expect("no call failed").push(one);
            });
        }
    });
    told.into_inner().expect("no call failed")
}

fn complete(env: &TestEnv, daemon: usize, prompt: &str) -> Told {
    let body = json!({
        "model": "drafting-llm", "prompt": prompt, "max_tokens": TOKENS, "stream": true,
    });
    let body = body.to_string();
    let key = format!("Bearer {KEY}");
    let headers = [("authorization", key.as_str()), ("x-deadline-ms", "5000")];
    let address = env.daemons[daemon].caller;
    let (answer, _) = call_with_timeout(
        WAIT,
        address,
        "POST",
        "/v1/completions",
        &headers,
        body.clone(),
    );
    let (text, done) = answer.stream();
    let wanted = completion_text(prompt, TOKENS);
    assert!(
        wanted.starts_with(&text),
        "part of another answer: {answer:?}"
    );
    let outcome = match (done, answer.outcome.as_str()) {
        (true, _) => {
            assert_eq!(text, wanted, "an answer that is not whole looks complete");
            Outcome::Complete
        }
        (false, "not-run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    Told {
        body,
        once: false,
        outcome,
    }
}

fn serve(env: &TestEnv, daemon: usize, name: &str) -> Told {
    let key = format!("Bearer {KEY}");
    let headers = [("authorization", key.as_str()), ("x-deadline-ms", "5000")];
    let address = env.daemons[daemon].caller;
    let path = "/services/mailroom-app/invoices";
    let (answer, in_time) =
        call_with_timeout(WAIT, address, "POST", path, &headers, name.to_owned());
    let outcome = match answer.outcome.as_str() {
        "complete" if answer.body_complete && in_time => Outcome::Complete,
        "not-run" => Outcome::NotRun,
        _ => Outcome::Unknown,
    };
    Told {
        body: name.to_owned(),
        once: true,
        outcome,
    }
}

fn summary(told: &[Told]) -> String {
    let count = |outcome| told.iter().filter(|one| one.outcome == outcome).count();
    format!(
        "{} complete, {} not run, {} unknown",
        count(Outcome::Complete),
        count(Outcome::NotRun),
        count(Outcome::Unknown)
    )
}

/// Ends every fault and waits until the group serves on every daemon again.
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
        wait_for("a whole answer again", || {
            let told = complete(env, index, "afterwards");
            (told.outcome == Outcome::Complete).then_some(())
        });
    }
    let hosts: Vec<_> = (0..3)
        .map(|index| env.group_hosts(index, "drafting-1"))
        .collect();
    assert!(hosts.iter().all(|held| held.len() == 2), "{hosts:?}");
}

fn check(env: &TestEnv, seed: u64, told: &[Told]) {
    for one in told {
        let begun = env.started_runs(&one.body);
        let true_to_it = match one.outcome {
            Outcome::Complete => begun >= 1,
            Outcome::NotRun => begun == 0,
            Outcome::Unknown => true,
        };
        assert!(true_to_it, "seed {seed}: {one:?} was begun {begun} times");
        assert!(
            !one.once || begun <= 1,
            "seed {seed}: {one:?} was begun {begun} times"
        );
    }
}
