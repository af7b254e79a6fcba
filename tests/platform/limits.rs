//! Rate limits that runners name in their responses.

use super::{
    env::{Daemon, TestEnv},
    runner::Runner,
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Requests to each daemon.
const REQUESTS: usize = 30;
/// Time between two requests to a daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Factor by which a runner may get more than its limit, and requests on top of that.
const MAX_EXCESS: (f64, f64) = (1.5, 5.0);

/// Waits until a daemon serves requests.
fn await_serving(env: &TestEnv, daemon: &Daemon) {
    env.eventually("a further daemon serves", |env| {
        env.call_at(daemon, "GET", "/read/x", &[], "").status == 200
    });
}

/// Three daemons, and a runner that names a rate limit which all of them have heard of.
struct LimitedEnv {
    env: TestEnv,
    others: Vec<Daemon>,
    limit: f64,
}

impl LimitedEnv {
    fn start(limit: f64) -> Self {
        let env = TestEnv::start();
        let others: Vec<Daemon> = ["d2", "d3"].map(|name| env.start_daemon(name)).into();
        let limited = Self { env, others, limit };
        for daemon in limited.daemons() {
            await_serving(&limited.env, daemon);
        }
        limited.runner().name_rate_limit(&limit.to_string());
        for daemon in limited.daemons() {
            let before = limited.runner().requests().len();
            limited
                .env
                .eventually("the daemon has heard of the limit", |env| {
                    env.call_at(daemon, "GET", "/read/x", &[], "");
                    limited.runner().requests().len() > before
                });
        }
        limited
    }

    fn runner(&self) -> &Runner {
        &self.env.plain_runners[0]
    }

    fn daemons(&self) -> Vec<&Daemon> {
        [&self.env.daemon].into_iter().chain(&self.others).collect()
    }

    /// Sends requests to each daemon at once; all must be answered, and the runner must not get
    /// more than its limit allows.
    fn check_limit_kept(&self) {
        let (started, before) = (Instant::now(), self.runner().requests().len());
        let answered: usize = thread::scope(|scope| {
            let callers = self.daemons().into_iter().map(|daemon| {
                scope.spawn(|| (0..REQUESTS).filter(|_| self.is_served_by(daemon)).count())
            });
            let callers: Vec<_> = callers.collect();
            let counts = callers.into_iter().map(|caller| caller.join());
            counts.map(|count| count.expect("called")).sum()
        });
        let elapsed = started.elapsed().as_secs_f64();
        let allowed = MAX_EXCESS.0 * self.limit * elapsed + MAX_EXCESS.1;
        let received = self.runner().requests().len() - before;
        let sent = self.daemons().len() * REQUESTS;
        assert_eq!(answered, sent, "the other runner has no limit");
        assert!(
            received as f64 <= allowed,
            "{received} requests, allowed {allowed}"
        );
    }

    fn is_served_by(&self, daemon: &Daemon) -> bool {
        thread::sleep(REQUEST_INTERVAL);
        let response = self.env.call_at(daemon, "GET", "/read/x", &[], "");
        response.status == 200
    }
}

// Three daemons together sent a runner three times the rate that it had named in its responses.
#[test]
fn daemons_together_keep_rate_limit_of_runner() {
    LimitedEnv::start(0.5).check_limit_kept();
}

// The killed daemon may be the one that counted the requests.
#[test]
fn limit_is_kept_after_daemons_are_killed() {
    let mut limited = LimitedEnv::start(0.5);
    while limited.others.pop().is_some() {
        limited.check_limit_kept();
    }
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
