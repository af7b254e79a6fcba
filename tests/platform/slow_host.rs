//! Graceful stop on a host that is slow, or with callers that hold it up.

use super::{
    client::send_request,
    config::API_KEY,
    env::{Daemon, DaemonSettings, TestEnv, wait_until},
    throttle::Throttle,
};
use nix::sys::signal::Signal;
use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// Grace period of a stop whose end is measured.
const GRACE: Duration = Duration::from_secs(3);

/// Period of the processor quota of a small host, in which it may be left waiting.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);

/// Smallest margin before the end of the grace period.
const MIN_MARGIN: Duration = QUOTA_PERIOD;

/// Grace period that a daemon must not wait for.
const LONG_GRACE: Duration = Duration::from_secs(25);

/// Time to live with which callers have moved 1.3 s after the lease was revoked.
const SHORT_TTL: Duration = Duration::from_millis(100);

/// Time after the signal at which connections are still served, with a grace period of 3 s.
const BEFORE_CLOSE: Duration = Duration::from_millis(1_800);

/// Time after the signal at which connections are closed, with a grace period of 3 s.
const AFTER_CLOSE: Duration = Duration::from_millis(2_320);

/// Head of a request of which the rest never comes.
const HALF_HEAD: &[u8] = b"GET /read/x HTTP/1.1\r\nHost: a.exam";

/// Starts a daemon and waits until it serves.
fn start_daemon(env: &TestEnv, settings: DaemonSettings) -> Daemon {
    let daemon = env.start_daemon_with(settings);
    wait_until("the daemon serves", || {
        env.call_at(&daemon, "GET", "/read/x", &[], "").status == 200
    });
    daemon
}

/// Returns the settings of a daemon whose callers move fast.
fn fast_callers(env: &TestEnv) -> DaemonSettings {
    DaemonSettings {
        grace: LONG_GRACE,
        ttl: SHORT_TTL,
        ..DaemonSettings::new("d2", env.store_address())
    }
}

/// Sends a part of a request.
fn send_half_head(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    stream.write_all(HALF_HEAD).expect("sent");
    stream
}

/// Sends SIGTERM and returns the time until the process has ended by itself.
fn stop(daemon: &mut Daemon) -> Duration {
    let signalled = Instant::now();
    daemon.signal(Signal::SIGTERM);
    let status = daemon.wait();
    assert!(status.success(), "{status}");
    signalled.elapsed()
}

// Daemons with an eighth of a core were killed at the end of their grace period. They left 0.1 s
// before it if anything was open, and were scheduled late.
#[test]
fn throttled_daemon_ends_before_its_grace_period() {
    let env = TestEnv::start();
    let settings = DaemonSettings {
        grace: GRACE,
        cores: 0.12,
        ..DaemonSettings::new("d2", env.store_address())
    };
    let mut daemon = start_daemon(&env, settings);
    let address = daemon.caller_address;
    let key = format!("Authorization: Bearer {API_KEY}");
    let headers = [key.as_str(), "X-Model: m", "X-Token-Count: 100,20"];
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                let path = "/chat/x?events=200&pause_ms=50";
                send_request(address, "POST", path, &headers, "{}")
            });
        }
        let _half = send_half_head(address);
        wait_until("the streams run", || env.running_streams() == 8);
        let running = QUOTA_PERIOD.mul_f64(0.12);
        let _throttle = Throttle::start(daemon.pid(), running, QUOTA_PERIOD);
        let elapsed = stop(&mut daemon);
        assert!(elapsed < GRACE - MIN_MARGIN, "{elapsed:?}");
    });
}

// Every stop took the whole grace period, whether or not callers still came.
#[test]
fn daemon_without_requests_leaves_once_callers_have_moved() {
    let env = TestEnv::start();
    let mut daemon = start_daemon(&env, fast_callers(&env));
    let _idle = TcpStream::connect(daemon.caller_address).expect("the daemon listens");
    let _half = send_half_head(daemon.caller_address);
    let elapsed = stop(&mut daemon);
    assert!(elapsed < LONG_GRACE / 2, "{elapsed:?}");
}

// A daemon that leaves early must not leave requests that it has taken.
#[test]
fn daemon_with_a_request_stays_when_callers_have_moved() {
    let env = TestEnv::start();
    let mut daemon = start_daemon(&env, fast_callers(&env));
    let address = daemon.caller_address;
    let key = format!("Authorization: Bearer {API_KEY}");
    thread::scope(|scope| {
        let call = scope.spawn(|| {
            let path = "/once/x?delay_ms=3000";
            send_request(address, "GET", path, &[&key], "")
        });
        wait_until("the request runs", || env.running_requests() == 1);
        stop(&mut daemon);
        let response = call.join().expect("called");
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, "usual"),
            "{response:?}"
        );
    });
}

// On a busy host requests wait in the queue of the listener or in the socket when the connections
// are closed. After a reset their callers don't know whether they have run.
#[test]
fn stop_answers_requests_that_wait_to_be_read() {
    let env = TestEnv::start();
    let settings = DaemonSettings {
        grace: GRACE,
        cores: 4.0,
        ..DaemonSettings::new("d2", env.store_address())
    };
    let mut daemon = start_daemon(&env, settings);
    let request = "GET /nowhere HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n\r\n";
    let connect = || TcpStream::connect(daemon.caller_address).expect("the daemon listens");
    let mut streams: Vec<TcpStream> = (0..8).map(|_| connect()).collect();
    let signalled = Instant::now();
    daemon.signal(Signal::SIGTERM);
    thread::sleep(BEFORE_CLOSE);
    daemon.signal(Signal::SIGSTOP);
    streams.extend((0..8).map(|_| connect()));
    for stream in &mut streams {
        stream.write_all(request.as_bytes()).expect("sent");
    }
    thread::sleep(AFTER_CLOSE.saturating_sub(signalled.elapsed()));
    daemon.signal(Signal::SIGCONT);
    for (number, stream) in streams.iter_mut().enumerate() {
        let mut response = String::new();
        let read = stream.read_to_string(&mut response);
        assert!(read.is_ok(), "connection {number}: {read:?}");
        assert!(
            response.starts_with("HTTP/1.1 404"),
            "connection {number}: {response:?}"
        );
    }
    assert!(daemon.wait().success());
}
