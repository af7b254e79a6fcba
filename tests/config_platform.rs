//! Client of the platform's store, tested against the simulated platform in a
//! separate process.

use bytes::Bytes;
use cyper_core::HyperStream;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt as _;
use hickoryledge::{
    core::{
        input::{HostsInput, Input, PlatformAnswer, PlatformInput, WatchEvent},
        keys::{LeaseId, Owner, PlatformId, Revision},
        output::{Expect, PlatformCall},
        time::Span,
    },
    shell::{
        host_list, http,
        inbox::Inbox,
        platform::{Etcd, Platform},
    },
};
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use serde_json::{Value, json};
use std::{
    collections::VecDeque,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

/// Time to wait for an input or answer before the test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Stand-in for the platform, killed when it is dropped.
struct StandIn {
    process: Child,
    kv: SocketAddr,
    hosts: SocketAddr,
}

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl StandIn {
    fn start(arguments: &[String]) -> Self {
        let mut process = Command::new(program())
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the simulated platform starts");
        let mut line = String::new();
        let output = process.stdout.take().expect("the output is piped");
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the simulated platform prints its addresses");
        let addresses: Value = serde_json::from_str(&line).expect("the addresses are JSON");
        let address = |kind: &str| {
            let text = addresses["listening"][kind].as_str().expect("an address");
            text.parse().expect("an address")
        };
        Self {
            kv: address("kv"),
            hosts: address("hosts"),
            process,
        }
    }

    async fn control(&self, method: &str, path: &str, body: Value) -> Value {
        let stream = http::connect(self.hosts)
            .await
            .expect("the simulated platform accepts the connection");
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(HyperStream::new_plain(stream))
                .await
                .expect("the HTTP handshake succeeds");
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "platform")
            .body(Full::<Bytes>::from(body.to_string()))
            .expect("a request");
        let answer = sender.send_request(request).await.expect("an answer");
        assert!(answer.status().is_success(), "{path}: {}", answer.status());
        let body = answer.into_body().collect().await.expect("a body");
        serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null)
    }

    async fn fault(&self, mode: &str) {
        self.control("POST", "/fault", json!({ "mode": mode }))
            .await;
    }
}

/// Returns the path of the simulated platform's program, which is built beside this test.
fn program() -> PathBuf {
    let test = std::env::current_exe().expect("this program has a path");
    let profile = test.ancestors().nth(2).expect("a target folder");
    profile.join("examples").join("platform")
}

/// Client under test, and the inputs that it produces.
struct Client {
    platform: Platform,
    inputs: UnboundedReceiver<Input>,
    /// Changes that arrived while an answer was awaited.
    changes: VecDeque<WatchEvent>,
    last_id: u64,
}

impl Client {
    fn new(endpoints: &[SocketAddr]) -> Self {
        let (inbox, inputs) = Inbox::new();
        Self {
            platform: Platform::with_store(inbox, Etcd::new(endpoints.to_vec())),
            inputs,
            changes: VecDeque::new(),
            last_id: 0,
        }
    }

    fn send(&mut self, call: PlatformCall) -> PlatformId {
        self.last_id += 1;
        let id = PlatformId {
            owner: Owner::Config,
            number: self.last_id,
        };
        self.platform.perform(id, call);
        id
    }

    async fn next(&mut self) -> PlatformInput {
        let input = compio::time::timeout(WAIT_TIMEOUT, self.inputs.next()).await;
        match input.expect("an input in time") {
            Some(Input::Platform(input)) => input,
            other => panic!("{other:?}"),
        }
    }

    /// Makes a call and returns its answer; `None` if it failed.
    async fn call(&mut self, call: PlatformCall) -> Option<PlatformAnswer> {
        let wanted = self.send(call);
        loop {
            match self.next().await {
                PlatformInput::Answered { id, answer } if id == wanted => return Some(answer),
                PlatformInput::Failed { id } if id == wanted => return None,
                PlatformInput::Watched { events, .. } => self.changes.extend(events),
                _ => {}
            }
        }
    }

    /// Waits for the next change under any watch.
    async fn next_change(&mut self) -> WatchEvent {
        loop {
            if let Some(event) = self.changes.pop_front() {
                return event;
            }
            if let PlatformInput::Watched { events, .. } = self.next().await {
                self.changes.extend(events);
            }
        }
    }

