//! Messages and relayed calls between daemons on loopback, with the test as the decision logic.

use compio::{
    BufResult,
    io::{AsyncRead as _, AsyncWrite as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt as _;
use hickoryledge::{
    core::{
        ctx::Identity,
        input::{CallInput, CallRequest, Failure, Input, Payload, PeerInput, RunnerInput, Target},
        keys::{AttemptId, CallId, Incarnation, KeyHash},
        member::MemberMessage,
        message::Message,
        output::{CallOutput, Doubt, Ending, Refusal, Transport},
    },
    settings::{self, Settings},
    shell::{
        calls::{Calls, ForwardedRequest, OpenCall, ResponseHead},
        inbox::Inbox,
        peers::{Peers, Sockets},
        relay::RelayClient,
    },
};
use http::{HeaderMap, Method, StatusCode};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    path::Path,
    rc::Rc,
    time::Duration,
};

/// Time to wait for an input that must arrive.
const INPUT_TIMEOUT: Duration = Duration::from_secs(20);

/// Sockets, calls and relays of a daemon.
struct Daemon {
    peer: SocketAddr,
    peers: Peers,
    relays: RelayClient,
    calls: Rc<Calls>,
    inputs: UnboundedReceiver<Input>,
}

impl Daemon {
    async fn start(name: &str, key: &str) -> Self {
        Self::start_announcing(name, key, None).await.0
    }

    /// Starts a daemon that announces `peer` as its address; returns its actual address too.
    async fn start_announcing(
        name: &str,
        key: &str,
        peer: Option<SocketAddr>,
    ) -> (Self, SocketAddr) {
        let settings = settings(name, key);
        let sockets = Sockets::bind(settings.listen.peer)
            .await
            .expect("the socket binds");
        let bound = sockets.address().expect("the socket has an address");
        let peer = peer.unwrap_or(bound);
        let (inbox, inputs) = Inbox::new();
        let calls = Rc::new(Calls::new(inbox.clone()));
        let me = identity(&settings, peer);
        let daemon = Self {
            peer,
            peers: Peers::start(sockets, inbox.clone(), calls.clone(), &me, &settings),
            relays: RelayClient::new(inbox, calls.clone(), &me, &settings),
            calls,
            inputs,
        };
        (daemon, bound)
    }

    async fn input(&mut self) -> Input {
        let input = compio::time::timeout(INPUT_TIMEOUT, self.inputs.next()).await;
        input
            .expect("an input arrives in time")
            .expect("the inbox is open")
    }

    /// Returns true if no input is waiting.
    fn is_quiet(&mut self) -> bool {
        self.inputs.try_recv().is_err()
    }

    /// Waits for a call to arrive.
    async fn call(&mut self) -> (CallId, CallRequest) {
        match self.input().await {
            Input::Call(CallInput::Arrived { call, request }) => (call, request),
            other => panic!("{other:?}"),
        }
    }

    /// Waits for the next event of a relayed call.
    async fn runner(&mut self) -> RunnerInput {
        match self.input().await {
            Input::Runner(input) => input,
            other => panic!("{other:?}"),
        }
    }

    /// Opens a call here and relays it to another daemon.
    async fn relay(&mut self, to: SocketAddr) -> (OpenCall, compio::runtime::JoinHandle<()>) {
        let open = self.calls.open(body());
        let (call, _) = self.call().await;
        let relays = self.relays.clone();
        let task = compio::runtime::spawn(async move {
            relays.relay(ATTEMPT, call, to).await;
        });
        (open, task)
    }
}

const ATTEMPT: AttemptId = AttemptId(7);

fn settings(name: &str, key: &str) -> Settings {
    let text = format!(
        "name: {name}\nregion: north\nhall: east\nregions: {{north: [east]}}\n\
         listen: {{caller: 127.0.0.1:0, peer: 127.0.0.1:0, operator: 127.0.0.1:0}}\n\
         platform: [127.0.0.1:1]\nhost_list: 127.0.0.1:1\n\
         peer_key: {key} of the daemons\noperator_token: a token of the operators\n"
    );
    settings::parse(&text, Path::new(".")).expect("the settings are valid")
}

fn identity(settings: &Settings, peer: SocketAddr) -> Identity {
    Identity {
        name: settings.name.clone(),
        incarnation: Incarnation(1),
        region: settings.region.clone(),
        hall: settings.hall.clone(),
        caller: settings.listen.caller,
        peer,
        seeds: Vec::new(),
        secret: 1,
    }
}

fn body() -> ForwardedRequest {
    let mut headers = HeaderMap::new();
    headers.insert(
        "content-type",
        "text/plain".parse().expect("the value is valid"),
    );
    ForwardedRequest {
        method: Method::PUT,
        path: "/ledger?x=1".to_owned(),
        headers,
        body: "a body".into(),
        request: CallRequest {
            credential: KeyHash([1; 32]),
            target: Target::Service {
                service: "ledger".into(),
            },
            idempotent: false,
            ticket: None,
            idempotency_key: Some("k".into()),
            deadline: None,
            prompt_tokens: 0,
            max_tokens: 0,
            prefix: Vec::new(),
            relayed_by: None,
        },
    }
}

fn message(number: u64) -> Message {
    Message::Member(MemberMessage::IndirectAck { number })
}

fn number(input: Input) -> (SocketAddr, u64) {
    match input {
        Input::Peer(PeerInput::Received {
            address,
            message: Message::Member(MemberMessage::IndirectAck { number }),
            ..
        }) => (address, number),
        other => panic!("{other:?}"),
    }
}

#[compio::test]
async fn delivers_messages_both_ways_with_reply_address() {
    let mut a = Daemon::start("a", "a key").await;
    let mut b = Daemon::start("b", "a key").await;
    for (n, transport) in [(1, Transport::Datagram), (2, Transport::Stream)] {
        a.peers.perform(b.peer, transport, message(n));
        assert_eq!(number(b.input().await), (a.peer, n));
        b.peers.perform(a.peer, transport, message(n));
        assert_eq!(number(a.input().await), (b.peer, n));
    }
}

#[compio::test]
async fn drops_messages_sealed_with_another_key() {
    let stranger = Daemon::start("s", "another key").await;
    let a = Daemon::start("a", "a key").await;
    let mut b = Daemon::start("b", "a key").await;
    stranger
        .peers
        .perform(b.peer, Transport::Datagram, message(1));
    stranger
        .peers
        .perform(b.peer, Transport::Stream, message(2));
    a.peers.perform(b.peer, Transport::Datagram, message(3));
    a.peers.perform(b.peer, Transport::Stream, message(4));
    let mut received = [number(b.input().await).1, number(b.input().await).1];
    received.sort_unstable();
    assert_eq!(received, [3, 4]);
}

#[compio::test]
async fn reports_undeliverable_message() {
    let mut a = Daemon::start("a", "a key").await;
    let gone = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the socket binds");
    let address = gone.local_addr().expect("the socket has an address");
    drop(gone);
    a.peers.perform(address, Transport::Stream, message(1));
    let undelivered = Input::Peer(PeerInput::Undelivered { address });
    assert_eq!(a.input().await, undelivered);
}

/// A message sent on a connection that drops everything arrives once, over a new connection.
#[compio::test]
async fn replaces_silent_connection() {
    let mut a = Daemon::start("a", "a key").await;
    let (mut b, proxy) = start_proxied("b").await;
    a.peers.perform(b.peer, Transport::Stream, message(1));
    assert_eq!(number(b.input().await), (a.peer, 1));
    proxy.drop_all();
    a.peers.perform(b.peer, Transport::Stream, message(2));
    a.peers.perform(b.peer, Transport::Stream, message(3));
    assert_eq!(number(b.input().await), (a.peer, 2));
    assert_eq!(number(b.input().await), (a.peer, 3));
    assert!(a.is_quiet() && b.is_quiet());
}

/// A lost acknowledgement has the message sent again; the receiver must deliver it once.
#[compio::test]
async fn delivers_once_when_acknowledgement_is_lost() {
    let mut a = Daemon::start("a", "a key").await;
    let (mut b, proxy) = start_proxied("b").await;
    a.peers.perform(b.peer, Transport::Stream, message(1));
    assert_eq!(number(b.input().await), (a.peer, 1));
    proxy.drop_answers();
    a.peers.perform(b.peer, Transport::Stream, message(2));
    a.peers.perform(b.peer, Transport::Stream, message(3));
    assert_eq!(number(b.input().await), (a.peer, 2));
    assert_eq!(number(b.input().await), (a.peer, 3));
    assert!(a.is_quiet() && b.is_quiet());
}

/// Recorded bytes of a relayed call, replayed on another connection, must not run the call again.
#[compio::test]
async fn ignores_replayed_call() {
    let mut a = Daemon::start("a", "a key").await;
    let (mut b, proxy) = start_proxied("b").await;
    let (_open, _task) = a.relay(b.peer).await;
    let (call, _) = b.call().await;
    b.calls.perform(end(call, Ending::Complete));
    assert_eq!(a.runner().await, RunnerInput::Finished { attempt: ATTEMPT });

    let mut replay = TcpStream::connect(proxy.target)
        .await
        .expect("the connection opens");
    let recorded = proxy.recorded.borrow().clone();
    replay
        .write_all(recorded)
        .await
        .0
        .expect("the bytes are sent");
    let BufResult(read, _) = replay.read(Vec::with_capacity(16)).await;
    read.expect("the connection is answered or closed");
    assert!(b.is_quiet());
}

#[compio::test]
async fn relays_call_and_complete_answer() {
    let mut a = Daemon::start("a", "a key").await;
    let mut b = Daemon::start("b", "a key").await;
    let (_open, _task) = a.relay(b.peer).await;
    let (call, request) = b.call().await;
    assert_eq!(request.relayed_by, Some("a".into()));
    assert!(!request.idempotent);
    let got = b.calls.forwarded(call).expect("the body is kept");
    assert_eq!(
        (&got.method, got.path.as_str()),
        (&Method::PUT, "/ledger?x=1")
    );
    assert_eq!(got.body, "a body");
    assert_eq!(got.headers["content-type"], "text/plain");
    answer(&b, call, "part");
    b.calls.perform(end(call, Ending::Complete));
    assert!(
        matches!(a.runner().await, RunnerInput::Accepted { attempt, .. } if attempt == ATTEMPT)
    );
    match a.runner().await {
        RunnerInput::Chunk {
            offset,
            tokens,
            payload,
            ..
        } => assert_eq!((offset, tokens, payload), (3, 2, Payload("part".into()))),
        other => panic!("{other:?}"),
    }
    assert_eq!(a.runner().await, RunnerInput::Finished { attempt: ATTEMPT });
    assert!(a.is_quiet());
}

/// Sends the head and one chunk of the response to a call.
fn answer(daemon: &Daemon, call: CallId, text: &'static str) {
    let attempt = AttemptId(1);
    let head = ResponseHead {
        status: StatusCode::CREATED,
        headers: HeaderMap::new(),
    };
    daemon.calls.store_head(attempt, head);
    daemon.calls.perform(CallOutput::Begin { call, attempt });
    daemon.calls.perform(CallOutput::Deliver {
        call,
        offset: 3,
        tokens: 2,
        payload: Payload(text.into()),
    });
}

fn end(call: CallId, ending: Ending) -> CallOutput {
    CallOutput::End { call, ending }
}

#[compio::test]
async fn reports_how_relayed_call_ended() {
    let refused = Ending::Refused {
        reason: Refusal::Overloaded,
        retry_after: None,
    };
    let unknown = Ending::Unknown(Doubt::Cut);
    for (ending, failure) in [(refused, Failure::Declined), (unknown, Failure::Unknown)] {
        let mut a = Daemon::start("a", "a key").await;
        let mut b = Daemon::start("b", "a key").await;
        let (_open, _task) = a.relay(b.peer).await;
        let (call, _) = b.call().await;
        b.calls.perform(end(call, ending));
        let attempt = ATTEMPT;
        assert_eq!(a.runner().await, RunnerInput::Failed { attempt, failure });
    }
}

/// A relayed call whose connection is cut may have run; one that found no connection has not.
#[compio::test]
async fn distinguishes_unsent_relay_from_cut_one() {
    let mut a = Daemon::start("a", "a key").await;
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the socket binds");
    let address = listener.local_addr().expect("the socket has an address");
    let (_open, _task) = a.relay(address).await;
    let (mut stream, _) = listener.accept().await.expect("the connection opens");
    let BufResult(read, _) = stream.read(Vec::with_capacity(16)).await;
    read.expect("the call is sent");
    drop((stream, listener));
    let attempt = ATTEMPT;
    let failure = Failure::Unknown;
    assert_eq!(a.runner().await, RunnerInput::Failed { attempt, failure });

    let (_open, _task) = a.relay(address).await;
    let failure = Failure::NotSent;
    assert_eq!(a.runner().await, RunnerInput::Failed { attempt, failure });
}

#[compio::test]
async fn cancels_relayed_call_at_other_daemon() {
    let mut a = Daemon::start("a", "a key").await;
    let mut b = Daemon::start("b", "a key").await;
    let (_open, task) = a.relay(b.peer).await;
    let (call, _) = b.call().await;
    drop(task);
    let gone = Input::Call(CallInput::Gone { call });
    assert_eq!(b.input().await, gone);
}

/// TCP proxy in front of a daemon that drops bytes on request.
struct Proxy {
    target: SocketAddr,
    recorded: Rc<RefCell<Vec<u8>>>,
    flags: Flags,
}

/// For each connection, flags to drop the bytes to the daemon and those from it.
type Flags = Rc<RefCell<Vec<[Rc<Cell<bool>>; 2]>>>;

impl Proxy {
    /// Drops all bytes on the connections open now, but none on later ones.
    fn drop_all(&self) {
        self.flags
            .borrow()
            .iter()
            .flatten()
            .for_each(|f| f.set(true));
    }

    /// Drops the bytes from the daemon on the connections open now.
    fn drop_answers(&self) {
        self.flags.borrow().iter().for_each(|[_, f]| f.set(true));
    }
}

/// Starts a daemon that announces a proxy's address.
async fn start_proxied(name: &str) -> (Daemon, Proxy) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the socket binds");
    let address = listener.local_addr().expect("the socket has an address");
    let (daemon, target) = Daemon::start_announcing(name, "a key", Some(address)).await;
    let proxy = Proxy {
        target,
        recorded: Rc::default(),
        flags: Rc::default(),
    };
    let (flags, recorded) = (proxy.flags.clone(), proxy.recorded.clone());
    compio::runtime::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(target)
                .await
                .expect("the connection opens");
            let pair: [Rc<Cell<bool>>; 2] = Default::default();
            flags.borrow_mut().push(pair.clone());
            let [sent, answered] = pair;
            let (near, far) = (near.into_split(), far.into_split());
            let discarded = Rc::default();
            compio::runtime::spawn(copy(near.0, far.1, sent, recorded.clone())).detach();
            compio::runtime::spawn(copy(far.0, near.1, answered, discarded)).detach();
        }
    })
    .detach();
    (daemon, proxy)
}

/// Copies bytes from one connection to the other, recording them.
async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    is_dropping: Rc<Cell<bool>>,
    recorded: Rc<RefCell<Vec<u8>>>,
) {
    loop {
        let BufResult(read, bytes) = from.read(Vec::with_capacity(4_096)).await;
        if read.unwrap_or(0) == 0 {
            let _ = to.shutdown().await;
            return;
        }
        recorded.borrow_mut().extend_from_slice(&bytes);
        if !is_dropping.get() && to.write_all(bytes).await.0.is_err() {
            return;
        }
    }
}
