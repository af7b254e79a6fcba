//! The client of the platform's service against the stand-in, a process of its own.

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

/// How long a test waits for anything before it fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// The stand-in, ended when it is dropped.
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
            .expect("the stand-in starts");
        let mut line = String::new();
        let output = process.stdout.take().expect("its output is read");
        BufReader::new(output)
            .read_line(&mut line)
            .expect("it says where it listens");
        let said: Value = serde_json::from_str(&line).expect("it says so in JSON");
        let address = |kind: &str| {
            let text = said["listening"][kind].as_str().expect("an address");
            text.parse().expect("an address")
        };
        Self {
            kv: address("kv"),
            hosts: address("hosts"),
            process,
        }
    }

    async fn tell(&self, method: &str, path: &str, body: Value) -> Value {
        let stream = http::connect(self.hosts).await.expect("it is reached");
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(HyperStream::new_plain(stream))
                .await
                .expect("it speaks HTTP");
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
        self.tell("POST", "/fault", json!({ "mode": mode })).await;
    }
}

/// The stand-in's program, beside this test's own.
fn program() -> PathBuf {
    let test = std::env::current_exe().expect("this program has a path");
    let profile = test.ancestors().nth(2).expect("a target folder");
    profile.join("examples").join("platform")
}

/// The client, and what comes back from it.
struct Client {
    platform: Platform,
    inputs: UnboundedReceiver<Input>,
    /// Changes that came while an answer was awaited.
    changes: VecDeque<WatchEvent>,
    last: u64,
}

impl Client {
    fn new(endpoints: &[SocketAddr]) -> Self {
        let (inbox, inputs) = Inbox::new();
        Self {
            platform: Platform::with_store(inbox, Etcd::new(endpoints.to_vec())),
            inputs,
            changes: VecDeque::new(),
            last: 0,
        }
    }

    fn send(&mut self, call: PlatformCall) -> PlatformId {
        self.last += 1;
        let id = PlatformId {
            owner: Owner::Config,
            number: self.last,
        };
        self.platform.perform(id, call);
        id
    }

    async fn next(&mut self) -> PlatformInput {
        let input = compio::time::timeout(PATIENCE, self.inputs.next()).await;
        match input.expect("an input in time") {
            Some(Input::Platform(input)) => input,
            other => panic!("{other:?}"),
        }
    }

    /// Makes a call; nothing if it failed.
    async fn ask(&mut self, call: PlatformCall) -> Option<PlatformAnswer> {
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

    /// The next change under any watch.
    async fn change(&mut self) -> WatchEvent {
        loop {
            if let Some(event) = self.changes.pop_front() {
                return event;
            }
            if let PlatformInput::Watched { events, .. } = self.next().await {
                self.changes.extend(events);
            }
        }
    }

    /// Tries until a call is answered.
    async fn insist(&mut self, call: PlatformCall) -> PlatformAnswer {
        let tried = compio::time::timeout(PATIENCE, async {
            loop {
                if let Some(answer) = self.ask(call.clone()).await {
                    return answer;
                }
            }
        });
        tried.await.expect("an answer in time")
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
async fn writes_compare_and_swap() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    let written = client.ask(put("/t/a", "1", Expect::Absent)).await;
    let Some(PlatformAnswer::Written { revision }) = written else {
        panic!("{written:?}");
    };
    let lost = client.ask(put("/t/a", "2", Expect::Absent)).await;
    let Some(PlatformAnswer::Conflict { current, .. }) = lost else {
        panic!("{lost:?}");
    };
    assert_eq!(current.expect("an entry").value, "1");
    client.ask(put("/t/a", "2", Expect::At(revision))).await;
    assert_eq!(
        value_of(client.ask(get("/t/a")).await).as_deref(),
        Some("2")
    );
}

#[compio::test]
async fn listing_reads_every_page() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    for number in 0..1_203 {
        client.send(put(&format!("/t/{number}"), "", Expect::Absent));
    }
    for _ in 0..1_203 {
        client.next().await;
    }
    let prefix = "/t/".to_owned();
    let Some(PlatformAnswer::Entries { entries, .. }) =
        client.ask(PlatformCall::List { prefix }).await
    else {
        panic!("no list");
    };
    assert_eq!(entries.len(), 1_203);
}

#[compio::test]
async fn leased_keys_go_with_the_lease() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    let ttl = Span::from_secs(1);
    let granted = client.ask(PlatformCall::Grant { ttl }).await;
    let Some(PlatformAnswer::Leased { lease, .. }) = granted else {
        panic!("{granted:?}");
    };
    let kept = client.ask(PlatformCall::KeepAlive { lease }).await;
    assert_eq!(kept, Some(PlatformAnswer::Leased { lease, ttl }));
    client.send(watch(1));
    let write = PlatformCall::Put {
        key: "/t/a".to_owned(),
        value: "1".to_owned(),
        expect: Expect::Absent,
        lease: Some(lease),
    };
    client.ask(write).await.expect("it is written");
    assert!(matches!(client.change().await, WatchEvent::Put(_)));
    assert!(matches!(client.change().await, WatchEvent::Deleted { .. }));
    let gone = client.ask(PlatformCall::KeepAlive { lease }).await;
    let ttl = Span::ZERO;
    assert_eq!(gone, Some(PlatformAnswer::Leased { lease, ttl }));
    let never = PlatformCall::Revoke { lease: LeaseId(99) };
    assert_eq!(client.ask(never).await, Some(PlatformAnswer::Revoked));
}