    /// Repeats a call until it is answered.
    async fn call_until_answered(&mut self, call: PlatformCall) -> PlatformAnswer {
        let answered = compio::time::timeout(WAIT_TIMEOUT, async {
            loop {
                if let Some(answer) = self.call(call.clone()).await {
                    return answer;
                }
            }
        });
        answered
            .await
            .expect("the call is answered before the timeout")
    }
}

fn put(key: &str, value: &str, expect: Expect) -> PlatformCall {
    PlatformCall::Put {
        key: key.to_owned(),
        value: value.to_owned(),
        expect,
        lease: None,
    }
}

fn get(key: &str) -> PlatformCall {
    let key = key.to_owned();
    PlatformCall::Get { key }
}

fn watch(from: i64) -> PlatformCall {
    PlatformCall::Watch {
        prefix: "/t/".to_owned(),
        from: Revision(from),
    }
}

fn value_of(answer: Option<PlatformAnswer>) -> Option<String> {
    match answer? {
        PlatformAnswer::Entries { entries, .. } => Some(entries.first()?.value.clone()),
        other => panic!("{other:?}"),
    }
}

#[compio::test]
async fn writes_are_compared_and_swapped() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    let written = client.call(put("/t/a", "1", Expect::Absent)).await;
    let Some(PlatformAnswer::Written { revision }) = written else {
        panic!("{written:?}");
    };
    let lost = client.call(put("/t/a", "2", Expect::Absent)).await;
    let Some(PlatformAnswer::Conflict { current, .. }) = lost else {
        panic!("{lost:?}");
    };
    assert_eq!(current.expect("an entry").value, "1");
    client.call(put("/t/a", "2", Expect::At(revision))).await;
    assert_eq!(
        value_of(client.call(get("/t/a")).await).as_deref(),
        Some("2")
    );
}

#[compio::test]
async fn list_reads_all_pages() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    for number in 0..1_203 {
        let write = put(&format!("/t/{number}"), "", Expect::Absent);
        client.call_until_answered(write).await;
    }
    let prefix = "/t/".to_owned();
    let Some(PlatformAnswer::Entries { entries, .. }) =
        client.call(PlatformCall::List { prefix }).await
    else {
        panic!("no list");
    };
    assert_eq!(entries.len(), 1_203);
}

#[compio::test]
async fn keys_are_deleted_with_their_lease() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    let ttl = Span::from_secs(1);
    let granted = client.call(PlatformCall::Grant { ttl }).await;
    let Some(PlatformAnswer::Leased { lease, .. }) = granted else {
        panic!("{granted:?}");
    };
    let renewed = client.call(PlatformCall::KeepAlive { lease }).await;
    assert_eq!(renewed, Some(PlatformAnswer::Leased { lease, ttl }));
    client.send(watch(1));
    let write = PlatformCall::Put {
        key: "/t/a".to_owned(),
        value: "1".to_owned(),
        expect: Expect::Absent,
        lease: Some(lease),
    };
    client.call(write).await.expect("the key is written");
    assert!(matches!(client.next_change().await, WatchEvent::Put(_)));
    assert!(matches!(
        client.next_change().await,
        WatchEvent::Deleted { .. }
    ));
    let expired = client.call(PlatformCall::KeepAlive { lease }).await;
    let ttl = Span::ZERO;
    assert_eq!(expired, Some(PlatformAnswer::Leased { lease, ttl }));
    let never = PlatformCall::Revoke { lease: LeaseId(99) };
    assert_eq!(client.call(never).await, Some(PlatformAnswer::Revoked));
}

#[compio::test]
async fn write_with_lost_answer_fails_but_takes_effect() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    stand_in.fault("lose_answers").await;
    assert_eq!(client.call(put("/t/a", "1", Expect::Absent)).await, None);
    stand_in.fault("ok").await;
    assert_eq!(
        value_of(client.call(get("/t/a")).await).as_deref(),
        Some("1")
    );
}

