//! Bytes without end in place of reports, of responses to orders and of the store, and from peers.

use super::{
    env::{Daemon, TestEnv},
    memory::MEMORY_LIMIT,
    store::ListTrouble,
    trouble::{Endless, TroubleCount, kilobyte},
};
use serde_json::{Value, json};
use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Troubles that a test waits for, so that each reader meets some.
const MIN_TROUBLES: usize = 4;

/// Connections at once from peers in trouble.
const PEER_CONNECTIONS: usize = 60;

/// Responses without end that a daemon meets where it asks for JSON.
const RESPONSES: [Endless; 5] = [
    Endless::new("header", "HTTP/1.1 200 OK\r\nX-Long: ", |_| kilobyte()),
    Endless::new("interim", "", |_| {
        "HTTP/1.1 100 Continue\r\n\r\n".to_owned()
    }),
    Endless::new("drip", "HTTP/1.1 200 OK\r\nX-Slow: ", |_| "x".to_owned())
        .dripping(Duration::from_millis(20)),
    Endless::new("no length", "HTTP/1.1 200 OK\r\n\r\n{\"Items\":[", |_| {
        "{},".repeat(256)
    }),
    Endless::new(
        "followed",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        |_| kilobyte(),
    ),
];

/// Responses that cost a reader most, for the test that waits for a repair after each.
const COSTLY_RESPONSES: [Endless; 2] = [RESPONSES[1], RESPONSES[3]];

/// Frames of a peer: one that is invalid, one that is too long, and one that is never whole.
const FRAMES: [Endless; 3] = [
    Endless::new("invalid frames", "", |_| {
        format!("\0\0\u{4}\0{}", "\u{7f}".repeat(1 << 10))
    }),
    Endless::new("long frame", "\u{7f}\u{7f}\u{7f}\u{7f}", |_| kilobyte()),
    Endless::new("open frame", "\0\0\u{4}\0", |_| "\u{7f}".to_owned())
        .dripping(Duration::from_millis(100)),
];

impl TestEnv {
    /// Asserts that the daemon serves all kinds of requests within its memory.
    fn check_serving(&self, case: &str) {
        let response = self.call("GET", "/read/x", &[], "");
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, "usual"),
            "{case}: {response:?}"
        );
        self.eventually(&format!("a stream is served: {case}"), |env| {
            env.stream(&[]).status == 200
        });
        let peak = self.daemon.peak_memory();
        assert!(peak < MEMORY_LIMIT, "{case}: {} MiB", peak >> 20);
    }

    /// Returns the address of a daemon for other daemons.
    pub fn peer_address(&self, name: &str) -> SocketAddr {
        let entry = self.store.value(&format!("hickoryledge/daemons/{name}"));
        let entry: Value = serde_json::from_str(&entry).expect("an entry");
        let address = entry["peer"].as_str().expect("an address");
        address.parse().expect("an address")
    }
}

/// Peer that sends frames without end to each subscriber.
struct TroubledPeer {
    address: SocketAddr,
    troubles: TroubleCount,
}

impl TroubledPeer {
    fn start(trouble: Endless) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let peer = Arc::new(Self {
            address: listener.local_addr().expect("bound"),
            troubles: TroubleCount::default(),
        });
        let acceptor = peer.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let peer = acceptor.clone();
                thread::spawn(move || peer.send(stream, trouble));
            }
        });
        peer
    }

    fn send(&self, mut stream: TcpStream, trouble: Endless) {
        self.troubles.write(trouble, &mut stream, "", 1);
    }

    fn has_closed_all(&self) -> bool {
        self.troubles.started() > 0 && self.troubles.open() == 0
    }
}

#[test]
fn endless_reports_and_order_responses_harm_no_request() {
    let env = TestEnv::start();
    for trouble in COSTLY_RESPONSES {
        let head = &env.heads[0];
        let before = head.troubles.started();
        head.trouble_control(Some(trouble));
        // Its new run has no group yet, so that it is given orders too.
        head.restart();
        env.eventually(
            &format!("the daemon meets trouble: {}", trouble.name),
            |_| head.troubles.started() >= before + MIN_TROUBLES,
        );
        env.check_serving(trouble.name);
        head.trouble_control(None);
        env.eventually(&format!("the head serves again: {}", trouble.name), |_| {
            head.is_open() && head.troubles.open() == 0
        });
    }
}

#[test]
fn endless_responses_of_store_harm_no_request() {
    let env = TestEnv::start();
    for (version, trouble) in (2..).zip(RESPONSES) {
        let before = env.store.troubles.started();
        env.store.set_trouble(Some(trouble));
        env.eventually(
            &format!("the daemon meets trouble: {}", trouble.name),
            |env| env.store.troubles.started() >= before + MIN_TROUBLES,
        );
        env.check_serving(trouble.name);
        env.store.set_trouble(None);
        env.configure(version);
        env.eventually(
            &format!("version {version} is used: {}", trouble.name),
            |env| {
                let is_moved = env.call("GET", "/moved/x", &[], "").status == 200;
                is_moved == (version % 2 == 1) && env.store.troubles.open() == 0
            },
        );
    }
}