#[compio::test]
async fn lost_answers_fail_though_the_write_took_effect() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    stand_in.fault("lose_answers").await;
    assert_eq!(client.ask(put("/t/a", "1", Expect::Absent)).await, None);
    stand_in.fault("ok").await;
    assert_eq!(
        value_of(client.ask(get("/t/a")).await).as_deref(),
        Some("1")
    );
}

#[compio::test]
async fn refusals_fail_and_end_watches() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    client.ask(put("/t/a", "1", Expect::Absent)).await;
    client.send(watch(1));
    client.change().await;
    stand_in.fault("refuse").await;
    while !matches!(
        client.next().await,
        PlatformInput::WatchEnded {
            compacted: false,
            ..
        }
    ) {}
    assert_eq!(client.ask(get("/t/a")).await, None);
    stand_in.fault("ok").await;
    client.insist(get("/t/a")).await;
}

#[compio::test]
async fn silence_fails_calls_and_ends_watches() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    client.ask(put("/t/a", "1", Expect::Absent)).await;
    client.send(watch(1));
    client.change().await;
    stand_in.fault("hang").await;
    assert_eq!(client.ask(put("/t/b", "1", Expect::Absent)).await, None);
    while !matches!(client.next().await, PlatformInput::WatchEnded { .. }) {}
    stand_in.fault("ok").await;
    client.insist(get("/t/a")).await;
    client.send(watch(1));
    client.change().await;
}

#[compio::test]
async fn compaction_ends_a_watch_of_older_revisions() {
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    client.ask(put("/t/a", "1", Expect::Absent)).await;
    stand_in.tell("POST", "/compact", Value::Null).await;
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
async fn another_address_serves_when_one_is_gone() {
    let first = StandIn::start(&[]);
    let second = StandIn::start(&[]);
    let mut client = Client::new(&[first.kv, second.kv]);
    client.insist(get("/t/a")).await;
    drop(first);
    client.insist(get("/t/a")).await;
    drop(second);
    assert_eq!(client.ask(get("/t/a")).await, None);
}

#[compio::test]
async fn a_restarted_service_is_reached_again() {
    let first = StandIn::start(&[]);
    let mut client = Client::new(&[first.kv]);
    client.insist(get("/t/a")).await;
    let place = ["--kv".to_owned(), first.kv.to_string()];
    drop(first);
    let _second = StandIn::start(&place);
    client.insist(get("/t/a")).await;
}

/// A call given up while nothing else is open once made a timer panic.
#[compio::test]
async fn a_call_given_up_leaves_the_connection_sound() {
    let panics = Arc::new(AtomicU32::new(0));
    let counted = panics.clone();
    std::panic::set_hook(Box::new(move |panic| {
        eprintln!("{panic}");
        counted.fetch_add(1, Ordering::Relaxed);
    }));
    let stand_in = StandIn::start(&[]);
    let mut client = Client::new(&[stand_in.kv]);
    for _ in 0..2 {
        stand_in.fault("hang").await;
        assert_eq!(client.ask(get("/t/a")).await, None);
        stand_in.fault("ok").await;
        client.insist(get("/t/a")).await;
    }
    assert_eq!(panics.load(Ordering::Relaxed), 0);
}

#[compio::test]
async fn hosts_are_passed_on_when_the_list_changes() {
    let stand_in = StandIn::start(&[]);
    let entry = json!({
        "host": "h1", "hall": "sindos", "domain": "f1", "address": "127.0.0.1:9",
        "accelerators": 4, "kind": "engine", "leaving": false, "checks": "fenced",
    });
    stand_in.tell("PUT", "/hosts", json!([entry])).await;
    let (inbox, mut inputs) = Inbox::new();
    host_list::start(inbox, stand_in.hosts);
    let mut next = async || {
        let input = compio::time::timeout(PATIENCE, inputs.next()).await;
        input.expect("an input in time")
    };
    let Some(Input::Hosts(HostsInput::Listed(listed))) = next().await else {
        panic!("no list");
    };
    assert!(!listed[0].leaving);
    stand_in
        .tell("POST", "/hosts/h1", json!({"leaving": true}))
        .await;
    let Some(Input::Hosts(HostsInput::Listed(listed))) = next().await else {
        panic!("no list");
    };
    assert!(listed[0].leaving);
    drop(stand_in);
    assert_eq!(next().await, Some(Input::Hosts(HostsInput::Failed)));
}
