//! Responses of runners in trouble that come without end.

use super::{
    client::Response,
    config::API_KEY,
    env::{Daemon, TestEnv},
    memory::MEMORY_LIMIT,
    runner::Behavior,
    trouble::{Endless, chunk, kilobyte},
};
use std::{
    io::Write as _,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);

/// Requests at once in the tests of memory.
const MANY_REQUESTS: usize = 60;

/// Pause after a block of each of many responses, which together fill a link of 1 Gbit/s.
const SHARE_PAUSE: Duration = Duration::from_millis(31);

/// Heads that don't end, or come too slowly.
const HEADS: [Endless; 7] = [
    Endless::new("garbage", "", |_| kilobyte()),
    Endless::new("reason", "HTTP/1.1 200 O", |_| kilobyte()),
    Endless::new("header", "HTTP/1.1 200 OK\r\n{own}X-Long: ", |_| kilobyte()),
    Endless::new("headers", "HTTP/1.1 200 OK\r\n{own}", |n| {
        format!("X-H{n}: {n}\r\n")
    }),
    Endless::new("interim", "", |_| {
        "HTTP/1.1 100 Continue\r\n\r\n".to_owned()
    }),
    Endless::new("hints", "", |n| {
        format!("HTTP/1.1 103 Early Hints\r\nLink: <{n}>\r\n\r\n")
    }),
    Endless::new("drip", "HTTP/1.1 200 OK\r\n{own}X-Slow: ", |_| {
        "x".to_owned()
    })
    .dripping(Duration::from_millis(20)),
];

/// Heads that take most time or memory.
const COSTLY_HEADS: [Endless; 3] = [HEADS[2], HEADS[4], HEADS[6]];

/// Successes whose body doesn't end.
const BODIES: [Endless; 6] = [
    Endless::new(
        "chunks",
        "HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n",
        |_| chunk(&kilobyte().repeat(64)),
    ),
    Endless::new("no length", "HTTP/1.1 200 OK\r\n{own}\r\n", |_| kilobyte()),
    Endless::new(
        "long length",
        "HTTP/1.1 200 OK\r\n{own}Content-Length: 1099511627776\r\n\r\n",
        |_| kilobyte(),
    ),
    Endless::new(
        "chunk extension",
        "HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n5;",
        |_| kilobyte(),
    ),
    Endless::new(
        "trailers",
        "HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n5\r\nusual\r\n0\r\n",
        |n| format!("X-T{n}: {n}\r\n"),
    ),
    Endless::new(
        "dripped body",
        "HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n",
        |_| chunk("x"),
    )
    .dripping(Duration::from_millis(20)),
];

/// Statement that a request has not run, with a body that doesn't end.
const DECLINES: [Endless; 2] = [
    Endless::new(
        "full",
        "HTTP/1.1 503 Full\r\n{own}X-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        |_| chunk(&kilobyte()),
    ),
    Endless::new(
        "misdirected",
        "HTTP/1.1 421 Misdirected\r\n{own}\r\n",
        |_| kilobyte(),
    ),
];

/// Failure with a body that doesn't end.
const FAILURE: Endless = Endless::new(
    "failure",
    "HTTP/1.1 500 Failed\r\n{own}Transfer-Encoding: chunked\r\n\r\n",
    |_| chunk(&kilobyte()),
);

/// Whole response that is followed by bytes without end.
const FOLLOWED: Endless = Endless::new(
    "followed",
    "HTTP/1.1 200 OK\r\n{own}Content-Length: 5\r\n\r\nusual",
    |_| "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad".to_owned(),
);

/// Start of a stream's response.
const STREAM_START: &str = "HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\n\
                            Transfer-Encoding: chunked\r\n\r\n";

/// Streams without end that bring no event which the caller could count on.
const EMPTY_STREAMS: [Endless; 3] = [
    Endless::new("open event", STREAM_START, |_| chunk(&kilobyte())),
    Endless::new("comment lines", STREAM_START, |_| {
        chunk(&": alive\n".repeat(128))
    }),
    Endless::new("comments", STREAM_START, |_| {
        chunk(&": alive\n\n".repeat(128))
    }),
];

/// Numbered events without end.
const EVENTS: Endless = Endless::new("events", STREAM_START, |n| {
    chunk(&format!("id: {n}\ndata: e{n}\n\n"))
});

/// Whole stream that is followed by bytes without end.
const FOLLOWED_STREAM: Endless = Endless::new(
    "followed stream",
    "HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
     e\r\nid: 1\ndata: e\n\r\n1\r\n\n\r\n0\r\n\r\n",
    |_| kilobyte(),
);

/// Large numbered events without end.
const LARGE_EVENTS: Endless = Endless::new("large events", STREAM_START, |n| {
    chunk(&format!("id: {n}\ndata: {}\n\n", "x".repeat(900 << 10)))
});

