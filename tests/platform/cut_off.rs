//! A daemon that is cut off from all runners, while callers, the store and a peer reach it.

use super::{
    client::Response,
    env::{Daemon, DaemonSettings, TestEnv},
    http::RecordedRequest,
    link::{Cut, Link, cut_all, serve_store_view},
};
use nix::sys::signal::Signal;
use std::{thread, time::Duration};

/// Requests of each kind whose outcome is counted.
const REQUESTS: usize = 12;

/// Time for a daemon to notice that it is cut off.
const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Daemon that reaches the runners through links, beside one that reaches them directly.
struct Fleet {
    env: TestEnv,
    links: Vec<Link>,
    cut_off: Daemon,
}

impl Fleet {
    fn start() -> Self {
        let env = TestEnv::start();
        let runners = env.plain_runners.iter().chain(&env.heads);
        let links: Vec<Link> = runners
            .map(|runner| Link::start(runner.address()))
            .collect();
        let view = serve_store_view(env.store.clone(), &links);
        let settings = DaemonSettings::new("d2", view);
        let cut_off = env.start_daemon_with(settings);
        let fleet = Self {
            env,
            links,
            cut_off,
        };
        fleet.await_links();
        fleet
    }

    /// Waits until the daemon uses all its links.
    fn await_links(&self) {
        let before: Vec<usize> = self.links.iter().map(Link::connections).collect();
        self.env.eventually("all links are used", |_| {
            self.read(0);
            self.stream("/chat/x");
            let now = self.links.iter().map(Link::connections);
            now.zip(&before).all(|(now, before)| now > *before)
        });
    }

    fn cut(&self, cut: Cut) {
        cut_all(&self.links, cut);
    }

    fn read(&self, number: usize) -> Response {
        let path = format!("/read/{number}");
        self.env.call_at(&self.cut_off, "GET", &path, &[], "")
    }

    fn once(&self, number: usize) -> Response {
        let path = format!("/once/{number}");
        self.env.call_at(&self.cut_off, "POST", &path, &[], "")
    }

    fn stream(&self, path: &str) -> Response {
        let headers = ["X-Model: m", "X-Token-Count: 100,20"];
        self.env
            .call_at(&self.cut_off, "POST", path, &headers, "{}")
    }

    /// Sends requests of all kinds and returns the number of those that are served whole.
    fn count_served(&self) -> usize {
        let served = |response: &Response| response.status == 200 && response.is_complete;
        let all = (0..REQUESTS).flat_map(|number| {
            let path = format!("/chat/{number}?events=3&pause_ms=20");
            [self.read(number), self.once(number), self.stream(&path)]
        });
        all.filter(served).count()
    }

    /// Returns the requests with a request line that have reached plain runners.
    fn plain_requests(&self, line: &str) -> Vec<RecordedRequest> {
        let runners = self.env.plain_runners.iter();
        let requests = runners.flat_map(|runner| runner.requests());
        requests
            .filter(|request| request.request_line == line)
            .collect()
    }

    /// Returns how often each request that may run once has reached runners.
    fn once_runs(&self, number: usize) -> usize {
        let line = format!("POST /once/{number} HTTP/1.1");
        self.plain_requests(&line).len()
    }

    fn check_served(&self) {
        thread::sleep(NOTICE_TIME);
        let (served, all) = (self.count_served(), 3 * REQUESTS);
        assert!(3 * served >= 2 * all, "{served} of {all} served");
        for number in 0..REQUESTS {
            let runs = self.once_runs(number);
            assert!(runs <= 1, "request {number} ran {runs} times");
        }
    }
}

// It tried one runner after the other, and refused its callers.
#[test]
fn daemon_that_is_refused_by_all_runners_serves_its_callers() {
    let fleet = Fleet::start();
    fleet.cut(Cut::Refused);
    fleet.check_served();
}

#[test]
fn daemon_whose_connections_to_all_runners_hang_serves_its_callers() {
    let fleet = Fleet::start();
    fleet.cut(Cut::Hanging);
    fleet.check_served();
}

#[test]
fn daemon_serves_its_callers_while_only_open_connections_live_on() {
    let fleet = Fleet::start();
    let requests = fleet.env.heads.iter().map(|head| head.requests().len());
    let before: usize = requests.sum();
    thread::scope(|scope| {
        let stream = scope.spawn(|| fleet.stream("/chat/x?events=60&pause_ms=50"));
        fleet.env.eventually("the stream is at a head", |env| {
            let requests = env.heads.iter().map(|head| head.requests().len());
            requests.sum::<usize>() > before
        });
        fleet.cut(Cut::NewRefused);
        fleet.check_served();
        check_events(&stream.join().expect("a response"), 60);
    });
}

/// Checks that a stream is complete and has each event once.
fn check_events(response: &Response, last: usize) {
    assert_eq!(response.status, 200);
    assert!(response.is_complete);
    let mut ids = (1..=last).map(|id| format!("id: {id}\n"));
    assert!(ids.all(|id| response.body.matches(&id).count() == 1));
}

