//! Tests the HTTP server for callers, with the test in place of the core.

use bytes::Bytes;
use compio::{
    BufResult,
    io::{AsyncRead as _, AsyncWrite as _, AsyncWriteExt as _},
    net::TcpStream,
};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::{
    StreamExt as _,
    future::{Either, select},
};
use hickoryledge::{
    core::{
        Core,
        ctx::Identity,
        input::{CallInput, CallRequest, Input, Payload, PlatformInput, Target},
        keys::{AttemptId, CallId, Incarnation, KeyHash, PlatformId, Revision},
        options::Options,
        output::{CallOutput, Doubt, Ending, EntryAddress, Refusal},
        time::{Span, Time},
    },
    settings::{self, Settings},
    shell::{
        Clock, callers,
        calls::{Calls, ResponseHead},
        connections::Connections,
        http,
        inbox::Inbox,
        metrics as shell_metrics,
    },
};
use proptest::{
    prelude::{ProptestConfig, Strategy, any},
    sample::Index,
    test_runner::{RngSeed, TestRunner},
};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    path::Path,
    rc::Rc,
    time::Duration,
};

/// Timeout of a wait for an expected event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Creates a core that has received a watch progress from the platform, so that it accepts
/// new work.
fn fresh_core(settings: &Settings) -> Core {
    let options = Options {
        freshness: Span::from_secs(3_600),
        ..Options::default()
    };
    let mut core = Core::new(identity(settings), options, 1);
    let mut out = Vec::new();
    core.step(Time(0), Input::Start, &mut out);
    let watched = PlatformInput::Watched {
        id: PlatformId::default(),
        revision: Revision(0),
        events: Vec::new(),
    };
    core.step(Time(0), Input::Platform(watched), &mut out);
    core
}

/// The HTTP server for callers, and the inputs that it sends to the core.
struct Daemon {
    address: SocketAddr,
    inputs: UnboundedReceiver<Input>,
    calls: Rc<Calls>,
    connections: Connections,
}

impl Daemon {
    async fn start(limits: &str) -> Self {
        let settings = settings(limits);
        let listener = http::bind(settings.listen.caller)
            .await
            .expect("listener should bind");
        let address = http::address(&listener).expect("listener should be bound");
        let (inbox, inputs) = Inbox::new();
        let calls = Rc::new(Calls::new(inbox));
        let core = Rc::new(RefCell::new(fresh_core(&settings)));
        let connections = callers::start(listener, calls.clone(), core, Clock::start(), &settings);
        Self {
            address,
            inputs,
            calls,
            connections,
        }
    }

    async fn next_input(&mut self) -> CallInput {
        let input = compio::time::timeout(WAIT_TIMEOUT, self.inputs.next()).await;
        match input.expect("an input should arrive in time") {
            Some(Input::Call(input)) => input,
            other => panic!("{other:?}"),
        }
    }

    async fn next_call(&mut self) -> (CallId, CallRequest) {
        match self.next_input().await {
            CallInput::Arrived { call, request } => (call, request),
            other => panic!("{other:?}"),
        }
    }

    async fn next_cancel(&mut self) -> CallId {
        match self.next_input().await {
            CallInput::Gone { call } => call,
            other => panic!("{other:?}"),
        }
    }

    fn begin(&self, call: CallId) {
        let attempt = AttemptId(call.0);
        let head = ResponseHead {
            status: ::http::StatusCode::OK,
            headers: ::http::HeaderMap::new(),
        };
        self.calls.store_head(attempt, head);
        self.calls.perform(CallOutput::Begin { call, attempt });
    }

    fn deliver(&self, call: CallId, offset: u32, text: &str) {
        let event = format!("data: {{\"offset\":{offset},\"tokens\":1,\"text\":\"{text}\"}}\n\n");
        self.calls.perform(CallOutput::Deliver {
            call,
            offset,
            tokens: 1,
            payload: Payload(Bytes::from(event)),
        });
    }