#[compio::test]
async fn refused_connections_fail_calls_and_end_watches() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    client.call(put("/t/a", "1", Expect::Absent)).await;
    client.send(watch(1));
    client.next_change().await;
    stand_in.fault("refuse").await;
    while !matches!(
        client.next().await,
        PlatformInput::WatchEnded {
            compacted: false,
            ..
        }
    ) {}
    assert_eq!(client.call(get("/t/a")).await, None);
    stand_in.fault("ok").await;
    client.call_until_answered(get("/t/a")).await;
}

#[compio::test]
async fn silent_service_fails_calls_and_ends_watches() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    client.call(put("/t/a", "1", Expect::Absent)).await;
    client.send(watch(1));
    client.next_change().await;
    stand_in.fault("hang").await;
    assert_eq!(client.call(put("/t/b", "1", Expect::Absent)).await, None);
    while !matches!(client.next().await, PlatformInput::WatchEnded { .. }) {}
    stand_in.fault("ok").await;
    client.call_until_answered(get("/t/a")).await;
    client.send(watch(1));
    client.next_change().await;
}

#[compio::test]
async fn compaction_ends_watch_of_older_revisions() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    client.call(put("/t/a", "1", Expect::Absent)).await;
    stand_in.control("POST", "/compact", Value::Null).await;
    client.send(watch(1));
    let ended = client.next().await;
    assert!(
        matches!(
            ended,
            PlatformInput::WatchEnded {
                compacted: true,
                ..
            }
        ),
        "{ended:?}"
    );
}

#[compio::test]
async fn fails_over_to_another_endpoint() {
    let first = StandIn::start(&[]);
    let second = StandIn::start(&[]);
    let mut client = Client::new(&[first.kv, second.kv]);
    client.call_until_answered(get("/t/a")).await;
    drop(first);
    client.call_until_answered(get("/t/a")).await;
    drop(second);
    assert_eq!(client.call(get("/t/a")).await, None);
}

#[compio::test]
async fn reconnects_to_restarted_service() {
    let first = StandIn::start(&[]);
    let mut client = Client::new(&[first.kv]);
    client.call_until_answered(get("/t/a")).await;
    let arguments = ["--kv".to_owned(), first.kv.to_string()];
    drop(first);
    let _second = StandIn::start(&arguments);
    client.call_until_answered(get("/t/a")).await;
}

/// A call that timed out while no other was open used to make a timer panic.
#[compio::test]
async fn timed_out_call_leaves_connection_usable() {
    let panics = Arc::new(AtomicU32::new(0));
    let counter = panics.clone();
    std::panic::set_hook(Box::new(move |panic| {
        eprintln!("{panic}");
        // The hook also sees the failures of tests that run beside this one.
        let is_test = panic
            .location()
            .is_some_and(|location| location.file() == file!());
        if !is_test {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    }));
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    for _ in 0..2 {
        stand_in.fault("hang").await;
        assert_eq!(client.call(get("/t/a")).await, None);
        stand_in.fault("ok").await;
        client.call_until_answered(get("/t/a")).await;
    }
    assert_eq!(panics.load(Ordering::Relaxed), 0);
}

#[compio::test]
async fn host_list_is_reported_when_it_changes() {
    let stand_in = StandIn::start(&[]);
    let entry = json!({
        "host": "h1", "hall": "sindos", "domain": "f1", "address": "127.0.0.1:9",
        "accelerators": 4, "kind": "engine", "leaving": false, "checks": "fenced",
    });
    stand_in.control("PUT", "/hosts", json!([entry])).await;
    let (inbox, mut inputs) = Inbox::new();
    host_list::start(inbox, stand_in.hosts);
    let mut next = async || {
        let input = compio::time::timeout(WAIT_TIMEOUT, inputs.next()).await;
        input.expect("an input in time")
    };
    let Some(Input::Hosts(HostsInput::Listed(listed))) = next().await else {
        panic!("no list");
    };
    assert!(!listed[0].leaving);
    stand_in
        .control("POST", "/hosts/h1", json!({"leaving": true}))
        .await;
    let Some(Input::Hosts(HostsInput::Listed(listed))) = next().await else {
        panic!("no list");
    };
    assert!(listed[0].leaving);
    drop(stand_in);
    assert_eq!(next().await, Some(Input::Hosts(HostsInput::Failed)));
}
