//! Daemons of `run` beside runners whose responses never end.

mod common;

use common::{TestEnv, call_with_timeout, memory::MEMORY_LIMIT};
use serde_json::json;
use std::{thread, time::Duration};

/// Requests at once.
const REQUESTS: usize = 60;

/// Time after which a caller leaves.
const CALLER_TIMEOUT: Duration = Duration::from_secs(12);

/// Sends many requests at once; returns their statuses.
fn call_many(env: &TestEnv, path: &str, body: &str) -> Vec<u16> {
    let key = format!("Bearer {}", common::KEY);
    let address = env.daemons[0].caller;
    let call = || {
        let headers = [("authorization", key.as_str())];
        let body = body.to_owned();
        call_with_timeout(CALLER_TIMEOUT, address, "POST", path, &headers, body)
            .0
            .status
    };
    thread::scope(|scope| {
        let calls: Vec<_> = (0..REQUESTS).map(|_| scope.spawn(call)).collect();
        let statuses = calls.into_iter().map(|call| call.join().expect("called"));
        statuses.collect()
    })
}

/// Guards against bodies that are kept until the memory is used up.
#[test]
fn endless_responses_stay_within_memory() {
    let env = TestEnv::with_group(1);
    let completion = json!({"model": "drafting-llm", "prompt": "x", "max_tokens": 20}).to_string();
    let calls = [
        ("/services/mailroom-app/invoices", "invoice"),
        ("/v1/completions", completion.as_str()),
    ];
    for name in ["e1", "e2", "e3", "e4", "s1"] {
        env.runner_fault(name, json!({"endless": true}));
    }
    for (path, body) in calls {
        let statuses = call_many(&env, path, body);
        let peak = env.daemons[0].process.peak_memory();
        println!("{path}: {} MiB", peak >> 20);
        assert!(peak < MEMORY_LIMIT, "{path}: {} MiB", peak >> 20);
        assert!(!statuses.contains(&200), "{path}: {statuses:?}");
    }
}
