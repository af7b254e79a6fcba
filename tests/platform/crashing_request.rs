//! A request of a plain service that crashes each runner that begins to run it, and comes again.

use super::{
    client::{Response, send_request},
    config::{API_KEY, OTHER_API_KEY},
    env::{Daemon, TestEnv},
    runner::{Runner, Script},
};
use std::{sync::Arc, thread, time::Duration};

/// Path of the request that crashes runners.
const BAD_PATH: &str = "/read/bad";

/// Body of the request that crashes runners.
const BAD_BODY: &str = "bad body";

/// Number of times that such a request may be sent to runners: three crashes and three retries.
const MAX_SENDS: usize = 6;

/// Repeats of the request that show that none reaches a runner.
const REPEATS: usize = 30;

/// Pause between two repeats.
const PAUSE: Duration = Duration::from_millis(300);

/// Delay of a retry that won't be served for hours, as the response names it.
const LONG_RETRY_DELAY: &str = "retry-after: 600";

/// Environment with three plain runners and two daemons.
struct Fleet {
    env: TestEnv,
    runners: Vec<Arc<Runner>>,
    second: Daemon,
}

impl Fleet {
    fn start() -> Self {
        let env = TestEnv::start();
        let third = Runner::start("p3", "plain", None, env.store.clone(), Script::default());
        let runners: Vec<Arc<Runner>> = env.plain_runners.iter().cloned().chain([third]).collect();
        for runner in &runners {
            runner.crashes.set_request(BAD_PATH, BAD_BODY);
        }
        let second = env.start_daemon("d2");
        let fleet = Self {
            env,
            runners,
            second,
        };
        fleet.await_service();
        fleet
    }

    /// Waits until both daemons use all three runners.
    fn await_service(&self) {
        for daemon in self.daemons() {
            let before: Vec<usize> = self.sends();
            self.env.eventually("all runners are used", |_| {
                self.send(daemon, API_KEY, "/read/x", "");
                let now = self.sends();
                now.iter().zip(&before).all(|(now, before)| now > before)
            });
        }
    }

    fn daemons(&self) -> [&Daemon; 2] {
        [&self.env.daemon, &self.second]
    }

    fn send(&self, daemon: &Daemon, key: &str, path: &str, body: &str) -> Response {
        let key = format!("Authorization: Bearer {key}");
        send_request(daemon.caller_address, "POST", path, &[&key], body)
    }

    /// Sends the request that crashes runners; returns true if it is refused for good.
    fn is_refused(&self, daemon: &Daemon) -> bool {
        let response = self.send(daemon, API_KEY, BAD_PATH, BAD_BODY);
        response.status == 503 && response.head.contains(LONG_RETRY_DELAY)
    }

    /// Returns the number of requests that each runner has received.
    fn sends(&self) -> Vec<usize> {
        let runners = self.runners.iter();
        runners.map(|runner| runner.requests().len()).collect()
    }

    /// Returns the number of times that the bad request has reached runners.
    fn bad_sends(&self) -> usize {
        let requests = self.runners.iter().flat_map(|runner| runner.requests());
        let bad = requests.filter(|request| request.request_line.contains(BAD_PATH));
        bad.filter(|request| request.body == BAD_BODY.as_bytes())
            .count()
    }

    /// Repeats the bad request at both daemons in turn until both refuse it.
    fn await_refusals(&self) {
        let mut refused = 0;
        for number in 0.. {
            if refused == self.daemons().len() || self.bad_sends() > MAX_SENDS {
                return;
            }
            refused = match self.is_refused(self.daemons()[number % 2]) {
                true => refused + 1,
                false => 0,
            };
            thread::sleep(PAUSE);
        }
    }

    /// Sends the bad request until it is refused, and checks how often it reaches runners.
    fn check_refusals(&self) {
        self.await_refusals();
        assert!(self.bad_sends() <= MAX_SENDS, "{} sends", self.bad_sends());
        self.await_service();
        let before = self.bad_sends();
        for daemon in self.daemons() {
            assert!((0..REPEATS).all(|_| self.is_refused(daemon)));
        }
        assert_eq!(self.bad_sends(), before);
    }
}

// Plain services have no parts of prompts, on which alone crashes were blamed.
#[test]
fn repeated_request_that_crashes_plain_runners_is_refused_by_all_daemons() {
    Fleet::start().check_refusals();
}

// The check of a crash needed a refused connection.
#[test]
fn repeated_request_is_refused_if_crashed_runners_are_back_at_once() {
    let fleet = Fleet::start();
    for runner in &fleet.runners {
        runner.crashes.restart_at_once();
    }
    fleet.check_refusals();
}

#[test]
fn requests_alike_but_for_one_thing_are_served_beside_refused_one() {
    let fleet = Fleet::start();
    fleet.await_refusals();
    fleet.await_service();
    let alike = [
        (API_KEY, "/read/bad", "other body"),
        (API_KEY, "/read/bae", BAD_BODY),
        (API_KEY, "/moved/bad", BAD_BODY),
    ];
    for daemon in fleet.daemons() {
        assert!(fleet.is_refused(daemon));
        for (key, path, body) in alike {
            assert_eq!(
                fleet.send(daemon, key, path, body).status,
                200,
                "{path} {body}"
            );
        }
    }
    for runner in &fleet.runners {
        runner.crashes.set_request("", "");
    }
    for daemon in fleet.daemons() {
        assert!(fleet.is_refused(daemon));
        let response = fleet.send(daemon, OTHER_API_KEY, BAD_PATH, BAD_BODY);
        assert_eq!(response.status, 200, "another account");
    }
}

#[test]
fn daemon_that_starts_later_refuses_request_that_has_crashed_runners() {
    let fleet = Fleet::start();
    fleet.await_refusals();
    let before = fleet.bad_sends();
    let third = fleet.env.start_daemon("d3");
    fleet.env.eventually("the third daemon serves", |_| {
        fleet.send(&third, API_KEY, "/read/x", "").status == 200
    });
    assert!((0..REPEATS).all(|_| fleet.is_refused(&third)));
    assert_eq!(fleet.bad_sends(), before);
}

// They are cut with each runner that the bad request crashes, and sent on like it.
#[test]
fn requests_beside_one_that_crashes_runners_are_served_later() {
    let fleet = Fleet::start();
    let paths: Vec<String> = (0..6)
        .map(|number| format!("/read/{number}?delay_ms=1000"))
        .collect();
    for _ in 0..2 {
        thread::scope(|scope| {
            for path in &paths {
                scope.spawn(|| fleet.send(&fleet.env.daemon, API_KEY, path, ""));
            }
            thread::sleep(PAUSE);
            fleet.is_refused(&fleet.env.daemon);
        });
        fleet.await_service();
    }
    fleet.await_refusals();
    fleet.await_service();
    for path in &paths {
        for daemon in fleet.daemons() {
            assert_eq!(fleet.send(daemon, API_KEY, path, "").status, 200, "{path}");
        }
    }
}