#[test]
fn stream_that_began_before_the_cut_goes_on() {
    let fleet = Fleet::start();
    thread::scope(|scope| {
        let stream = scope.spawn(|| fleet.stream("/chat/x?events=40&pause_ms=50"));
        thread::sleep(Duration::from_millis(500));
        fleet.cut(Cut::Refused);
        check_events(&stream.join().expect("a response"), 40);
    });
}

#[test]
fn daemon_uses_runners_again_after_the_cut() {
    let fleet = Fleet::start();
    fleet.cut(Cut::Refused);
    thread::sleep(NOTICE_TIME);
    fleet.count_served();
    fleet.links.iter().for_each(Link::restore);
    fleet.await_links();
}

// Three runners in a row that had crashed passed for a cut from all, and requests went to a peer.
#[test]
fn daemon_that_reaches_one_runner_of_four_is_not_cut_off() {
    let fleet = Fleet::start();
    let lost = &fleet.env.plain_runners[0];
    let address = fleet.env.plain_runners[1].address();
    let others = fleet.links.iter().filter(|link| !link.leads_to(address));
    others.for_each(|link| link.cut(Cut::Refused));
    let before = lost.requests().len();
    for number in 0..REQUESTS {
        fleet.stream("/chat/x");
        assert_eq!(fleet.read(number).status, 200);
    }
    assert_eq!(lost.requests().len(), before, "only the peer reaches it");
}

// A request that nobody can serve must not go round between daemons that ask each other.
#[test]
fn request_is_refused_as_not_run_if_all_daemons_are_cut_off() {
    let fleet = Fleet::start();
    let view = serve_store_view(fleet.env.store.clone(), &fleet.links);
    let third = fleet.env.start_daemon_with(DaemonSettings::new("d3", view));
    fleet.env.eventually("the third daemon serves", |env| {
        env.call_at(&third, "GET", "/read/x", &[], "").status == 200
    });
    fleet.env.terminate();
    fleet.cut(Cut::Refused);
    thread::sleep(NOTICE_TIME);
    let before = fleet
        .env
        .plain_runners
        .iter()
        .map(|runner| runner.requests().len());
    let before: usize = before.sum();
    for number in 0..REQUESTS {
        assert_eq!(fleet.once(number).status, 503);
    }
    let after = fleet
        .env
        .plain_runners
        .iter()
        .map(|runner| runner.requests().len());
    assert_eq!(after.sum::<usize>(), before);
}

#[test]
fn request_of_a_cut_off_daemon_reaches_runners_like_any_other() {
    let fleet = Fleet::start();
    fleet.cut(Cut::Refused);
    assert_eq!(fleet.once(7).status, 200);
    let requests = fleet.plain_requests("POST /once/7 HTTP/1.1");
    let [request] = requests.as_slice() else {
        panic!("{} requests", requests.len());
    };
    let header = |name| request.header(name).unwrap_or_default().to_owned();
    let timeout_ms: u64 = header("x-deadline-ms").parse().expect("a number");
    assert!(timeout_ms <= 4_000, "{timeout_ms} ms");
    assert_eq!(header("x-tenant"), "first");
    assert_eq!(header("x-request-id"), "r1");
    assert_eq!(header("authorization"), "");
    assert_eq!(header("x-relay-runs"), "");
}

// Whoever took it may have sent it to a runner before it was killed.
#[test]
fn request_that_a_killed_peer_had_taken_runs_at_most_once() {
    let fleet = Fleet::start();
    fleet.cut(Cut::Refused);
    let line = "POST /once/x?delay_ms=3000 HTTP/1.1";
    thread::scope(|scope| {
        let response = scope.spawn(|| {
            let path = "/once/x?delay_ms=3000";
            fleet.env.call_at(&fleet.cut_off, "POST", path, &[], "")
        });
        fleet.env.eventually("the request runs", |_| {
            !fleet.plain_requests(line).is_empty()
        });
        fleet.env.daemon.signal(Signal::SIGKILL);
        assert_eq!(response.join().expect("a response").status, 502);
    });
    assert_eq!(fleet.plain_requests(line).len(), 1);
}

// Nothing was repaired until the holder reached runners again.
#[test]
fn holder_of_duty_that_reaches_no_runner_hands_it_over() {
    let fleet = Fleet::start();
    let third = fleet.env.start_daemon("d3");
    let holds_duty = |daemon: &Daemon| daemon.metric("hickoryledge_duty_held") == 1.0;
    fleet.env.terminate();
    fleet
        .env
        .eventually("the second daemon holds the duty", |_| {
            holds_duty(&fleet.cut_off)
        });
    fleet.cut(Cut::Refused);
    fleet
        .env
        .eventually("the third daemon holds the duty", |_| {
            fleet.read(0);
            holds_duty(&third) && !holds_duty(&fleet.cut_off)
        });
}

// A suspicion may be wrong, and a peer be gone: the daemon's own runners are tried all the same.
#[test]
fn daemon_without_peers_serves_as_soon_as_runners_are_reached() {
    let fleet = Fleet::start();
    fleet.env.daemon.signal(Signal::SIGKILL);
    fleet.cut(Cut::Refused);
    for number in 0..4 {
        assert_eq!(fleet.once(number).status, 503);
        assert_eq!(fleet.stream("/chat/x").status, 503);
    }
    fleet.links.iter().for_each(Link::restore);
    assert_eq!(fleet.once(9).status, 200);
}
