//! Tests the HTTP client for runners against a runner with scripted responses.

use bytes::Bytes;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt as _;
use hickoryledge::{
    core::{
        ctx::Identity,
        input::{CallRequest, Failure, Input, RunnerInput, Target},
        keys::{AttemptId, Epoch, Incarnation, KeyHash},
        output::{Route, RunnerOutput},
    },
    settings::{self, Settings},
    shell::{
        calls::{Calls, ForwardedRequest, OpenCall},
        inbox::Inbox,
        runners::Runners,
    },
};
use http::{HeaderMap, Method};
use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener},
    path::Path,
    rc::Rc,
    sync::mpsc::{Receiver, channel},
    time::Duration,
};

/// Timeout of a wait for an expected event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt: 1\r\nx-epoch: 5\r\n";
const STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const PART: &str = "data: {\"offset\":0,\"tokens\":2,\"text\":\"ab\"}\n\n";
const DONE: &str = "data: [DONE]\n\n";

/// Starts a runner that serves one connection after another with the given responses and
/// closes each; returns its address and the heads of the requests that it receives.
fn start_runner(answers: Vec<String>) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener should bind");
    let address = listener.local_addr().expect("listener should be bound");
    let (heads, seen) = channel();
    std::thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().expect("connection should be accepted");
            let mut bytes = [0; 4_096];
            let length = stream.read(&mut bytes).expect("request should be readable");
            let head = String::from_utf8_lossy(&bytes[..length]).into_owned();
            let _ = heads.send(head);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    (address, seen)
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The driver for runners, and the inputs that it sends to the core.
struct Daemon {
    runners: Runners,
    calls: Rc<Calls>,
    inputs: UnboundedReceiver<Input>,
}

impl Daemon {
    fn start() -> Self {
        let (inbox, inputs) = Inbox::new();
        let calls = Rc::new(Calls::new(inbox.clone()));
        let settings = settings();
        let me = Identity {
            name: settings.name.clone(),
            incarnation: Incarnation(1),
            region: settings.region.clone(),
            hall: settings.hall.clone(),
            caller: settings.listen.caller,
            peer: settings.listen.peer,
            seeds: Vec::new(),
            secret: 1,
        };
        Self {
            runners: Runners::new(inbox, calls.clone(), &me, &settings),
            calls,
            inputs,
        }
    }

    fn open(&self) -> OpenCall {
        self.calls.open(ForwardedRequest {
            method: Method::POST,
            path: "/v1/completions".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::from_static(b"{}"),
            request: CallRequest {
                credential: KeyHash([1; 32]),
                target: Target::Service {
                    service: "desk".into(),
                },
                idempotent: true,
                ticket: None,
                idempotency_key: None,
                deadline: None,
                prompt_tokens: 0,
                max_tokens: 0,
                prefix: Vec::new(),
                relayed_by: None,
            },
        })
    }

    /// Makes attempt 1 on a group; returns its inputs up to the last one.
    async fn attempt(&mut self, address: SocketAddr) -> Vec<RunnerInput> {
        let call = self.open();
        self.runners.perform(RunnerOutput::Attempt {
            attempt: AttemptId(1),
            call: call.id,
            route: Route::Group {
                group: "g".into(),
                epoch: Epoch(5),
                host: "h".into(),
                address,
            },
            fresh: false,
            resume_at: 7,
        });
        let mut seen = Vec::new();
        loop {
            let input = compio::time::timeout(WAIT_TIMEOUT, self.inputs.next()).await;
            let Some(Input::Runner(input)) = input.expect("an input should arrive in time") else {
                continue;
            };
            seen.push(input);
            let last = seen.last();
            if matches!(
                last,
                Some(RunnerInput::Finished { .. } | RunnerInput::Failed { .. })
            ) {
                return seen;
            }
        }
    }
}

fn failure(seen: &[RunnerInput]) -> Option<&Failure> {
    match seen.last() {
        Some(RunnerInput::Failed { failure, .. }) => Some(failure),
        _ => None,
    }
}

