//! Requests that come at any time of a planned stop, as callers see them.

use super::{
    config::API_KEY,
    env::{DaemonSettings, TestEnv, wait_until},
    runner::Runner,
};
use nix::sys::signal::Signal;
use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// Grace period of the daemon that stops.
const GRACE: Duration = Duration::from_secs(3);

/// Interval between two requests of a style.
const INTERVAL: Duration = Duration::from_millis(90);

/// Requests of each style, some of them after the stop.
const CALLS: usize = 40;

/// Time that runners take for the requests of a caller, and its deadline, in milliseconds.
const WORK: [(u64, u64); 5] = [
    (0, 4_000),
    (200, 700),
    (900, 1_500),
    (1_800, 4_000),
    (5_000, 4_000),
];

/// How a caller sends its requests.
#[derive(Clone, Copy, Debug)]
struct Style {
    method: &'static str,
    path: &'static str,
    is_chunked: bool,
    /// True if it keeps its connection.
    is_kept: bool,
}

const STYLES: [Style; 6] = [
    Style {
        method: "GET",
        path: "/read/",
        is_chunked: false,
        is_kept: true,
    },
    Style {
        method: "POST",
        path: "/once/",
        is_chunked: false,
        is_kept: true,
    },
    Style {
        method: "POST",
        path: "/once/",
        is_chunked: true,
        is_kept: false,
    },
    Style {
        method: "PUT",
        path: "/once/",
        is_chunked: true,
        is_kept: true,
    },
    Style {
        method: "DELETE",
        path: "/read/",
        is_chunked: false,
        is_kept: false,
    },
    Style {
        method: "POST",
        path: "/chat/",
        is_chunked: true,
        is_kept: true,
    },
];

/// One request and what became of it.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    style: Style,
    at: Instant,
    /// Status, or none if the connection ended without a complete response.
    status: Option<u16>,
}

fn request_text(style: Style, id: &str, (work, deadline): (u64, u64)) -> String {
    let query = match style.path {
        "/chat/" => format!("events=5&pause_ms={}", work / 5),
        _ => format!("delay_ms={work}"),
    };
    let body = match style.is_chunked {
        true => "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        false => "Content-Length: 2\r\n\r\n{}",
    };
    format!(
        "{} {}x?{query} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline}\r\n\
         X-Model: m\r\nX-Token-Count: 100,20\r\nAuthorization: Bearer {API_KEY}\r\n{body}",
        style.method, style.path
    )
}

/// Reads one response; returns its status if it is complete.
fn read_response(stream: &mut TcpStream) -> Option<u16> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let is_whole = match length {
                Some(length) => body.len() >= length.parse().expect("a length"),
                None => body.ends_with("0\r\n\r\n"),
            };
            if is_whole {
                return head.split(' ').nth(1)?.parse().ok();
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Sends one request some time after the start, on a connection that has served one at the start if
/// it is a kept one; returns nothing if the daemon takes no connection any more.
fn call_after(address: SocketAddr, style: Style, number: usize) -> Option<Sent> {
    let delay = INTERVAL * number as u32;
    let mut stream = match style.is_kept {
        true => {
            let mut stream = TcpStream::connect(address).ok()?;
            let earlier = request_text(style, "earlier", (0, 4_000));
            stream.write_all(earlier.as_bytes()).ok()?;
            read_response(&mut stream).filter(|status| *status == 200)?;
            thread::sleep(delay);
            stream
        }
        false => {
            thread::sleep(delay);
            TcpStream::connect(address).ok()?
        }
    };
    let id = format!(
        "{}-{}-{}-{number}",
        style.method,
        style.path.trim_matches('/'),
        style.is_chunked
    );
    let text = request_text(style, &id, WORK[number % WORK.len()]);
    let at = Instant::now();
    let sent = stream.write_all(text.as_bytes());
    let status = sent.ok().and_then(|()| read_response(&mut stream));
    Some(Sent {
        id,
        style,
        at,
        status,
    })
}

fn has_run(runners: &[&Runner], id: &str) -> bool {
    let got = |runner: &&Runner| {
        let requests = runner.requests();
        requests
            .iter()
            .any(|request| request.header("x-request-id") == Some(id))
    };
    runners.iter().any(got)
}

/// Guards against LOST: elsewhere requests that came late in the grace period were passed on, and
/// cut at its end with no answer, some of which may not be repeated.
#[test]
fn request_passed_on_during_stop_is_answered() {
    let env = TestEnv::start();
    let settings = DaemonSettings {
        grace: GRACE,
        ..DaemonSettings::new("d2", env.store_address())
    };
    let mut daemon = env.start_daemon_with(settings);
    let address = daemon.caller_address;
    wait_until("the daemon serves", || {
        env.call_at(&daemon, "GET", "/read/x", &[], "").status == 200
    });
    let callers: Vec<_> = (0..CALLS * STYLES.len())
        .map(|caller| {
            let style = STYLES[caller % STYLES.len()];
            thread::spawn(move || call_after(address, style, caller / STYLES.len()))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let stopped = Instant::now();
    daemon.signal(Signal::SIGTERM);
    while daemon.exit_status().is_none() {
        thread::sleep(Duration::from_millis(20));
    }
    let sent: Vec<Sent> = callers
        .into_iter()
        .filter_map(|caller| caller.join().expect("called"))
        .collect();
    let runners: Vec<&Runner> = env
        .plain_runners
        .iter()
        .chain(&env.heads)
        .map(|runner| &**runner)
        .collect();
    let is_stream = |call: &&Sent| call.style.path == "/chat/";
    let lost = sent
        .iter()
        .filter(|call| call.status.is_none() && has_run(&runners, &call.id));
    let lost: Vec<_> = lost
        .filter(|call| !is_stream(call))
        .map(|call| {
            (
                call.id.clone(),
                call.style,
                call.at.saturating_duration_since(stopped),
            )
        })
        .collect();
    assert!(sent.len() > 100, "{} requests", sent.len());
    assert!(lost.is_empty(), "passed on and not answered: {lost:?}");
}
