//! Runners that are cold, and tolerate few requests a second from all daemons together.

use super::{
    config,
    env::{Daemon, TestEnv},
    http::RecordedRequest,
    runner::Runner,
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Requests a second that a cold runner tolerates.
const COLD_RATE: f64 = 8.0;

/// Requests that a cold runner may get in any second.
const MAX_IN_SECOND: usize = 17;

/// Time for which the callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two entries that a runner writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a runner says that it stays cold; longer than any test.
const COLD_TIME: Duration = Duration::from_secs(120);

/// Three daemons, and runners of a service with a cold rate.
struct ColdEnv {
    env: TestEnv,
    others: [Daemon; 2],
}

impl ColdEnv {
    fn start() -> Self {
        let env = TestEnv::start();
        config::write_with(&env.store, 3, Some(COLD_RATE));
        let others = ["d2", "d3"].map(|name| env.start_daemon(name));
        let cold = Self { env, others };
        for daemon in cold.daemons() {
            cold.env.eventually("a daemon serves", |env| {
                let is_current = daemon.metric("hickoryledge_configuration_version") == 3.0;
                is_current && env.call_at(daemon, "GET", "/read/x", &[], "").status == 200
            });
        }
        cold
    }

    fn daemons(&self) -> Vec<&Daemon> {
        [&self.env.daemon].into_iter().chain(&self.others).collect()
    }

    /// Has runners write for how long they stay cold, until all daemons count so many as cold.
    fn report_cold(&self, runners: &[Arc<Runner>], left: Duration, cold: usize) {
        for daemon in self.daemons() {
            self.env.eventually("the daemon knows who is cold", |_| {
                runners.iter().for_each(|runner| runner.report_cold(left));
                thread::sleep(WRITE_INTERVAL);
                daemon.metric("hickoryledge_cold_runners") == cold as f64
            });
        }
    }

    /// Sends requests to all daemons at once, from two callers each; returns the statuses.
    fn load(&self) -> Vec<u16> {
        let end = Instant::now() + LOAD_TIME;
        thread::scope(|scope| {
            let daemons = self.daemons().into_iter().flat_map(|daemon| [daemon; 2]);
            let callers: Vec<_> = daemons
                .map(|daemon| scope.spawn(move || self.call_until(daemon, end)))
                .collect();
            let statuses = callers.into_iter().map(|caller| caller.join());
            statuses
                .flat_map(|statuses| statuses.expect("called"))
                .collect()
        })
    }

    fn call_until(&self, daemon: &Daemon, end: Instant) -> Vec<u16> {
        let mut statuses = Vec::new();
        while Instant::now() < end {
            let response = self.env.call_at(daemon, "GET", "/read/x", &[], "");
            statuses.push(response.status);
            thread::sleep(REQUEST_INTERVAL);
        }
        statuses
    }
}

/// Returns the requests that a runner has got since `since`.
fn received(runner: &Runner, since: Instant) -> Vec<RecordedRequest> {
    let requests = runner.requests().into_iter();
    requests.filter(|request| request.at >= since).collect()
}

/// Returns the largest number of requests in a second.
fn worst_second(requests: &[RecordedRequest]) -> usize {
    let second = Duration::from_secs(1);
    let in_second = |(first, start): (usize, &RecordedRequest)| {
        let later = requests[first..].iter();
        later
            .take_while(|request| request.at - start.at < second)
            .count()
    };
    requests
        .iter()
        .enumerate()
        .map(in_second)
        .max()
        .unwrap_or(0)
}

fn count(statuses: &[u16], status: u16) -> usize {
    statuses.iter().filter(|other| **other == status).count()
}

// A cold runner received 48 requests in a second where 44 were allowed.
#[test]
fn daemons_together_keep_the_rate_of_a_cold_runner() {
    let cold = ColdEnv::start();
    let [runner, other] = &cold.env.plain_runners;
    cold.report_cold(&cold.env.plain_runners[..1], COLD_TIME, 1);
    let since = Instant::now();
    let statuses = cold.load();
    let worst = worst_second(&received(runner, since));
    assert!(worst <= MAX_IN_SECOND, "{worst} requests in a second");
    assert!(worst > 0, "the rate is used");
    let elsewhere = worst_second(&received(other, since));
    assert!(elsewhere > MAX_IN_SECOND, "{elsewhere}: there was no load");
    assert_eq!(count(&statuses, 200), statuses.len(), "one isn't cold");
}

// After a mass restart nobody else can take the requests: the rate must be used, and what is beyond
// it refused at once.
#[test]
fn rate_of_cold_runners_is_used_if_all_are_cold() {
    let cold = ColdEnv::start();
    let runners = &cold.env.plain_runners;
    cold.report_cold(runners, COLD_TIME, 2);
    let since = Instant::now();
    let statuses = cold.load();
    let elapsed = since.elapsed().as_secs_f64();
    let mut used = 0;
    for runner in runners {
        let requests = received(runner, since);
        let worst = worst_second(&requests);
        assert!(worst <= MAX_IN_SECOND, "{worst} requests in a second");
        used += requests.len();
    }
    let share = used as f64 / (COLD_RATE * runners.len() as f64 * elapsed);
    assert!(share >= 0.6, "{share} of the rate is used");
    let answered = count(&statuses, 200) + count(&statuses, 503);
    assert_eq!(answered, statuses.len());
    assert!(count(&statuses, 503) > 0, "there was too little load");
}

// The time may rise from zero at any moment, without a start.
#[test]
fn runner_that_becomes_cold_again_is_limited_again() {
    let cold = ColdEnv::start();
    let runners = &cold.env.plain_runners[..1];
    for _ in 0..2 {
        cold.report_cold(runners, COLD_TIME, 1);
        let since = Instant::now();
        cold.load();
        let worst = worst_second(&received(&runners[0], since));
        assert!(worst <= MAX_IN_SECOND, "{worst} requests in a second");
        cold.report_cold(runners, Duration::ZERO, 0);
        let since = Instant::now();
        cold.load();
        let worst = worst_second(&received(&runners[0], since));
        assert!(worst > MAX_IN_SECOND, "{worst}: it isn't used");
    }
}

#[test]
fn service_without_cold_rate_takes_no_notice_of_cold_runners() {
    let cold = ColdEnv::start();
    cold.env.configure(5);
    for daemon in cold.daemons() {
        cold.env.eventually("the configuration is in force", |_| {
            daemon.metric("hickoryledge_configuration_version") == 5.0
        });
    }
    let runners = &cold.env.plain_runners[..1];
    cold.report_cold(runners, COLD_TIME, 0);
    let since = Instant::now();
    cold.load();
    let worst = worst_second(&received(&runners[0], since));
    assert!(worst > MAX_IN_SECOND, "{worst}: it is limited");
}