#[compio::test]
async fn stream_is_complete_after_its_last_event() {
    let answer = format!("{HEAD}{STREAM}{}{}0\r\n\r\n", chunk(PART), chunk(DONE));
    let (address, heads) = start_runner(vec![answer]);
    let seen = Daemon::start().attempt(address).await;
    assert!(matches!(&seen[0], RunnerInput::Accepted { echo, .. }
        if echo.attempt == Some(AttemptId(1)) && echo.epoch == Some(Epoch(5))));
    assert!(
        matches!(&seen[1], RunnerInput::Chunk { offset: 0, tokens: 2, payload, .. }
        if payload.0 == PART)
    );
    assert!(matches!(&seen[2], RunnerInput::Finished { .. }));
    let head = heads
        .recv_timeout(WAIT_TIMEOUT)
        .expect("runner should receive a request");
    for line in ["x-attempt: 1", "x-group: g", "x-epoch: 5", "x-resume-at: 7"] {
        assert!(head.contains(line), "{line} in {head}");
    }
}

/// A body may end regularly or by a closed connection; without `[DONE]` the stream is incomplete.
#[compio::test]
async fn stream_without_its_last_event_is_cut() {
    let complete_body = format!("{HEAD}{STREAM}{}0\r\n\r\n", chunk(PART));
    let cut_body = format!("{HEAD}{STREAM}{}", chunk(PART));
    for answer in [complete_body, cut_body] {
        let (address, _heads) = start_runner(vec![answer]);
        let seen = Daemon::start().attempt(address).await;
        assert_eq!(failure(&seen), Some(&Failure::Cut));
    }
}

/// A body that is shorter than declared, or has no declared length, may have been cut.
#[compio::test]
async fn buffered_body_needs_its_declared_length() {
    let complete = format!("{HEAD}content-length: 2\r\n\r\nab");
    let short = format!("{HEAD}content-length: 3\r\n\r\nab");
    let endless = format!("{HEAD}\r\nab");
    let (address, _heads) = start_runner(vec![complete, short, endless]);
    let mut daemon = Daemon::start();
    let seen = daemon.attempt(address).await;
    assert!(matches!(&seen[1], RunnerInput::Chunk { payload, .. } if payload.0 == "ab"));
    assert_eq!(failure(&seen), None);
    for _ in 0..2 {
        let seen = Daemon::start().attempt(address).await;
        assert_eq!(failure(&seen), Some(&Failure::Cut));
        let parts = seen
            .iter()
            .filter(|i| matches!(i, RunnerInput::Chunk { .. }));
        assert_eq!(
            parts.count(),
            0,
            "no part of an incomplete body is forwarded"
        );
    }
}

/// Starts a runner that sends a start of a response and then the same block until the connection is
/// closed; the receiver learns of that.
fn start_endless_runner(start: String, block: String) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener should bind");
    let address = listener.local_addr().expect("listener should be bound");
    let (closed, is_closed) = channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("connection should be accepted");
        let read = stream.read_exact(&mut [0; 64]);
        read.expect("request should be readable");
        let mut is_open = stream.write_all(start.as_bytes()).is_ok();
        while is_open {
            is_open = stream.write_all(block.as_bytes()).is_ok();
        }
        let _ = closed.send(());
    });
    (address, is_closed)
}