impl TestEnv {
    fn troubles_started(&self) -> usize {
        let runners = self.plain_runners.iter().chain(&self.heads);
        runners.map(|runner| runner.troubles.started()).sum()
    }

    fn troubles_open(&self) -> usize {
        let runners = self.plain_runners.iter().chain(&self.heads);
        runners.map(|runner| runner.troubles.open()).sum()
    }

    /// Returns the number of requests that all runners have received.
    fn received(&self) -> usize {
        let runners = self.plain_runners.iter().chain(&self.heads);
        runners.map(|runner| runner.requests().len()).sum()
    }

    /// Asserts that the daemon lets go of all endless responses and goes on serving.
    fn check_recovered(&self, case: &str) {
        self.eventually(&format!("connections are closed: {case}"), |env| {
            env.troubles_open() == 0
        });
        let response = self.call("GET", "/read/x", &[], "");
        assert_eq!((response.status, response.body.as_str()), (200, "usual"));
        let peak = self.daemon.peak_memory();
        assert!(peak < MEMORY_LIMIT, "{case}: {} MiB", peak >> 20);
    }

    /// Sends idempotent requests until one has met the trouble of the first runner.
    fn check_served_elsewhere(&self, trouble: Endless) {
        let before = self.received();
        let started = self.troubles_started();
        let mut requests = 0;
        self.plain_runners[0].enqueue(Behavior::Endless(trouble));
        while self.troubles_started() == started {
            let response = self.call("GET", "/read/x", &[], "");
            requests += 1;
            assert_eq!(
                (response.status, response.body.as_str()),
                (200, "usual"),
                "{}",
                trouble.name
            );
        }
        assert_eq!(self.received() - before, requests + 1, "{}", trouble.name);
        self.check_recovered(trouble.name);
    }

    /// Sends a request that may run once to a runner in trouble.
    fn check_failed_once(&self, trouble: Endless) {
        let before = self.received();
        let started = Instant::now();
        let response = self.call_troubled("/once/x", trouble);
        let name = trouble.name;
        assert!(started.elapsed() < 2 * ROUTE_TIMEOUT, "{name}");
        assert!(matches!(response.status, 502 | 504), "{name}: {response:?}");
        assert!(!response.head.contains("x-response-stamp"), "{name}");
        assert_eq!(self.received() - before, 1, "{name}");
        self.check_recovered(name);
    }

    /// Sends a request that meets a trouble, whichever plain runner it goes to first.
    fn call_troubled(&self, path: &str, trouble: Endless) -> Response {
        self.plain_runners
            .iter()
            .for_each(|runner| runner.enqueue(Behavior::Endless(trouble)));
        let response = self.call("POST", path, &[], "{}");
        self.plain_runners
            .iter()
            .for_each(|runner| runner.clear_script());
        response
    }

    /// Sends many requests at once, of which each meets a trouble at its runner.
    fn call_many_troubled(&self, path: &str, trouble: Endless) -> Vec<Response> {
        for runner in &self.plain_runners {
            (0..MANY_REQUESTS).for_each(|_| runner.enqueue(Behavior::Endless(trouble)));
        }
        let responses = thread::scope(|scope| {
            let calls =
                (0..MANY_REQUESTS).map(|_| scope.spawn(|| self.call("POST", path, &[], "")));
            let calls: Vec<_> = calls.collect();
            let responses = calls.into_iter().map(|call| call.join().expect("called"));
            responses.collect()
        });
        self.plain_runners
            .iter()
            .for_each(|runner| runner.clear_script());
        responses
    }
}

fn event_ids(body: &str) -> Vec<u64> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().expect("an id")).collect()
}

