//! Malformed messages from all sides, with fixed seeds: the process lives, serves, and follows the
//! store, and no task of it panics.
//!
//! Elsewhere such a message ended a process, or the task that read it.

use super::{
    client::send_request,
    config::API_KEY,
    env::{DaemonSettings, TestEnv, wait_until},
    runner::Behavior,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use serde_json::{Value, json};
use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    thread,
    time::Duration,
};

/// Datagrams of each kind.
const DATAGRAMS: usize = 400;

/// Kinds of datagrams, and some that there are not.
const KINDS: u8 = 14;

/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 2_300;

/// Frames that are sent to a daemon that others subscribe to, and that a watcher sends.
const FRAMES: usize = 150;

/// Time to wait for the response to a malformed request, which may wait for more of it.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Appends a number in the encoding of the messages.
fn push_number(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 128 {
        bytes.push(number as u8 | 128);
        number >>= 7;
    }
    bytes.push(number as u8);
}

fn push_text(bytes: &mut Vec<u8>, text: &str) {
    push_number(bytes, text.len() as u64);
    bytes.extend_from_slice(text.as_bytes());
}

/// Appends a random value of one of the types that messages are made of, often an extreme one.
fn push_value(bytes: &mut Vec<u8>, rng: &mut SmallRng) {
    const NUMBERS: [u64; 10] = [
        0,
        1,
        2,
        7,
        127,
        u16::MAX as u64,
        u32::MAX as u64,
        i64::MAX as u64,
        u64::MAX - 1,
        u64::MAX,
    ];
    const FRACTIONS: [f64; 7] = [
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        -1.0,
        0.0,
        1e308,
        5e-324,
    ];
    const TEXTS: [&str; 7] = [
        "",
        "h1",
        "p1",
        "servers/",
        "op/config",
        "hickoryledge/",
        "\u{0}",
    ];
    match rng.random_range(0..6) {
        0..=2 => push_number(bytes, *NUMBERS.choose(rng).expect("some")),
        3 => bytes.extend_from_slice(&FRACTIONS.choose(rng).expect("some").to_le_bytes()),
        4 => push_text(bytes, TEXTS.choose(rng).expect("some")),
        _ => bytes.push(rng.random()),
    }
}

/// Returns a message that begins with the number of its kind.
fn message(kind: u8, max_bytes: usize, rng: &mut SmallRng) -> Vec<u8> {
    let mut bytes = vec![kind];
    let length = match rng.random_range(0..10) {
        0 => max_bytes,
        _ => rng.random_range(0..60),
    };
    while bytes.len() < length {
        push_value(&mut bytes, rng);
    }
    bytes.truncate(max_bytes);
    bytes
}

/// Writes an entry of a daemon that doesn't exist at an address for other daemons.
fn register_peer(env: &TestEnv, name: &str, address: SocketAddr) {
    let entry = json!({
        "caller": "127.0.0.1:9", "hall": "hall", "peer": address, "processor_percent": 900,
    });
    env.store
        .put(&format!("hickoryledge/daemons/{name}"), &entry.to_string());
}

impl TestEnv {
    /// Checks that the daemon serves, and uses a new version of the configuration.
    fn check_sound(&mut self, case: &str, version: u64) {
        self.configure(version);
        let status = if version % 2 == 1 { 200 } else { 404 };
        self.eventually(&format!("version {version} is used: {case}"), |env| {
            env.call("GET", "/moved/x", &[], "").status == status
        });
        self.eventually(&format!("requests are served: {case}"), |env| {
            env.call("GET", "/read/x", &[], "").status == 200 && env.stream(&[]).status == 200
        });
        assert_eq!(self.daemon.exit_status(), None, "{case}");
    }
}

#[test]
fn malformed_datagrams_harm_no_daemon() {
    let mut env = TestEnv::start();
    wait_until("the daemon has an entry", || {
        !env.store.value("hickoryledge/daemons/d1").is_empty()
    });
    let target = env.peer_address("d1");
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let known = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    register_peer(&env, "zz", known.local_addr().expect("bound"));
    for seed in 0..4 {
        let mut rng = SmallRng::seed_from_u64(seed);
        for kind in 0..KINDS {
            for number in 0..DATAGRAMS {
                let socket = if number % 2 == 0 { &stranger } else { &known };
                let bytes = message(kind, MAX_DATAGRAM_BYTES, &mut rng);
                socket.send_to(&bytes, target).expect("sent");
                if number % 16 == 0 {
                    // More would be dropped by the socket.
                    thread::sleep(Duration::from_millis(1));
                }
            }
        }
        env.check_sound(&format!("datagrams, seed {seed}"), 2 + seed);
    }
}

