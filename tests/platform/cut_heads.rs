//! Responses that end in the middle of their heads, as callers see them.

use super::{
    behavior::{Behavior, Framing},
    client::Response,
    env::TestEnv,
};

/// Headers of a fake runner's own response, as long as the real ones.
const OWN_HEADERS: &str = "X-Request-Id: r1\r\nX-Response-Stamp: of-p1\r\n";

/// Methods of requests, with whether their responses have bodies.
const METHODS: [(&str, bool); 7] = [
    ("GET", true),
    ("HEAD", false),
    ("POST", true),
    ("PUT", true),
    ("PATCH", true),
    ("DELETE", true),
    ("OPTIONS", true),
];

/// Distance between two cuts of the methods other than the first.
const CUT_STEP: usize = 9;

/// Returns the length of a response's head.
fn head_length(framing: Framing) -> usize {
    framing.response(OWN_HEADERS, true).1
}

/// Asserts that a response is the whole one, or is no success.
fn check(response: &Response, has_body: bool, case: &str) {
    if !(200..300).contains(&response.status) {
        let is_failure = [502, 503, 504].contains(&response.status);
        return assert!(is_failure, "{case}: {response:?}");
    }
    let expected = if has_body { "usual" } else { "" };
    assert_eq!(response.body, expected, "{case}: {response:?}");
    let stated = response
        .head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let is_framed = stated.is_none_or(|length| !has_body || length == "5");
    assert!(is_framed && response.is_complete, "{case}: {response:?}");
}

/// Cuts the heads of responses to requests under a path, after each of these lengths.
fn check_cuts<I>(
    env: &TestEnv,
    path: &str,
    framing: Framing,
    (method, has_body): (&str, bool),
    cuts: I,
) where
    I: Iterator<Item = usize>,
{
    for length in cuts {
        for runner in &env.plain_runners {
            runner.clear_script();
            runner.enqueue(Behavior::CutOff { framing, length });
        }
        let response = env.call(method, &format!("{path}{length}"), &[], "");
        let case = format!("{method} {path}, {framing:?}, cut after {length} bytes");
        check(&response, has_body, &case);
        if path == "/once/" {
            assert_ne!(response.status, 503, "it may have run: {case}");
        }
    }
}

/// Guards against a success that isn't whole: elsewhere a runner stopped in the middle of its head,
/// and callers got an empty body framed as complete.
#[test]
fn response_cut_in_its_head_is_no_success() {
    let env = TestEnv::start();
    let framings = [Framing::Length, Framing::Chunked, Framing::Connection];
    for framing in framings {
        for path in ["/read/", "/once/"] {
            let all = 0..head_length(framing);
            check_cuts(&env, path, framing, METHODS[0], all.clone());
            for method in &METHODS[1..] {
                check_cuts(&env, path, framing, *method, all.clone().step_by(CUT_STEP));
            }
        }
    }
}

/// The same for bodies whose ends are known.
#[test]
fn response_cut_in_its_body_is_no_success() {
    let env = TestEnv::start();
    for framing in [Framing::Length, Framing::Chunked] {
        let (whole, head) = framing.response(OWN_HEADERS, true);
        for path in ["/read/", "/once/"] {
            check_cuts(&env, path, framing, METHODS[0], head..whole.len());
        }
    }
}

/// Guards against a stream that looks complete and is not, or has events of two runs: its head or
/// its events were cut, and another runner goes on.
#[test]
fn stream_cut_in_its_head_is_whole_or_no_success() {
    let env = TestEnv::start();
    let (whole, _) = Framing::Events.response(OWN_HEADERS, true);
    for length in 0..whole.len() {
        env.heads[0].clear_script();
        env.heads[0].enqueue(Behavior::CutOff {
            framing: Framing::Events,
            length,
        });
        env.heads[0].enqueue(Behavior::Events {
            last: 2,
            is_complete: true,
        });
        let response = env.stream(&[]);
        let case = format!("cut after {length} bytes: {response:?}");
        if response.status != 200 {
            assert!([502, 503, 504].contains(&response.status), "{case}");
            continue;
        }
        let events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
        let is_whole = response.is_complete && response.body == events;
        let is_broken_off = !response.is_complete && events.starts_with(&response.body);
        assert!(is_whole || is_broken_off, "{case}");
    }
}
