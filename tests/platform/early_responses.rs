//! Requests that are refused before their bodies have been read.

use super::{client::parse_response, config::API_KEY, env::TestEnv, memory::MEMORY_LIMIT};
use serde_json::Value;
use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Size of the refused bodies: longer than what the buffers of both sides take, and less than the
/// daemon discards.
const BODY_BYTES: usize = 12 << 20;

/// Size of a body that exceeds what the daemon discards and the buffers take.
const ENDLESS_BYTES: usize = 64 << 20;

/// Bytes that are written at once.
const BLOCK_BYTES: usize = 64 << 10;

/// Pause after the first block, in which the daemon responds and would close the connection.
const PAUSE: Duration = Duration::from_millis(300);

/// Callers with a refused body at the same time.
const CALLERS: usize = 16;

/// Opens a connection and sends a request's head and the first block of its body.
fn begin(address: SocketAddr, path: &str, headers: &str) -> TcpStream {
    let head = format!("POST {path} HTTP/1.1\r\nHost: a.example\r\n{headers}\r\n");
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    stream.write_all(head.as_bytes()).expect("sent");
    stream.write_all(&[b'x'; BLOCK_BYTES]).expect("sent");
    thread::sleep(PAUSE);
    stream
}

/// Returns the headers of a request with the API key and a body of this length.
fn with_key(bytes: usize) -> String {
    format!("Authorization: Bearer {API_KEY}\r\nContent-Length: {bytes}\r\n")
}

/// Sends the rest of a body; fails if the daemon has reset the connection.
fn send_rest(stream: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let blocks = bytes / BLOCK_BYTES - 1;
    (0..blocks).try_for_each(|_| stream.write_all(&[b'x'; BLOCK_BYTES]))
}

/// Sends a whole body, reads the response after it, and returns the status.
fn refused(address: SocketAddr, path: &str, headers: &str) -> u16 {
    let mut stream = begin(address, path, headers);
    send_rest(&mut stream, BODY_BYTES).expect("the daemon reads the rest of the body");
    let mut text = String::new();
    let read = stream.read_to_string(&mut text);
    read.expect("the connection is not reset");
    parse_response(&text).status
}

/// Returns the daemon's address for requests that other daemons pass on.
fn relay_address(env: &TestEnv) -> SocketAddr {
    let entry = env.store.value("hickoryledge/daemons/d1");
    let entry: Value = serde_json::from_str(&entry).expect("JSON");
    let address = entry["relay"].as_str().expect("an address");
    address.parse().expect("an address")
}

/// Guards against responses that never reach their callers: unread bytes reset the connection, and
/// the caller's write failed before it had read the response.
#[test]
fn refusals_reach_callers_that_send_the_whole_body_first() {
    let env = TestEnv::unconfigured();
    let daemon = &env.daemon;
    let length = with_key(BODY_BYTES);
    let not_configured = refused(daemon.caller_address, "/once/x", &length);
    assert_eq!(not_configured, 503);
    let env = env.served();
    let daemon = &env.daemon;
    let no_key = format!("Content-Length: {BODY_BYTES}\r\n");
    let chunked = format!(
        "Authorization: Bearer {API_KEY}\r\nTransfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}"
    );
    // The body continues the head, whose end never comes.
    let endless_head = "X-Long: x".to_owned();
    let cases = [
        (daemon.caller_address, "/once/x", &length, 413),
        (daemon.caller_address, "/once/x", &chunked, 413),
        (daemon.caller_address, "/once/x", &no_key, 401),
        (daemon.caller_address, "/none/x", &length, 404),
        (daemon.ready_address, "/x", &length, 404),
        (daemon.directory_address, "/x", &length, 404),
        (relay_address(&env), "/once/x", &length, 503),
        (daemon.caller_address, "/once/x", &endless_head, 431),
    ];
    for (address, path, headers, status) in cases {
        assert_eq!(refused(address, path, headers), status, "{path} {headers}");
    }
}

/// Guards against callers that keep a daemon reading or waiting after their request was refused.
#[test]
fn discarding_a_body_is_bounded() {
    let env = TestEnv::start();
    let daemon = &env.daemon;
    let mut endless = begin(daemon.caller_address, "/none/x", &with_key(ENDLESS_BYTES));
    send_rest(&mut endless, ENDLESS_BYTES).expect_err("the connection has been closed");
    let mut slow = begin(daemon.caller_address, "/none/x", &with_key(BODY_BYTES));
    let mut text = String::new();
    slow.read_to_string(&mut text).expect("a response");
    assert_eq!(parse_response(&text).status, 404);
    env.eventually("the connection of the slow caller has been closed", |_| {
        (&slow).write_all(b"x").is_err()
    });
}

/// Guards against refused bodies that take the memory of the process.
#[test]
fn discarded_bodies_are_not_kept() {
    let env = TestEnv::start();
    let address = env.daemon.caller_address;
    let statuses: Vec<u16> = thread::scope(|scope| {
        let call = || refused(address, "/none/x", &with_key(BODY_BYTES));
        let calls: Vec<_> = (0..CALLERS).map(|_| scope.spawn(call)).collect();
        calls
            .into_iter()
            .map(|call| call.join().expect("called"))
            .collect()
    });
    assert_eq!(statuses, [404; CALLERS]);
    let peak = env.daemon.peak_memory();
    assert!(
        peak < MEMORY_LIMIT.min(CALLERS * BODY_BYTES),
        "{} MiB",
        peak >> 20
    );
}

/// A refusal whose body arrives with its head costs the caller no connection.
#[test]
fn connection_is_kept_after_a_refused_short_body() {
    let env = TestEnv::start();
    let mut stream = TcpStream::connect(env.daemon.caller_address).expect("the daemon listens");
    let request = "POST /none/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n{}";
    for _ in 0..2 {
        stream.write_all(request.as_bytes()).expect("sent");
        let mut block = [0; 512];
        let read = stream.read(&mut block).expect("a response");
        let text = String::from_utf8_lossy(&block[..read]);
        assert_eq!(parse_response(&text).status, 404);
    }
}