#[test]
fn malformed_subscriptions_harm_no_daemon() {
    let mut env = TestEnv::start();
    wait_until("the daemon has an entry", || {
        !env.store.value("hickoryledge/daemons/d1").is_empty()
    });
    let target = env.peer_address("d1");
    let mut rng = SmallRng::seed_from_u64(11);
    let prefixes = ["servers/", "op/config", "hickoryledge/", "op/", "", "\u{0}"];
    let mut open = Vec::new();
    for number in 0..FRAMES {
        let mut frame = Vec::new();
        if number % 3 > 0 {
            push_text(&mut frame, prefixes.choose(&mut rng).expect("some"));
        }
        (0..number % 5).for_each(|_| push_value(&mut frame, &mut rng));
        let length = match number % 4 {
            0 => rng.random(),
            _ => frame.len() as u32,
        };
        let mut stream = TcpStream::connect(target).expect("the daemon listens");
        stream.write_all(&length.to_be_bytes()).expect("sent");
        // A frame that is too long ends the connection.
        let _ = stream.write_all(&frame);
        open.push(stream);
    }
    env.check_sound("subscriptions", 2);
    drop(open);
    env.check_sound("subscriptions ended", 3);
}

/// Returns a message with changes, some of them possible, from a watcher.
fn changes(rng: &mut SmallRng) -> Vec<u8> {
    let signed = |number: i64| ((number << 1) ^ (number >> 63)) as u64;
    let revisions = [i64::MIN, -1, 0, 1, 40, 1 << 40, i64::MAX - 1, i64::MAX];
    let revision = |rng: &mut SmallRng| signed(*revisions.choose(rng).expect("some"));
    let mut bytes = vec![0];
    push_number(&mut bytes, revision(rng));
    let count = rng.random_range(0..3);
    push_number(&mut bytes, count);
    for _ in 0..count {
        bytes.push(rng.random_range(0..2));
        (0..rng.random_range(1..6)).for_each(|_| push_value(&mut bytes, rng));
    }
    push_number(&mut bytes, [0, 1, u64::MAX][rng.random_range(0..3)]);
    push_number(
        &mut bytes,
        [0, 1, u64::from(u32::MAX)][rng.random_range(0..3)],
    );
    bytes
}

/// Serves subscribers with messages of a kind, and nothing after them.
fn serve_changes<F>(listener: TcpListener, next: F)
where
    F: Fn(usize) -> Vec<u8> + Send + 'static,
{
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let mut stream = stream;
            let frame = next(number);
            let length = (frame.len() as u32).to_be_bytes();
            // The subscriber may leave at any time.
            let _ = stream.write_all(&length);
            let _ = stream.write_all(&frame);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(50));
                drop(stream);
            });
        }
    });
}

#[test]
fn malformed_changes_of_a_watcher_harm_no_subscriber() {
    let env = TestEnv::start();
    for name in ["a1", "a2", "a3"] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        register_peer(&env, name, listener.local_addr().expect("bound"));
        serve_changes(listener, |number| {
            let mut rng = SmallRng::seed_from_u64(number as u64);
            match number % 3 {
                0 => message(0, 200, &mut rng),
                _ => changes(&mut rng),
            }
        });
    }
    let mut daemon = env.start_daemon_with(DaemonSettings::new("e1", env.store_address()));
    wait_until("the daemon serves", || {
        env.call_at(&daemon, "GET", "/read/x", &[], "").status == 200
    });
    thread::sleep(Duration::from_secs(8));
    for name in ["a1", "a2", "a3"] {
        env.store.delete(&format!("hickoryledge/daemons/{name}"));
    }
    env.configure(2);
    wait_until("the configuration is in force", || {
        env.call_at(&daemon, "GET", "/moved/x", &[], "").status == 404
    });
    assert_eq!(env.call_at(&daemon, "GET", "/read/x", &[], "").status, 200);
    assert_eq!(daemon.exit_status(), None);
}

