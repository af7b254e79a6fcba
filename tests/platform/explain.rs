//! The `explain` command against a running daemon.

use super::{
    client::send_request,
    env::{Daemon, DaemonSettings, TestEnv},
};
use serde_json::Value;
use std::{
    net::SocketAddr,
    process::{Command, Output},
};

const TOKEN: &str = "token-of-the-operators";

/// Runs the command against an address.
fn explain(address: SocketAddr, token: &str, options: &[&str]) -> Output {
    let address = address.to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_hickoryledge"));
    command.args(["--daemon", &address, "--token", token]);
    command.args(options).output().expect("the command runs")
}

/// Starts a further daemon that answers queries, and waits until it serves.
fn start_daemon(env: &TestEnv) -> Daemon {
    let settings = DaemonSettings {
        operator_token: Some(TOKEN),
        ..DaemonSettings::new("d2", env.store_address())
    };
    let daemon = env.start_daemon_with(settings);
    env.eventually("a further daemon serves", |env| {
        env.call_at(&daemon, "GET", "/read/x", &[], "").status == 200
    });
    daemon
}

const QUERY: [&str; 9] = [
    "explain",
    "--host",
    "a.example",
    "--path",
    "/chat/x",
    "--account",
    "first",
    "--model",
    "m",
];

/// An operator who looks for a fault needs the daemon's own view, and no request to a runner that may
/// be in trouble.
#[test]
fn shows_view_of_daemon_and_sends_nothing_to_runners() {
    let env = TestEnv::start();
    let daemon = start_daemon(&env);
    let sent = || -> usize { env.heads.iter().map(|head| head.requests().len()).sum() };
    let before = sent();
    let json = [&["--json"], &QUERY[..]].concat();
    let output = explain(daemon.ready_address, TOKEN, &json);
    assert!(output.status.success(), "{output:?}");
    let found: Value = serde_json::from_slice(&output.stdout).expect("one JSON document");
    assert_eq!(found["daemon"], "d2");
    assert_eq!(found["services"][0]["service"], "engines");
    let candidates = found["services"][0]["candidates"].as_array();
    let mut hosts: Vec<&str> = candidates
        .expect("a list")
        .iter()
        .filter_map(|candidate| candidate["host"].as_str())
        .collect();
    hosts.sort_unstable();
    assert_eq!(hosts, ["h1", "h2"]);
    let text = explain(daemon.ready_address, TOKEN, &QUERY);
    let text = String::from_utf8_lossy(&text.stdout).into_owned();
    assert!(
        text.starts_with("admitted with probability 1.000 (daemon d2"),
        "{text}"
    );
    assert!(text.contains("HOST") && text.contains("h1"), "{text}");
    let other = [&QUERY[..4], &["/nowhere"]].concat();
    let other = explain(daemon.ready_address, TOKEN, &other);
    let text = String::from_utf8_lossy(&other.stdout).into_owned();
    assert!(
        other.status.success() && text.starts_with("refused: no_route"),
        "{text}"
    );
    assert_eq!(sent(), before);
}

/// The answer shows the load of the system, and only operators may see it.
#[test]
fn answers_only_with_the_operator_token_setting_and_a_valid_token() {
    let env = TestEnv::start();
    let daemon = start_daemon(&env);
    let refused = |address: SocketAddr, token: &str, reason: &str| {
        let output = explain(address, token, &QUERY);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(4), "{text}");
        let is_named = text.contains(&address.to_string()) && text.contains(reason);
        assert!(
            is_named && text.contains("failed to request the explanation"),
            "{text}"
        );
    };
    refused(
        daemon.ready_address,
        "token-of-somebody-else",
        "the token is not known",
    );
    refused(daemon.directory_address, TOKEN, "no explanations there");
    refused(env.daemon.ready_address, TOKEN, "no explanations there");
    let token = format!("Authorization: Bearer {TOKEN}");
    let send = |headers: &[&str], method: &str, body: &str| {
        send_request(daemon.ready_address, method, "/explain", headers, body).status
    };
    let too_long = "x".repeat(20_000);
    assert_eq!(send(&[], "POST", "{}"), 401);
    assert_eq!(send(&[&token], "GET", ""), 405);
    for body in ["", "{}", "{", too_long.as_str()] {
        assert_eq!(send(&[&token], "POST", body), 400, "{body}");
    }
    let unreachable = explain(SocketAddr::from(([127, 0, 0, 1], 1)), TOKEN, &QUERY);
    assert_eq!(unreachable.status.code(), Some(6), "{unreachable:?}");
    let usage = explain(daemon.ready_address, TOKEN, &QUERY[..3]);
    assert_eq!(usage.status.code(), Some(2), "{usage:?}");
}
