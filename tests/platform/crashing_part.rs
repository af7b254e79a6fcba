//! A part of prompts that crashes each runner that begins to write an answer on it.

use super::{
    client::Response,
    env::{Daemon, TestEnv, wait_until},
    runner::{Runner, Script},
};
use std::{
    cell::Cell,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Part that crashes runners.
const BAD: &str = "bad0";

/// First part of prompts on which no runner has answered yet.
const NEW_PART: &str = "a1a1";

/// Crashes after which no further request with the part may reach a runner.
const MAX_CRASHES: usize = 5;

/// Requests that are sent to show that none reaches a runner.
const REQUESTS: usize = 30;

/// Pause between two requests with the part.
const PAUSE: Duration = Duration::from_millis(300);

/// Delay of a retry of a request that is refused while heads are down, and number of retries.
const RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRIES: usize = 200;

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
        Self::with_more_heads(&["h3", "h4", "h5", "h6", "h7", "h8"])
    }

    /// Starts a fleet with the environment's two heads and others.
    fn with_more_heads(names: &[&'static str]) -> Self {
        let env = TestEnv::start();
        let more = names.iter().map(|name| {
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
        let prompt = format!("5a5e:40,{part}:60,{number:x}00:10");
        request_stream(&self.env, daemon, path, &prompt)
    }

    /// Lets both daemons have sound streams with a new first part at work, and then sends one of them
    /// requests that have the bad part as well, until these streams have ended.
    fn crash_beside_new_part(&self) {
        let env = &self.env;
        let number = self.sent.replace(self.sent.get() + 1);
        let is_over = &AtomicBool::new(false);
        thread::scope(|scope| {
            for (index, daemon) in self.daemons().into_iter().enumerate() {
                let path = format!("/chat/{number}-{index}?events=40&pause_ms=50");
                let prompt = format!("{NEW_PART}:40,{number:x}0{index}:10");
                scope.spawn(move || {
                    retry(|| {
                        is_over.load(Ordering::SeqCst)
                            || request_stream(env, daemon, &path, &prompt).status != 503
                    })
                });
            }
            Self::await_busy_head(&self.heads);
            let daemon = self.daemons()[number % 2];
            retry(|| {
                self.stream_on_new_part(daemon, BAD);
                quarantined_marks(daemon) > 0.0 || !self.heads.iter().any(is_busy)
            });
            is_over.store(true, Ordering::SeqCst);
        });
    }

    /// Requests a stream whose prompt has a part between a new first one and one of its own.
    fn stream_on_new_part(&self, daemon: &Daemon, part: &str) -> u16 {
        let number = self.sent.replace(self.sent.get() + 1);
        let prompt = format!("{NEW_PART}:40,{part}:60,{number:x}00:10");
        request_stream(&self.env, daemon, &format!("/chat/{number}"), &prompt).status
    }

    /// Returns the head that is at work on a paced stream, once there is one.
    fn await_busy_head(heads: &[Arc<Runner>]) -> Arc<Runner> {
        wait_until("a head is at work", || heads.iter().any(is_busy));
        let busy = heads.iter().find(|head| is_busy(head));
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

/// Returns true if a head is at work on a paced stream.
fn is_busy(head: &Arc<Runner>) -> bool {
    !head.crashes.is_down() && head.runs().iter().any(|run| run.end.is_none())
}

/// Repeats what is refused while heads are down, until it succeeds or retries are used up.
fn retry<F>(mut succeeds: F)
where
    F: FnMut() -> bool,
{
    for _ in 0..MAX_RETRIES {
        if succeeds() {
            return;
        }
        thread::sleep(RETRY_DELAY);
    }
}

fn quarantined_marks(daemon: &Daemon) -> f64 {
    daemon.metric("hickoryledge_quarantined_marks")
}

/// Requests a stream on a prompt.
fn request_stream(env: &TestEnv, daemon: &Daemon, path: &str, prompt: &str) -> Response {
    let headers = [
        "X-Model: m",
        "X-Token-Count: 100,20",
        &format!("X-Prompt-Prefix: {prompt}"),
    ];
    env.call_at(daemon, "POST", path, &headers, "{}")
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

// All heads crash before they have answered on the first part, which all of these requests share: it
// was quarantined with the bad one.
#[test]
fn sound_requests_with_new_first_part_are_served_beside_refused_ones() {
    let fleet = Fleet::with_more_heads(&[]);
    let marks = |daemon: &Daemon| daemon.metric("hickoryledge_quarantined_marks");
    let is_quarantined = || {
        fleet
            .daemons()
            .into_iter()
            .all(|daemon| marks(daemon) > 0.0)
    };
    while !is_quarantined() && fleet.crashes() <= 2 * MAX_CRASHES {
        fleet.crash_beside_new_part();
    }
    for daemon in fleet.daemons() {
        assert_eq!(quarantined_marks(daemon), 1.0);
        fleet.env.eventually("sound requests are served", |_| {
            (0..REQUESTS).all(|_| fleet.stream_on_new_part(daemon, "50d4") == 200)
        });
        assert_eq!(fleet.stream_on_new_part(daemon, BAD), 503);
    }
}

// Such a crash was reported only once the runner was back, and sound requests at it that were checked a
// moment later had more crashes to explain than the bad one.
#[test]
fn crash_is_reported_before_the_runner_is_back_if_its_listener_closes_last() {
    let fleet = Fleet::with_more_heads(&[]);
    fleet
        .heads
        .iter()
        .for_each(|head| head.crashes.close_listener_last());
    let daemon = &fleet.env.daemon;
    fleet.stream(daemon, BAD);
    fleet.env.eventually("the crash is reported", |_| {
        daemon.metric("hickoryledge_crashed_requests_total") > 0.0
    });
    let mut crashed = fleet.heads.iter().filter(|head| head.crashes.count() > 0);
    assert!(crashed.all(|head| head.crashes.is_down()));
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