/// Values that each field of an entry has once.
fn odd_values() -> Vec<String> {
    let texts = [
        "null",
        "true",
        "-1",
        "0",
        "0.5",
        "1e308",
        "-1e308",
        "4294967296",
        "18446744073709551615",
        "-9223372036854775808",
        "99999999999999999999999999",
        "\"\"",
        "\"\\u0000\"",
        "\"/\"",
        "[]",
        "[null]",
        "{}",
        "{\"\":{}}",
    ];
    texts.map(str::to_owned).to_vec()
}

/// Returns the paths of all fields in a value.
fn paths(value: &Value, path: &str, found: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields
            .iter()
            .map(|(key, child)| (key.clone(), child))
            .collect(),
        Value::Array(items) => {
            let items = items.iter().enumerate();
            items
                .map(|(index, child)| (index.to_string(), child))
                .collect()
        }
        _ => Vec::new(),
    };
    for (key, child) in children {
        let path = format!("{path}/{key}");
        found.push(path.clone());
        paths(child, &path, found);
    }
}

/// Returns a value with one field replaced by a text.
fn with_field(value: &Value, path: &str, text: &str) -> String {
    let mut changed = value.clone();
    *changed.pointer_mut(path).expect("a field") = json!("@odd@");
    changed.to_string().replace("\"@odd@\"", text)
}

/// Writes each entry with each field replaced by each odd value.
fn put_all(env: &TestEnv, key: &str, value: &Value, skipped: &[&str]) {
    let mut fields = Vec::new();
    paths(value, "", &mut fields);
    fields.retain(|field| !skipped.contains(&field.as_str()));
    for field in fields {
        for text in odd_values() {
            env.store.put(key, &with_field(value, &field, &text));
        }
        // The daemon is to read some of them as changes, not only the last one.
        thread::sleep(Duration::from_millis(30));
    }
}

#[test]
fn malformed_values_of_the_store_harm_no_daemon() {
    let mut env = TestEnv::start();
    let mut later = env.start_daemon("d2");
    let runner = json!({
        "Service": "plain", "Address": "127.0.0.1:9", "Zone": "hall", "Version": "v1",
        "Slots": 8, "State": "draining", "ColdLeftMs": 0, "Phase": "unified", "Domain": "x",
        "Models": [{"Name": "m", "Version": 1}], "Staged": ["m"], "born": 7, "Seq": 1,
        "group": {"Name": "g", "epoch": 3, "rank": 0, "State": "open"},
    });
    put_all(&env, "servers/odd", &runner, &[]);
    env.check_sound("runner", 2);
    let daemon = json!({
        "caller": "127.0.0.1:9", "hall": "hall", "peer": null, "relay": null,
        "processor_percent": 1,
    });
    put_all(&env, "hickoryledge/daemons/odd", &daemon, &[]);
    env.check_sound("daemon", 3);
    let health = json!({
        "lost": [["odd", 7]], "dead": [["odd", 7]], "ended": [3], "slow": [["odd", 7], 2.0],
        "era": null,
    });
    put_all(&env, "hickoryledge/lost", &health, &[]);
    put_all(
        &env,
        "hickoryledge/quarantine/request-1",
        &json!({"by": "d", "at": 1}),
        &[],
    );
    for key in [
        "",
        "x",
        "daemons/",
        "quarantine/",
        "quarantine/zz",
        "quarantine/request-",
    ] {
        env.store.put(&format!("hickoryledge/{key}"), "{}");
    }
    env.store.delete("hickoryledge/lost");
    env.check_sound("health", 4);
    let config: Value = serde_json::from_str(&env.store.value("op/config")).expect("JSON");
    put_all(&env, "op/config", &config, &["/Version"]);
    env.check_sound("configuration", 5);
    env.store.forget_history();
    env.check_sound("listed anew", 6);
    let third = env.start_daemon("d3");
    wait_until("a daemon that starts serves", || {
        env.call_at(&third, "GET", "/read/x", &[], "").status == 200
    });
    assert_eq!(later.exit_status(), None);
}

