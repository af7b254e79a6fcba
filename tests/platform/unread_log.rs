//! A daemon whose log nobody reads.

use super::{
    client::send_request,
    env::{DaemonSettings, TestEnv},
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use std::{
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    process::{Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Grace period of the stop.
const GRACE: Duration = Duration::from_secs(3);

// A log whose reader has stopped reading kept the process until it was killed.
#[test]
fn daemon_ends_although_its_log_is_not_read() {
    let env = TestEnv::start();
    let settings = DaemonSettings {
        grace: GRACE,
        ..DaemonSettings::new("d2", env.store_address())
    };
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("settings.yaml");
    std::fs::write(&path, settings.text()).expect("written");
    let mut process = Command::new(env!("CARGO_BIN_EXE_hickoryledge"))
        .arg("platform")
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let mut log = BufReader::new(process.stdout.take().expect("piped"));
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    let line: serde_json::Value = serde_json::from_str(&line).expect("a log line");
    let address = line["caller"].as_str().expect("an address");
    let address: SocketAddr = address.parse().expect("an address");
    // Each refusal is a line; together they fill the pipe.
    for _ in 0..1_000 {
        let response = send_request(address, "GET", "/nowhere", &[], "");
        assert!([404, 503].contains(&response.status), "{response:?}");
    }
    let signalled = Instant::now();
    let pid = Pid::from_raw(process.id() as i32);
    kill(pid, Signal::SIGTERM).expect("signalled");
    let status = loop {
        match process.try_wait().expect("a child process") {
            Some(status) => break Some(status),
            None if signalled.elapsed() > 2 * GRACE => break None,
            None => thread::sleep(Duration::from_millis(20)),
        }
    };
    if status.is_none() {
        process.kill().expect("killed");
        process.wait().expect("a child process");
    }
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}
