//! Runners that send a response a second time on a connection that is kept open.

use super::{
    env::TestEnv,
    runner::{Behavior, Runner},
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Delays of the second copies: at once, before the next request, and with it.
const DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(20),
    Duration::from_millis(60),
];

/// Pauses of the caller between two requests.
const PAUSES: [Duration; 2] = [Duration::ZERO, Duration::from_millis(40)];

/// Bodies that tell the responses apart; all requests have the same id.
const BODIES: [&str; 6] = ["one", "two", "three", "four", "five", "six"];

/// Delays of the second copies of reports: while the connection is idle, and when the next probe may
/// have been sent.
const REPORT_DELAYS: [Duration; 3] = [
    Duration::from_millis(20),
    Duration::from_millis(520),
    Duration::from_millis(2_100),
];

/// Time for several probes.
const PROBE_TIME: Duration = Duration::from_secs(5);

// Elsewhere the next caller on a kept connection got the response of the request before.
#[test]
fn late_second_copy_of_a_response_reaches_no_other_request() {
    let env = TestEnv::start();
    for delay in DELAYS {
        for pause in PAUSES {
            for body in BODIES {
                env.heads[0].enqueue(Behavior::RespondTwice(delay, body));
            }
            for body in BODIES {
                let response = env.stream(&[]);
                assert_eq!(
                    (response.status, response.body.as_str()),
                    (200, body),
                    "{delay:?} {pause:?}"
                );
                thread::sleep(pause);
            }
        }
    }
}

// Several callers at once, whose requests a pool of connections would mix.
#[test]
fn late_second_copies_mix_no_concurrent_requests() {
    let env = TestEnv::start();
    thread::scope(|scope| {
        for caller in 0..8 {
            let env = &env;
            scope.spawn(move || {
                for number in 0..20 {
                    let id = format!("X-Request-Id: c{caller}-{number}");
                    env.plain_runners[number % 2].enqueue(Behavior::RespondTwice(
                        Duration::from_millis(number as u64 % 7),
                        "copied",
                    ));
                    let response = env.call("GET", "/read/x", &[&id], "");
                    let own = id.to_lowercase();
                    assert_eq!(response.status, 200, "{response:?}");
                    assert!(response.head.contains(&own), "{response:?}");
                }
            });
        }
    });
}

// Probes are the only requests on a connection that is kept. A copy of a report must not pass for
// the next one's, nor make a member look lost.
#[test]
fn late_second_copies_of_reports_disturb_no_group() {
    let env = TestEnv::start();
    for delay in REPORT_DELAYS {
        for head in &env.heads {
            head.copy_reports(Some(delay));
        }
        let orders = order_count(&env);
        let started = Instant::now();
        while started.elapsed() < PROBE_TIME {
            let response = env.stream(&[]);
            assert_eq!(response.status, 200, "{delay:?}: {response:?}");
            thread::sleep(Duration::from_millis(50));
        }
        assert_eq!(order_count(&env), orders, "{delay:?}");
        assert!(env.heads.iter().all(|head| head.is_open()), "{delay:?}");
        for head in &env.heads {
            head.copy_reports(None);
        }
    }
    // A report is still believed when it matters.
    let head: &Runner = &env.heads[0];
    head.copy_reports(Some(Duration::from_millis(520)));
    head.crash();
    env.eventually("the head serves again", |env| {
        env.heads[0].is_open() && env.stream(&[]).status == 200
    });
}

fn order_count(env: &TestEnv) -> usize {
    env.heads.iter().map(|head| head.orders().len()).sum()
}