/// Sends a request for a stream and reads nothing of the response.
fn open_unread_stream(daemon: &Daemon) -> TcpStream {
    let mut stream = TcpStream::connect(daemon.caller_address).expect("the daemon listens");
    let request = format!(
        "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 4000\r\n\
         X-Model: m\r\nX-Token-Count: 100,20\r\nAuthorization: Bearer {API_KEY}\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).expect("sent");
    stream
}

#[test]
fn idempotent_request_leaves_endless_head() {
    let env = TestEnv::start();
    HEADS
        .into_iter()
        .for_each(|trouble| env.check_served_elsewhere(trouble));
}

#[test]
fn idempotent_request_leaves_endless_body() {
    let env = TestEnv::start();
    BODIES
        .into_iter()
        .for_each(|trouble| env.check_served_elsewhere(trouble));
    env.check_served_elsewhere(FAILURE);
    DECLINES
        .into_iter()
        .for_each(|trouble| env.check_served_elsewhere(trouble));
}

#[test]
fn other_request_with_endless_head_fails_and_runs_once() {
    let env = TestEnv::start();
    HEADS
        .into_iter()
        .for_each(|trouble| env.check_failed_once(trouble));
}

#[test]
fn other_request_with_endless_body_fails_and_runs_once() {
    let env = TestEnv::start();
    BODIES
        .into_iter()
        .for_each(|trouble| env.check_failed_once(trouble));
    env.check_failed_once(FAILURE);
}

#[test]
fn endless_refusal_sends_request_elsewhere() {
    let env = TestEnv::start();
    for trouble in DECLINES {
        let started = env.troubles_started();
        env.plain_runners[0].enqueue(Behavior::Endless(trouble));
        while env.troubles_started() == started {
            let response = env.call("POST", "/once/x", &[], "{}");
            assert_eq!(response.status, 200, "{}", trouble.name);
        }
        env.check_recovered(trouble.name);
    }
}

#[test]
fn bytes_after_whole_response_reach_nobody() {
    let env = TestEnv::start();
    let response = env.call_troubled("/once/x", FOLLOWED);
    assert_eq!((response.status, response.body.as_str()), (200, "usual"));
    env.check_recovered(FOLLOWED.name);
    env.heads[0].enqueue(Behavior::Endless(FOLLOWED_STREAM));
    let response = env.stream(&[]);
    assert_eq!((response.status, event_ids(&response.body)), (200, vec![1]));
    assert!(response.is_complete && !response.body.contains("xx"));
    env.check_recovered(FOLLOWED_STREAM.name);
}

#[test]
fn repeated_trouble_stays_within_attempts() {
    let env = TestEnv::start();
    for trouble in [HEADS[0], HEADS[4], BODIES[0]] {
        let before = env.received();
        let response = env.call_troubled("/read/x", trouble);
        assert!(matches!(response.status, 502 | 504), "{response:?}");
        assert!(env.received() - before <= 2, "{}", trouble.name);
        env.check_recovered(trouble.name);
    }
}

#[test]
fn stream_resumes_after_endless_bytes() {
    let env = TestEnv::start();
    for trouble in EMPTY_STREAMS.into_iter().chain(HEADS) {
        let before = env.received();
        env.heads[0].enqueue(Behavior::Endless(trouble));
        env.heads[0].enqueue(Behavior::Events {
            last: 3,
            is_complete: true,
        });
        let response = env.stream(&[]);
        let name = trouble.name;
        assert_eq!(response.status, 200, "{name}");
        assert_eq!(event_ids(&response.body), [1, 2, 3], "{name}");
        assert!(response.is_complete, "{name}");
        assert_eq!(env.received() - before, 2, "{name}");
        env.check_recovered(name);
    }
}

#[test]
fn endless_events_end_incomplete_at_timeout() {
    let env = TestEnv::start();
    env.heads[0].enqueue(Behavior::Endless(EVENTS));
    let started = Instant::now();
    let response = env.stream(&[]);
    assert!(started.elapsed() < 2 * ROUTE_TIMEOUT);
    assert!(!response.is_complete);
    let ids = event_ids(&response.body);
    assert!(ids.iter().copied().eq(1..=ids.len() as u64));
    env.check_recovered(EVENTS.name);
}

#[test]
fn many_endless_heads_stay_within_memory() {
    let env = TestEnv::start();
    for trouble in COSTLY_HEADS {
        let responses = env.call_many_troubled("/read/x", trouble.paced(SHARE_PAUSE));
        assert!(responses.iter().all(|response| response.status >= 500));
        env.check_recovered(trouble.name);
    }
}

// Each response was buffered up to 16 MiB, so that a few dozen exceeded the process's memory.
#[test]
fn many_endless_bodies_stay_within_memory() {
    let env = TestEnv::start();
    for trouble in BODIES.into_iter().chain([FAILURE]) {
        let responses = env.call_many_troubled("/once/x", trouble.paced(SHARE_PAUSE));
        assert!(responses.iter().all(|response| response.status >= 500));
        env.check_recovered(trouble.name);
    }
}

#[test]
fn many_endless_events_stay_within_memory() {
    let env = TestEnv::start();
    for trouble in EMPTY_STREAMS.into_iter().chain([LARGE_EVENTS]) {
        (0..MANY_REQUESTS).for_each(|_| env.heads[0].enqueue(Behavior::Endless(trouble)));
        let callers: Vec<TcpStream> = (0..MANY_REQUESTS)
            .map(|_| open_unread_stream(&env.daemon))
            .collect();
        thread::sleep(ROUTE_TIMEOUT);
        let peak = env.daemon.peak_memory();
        assert!(peak < MEMORY_LIMIT, "{}: {} MiB", trouble.name, peak >> 20);
        drop(callers);
        env.heads[0].clear_script();
        env.check_recovered(trouble.name);
    }
}
