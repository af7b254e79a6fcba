//! Responses whose heads are invalid: the status isn't a three-digit number from 100 on, or the name of a header
//! holds a byte that isn't allowed there.

use super::{client::Response, env::TestEnv, runner::Behavior};

/// Texts in place of a status.
const INVALID_STATUSES: [&str; 14] = [
    "000", "001", "099", "0", "00", "20", "2000", "0200", "-20", "+20", "2 0", "2x0", "\u{b2}00",
    "",
];

/// Lines in place of a header.
const INVALID_LINES: [&str; 20] = [
    "Odd Name: 1",
    "Odd : 1",
    "Odd\t: 1",
    " Odd: 1",
    "\tOdd: 1",
    "Odd\u{0}Name: 1",
    "Odd\u{1}Name: 1",
    "Odd\u{b}Name: 1",
    "Odd\u{1b}Name: 1",
    "Odd\u{7f}Name: 1",
    "Odd\rName: 1",
    "Odd(Name: 1",
    "Odd\"Name: 1",
    "Odd\u{e9}Name: 1",
    "Odd",
    ": 1",
    "Content Length: 3",
    "Content-Length : 3",
    "Transfer-Encoding : chunked",
    "X-Response-Stamp : other",
];

/// Rest of a response, by where the invalid line stands in its head.
const HEADS: [&str; 3] = [
    "{line}\r\n{own}Content-Length: 5\r\n\r\nusual",
    "{own}{line}\r\nContent-Length: 5\r\n\r\nusual",
    "{own}Content-Length: 5\r\n{line}\r\n\r\nusual",
];

/// The same for a body that ends with the connection.
const UNFRAMED_HEAD: &str = "{own}{line}\r\n\r\nusual";

/// Statuses of responses with invalid lines; one of them states that the request has not run.
const STATUS_LINES: [&str; 4] = [
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 500 Failed\r\n",
    "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nRetry-After: 1\r\n",
    "HTTP/1.1 103 Early Hints\r\n",
];

/// Distance between two responses that let a request be sent again: there is a budget for that.
const RETRIED_STEP: usize = 5;

/// Returns all responses with an invalid head.
fn invalid_responses() -> Vec<String> {
    let with_status = |status: &&str| {
        let head = "{own}Content-Length: 5\r\n\r\nusual";
        ["HTTP/1.1", "HTTP/1.0"].map(|version| format!("{version} {status} Odd\r\n{head}"))
    };
    let mut responses: Vec<String> = INVALID_STATUSES.iter().flat_map(with_status).collect();
    for line in INVALID_LINES {
        for status_line in STATUS_LINES {
            let heads = HEADS.iter().chain([&UNFRAMED_HEAD]);
            let rests = heads.map(|head| head.replace("{line}", line));
            responses.extend(rests.map(|rest| format!("{status_line}{rest}")));
        }
    }
    responses
}

impl TestEnv {
    /// Sends a request to a runner that responds in this way, whichever gets it.
    fn call_answered_by(&self, path: &str, text: &str) -> Response {
        let runners = || self.plain_runners.iter().chain(&self.heads);
        for runner in runners() {
            runner.enqueue(Behavior::Raw(text.to_owned()));
        }
        let response = match path {
            "/chat/x" => self.stream(&[]),
            _ => self.call("POST", path, &[], "{}"),
        };
        runners().for_each(|runner| runner.clear_script());
        response
    }
}

/// Guards against heads that are passed on, with the invalid line or without it, and against bodies that
/// are framed by a line which is no header.
#[test]
fn response_with_invalid_head_is_not_passed_on() {
    let env = TestEnv::start();
    for text in invalid_responses() {
        for path in ["/once/x", "/read/x", "/chat/x"] {
            let response = env.call_answered_by(path, &text);
            let case = format!("{path} {text:?}: {response:?}");
            // A request that may run once is not said to have not run.
            assert!([502, 504].contains(&response.status), "{case}");
            let is_passed_on = response.head.contains("odd") || response.head.contains("stamp");
            assert!(!is_passed_on && response.body.is_empty(), "{case}");
        }
    }
}

/// An idempotent request goes to another runner.
#[test]
fn idempotent_request_is_served_elsewhere_after_invalid_head() {
    let env = TestEnv::start();
    for text in invalid_responses().into_iter().step_by(RETRIED_STEP) {
        env.plain_runners[0].enqueue(Behavior::Raw(text.clone()));
        let response = env.call("POST", "/read/x", &[], "{}");
        env.plain_runners[0].clear_script();
        let answer = (response.status, response.body.as_str());
        assert_eq!(answer, (200, "usual"), "{text:?}");
    }
}