    fn end(&self, call: CallId, ending: Ending) {
        self.calls.perform(CallOutput::End { call, ending });
    }

    /// Requests a path on a new connection and returns the whole response.
    async fn get(&self, path: &str) -> String {
        let mut caller = Caller::connect(self).await;
        caller
            .send(format!("GET {path} HTTP/1.1\r\nhost: e\r\n{CLOSE}\r\n"))
            .await;
        caller.read_to_end().await
    }

    /// Checks that no call is open and that the core has received no other input.
    fn assert_quiet(&mut self) {
        assert_eq!(self.calls.count(), 0);
        assert!(self.inputs.try_recv().is_err());
    }
}

fn settings(limits: &str) -> Settings {
    let text = format!(
        "name: entry-1\nregion: north\nhall: east\nregions: {{north: [east]}}\n\
         listen: {{caller: 127.0.0.1:0, peer: 127.0.0.1:0, operator: 127.0.0.1:0}}\n\
         platform: [127.0.0.1:1]\nhost_list: 127.0.0.1:1\n\
         peer_key: a key of the daemons\noperator_token: a token of the operators\n\
         limits: {limits}\n"
    );
    settings::parse(&text, Path::new(".")).expect("settings should be valid")
}

fn identity(settings: &Settings) -> Identity {
    Identity {
        name: settings.name.clone(),
        incarnation: Incarnation(1),
        region: settings.region.clone(),
        hall: settings.hall.clone(),
        caller: settings.listen.caller,
        peer: settings.listen.peer,
        seeds: Vec::new(),
        secret: 1,
    }
}

/// A caller's connection.
struct Caller {
    stream: TcpStream,
    read: String,
}

impl Caller {
    async fn connect(daemon: &Daemon) -> Self {
        let stream = http::connect(daemon.address)
            .await
            .expect("daemon should accept the connection");
        let read = String::new();
        Self { stream, read }
    }

    async fn send<T>(&mut self, text: T)
    where
        T: Into<Vec<u8>>,
    {
        let BufResult(sent, _) = self.stream.write_all(text.into()).await;
        sent.expect("request should be sent");
    }

    /// Reads until the text has arrived; returns false if the connection ends first.
    async fn read_until(&mut self, text: &str) -> bool {
        while !self.read.contains(text) {
            let read = self.stream.read(Vec::with_capacity(1 << 16));
            let BufResult(read, bytes) = compio::time::timeout(WAIT_TIMEOUT, read)
                .await
                .expect("a response should arrive in time");
            if read.unwrap_or(0) == 0 {
                return false;
            }
            self.read.push_str(&String::from_utf8_lossy(&bytes));
        }
        true
    }

    /// Reads until the connection ends.
    async fn read_to_end(mut self) -> String {
        while self.read_until("\0").await {}
        self.read
    }
}

fn post(path: &str, key: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n{headers}\
         content-length: {length}\r\n\r\n{body}"
    )
}

fn completion(key: &str, stream: bool) -> String {
    let body = format!("{{\"model\":\"m\",\"prompt\":\"hello\",\"stream\":{stream}}}");
    post("/v1/completions", key, "", &body)
}

const CLOSE: &str = "connection: close\r\n";

#[compio::test]
async fn complete_stream_ends_with_done() {
    let mut daemon = Daemon::start("{}").await;
    let mut caller = Caller::connect(&daemon).await;
    caller.send(completion("k", true)).await;
    let (call, request) = daemon.next_call().await;
    assert_eq!(request.credential, KeyHash(*blake3::hash(b"k").as_bytes()));
    daemon.begin(call);
    daemon.deliver(call, 0, "yes");
    assert!(caller.read_until("yes").await);
    daemon.end(call, Ending::Complete);
    assert!(caller.read_until("data: [DONE]\n\n\r\n0\r\n\r\n").await);
    assert!(caller.read.contains("text/event-stream"));
    drop(caller);
    daemon.assert_quiet();
}