/// Headers of runners' responses that come once, twice, or make no sense.
const RESPONSE_HEADERS: [&str; 24] = [
    "{own}X-Request-Id: another\r\n",
    "X-Request-Id: another\r\n{own}",
    "{own}{own}",
    "{own}X-Server-Load: 4294967295,4294967295,4294967295\r\n",
    "{own}X-Server-Load: 1,1,8\r\nX-Server-Load: 9,9,8\r\n",
    "{own}X-Server-Load: -1,-1,-1\r\n",
    "{own}X-Server-Load: 99999999999999999999,1,1\r\n",
    "{own}X-Server-Load: ,,\r\n",
    "{own}X-Server-Load: 0,4294967295,0\r\n",
    "{own}Server-Limit: 1e308\r\n",
    "{own}Server-Limit: -5\r\nServer-Limit: 100\r\n",
    "{own}Server-Limit: NaN\r\n",
    "{own}X-Instance-Id: \r\n",
    "{own}X-Instance-Id: p1\r\nX-Instance-Id: p2\r\n",
    "{own}Server-Leaving: 0\r\nServer-Leaving: \r\n",
    "{own}At-Server: \u{e9}\r\n",
    "{own}X-Weight-Versions: m=18446744073709551615,m=,=\r\n",
    "{own}Connection: close, close, x-request-id\r\n",
    "{own}Content-Type: text/event-stream\r\nContent-Type: text/plain\r\n",
    "{own}Content-Encoding: \r\n",
    "{own}Transfer-Encoding: identity\r\n",
    "{own}Retry-After: 99999999999999999999\r\nRetry-After: -1\r\n",
    "{own}Date: never\r\nDate: ever\r\n",
    "{own}X-Response-Stamp: \r\nX-Response-Stamp: \r\n",
];

/// Starts of responses that make no sense; a whole one follows each.
const RESPONSES: [&str; 16] = [
    "HTTP/1.1 200 OK\r\n{own}Content-Length: 5\r\nContent-Length: 5\r\n\r\nusual",
    "HTTP/1.1 200 OK\r\n{own}Content-Length: 5\r\nContent-Length: 6\r\n\r\nusual",
    "HTTP/1.1 200 OK\r\n{own}Content-Length: -1\r\n\r\nusual",
    "HTTP/1.1 200 OK\r\n{own}Content-Length: 18446744073709551616\r\n\r\nusual",
    "HTTP/1.1 200 OK\r\n{own}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nusual\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nusual",
    "HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n-5\r\nusual\r\n0\r\n\r\n",
    "HTTP/1.1 999 Odd\r\n{own}Content-Length: 0\r\n\r\n",
    "HTTP/1.1 000 Odd\r\n{own}Content-Length: 0\r\n\r\n",
    "HTTP/1.1 101 Switching\r\n{own}Upgrade: odd\r\nConnection: upgrade\r\n\r\n",
    "HTTP/1.1 204 None\r\n{own}Content-Length: 5\r\n\r\nusual",
    "HTTP/1.1 304 Same\r\n{own}Content-Length: 5\r\n\r\n",
    "HTTP/9.9 200 OK\r\n{own}\r\nusual",
    "HTTP/1.1 503 Full\r\n{own}X-Not-Run: 1\r\nX-Not-Run: 0\r\nRetry-After: x\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Odd\r\nX-Instance-Id: \u{e9}\r\nContent-Length: 0\r\n\r\n",
    "\r\n\r\n\u{0}\u{0}\r\n\r\n",
];

