//! Rate limits that runners name in their responses.

use super::env::{Daemon, TestEnv};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Requests to each daemon.
const REQUESTS: usize = 30;
/// Factor by which a runner may get more than its limit, and requests on top of that.
const MAX_EXCESS: (f64, f64) = (1.5, 5.0);

/// Waits until a daemon serves requests.
fn await_serving(env: &TestEnv, daemon: &Daemon) {
    env.eventually("a further daemon serves", |env| {
        env.call_at(daemon, "GET", "/read/x", &[], "").status == 200
    });
}

// Three daemons together sent a runner three times the rate that it had named in its responses.
#[test]
fn daemons_together_keep_rate_limit_of_runner() {
    let limit = 0.5;
    let env = TestEnv::start();
    let others = ["d2", "d3"].map(|name| env.start_daemon(name));
    let daemons = [&env.daemon, &others[0], &others[1]];
    daemons
        .iter()
        .for_each(|daemon| await_serving(&env, daemon));
    let limited = &env.plain_runners[0];
    limited.name_rate_limit(&limit.to_string());
    for daemon in daemons {
        let before = limited.requests().len();
        env.eventually("the daemon has heard of the limit", |env| {
            env.call_at(daemon, "GET", "/read/x", &[], "");
            limited.requests().len() > before
        });
    }
    let (started, before) = (Instant::now(), limited.requests().len());
    let answered = thread::scope(|scope| {
        let callers = daemons.map(|daemon| {
            let env = &env;
            scope.spawn(move || {
                let statuses = (0..REQUESTS).map(|_| {
                    thread::sleep(Duration::from_millis(20));
                    env.call_at(daemon, "GET", "/read/x", &[], "").status
                });
                statuses.filter(|status| *status == 200).count()
            })
        });
        let counts = callers.map(|caller| caller.join().expect("called"));
        counts.into_iter().sum::<usize>()
    });
    let allowed = MAX_EXCESS.0 * limit * started.elapsed().as_secs_f64() + MAX_EXCESS.1;
    let received = limited.requests().len() - before;
    assert_eq!(answered, 3 * REQUESTS, "the other runner has no limit");
    assert!(
        received as f64 <= allowed,
        "{received} requests, allowed {allowed}"
    );
}

#[test]
fn limit_ends_with_a_response_that_names_none() {
    let env = TestEnv::start();
    let limited = &env.plain_runners[0];
    limited.name_rate_limit("0.5");
    let count_of = |requests: usize| {
        let before = limited.requests().len();
        (0..requests).for_each(|_| {
            env.call("GET", "/read/x", &[], "");
        });
        limited.requests().len() - before
    };
    env.eventually("the limit is kept", |_| count_of(20) <= 2);
    limited.name_rate_limit("");
    env.eventually("the limit is forgotten", |_| count_of(20) > 5);
}

// Waiting for a permit until the deadline would keep the caller from other daemons and runners.
#[test]
fn request_is_refused_at_once_if_all_runners_are_limited() {
    let env = TestEnv::start();
    env.plain_runners
        .iter()
        .for_each(|runner| runner.name_rate_limit("0"));
    let refused = |env: &TestEnv| {
        let response = env.call("GET", "/read/x", &[], "");
        (response.status == 503).then_some(response.head)
    };
    env.eventually("requests are refused", |env| refused(env).is_some());
    let received = || -> usize {
        let runners = env.plain_runners.iter();
        runners.map(|runner| runner.requests().len()).sum()
    };
    let before = received();
    let heads: Vec<String> = (0..20).filter_map(|_| refused(&env)).collect();
    assert!(
        heads.len() >= 18,
        "only a trial may be sent: {}",
        heads.len()
    );
    assert!(received() - before <= 2);
    assert!(heads.iter().all(|head| head.contains("retry-after: ")));
}