/// A stream that ends early must report its outcome in an error event and abort the body, so that
/// no caller considers it complete.
#[compio::test]
async fn cut_stream_reports_its_outcome_and_is_not_complete() {
    for (ending, expected) in [
        (
            Ending::Unknown(Doubt::Cut),
            r#"{"outcome":"unknown","reason":"cut"}"#,
        ),
        (
            Ending::Refused {
                reason: Refusal::Exhausted,
                retry_after: None,
            },
            r#"{"outcome":"not_run","reason":"exhausted"}"#,
        ),
    ] {
        let mut daemon = Daemon::start("{}").await;
        let mut caller = Caller::connect(&daemon).await;
        caller.send(completion("k", true)).await;
        let (call, _) = daemon.next_call().await;
        daemon.begin(call);
        daemon.deliver(call, 0, "partly");
        daemon.end(call, ending);
        let read = caller.read_to_end().await;
        assert!(
            read.contains(&format!("event: error\ndata: {expected}")),
            "{read}"
        );
        assert!(!read.contains("[DONE]"), "{read}");
        assert!(
            !read.ends_with("0\r\n\r\n"),
            "the body looks complete: {read}"
        );
        daemon.assert_quiet();
    }
}

#[compio::test]
async fn buffered_completion_joins_event_texts() {
    let mut daemon = Daemon::start("{}").await;
    let mut caller = Caller::connect(&daemon).await;
    caller.send(completion("k", false)).await;
    let (call, _) = daemon.next_call().await;
    daemon.begin(call);
    daemon.deliver(call, 0, "one ");
    daemon.deliver(call, 1, "two");
    daemon.end(call, Ending::Complete);
    assert!(caller.read_until(r#"{"text":"one two","tokens":2}"#).await);
    assert!(caller.read.contains("x-outcome: complete"));
}

/// The runner's events skip a token; the joined text must not be reported as complete.
#[compio::test]
async fn completion_with_missing_tokens_is_unknown() {
    let mut daemon = Daemon::start("{}").await;
    let mut caller = Caller::connect(&daemon).await;
    caller.send(completion("k", false)).await;
    let (call, _) = daemon.next_call().await;
    daemon.begin(call);
    daemon.deliver(call, 0, "one");
    daemon.deliver(call, 2, "three");
    daemon.end(call, Ending::Complete);
    assert!(caller.read_until("\r\n\r\n{").await);
    assert!(caller.read.starts_with("HTTP/1.1 502"), "{}", caller.read);
    assert!(caller.read.contains("x-outcome: unknown"));
}

#[compio::test]
async fn refusals_set_status_and_retry_after() {
    let cases = [
        (Refusal::Unauthorized, 401),
        (Refusal::NotFound, 404),
        (Refusal::Invalid, 400),
        (Refusal::OverLimit, 429),
        (Refusal::NoGroup, 503),
    ];
    for (reason, status) in cases {
        for stream in [true, false] {
            let mut daemon = Daemon::start("{}").await;
            let mut caller = Caller::connect(&daemon).await;
            caller.send(completion("k", stream)).await;
            let (call, _) = daemon.next_call().await;
            let retry_after = Some(Span::from_millis(1_200));
            daemon.end(
                call,
                Ending::Refused {
                    reason,
                    retry_after,
                },
            );
            assert!(caller.read_until("\"not_run\"").await);
            let read = &caller.read;
            assert!(read.starts_with(&format!("HTTP/1.1 {status}")), "{read}");
            assert!(read.contains("x-outcome: not-run"), "{read}");
            assert!(read.contains("retry-after: 2\r\n"), "{read}");
        }
    }
}

#[compio::test]
async fn parses_headers_of_a_service_call() {
    let mut daemon = Daemon::start("{}").await;
    let mut caller = Caller::connect(&daemon).await;
    let headers = "x-idempotent: false\r\nx-ticket: a-b-c-entry-2\r\nx-deadline-ms: 250\r\n\
                   idempotency-key: invoice 7\r\nx-prompt-tokens: 9\r\ncookie: a=b\r\n";
    caller
        .send(post("/services/bills/send?to=1", "k", headers, "x"))
        .await;
    let (call, request) = daemon.next_call().await;
    let service = "bills".into();
    assert_eq!(request.target, Target::Service { service });
    assert!(!request.idempotent);
    assert_eq!(request.deadline, Some(Span::from_millis(250)));
    assert_eq!(request.idempotency_key.as_deref(), Some("invoice 7"));
    let ticket = request.ticket.expect("request should have a ticket");
    assert_eq!(callers::format_ticket(&ticket), "a-b-c-entry-2");
    let body = daemon.calls.forwarded(call).expect("call should be open");
    assert_eq!(body.path, "/send?to=1");
    assert_eq!(
        body.headers
            .get("cookie")
            .expect("cookie should be forwarded"),
        "a=b"
    );
    assert!(
        body.headers.get("authorization").is_none(),
        "the API key is forwarded"
    );
}

#[compio::test]
async fn returns_entries() {
    let mut daemon = Daemon::start("{}").await;
    let mut caller = Caller::connect(&daemon).await;
    let request = "GET /v1/entries?model=m HTTP/1.1\r\nhost: e\r\nauthorization: Bearer k\r\n\r\n";
    caller.send(request).await;
    let CallInput::Entries { call, model, .. } = daemon.next_input().await else {
        panic!("the core received no entries query");
    };
    assert_eq!(model, Some("m".into()));
    let entry = EntryAddress {
        daemon: "entry-1".into(),
        address: daemon.address,
        hall: "east".into(),
    };
    daemon.calls.perform(CallOutput::Entries {
        call,
        entries: vec![entry],
        ttl: Span::from_secs(5),
        ticket: None,
    });
    assert!(caller.read_until("\"ttl_ms\":5000").await);
    assert!(
        caller
            .read
            .contains(r#"[{"daemon":"entry-1","address":"127.0.0.1:"#)
    );
    daemon.assert_quiet();
}

/// Each request is malformed, too large or unauthorized; none may reach the core.
#[compio::test]
async fn rejects_invalid_requests_before_the_core() {
    let mut daemon = Daemon::start("{max_body: 100}").await;
    let big = "x".repeat(101);
    let cases: Vec<(Vec<u8>, &str)> = vec![
        (
            post("/v1/completions", "k", CLOSE, "{\"model\":").into(),
            "400",
        ),
        (post("/v1/completions", "k", CLOSE, "[]").into(), "400"),
        (
            post("/v1/completions", "k", CLOSE, r#"{"model":"","prompt":""}"#).into(),
            "400",
        ),
        (post("/v1/completions", "k", CLOSE, &big).into(), "413"),
        (post("/services//x", "k", CLOSE, "").into(), "400"),
        (
            post(
                "/services/s/x",
                "k",
                "x-ticket: 7\r\nconnection: close\r\n",
                "",
            )
            .into(),
            "400",
        ),
        (
            post(
                "/services/s/x",
                "k",
                "x-idempotent: no\r\nconnection: close\r\n",
                "",
            )
            .into(),
            "400",
        ),
        (
            post(
                "/services/s/x",
                "k",
                "x-deadline-ms: -1\r\nconnection: close\r\n",
                "",
            )
            .into(),
            "400",
        ),
        (post("/nowhere", "k", CLOSE, "").into(), "404"),
        (
            post("/v1/completions", "", CLOSE, "{}")
                .replace("Bearer ", "Basic ")
                .into(),
            "401",
        ),
        (
            b"POST /v1/completions HTTP/1.1\r\nauthorization: Bearer k\r\ncontent-length: 2\r\n\
           connection: close\r\n\r\n\xff\xfe"
                .to_vec(),
            "400",
        ),
        (
            b"POST /services/s/x HTTP/1.1\r\nauthorization: Bearer k\r\nconnection: close\r\n\
           idempotency-key: \xff\xfe\r\n\r\n"
                .to_vec(),
            "400",
        ),
        (
            b"POST /v1/completions HTTP/1.1\r\nauthorization: Bearer k\r\nconnection: close\r\n\
           transfer-encoding: chunked\r\n\r\nzz\r\n"
                .to_vec(),
            "400",
        ),
        (
            format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(1 << 17)).into(),
            "431",
        ),
        (
            "GET / HTTP/1.1\r\n"
                .to_owned()
                .into_bytes()
                .into_iter()
                .chain("x: y\r\n".repeat(200).into_bytes())
                .chain(*b"\r\n")
                .collect(),
            "431",
        ),
        (b"nonsense\r\n\r\n".to_vec(), "400"),
    ];
    for (text, status) in cases {
        let request_text = String::from_utf8_lossy(&text[..text.len().min(120)]).into_owned();
        let mut caller = Caller::connect(&daemon).await;
        let _ = caller.stream.write_all(text).await;
        let read = caller.read_to_end().await;
        assert!(
            read.starts_with(&format!("HTTP/1.1 {status}")),
            "{request_text:?}: {read:?}"
        );
        daemon.assert_quiet();
    }
}

#[compio::test]
async fn rejects_chunked_body_over_the_limit() {
    let mut daemon = Daemon::start("{max_body: 100}").await;
    let mut caller = Caller::connect(&daemon).await;
    let head = "POST /services/s/x HTTP/1.1\r\nhost: e\r\nauthorization: Bearer k\r\n\
                transfer-encoding: chunked\r\n\r\n";
    caller
        .send(format!("{head}65\r\n{}\r\n0\r\n\r\n", "x".repeat(101)))
        .await;
    assert!(caller.read_to_end().await.starts_with("HTTP/1.1 413"));
    daemon.assert_quiet();
}

/// Guards against refusals that never reach their callers: the connection was reset while the rest of
/// the body was being sent.
#[compio::test]
async fn refusals_reach_callers_that_send_the_whole_body_first() {
    const BODY_BYTES: usize = 12 << 20;
    let mut daemon = Daemon::start("{max_body: 100}").await;
    let long = format!("content-length: {BODY_BYTES}\r\n");
    let chunked = format!("transfer-encoding: chunked\r\n\r\n{BODY_BYTES:x}");
    let cases = [
        ("/services/s/x", "k", &long, "413"),
        ("/services/s/x", "k", &chunked, "413"),
        ("/services/s/x", "", &long, "401"),
        ("/nothing", "k", &long, "404"),
    ];
    for (path, key, headers, status) in cases {
        let mut caller = Caller::connect(&daemon).await;
        caller
            .send(format!(
                "POST {path} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer {key}\r\n{headers}\r\n"
            ))
            .await;
        // The response is sent, and the connection would be closed, in the meantime.
        compio::time::sleep(Duration::from_millis(200)).await;
        caller.send(vec![b'x'; BODY_BYTES / 2]).await;
        caller.send(vec![b'x'; BODY_BYTES / 2]).await;
        let read = caller.read_to_end().await;
        assert!(
            read.starts_with(&format!("HTTP/1.1 {status}")),
            "{path} {headers}: {read:?}"
        );
        daemon.assert_quiet();
    }
}

#[compio::test]
async fn closes_slow_and_half_closed_connections() {
    let mut daemon = Daemon::start("{caller_timeout_ms: 100}").await;
    let head = "POST /v1/completions HTTP/1.1\r\nauthorization: Bearer k\r\n";
    let mut slow_head = Caller::connect(&daemon).await;
    slow_head.send(head).await;
    assert!(!slow_head.read_to_end().await.contains("HTTP/1.1 200"));
    let mut slow_body = Caller::connect(&daemon).await;
    slow_body
        .send(format!("{head}content-length: 9\r\n\r\nx"))
        .await;
    assert!(slow_body.read_to_end().await.starts_with("HTTP/1.1 408"));
    let mut half_closed = Caller::connect(&daemon).await;
    half_closed
        .send(format!("{head}content-length: 9\r\n\r\nx"))
        .await;
    half_closed
        .stream
        .shutdown()
        .await
        .expect("connection should shut down");
    assert!(!half_closed.read_to_end().await.contains("HTTP/1.1 200"));
    daemon.assert_quiet();
    let mut half_closed_call = Caller::connect(&daemon).await;
    half_closed_call.send(completion("k", true)).await;
    let (call, _) = daemon.next_call().await;
    half_closed_call
        .stream
        .shutdown()
        .await
        .expect("connection should shut down");
    assert_eq!(daemon.next_cancel().await, call);
    daemon.assert_quiet();
}

/// The caller disconnects during the response; later output for the call is ignored.
#[compio::test]
async fn disconnect_cancels_the_call() {
    for stream in [true, false] {
        let mut daemon = Daemon::start("{}").await;
        let mut caller = Caller::connect(&daemon).await;
        caller.send(completion("k", stream)).await;
        let (call, _) = daemon.next_call().await;
        daemon.begin(call);
        daemon.deliver(call, 0, "some");
        drop(caller);
        assert_eq!(daemon.next_cancel().await, call);
        daemon.deliver(call, 1, "late");
        daemon.end(call, Ending::Complete);
        daemon.assert_quiet();
    }
}

#[compio::test]
async fn rejects_calls_over_the_limit() {
    let mut daemon = Daemon::start("{max_calls: 1}").await;
    let mut first = Caller::connect(&daemon).await;
    first.send(completion("k", true)).await;
    let (call, _) = daemon.next_call().await;
    let mut second = Caller::connect(&daemon).await;
    second.send(completion("k", true)).await;
    assert!(second.read_until("\"overloaded\"").await);
    assert!(second.read.starts_with("HTTP/1.1 503"), "{}", second.read);
    assert!(second.read.contains("retry-after: 1\r\n"));
    second
        .send("GET /metrics HTTP/1.1\r\nhost: e\r\n\r\n")
        .await;
    let expected = "hickoryledge_turned_away_total{reason=\"calls\"} 1\n";
    assert!(second.read_until(expected).await);
    daemon.end(call, Ending::Unknown(Doubt::Cut));
    assert!(first.read_until("\"unknown\"").await);
    second.send(completion("k", true)).await;
    daemon.next_call().await;
}

/// Responses are delivered in another order than the calls arrived.
#[compio::test]
async fn interleaved_responses_reach_their_callers() {
    let mut daemon = Daemon::start("{}").await;
    let mut callers = Vec::new();
    let mut calls = Vec::new();
    for key in ["a", "b", "c"] {
        let mut caller = Caller::connect(&daemon).await;
        caller.send(completion(key, true)).await;
        let (call, request) = daemon.next_call().await;
        assert_eq!(
            request.credential,
            KeyHash(*blake3::hash(key.as_bytes()).as_bytes())
        );
        callers.push((key, caller));
        calls.push((key, call));
    }
    calls.reverse();
    for (_, call) in &calls {
        daemon.begin(*call);
    }
    for (key, call) in &calls {
        daemon.deliver(*call, 0, &format!("for-{key}"));
    }
    for (_, call) in &calls {
        daemon.end(*call, Ending::Complete);
    }
    for (key, caller) in &mut callers {
        assert!(caller.read_until("[DONE]").await);
        assert_eq!(caller.read.matches("for-").count(), 1, "{}", caller.read);
        assert!(
            caller.read.contains(&format!("for-{key}")),
            "{}",
            caller.read
        );
    }
}

/// More than 1 MiB is queued for a caller that doesn't read; the call ends as cut, not complete.
#[compio::test]
async fn slow_reader_loses_the_call() {
    let mut daemon = Daemon::start("{}").await;
    let mut caller = Caller::connect(&daemon).await;
    caller.send(completion("k", true)).await;
    let (call, _) = daemon.next_call().await;
    daemon.begin(call);
    let text = "x".repeat(64 << 10);
    for offset in 0..17 {
        daemon.deliver(call, offset, &text);
    }
    assert_eq!(daemon.next_cancel().await, call);
    daemon.end(call, Ending::Complete);
    let read = caller.read_to_end().await;
    assert!(!read.contains("[DONE]"), "a cut response looks complete");
    assert!(read.contains(r#"{"outcome":"unknown","reason":"cut"}"#));
    daemon.assert_quiet();
}

/// A graceful stop closes idle connections and lets the open stream end.
#[compio::test]
async fn stop_finishes_the_response_in_flight() {
    let mut daemon = Daemon::start("{}").await;
    let mut streaming = Caller::connect(&daemon).await;
    streaming.send(completion("k", true)).await;
    let (call, _) = daemon.next_call().await;
    daemon.begin(call);
    daemon.deliver(call, 0, "yes");
    assert!(streaming.read_until("yes").await);
    let mut idle = Caller::connect(&daemon).await;
    idle.send("GET /ready HTTP/1.1\r\nhost: e\r\n\r\n").await;
    assert!(idle.read_until("ready").await);
    daemon.calls.stop();
    let mut late = Caller::connect(&daemon).await;
    late.send("GET /ready HTTP/1.1\r\nhost: e\r\n\r\n").await;
    let read = late.read_to_end().await;
    assert!(read.starts_with("HTTP/1.1 503"), "{read}");
    assert!(read.contains("connection: close"), "{read}");
    daemon.end(call, Ending::Complete);
    let address = daemon.address;
    daemon.connections.finish(WAIT_TIMEOUT).await;
    assert!(
        streaming
            .read_to_end()
            .await
            .ends_with("data: [DONE]\n\n\r\n0\r\n\r\n")
    );
    assert_eq!(idle.read_to_end().await.matches("HTTP/1.1").count(), 1);
    assert!(
        http::connect(address).await.is_err(),
        "new connections are accepted"
    );
}

/// A caller sends a request and never reads the response; the write timeout closes the connection.
#[compio::test]
async fn closes_connection_that_reads_nothing() {
    let mut daemon = Daemon::start("{caller_timeout_ms: 300}").await;
    let mut caller = Caller::connect(&daemon).await;
    caller.send(post("/services/s/x", "k", "", "")).await;
    let (call, _) = daemon.next_call().await;
    daemon.begin(call);
    let text = "x".repeat(900 << 10);
    for offset in 0..15 {
        daemon.deliver(call, offset, &text);
        daemon.get("/health").await;
    }
    daemon.end(call, Ending::Complete);
    let closed = async {
        while !daemon
            .get("/metrics")
            .await
            .contains("connections_open 1\n")
        {}
    };
    let closed = compio::time::timeout(WAIT_TIMEOUT, closed).await;
    closed.expect("connection should be closed in time");
    let read = caller.read_to_end().await;
    assert!(read.len() < 15 * text.len(), "the whole response was read");
    daemon.assert_quiet();
}

#[compio::test]
async fn exports_metrics_of_drivers() {
    let daemon = Daemon::start("{}").await;
    shell_metrics::install();
    metrics::counter!("frames_total", "reason" => "late").increment(2);
    let page = daemon.get("/metrics").await;
    let expected = "hickoryledge_frames_total{reason=\"late\"} 2\n";
    assert!(page.contains(expected), "{page}");
}

/// Generates a request with some bytes changed, and true if it is truncated.
fn malformed_request() -> impl Strategy<Value = (Vec<u8>, bool)> {
    let changes = proptest::collection::vec((any::<Index>(), any::<u8>()), 0..4);
    (any::<bool>(), changes, any::<Index>(), any::<bool>()).prop_map(
        |(stream, changes, end, is_cut)| {
            let mut bytes = completion("k", stream).into_bytes();
            for (at, byte) in changes {
                let at = at.index(bytes.len());
                bytes[at] = byte;
            }
            if is_cut {
                bytes.truncate(end.index(bytes.len()));
            }
            (bytes, is_cut)
        },
    )
}

/// Returns the change that an input makes to the number of calls open in the core.
fn open_call_change(input: &Input) -> i32 {
    match input {
        Input::Call(CallInput::Arrived { .. } | CallInput::Entries { .. }) => 1,
        Input::Call(CallInput::Gone { .. }) => -1,
        other => panic!("{other:?}"),
    }
}

/// Waits until a request reaches the core or gets a response; returns any input.
async fn accepted_input(daemon: &mut Daemon, caller: &mut Caller) -> Option<Input> {
    let arrived = std::pin::pin!(daemon.inputs.next());
    let answered = std::pin::pin!(caller.read_until("HTTP/1.1 "));
    match select(arrived, answered).await {
        Either::Left((input, _)) => input,
        Either::Right(_) => None,
    }
}

/// Sends the bytes, shuts down the sending side and checks that no call or connection stays open.
///
/// Returns true if a call reached the core.
async fn check_cleanup(bytes: Vec<u8>, is_cut: bool) -> bool {
    let mut daemon = Daemon::start("{caller_timeout_ms: 300}").await;
    let mut caller = Caller::connect(&daemon).await;
    let _ = caller.stream.write_all(bytes).await;
    let first = match is_cut {
        true => None,
        false => accepted_input(&mut daemon, &mut caller).await,
    };
    let _ = caller.stream.shutdown().await;
    let read = caller.read_to_end().await;
    let closed = async {
        while !daemon
            .get("/metrics")
            .await
            .contains("connections_open 1\n")
        {}
    };
    let closed = compio::time::timeout(WAIT_TIMEOUT, closed).await;
    closed.expect("connection should be closed in time");
    assert!(!read.contains("x-outcome: complete"), "{read}");
    assert_eq!(daemon.calls.count(), 0, "a call is still open");
    let mut balance = first.as_ref().map_or(0, open_call_change);
    while let Ok(input) = daemon.inputs.try_recv() {
        balance += open_call_change(&input);
    }
    assert_eq!(balance, 0, "the core holds a call that has ended");
    first.is_some()
}

#[test]
fn malformed_requests_leave_no_open_call() {
    let config = ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    };
    let runtime = compio::runtime::Runtime::new().expect("runtime should start");
    let mut runner = TestRunner::new(config);
    let arrivals = Cell::new(0);
    let run = runner.run(&malformed_request(), |(bytes, is_cut)| {
        let has_arrived = runtime.block_on(check_cleanup(bytes, is_cut));
        arrivals.set(arrivals.get() + u32::from(has_arrived));
        Ok(())
    });
    run.unwrap_or_else(|failure| panic!("{failure}"));
    assert!(
        arrivals.get() > 20,
        "only {} calls reached the core",
        arrivals.get()
    );
}

#[compio::test]
async fn outgoing_connection_has_timeouts_for_a_dead_peer() {
    let any = "127.0.0.1:0".parse().expect("address should parse");
    let listener = http::bind(any).await.expect("a port should be free");
    let address = http::address(&listener).expect("listener should be bound");
    let stream = http::connect(address)
        .await
        .expect("connection should be accepted");
    let socket = socket2::SockRef::from(&stream);
    let timeout = socket
        .tcp_user_timeout()
        .expect("socket option should be readable");
    assert_eq!(timeout, Some(Duration::from_secs(10)));
    assert!(
        socket
            .keepalive()
            .expect("socket option should be readable")
    );
}
