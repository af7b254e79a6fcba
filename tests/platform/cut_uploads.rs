//! Responses of runners that come, and end, while a long request is still being written.

use super::{
    client::Response,
    config,
    early_end::{ConnectionEnd, EarlyResponse},
    env::{TestEnv, wait_until},
};
use std::time::Duration;

/// Size of each body, which no buffers on the way take in full.
const BODY_BYTES: usize = 12 << 20;

/// Largest body that the configuration allows.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Requests of each case: a reset may fail a read or a write first.
const TRIES: usize = 6;

/// Bytes that are read before the response.
const READS: [usize; 3] = [0, 300 << 10, 1 << 20];

/// Times between the response and the reset.
const DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_micros(200),
    Duration::from_millis(20),
];

/// Success whose body ends with the connection.
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n{own}\r\nusu";

/// Successes that break off, with bodies of each framing.
const CUT_RESPONSES: [&str; 5] = [
    UNFRAMED,
    "HTTP/1.0 200 OK\r\n{own}\r\nusu",
    "HTTP/1.1 200 OK\r\n{own}\r\n",
    "HTTP/1.1 200 OK\r\n{own}Content-Length: 5\r\n\r\nusu",
    "HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n3\r\nusu\r\n",
];

/// Stream that ends with the connection, after a whole event.
const UNFRAMED_STREAM: &str =
    "HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: e1\n\n";

/// Starts the environment with a configuration that allows the bodies.
fn start() -> TestEnv {
    let env = TestEnv::start();
    config::write_with_body_limit(&env.store, 3, MAX_BODY_BYTES);
    wait_until("long bodies are allowed", || {
        send_long(&env, "/once/x").status == 200
    });
    env
}

fn send_long(env: &TestEnv, path: &str) -> Response {
    let headers = ["X-Model: m", "X-Token-Count: 100,20"];
    env.call("POST", path, &headers, &"x".repeat(BODY_BYTES))
}

/// Lets all runners respond early, or no more.
fn respond_early(env: &TestEnv, response: Option<EarlyResponse>) {
    let runners = env.plain_runners.iter().chain(&env.heads);
    runners.for_each(|runner| runner.respond_early(response));
}

/// Returns the ways in which a response may come early and be reset.
fn resets(texts: &[&'static str]) -> Vec<EarlyResponse> {
    let mut resets = Vec::new();
    for text in texts {
        for read in READS {
            let ends = DELAYS.map(ConnectionEnd::Reset);
            resets.extend(ends.map(|end| EarlyResponse { text, read, end }));
        }
    }
    resets
}

/// Asserts that a request has failed, and is not said to have not run.
fn check_failed(response: &Response, path: &str, reset: EarlyResponse) {
    let is_failure = [502, 504].contains(&response.status);
    assert!(is_failure, "{path} {reset:?}: {response:?}");
}

/// Guards against a success with a part of the body: the reset failed a write, and the reads after
/// it returned a clean EOF.
#[test]
fn response_reset_during_upload_is_no_success() {
    let env = start();
    for reset in resets(&CUT_RESPONSES) {
        respond_early(&env, Some(reset));
        for path in ["/once/x", "/read/x"].iter().cycle().take(TRIES) {
            check_failed(&send_long(&env, path), path, reset);
        }
    }
    respond_early(&env, None);
    assert_eq!(env.call("GET", "/read/x", &[], "").status, 200);
}

/// The same where nothing is left to be written.
#[test]
fn response_reset_after_short_request_is_no_success() {
    let env = TestEnv::start();
    let resets = resets(&CUT_RESPONSES).into_iter();
    for reset in resets.filter(|reset| reset.read == 0) {
        respond_early(&env, Some(reset));
        for path in ["/once/x", "/read/x"].iter().cycle().take(TRIES) {
            check_failed(&env.call("POST", path, &[], ""), path, reset);
        }
    }
}

/// An idempotent request goes to another runner.
#[test]
fn idempotent_request_is_served_elsewhere_after_reset_during_upload() {
    let env = start();
    for reset in resets(&CUT_RESPONSES) {
        env.plain_runners[0].respond_early(Some(reset));
        for _ in 0..TRIES {
            let response = send_long(&env, "/read/x");
            let answer = (response.status, response.body.as_str());
            assert_eq!(answer, (200, "usual"), "{reset:?}");
        }
    }
}

/// Guards against a stream that ends as complete after its first events.
#[test]
fn stream_reset_during_upload_is_never_complete() {
    let env = start();
    for reset in resets(&[UNFRAMED_STREAM]) {
        respond_early(&env, Some(reset));
        for _ in 0..TRIES {
            let response = send_long(&env, "/chat/x");
            let is_failure = [502, 503, 504].contains(&response.status);
            let is_cut = !response.is_complete && "id: 1\ndata: e1\n\n".starts_with(&response.body);
            assert!(is_failure || is_cut, "{reset:?}: {response:?}");
        }
    }
}

/// A runner may respond early and close its half of the connection, while it reads on.
#[test]
fn response_that_ends_with_half_close_during_upload_is_whole() {
    let env = start();
    for read in READS {
        let end = ConnectionEnd::HalfClose;
        let early = |text| EarlyResponse { text, read, end };
        respond_early(&env, Some(early(UNFRAMED)));
        for path in ["/once/x", "/read/x"].iter().cycle().take(TRIES) {
            let response = send_long(&env, path);
            let answer = (response.status, response.body.as_str());
            assert_eq!(answer, (200, "usu"), "{path}, {read} bytes read");
        }
        respond_early(&env, Some(early(UNFRAMED_STREAM)));
        let response = send_long(&env, "/chat/x");
        let answer = (response.status, response.body.as_str());
        assert_eq!(answer, (200, "id: 1\ndata: e1\n\n"), "{read} bytes read");
        assert!(response.is_complete);
    }
}