/// Entries of another writer, which make a page of a list long.
const FOREIGN_ENTRIES: usize = 400;

/// Size of the value of each.
const FOREIGN_ENTRY_BYTES: usize = 4 << 10;

/// Time for which lists don't come to their end.
const LIST_TIME: Duration = Duration::from_secs(15);

/// Has the daemon list the runners anew while no list comes to its end.
fn check_list_trouble(trouble: ListTrouble) {
    let env = TestEnv::start();
    let value = "x".repeat(FOREIGN_ENTRY_BYTES);
    for number in 0..FOREIGN_ENTRIES {
        env.store.put(&format!("servers/a{number}"), &value);
    }
    // The runners stand on the second page.
    env.store.set_page_size(FOREIGN_ENTRIES);
    env.store.set_list_trouble(Some(trouble));
    env.store.forget_history();
    let until = Instant::now() + LIST_TIME;
    while Instant::now() < until {
        env.check_serving("no list comes to its end");
        thread::sleep(Duration::from_millis(100));
    }
    env.store.set_list_trouble(None);
    env.store.delete("servers/p1");
    env.eventually("the departure is known", |env| {
        let before = env.plain_runners[0].requests().len();
        let served = (0..20).all(|_| env.call("GET", "/read/x", &[], "").status == 200);
        served && env.plain_runners[0].requests().len() == before
    });
}

/// Guards against pages that are kept until the memory is used up.
#[test]
fn list_that_begins_again_on_each_page_harms_no_request() {
    check_list_trouble(ListTrouble::Repeated);
}

/// The same where each page has other keys.
#[test]
fn list_without_end_harms_no_request() {
    check_list_trouble(ListTrouble::Endless);
}

/// Guards against runners that are dropped because a list passes for whole before its end.
#[test]
fn list_that_stops_before_its_end_harms_no_request() {
    check_list_trouble(ListTrouble::Empty);
}

#[test]
fn daemon_starts_beside_store_in_trouble() {
    let env = TestEnv::start();
    for (index, trouble) in RESPONSES.iter().enumerate() {
        let before = env.store.troubles.started();
        env.store.set_trouble(Some(*trouble));
        let daemon = env.start_daemon(&format!("e{index}"));
        env.eventually(
            &format!("the daemon meets trouble: {}", trouble.name),
            |env| env.store.troubles.started() >= before + MIN_TROUBLES,
        );
        let status = env.call_at(&daemon, "GET", "/read/x", &[], "").status;
        assert_eq!(status, 503, "{}", trouble.name);
        env.store.set_trouble(None);
        env.eventually(&format!("requests are served: {}", trouble.name), |env| {
            env.call_at(&daemon, "GET", "/read/x", &[], "").status == 200
        });
        let peak = daemon.peak_memory();
        assert!(peak < MEMORY_LIMIT, "{}: {} MiB", trouble.name, peak >> 20);
    }
}

#[test]
fn endless_frames_of_subscribers_harm_no_request() {
    let env = TestEnv::start();
    env.eventually("the daemon has an entry", |env| {
        !env.store.value("hickoryledge/daemons/d1").is_empty()
    });
    let address = env.peer_address("d1");
    for trouble in FRAMES {
        let closed = thread::scope(|scope| {
            let peers = (0..PEER_CONNECTIONS).map(|_| {
                scope.spawn(|| {
                    let mut stream = TcpStream::connect(address).expect("the daemon listens");
                    trouble.write(&mut stream, "", 1)
                })
            });
            let peers: Vec<_> = peers.collect();
            env.check_serving(trouble.name);
            let closed = peers.into_iter().map(|peer| peer.join().expect("written"));
            closed.filter(|is_closed| *is_closed).count()
        });
        assert_eq!(closed, PEER_CONNECTIONS, "{}", trouble.name);
        env.check_serving(trouble.name);
    }
}

#[test]
fn endless_frames_of_watchers_harm_no_request() {
    for (version, trouble) in (2..).zip(FRAMES) {
        let env = TestEnv::start();
        let peers = ["a1", "a2", "a3"].map(|name| {
            let peer = TroubledPeer::start(trouble);
            let entry = json!({
                "caller": "127.0.0.1:9", "hall": "hall", "peer": peer.address,
                "processor_percent": 900,
            });
            let key = format!("hickoryledge/daemons/{name}");
            env.store.put(&key, &entry.to_string());
            peer
        });
        let daemon: Daemon = env.start_daemon("e1");
        env.eventually(&format!("watchers are left: {}", trouble.name), |_| {
            peers.iter().any(|peer| peer.has_closed_all())
        });
        env.configure(version);
        env.eventually(
            &format!("version {version} is used: {}", trouble.name),
            |env| {
                let moved = env.call_at(&daemon, "GET", "/moved/x", &[], "");
                moved.status == if version % 2 == 1 { 200 } else { 404 }
            },
        );
        let peak = daemon.peak_memory();
        assert!(peak < MEMORY_LIMIT, "{}: {} MiB", trouble.name, peak >> 20);
    }
}
