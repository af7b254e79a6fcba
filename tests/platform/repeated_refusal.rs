//! Runners that write once more that they did not run an earlier request.

use super::{
    env::TestEnv,
    runner::{Behavior, Runner},
};
use std::sync::Arc;

/// Requests whose outcomes are compared with what the runners have run.
const REQUESTS: usize = 12;

/// Returns the number of runners that a request has reached.
fn runs(runners: &[Arc<Runner>], path: &str) -> usize {
    let line = format!("POST {path} HTTP/1.1");
    let requests = runners.iter().flat_map(|runner| runner.requests());
    requests
        .filter(|request| request.request_line == line)
        .count()
}

/// Sends requests that may run once, and checks that each did at most, and not at all if the caller
/// is told so.
fn check_outcomes(env: &TestEnv) {
    for number in 0..REQUESTS {
        let path = format!("/once/{number}");
        let status = env.call("POST", &path, &[], "").status;
        let runs = runs(&env.plain_runners, &path);
        let promises_no_run = matches!(status, 408 | 421 | 429 | 503);
        assert!(runs <= 1, "{path} ran {runs} times");
        assert!(
            !promises_no_run || runs == 0,
            "{path}: {status}, and it ran"
        );
    }
}

// Elsewhere callers were told 'not run, try again', or the request ran at a second runner.
#[test]
fn refusal_that_is_written_before_the_response_refuses_no_other_request() {
    let env = TestEnv::start();
    for runner in &env.plain_runners {
        (0..REQUESTS).for_each(|_| runner.enqueue(Behavior::RepeatRefusal));
    }
    check_outcomes(&env);
    assert!(runs(&env.plain_runners, "/once/0") == 1, "it was sent");
}

#[test]
fn refusal_that_is_written_before_the_request_refuses_no_other_request() {
    let env = TestEnv::start();
    for runner in &env.plain_runners {
        runner.greet_with_refusal();
    }
    check_outcomes(&env);
}