/// Makes an attempt at an endless runner and waits until its connection is closed; returns the
/// attempt's inputs.
async fn attempt_endless(start: String, block: String) -> Vec<RunnerInput> {
    let (address, is_closed) = start_endless_runner(start, block);
    let seen = Daemon::start().attempt(address).await;
    let waiting = compio::time::timeout(WAIT_TIMEOUT, async {
        while is_closed.try_recv().is_err() {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    waiting.await.expect("the connection should be closed");
    seen
}

#[compio::test]
async fn endless_response_is_cut_and_its_connection_closed() {
    let kilobyte = "x".repeat(1 << 10);
    let chunks = chunk(&kilobyte.repeat(64));
    let cases = [
        (String::new(), kilobyte.clone()),
        (format!("{HEAD}x-long: "), kilobyte.clone()),
        (HEAD.to_owned(), "x-more: 1\r\n".repeat(100)),
        (format!("{HEAD}\r\n"), kilobyte.clone()),
        (
            format!("{HEAD}content-length: 1099511627776\r\n\r\n"),
            kilobyte,
        ),
        (
            format!("{HEAD}transfer-encoding: chunked\r\n\r\n"),
            chunks.clone(),
        ),
        (format!("{HEAD}{STREAM}"), chunks),
    ];
    for (start, block) in cases {
        let seen = attempt_endless(start.clone(), block).await;
        assert_eq!(failure(&seen), Some(&Failure::Cut), "{start:?}");
    }
}

/// Guards against a connection that is read for ever after the last event.
#[compio::test]
async fn connection_is_closed_if_the_body_goes_on_after_its_last_event() {
    let start = format!("{HEAD}{STREAM}{}{}", chunk(PART), chunk(DONE));
    let seen = attempt_endless(start, chunk(&": x\n\n".repeat(200))).await;
    assert_eq!(failure(&seen), None);
}

/// A head with an invalid status or an invalid header name is not a response.
#[compio::test]
async fn response_with_invalid_head_is_cut() {
    let body = "content-length: 2\r\n\r\nab";
    let answers = [
        format!("HTTP/1.1 000 Odd\r\n{body}"),
        format!("HTTP/1.1 20 Odd\r\n{body}"),
        format!("{HEAD}odd name: 1\r\n{body}"),
        format!("{HEAD}odd : 1\r\n{body}"),
        format!("{HEAD} odd: 1\r\n{body}"),
        format!("{HEAD}odd\u{0}name: 1\r\n{body}"),
        format!("{HEAD}odd\u{7f}name: 1\r\n{body}"),
        format!("{HEAD}transfer-encoding : chunked\r\n{body}"),
    ];
    let (address, _heads) = start_runner(answers.to_vec());
    for answer in answers {
        let seen = Daemon::start().attempt(address).await;
        assert_eq!(failure(&seen), Some(&Failure::Cut), "{answer:?}");
        assert_eq!(seen.len(), 1, "nothing of {answer:?} is forwarded");
    }
}

/// The runner may have run a request that was written, so its failure must not be `NotSent`.
#[compio::test]
async fn written_request_is_not_reported_as_unsent() {
    let (address, _heads) = start_runner(vec![String::new()]);
    let seen = Daemon::start().attempt(address).await;
    assert_eq!(failure(&seen), Some(&Failure::Cut));
    let closed = TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("address should be free");
    let seen = Daemon::start().attempt(closed).await;
    assert_eq!(failure(&seen), Some(&Failure::NotSent));
}

#[compio::test]
async fn reports_declined_and_failed_attempts() {
    let declined = "HTTP/1.1 409 Conflict\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let failed = "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n";
    let (address, _heads) = start_runner(vec![declined.to_owned(), failed.to_owned()]);
    let seen = Daemon::start().attempt(address).await;
    assert_eq!(failure(&seen), Some(&Failure::Declined));
    let seen = Daemon::start().attempt(address).await;
    assert_eq!(failure(&seen), Some(&Failure::Status(500)));
}

/// The engine may still run an attempt whose stream was cut, so a cancel must be sent.
#[compio::test]
async fn cancel_reaches_the_engine_after_a_cut_stream() {
    let cut = format!("{HEAD}{STREAM}{}", chunk(PART));
    let (address, heads) = start_runner(vec![cut, String::new()]);
    let mut daemon = Daemon::start();
    daemon.attempt(address).await;
    heads
        .recv_timeout(WAIT_TIMEOUT)
        .expect("runner should receive the attempt");
    daemon.runners.perform(RunnerOutput::Cancel {
        attempt: AttemptId(1),
    });
    let waiting = compio::time::timeout(WAIT_TIMEOUT, async {
        loop {
            if let Ok(head) = heads.try_recv() {
                return head;
            }
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    let head = waiting.await.expect("engine should receive the cancel");
    assert!(
        head.starts_with("DELETE /v1/completions/1?from=d1 "),
        "{head}"
    );
}

fn settings() -> Settings {
    let text = "name: d1\nregion: north\nhall: east\nregions: {north: [east]}\n\
         listen: {caller: 127.0.0.1:0, peer: 127.0.0.1:0, operator: 127.0.0.1:0}\n\
         platform: [127.0.0.1:1]\nhost_list: 127.0.0.1:1\n\
         peer_key: a key of the daemons\noperator_token: a token of the operators\n";
    settings::parse(text, Path::new(".")).expect("settings should be valid")
}