/// A runner that says twice how loaded it is, or that its load is more than a number holds, or
/// frames its response in two ways.
#[test]
fn malformed_responses_of_runners_harm_no_daemon() {
    let mut env = TestEnv::start();
    let framed = RESPONSE_HEADERS
        .iter()
        .map(|headers| format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: 5\r\n\r\nusual"));
    let cases: Vec<String> = framed.chain(RESPONSES.map(str::to_owned)).collect();
    for case in &cases {
        for path in ["/read/x", "/once/x", "/chat/x"] {
            let runners = match path {
                "/chat/x" => &env.heads,
                _ => &env.plain_runners,
            };
            runners[0].enqueue(Behavior::Raw(case.clone()));
            if path != "/chat/x" {
                runners[1].enqueue(Behavior::Raw(case.clone()));
            }
            let response = match path {
                "/chat/x" => env.stream(&[]),
                _ => env.call("POST", path, &[], "{}"),
            };
            assert_ne!(response.status, 0, "{path} {case:?}: {response:?}");
            let runners = env.plain_runners.iter().chain(&env.heads);
            runners.for_each(|runner| runner.clear_script());
        }
    }
    env.check_sound("responses", 2);
}

/// Requests that make no sense, and sound ones with odd values.
fn odd_requests() -> Vec<Vec<u8>> {
    let head =
        format!("POST /read/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer {API_KEY}\r\n");
    let headers = [
        "X-Deadline-Ms: 18446744073709551615\r\n",
        "X-Deadline-Ms: 18446744073709552\r\n",
        "X-Deadline-Ms: -1\r\n",
        "X-Deadline-Ms: 0\r\n",
        "X-Deadline-Ms: 1\r\nX-Deadline-Ms: 4000\r\n",
        "X-Model: m\r\nX-Token-Count: 4294967295,4294967295\r\n",
        "X-Model: \r\nX-Token-Count: ,\r\n",
        "Last-Event-Id: 18446744073709551615\r\n",
        "X-Prompt-Prefix: ,,,:::,\r\n",
        "X-Request-Id: \r\nX-Request-Id: r\r\n",
        "Connection: host, authorization, content-length\r\n",
        "Expect: 100-continue\r\nExpect: 200\r\n",
        "Content-Length: 2\r\n",
    ];
    let mut requests: Vec<Vec<u8>> = Vec::new();
    for header in headers {
        for path in ["/read/x", "/chat/x"] {
            let text = format!("{head}{header}Content-Length: 2\r\nConnection: close\r\n\r\n{{}}");
            requests.push(text.replace("/read/x", path).into_bytes());
        }
    }
    let texts = [
        "GET  HTTP/1.1\r\n\r\n",
        "GET * HTTP/1.1\r\nHost: a.example\r\n\r\n",
        "CONNECT a.example:1 HTTP/1.1\r\nHost: a.example\r\n\r\n",
        "GET http://[::1/ HTTP/1.1\r\nHost: a.example\r\n\r\n",
        "GET /read/%00%ff HTTP/1.1\r\nHost: \r\n\r\n",
        "GET /read/x HTTP/1.0\r\n\r\n",
        "GET /read/x HTTP/2.0\r\nHost: a.example\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "POST /read/x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
        "POST /read/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "\r\n\r\n\r\n",
        "\u{0}",
    ];
    requests.extend(texts.map(|text| text.as_bytes().to_vec()));
    let mut rng = SmallRng::seed_from_u64(5);
    for _ in 0..100 {
        let mut text = format!("{head}X-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\n{{}}");
        // Any byte may be another one.
        let mut bytes = std::mem::take(&mut text).into_bytes();
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.random();
        }
        requests.push(bytes);
    }
    requests
}

#[test]
fn malformed_requests_harm_no_daemon() {
    let mut env = TestEnv::start();
    let addresses = [
        env.daemon.caller_address,
        env.daemon.ready_address,
        env.daemon.directory_address,
    ];
    for address in addresses {
        for request in odd_requests() {
            let mut stream = TcpStream::connect(address).expect("the daemon listens");
            stream
                .set_read_timeout(Some(READ_TIMEOUT))
                .expect("configured");
            // The daemon may have closed the connection already.
            let _ = stream.write_all(&request);
            let _ = stream.read(&mut [0; 1_024]);
        }
    }
    let ready = send_request(env.daemon.ready_address, "GET", "/readyz", &[], "");
    assert_eq!(ready.status, 200);
    env.check_sound("requests", 2);
}

/// A caller that is willing to wait for long must get a response, not a cut connection, or one that
/// says that its time is over.
#[test]
fn long_deadline_of_a_caller_is_no_short_one() {
    let env = TestEnv::start();
    for deadline in [
        "18446744073709551615",
        "18446744073709552",
        "9223372036854775808",
    ] {
        let header = format!("X-Deadline-Ms: {deadline}");
        let response = env.call("GET", "/read/x", &[&header], "");
        assert_eq!(response.status, 200, "{deadline}: {response:?}");
    }
}
