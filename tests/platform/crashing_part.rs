//! A part of prompts that crashes each runner that begins to write an answer on it.

use super::{
    client::Response,
    env::{Daemon, TestEnv, wait_until},
    runner::{Runner, Script},
};
use std::{cell::Cell, sync::Arc, thread, time::Duration};

/// Part that crashes runners.
const BAD: &str = "bad0";

/// Crashes after which no further request with the part may reach a runner.
const MAX_CRASHES: usize = 5;

/// Requests that are sent to show that none reaches a runner.
const REQUESTS: usize = 30;

/// Pause between two requests with the part.
const PAUSE: Duration = Duration::from_millis(300);

/// Environment with more heads and one more daemon.
struct Fleet {
    env: TestEnv,
    heads: Vec<Arc<Runner>>,
    second: Daemon,
    /// Number of requests so far; no two have the same last part.
    sent: Cell<usize>,
}

impl Fleet {
    fn start() -> Self {
        let env = TestEnv::start();
        let more = ["h3", "h4", "h5", "h6", "h7", "h8"].map(|name| {
            let store = env.store.clone();
            Runner::start(name, "engines", Some(name), store, Script::default())
        });
        let heads: Vec<Arc<Runner>> = env.heads.iter().cloned().chain(more).collect();
        heads.iter().for_each(|head| head.crashes.set_part(BAD));
        let second = env.start_daemon("d2");
        let fleet = Self {
            env,
            heads,
            second,
            sent: Cell::new(0),
        };
        fleet.await_service();
        fleet
    }

    fn await_service(&self) {
        self.env.eventually("all heads serve", |_| {
            self.heads.iter().all(|head| head.is_open())
        });
        for daemon in self.daemons() {
            self.env.eventually("a daemon serves", |_| {
                (0..REQUESTS).all(|_| self.stream(daemon, "900d") == 200)
            });
        }
    }

    fn daemons(&self) -> [&Daemon; 2] {
        [&self.env.daemon, &self.second]
    }

    /// Requests a stream whose prompt has a part between a usual one and one of its own.
    fn stream(&self, daemon: &Daemon, part: &str) -> u16 {
        let number = self.sent.replace(self.sent.get() + 1);
        let path = format!("/chat/{number}");
        self.stream_from(daemon, &path, part).status
    }

    fn stream_from(&self, daemon: &Daemon, path: &str, part: &str) -> Response {
        let number = self.sent.get();
        let headers = [
            "X-Model: m",
            "X-Token-Count: 100,20",
            &format!("X-Prompt-Prefix: 5a5e:40,{part}:60,{number:x}00:10"),
        ];
        self.env.call_at(daemon, "POST", path, &headers, "{}")
    }

    /// Returns the head that is at work on a paced stream, once there is one.
    fn await_busy_head(heads: &[Arc<Runner>]) -> Arc<Runner> {
        let is_busy = |head: &&Arc<Runner>| {
            !head.crashes.is_down() && head.runs().iter().any(|run| run.end.is_none())
        };
        wait_until("a head is at work", || {
            heads.iter().any(|head| is_busy(&head))
        });
        let busy = heads.iter().find(is_busy);
        busy.expect("a head is at work").clone()
    }

    fn crashes(&self) -> usize {
        self.heads.iter().map(|head| head.crashes.count()).sum()
    }

    /// Returns the number of requests with the bad part that have reached runners.
    fn bad_requests(&self) -> usize {
        let requests = self.heads.iter().flat_map(|head| head.requests());
        requests
            .filter(|request| {
                let prompt = request.header("x-prompt-prefix");
                prompt.is_some_and(|prompt| prompt.contains(BAD))
            })
            .count()
    }

    /// Sends requests with the bad part to both daemons in turn, until both refuse them.
    fn await_refusals(&self) {
        let mut refused = 0;
        while refused < 4 && self.crashes() <= MAX_CRASHES {
            let daemon = self.daemons()[self.sent.get() % 2];
            refused = match self.stream(daemon, BAD) {
                503 => refused + 1,
                _ => 0,
            };
            for daemon in self.daemons() {
                self.stream(daemon, "900d");
            }
            thread::sleep(PAUSE);
        }
    }
}

// Each such request crashed two heads, whichever daemon it came to, as long as there were any.
#[test]
fn requests_with_part_that_crashes_runners_are_refused_by_all_daemons() {
    let fleet = Fleet::start();
    fleet.await_refusals();
    assert!(
        fleet.crashes() <= MAX_CRASHES,
        "{} crashes",
        fleet.crashes()
    );
    let before = fleet.bad_requests();
    for daemon in fleet.daemons() {
        assert!((0..REQUESTS).all(|_| fleet.stream(daemon, BAD) == 503));
    }
    assert_eq!(fleet.bad_requests(), before);
}

// Sound requests share their caller and all other parts with those that crash runners.
#[test]
fn sound_requests_are_served_beside_refused_ones() {
    let fleet = Fleet::start();
    fleet.await_refusals();
    fleet.await_service();
    for daemon in fleet.daemons() {
        for _ in 0..REQUESTS {
            assert_eq!(fleet.stream(daemon, BAD), 503);
            assert_eq!(fleet.stream(daemon, "900d"), 200);
            assert_eq!(fleet.stream(daemon, "50d4"), 200, "a part not seen before");
        }
    }
}

#[test]
fn daemon_that_starts_later_refuses_part_that_has_crashed_runners() {
    let fleet = Fleet::start();
    fleet.await_refusals();
    let before = fleet.bad_requests();
    let third = fleet.env.start_daemon("d3");
    fleet.env.eventually("the third daemon serves", |_| {
        fleet.stream(&third, "900d") == 200
    });
    assert!((0..REQUESTS).all(|_| fleet.stream(&third, BAD) == 503));
    assert_eq!(fleet.bad_requests(), before);
}

// It had used up its two runs on heads that others crashed.
#[test]
fn sound_stream_outlives_crashes_of_two_heads() {
    let fleet = Fleet::start();
    let heads = fleet.heads.clone();
    let crashes = thread::spawn(move || {
        for _ in 0..2 {
            let busy = Fleet::await_busy_head(&heads);
            thread::sleep(PAUSE);
            busy.crash();
        }
    });
    let path = "/chat/x?events=40&pause_ms=50";
    let response = fleet.stream_from(&fleet.env.daemon, path, "900d");
    crashes.join().expect("both heads have crashed");
    assert_eq!(response.status, 200);
    assert!(response.is_complete);
}

// The run at a crashed runner was left out of the count that also says whether a request has run.
#[test]
fn request_that_may_have_run_on_crashed_runner_is_not_refused_as_not_run() {
    let env = TestEnv::start();
    let runners = env.plain_runners.clone();
    let crash = thread::spawn(move || {
        let busy = Fleet::await_busy_head(&runners);
        busy.crash();
    });
    let response = env.call("POST", "/once/x?delay_ms=3000", &[], "");
    crash.join().expect("the runner has crashed");
    assert_eq!(response.status, 502);
}
