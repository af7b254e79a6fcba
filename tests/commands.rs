//! Tests of all operator commands against running daemons.

mod common;

use std::{fs, process::Command};

use common::{KEY, TestEnv, wait_for};
use serde_json::Value;

/// Waits until the first daemon shows a group in a state.
fn wait_for_state(env: &TestEnv, group: &str, state: &str) {
    wait_for(&format!("{group} {state}"), || {
        (env.group(0, group)?["state"] == *state).then_some(())
    });
}

/// Returns the revision that a change printed.
fn revision(lines: &[Value]) -> String {
    lines[0]["revision"].to_string()
}

#[test]
fn puts_and_deletes_accounts_models_and_services() {
    let env = TestEnv::with_group(1);
    let limits = [
        "--weight",
        "5",
        "--priority",
        "0",
        "--rate",
        "100",
        "--open",
        "50",
    ];
    let put = ["account", "put", "press", "--key", "key-of-the-press-room"];
    env.operate(&[&put[..], &limits, &["--model", "drafting-llm"]].concat());
    env.operate(&["account", "delete", "press"]);
    let options = [
        "--size",
        "1",
        "--floor",
        "1",
        "--weights-gb",
        "20",
        "--adapter",
        "plain",
    ];
    let put = ["model", "put", "second", "--version", "v1"];
    env.operate(&[&put[..], &options].concat());
    env.operate(&["model", "delete", "second"]);
    env.operate(&["service", "put", "depot", "--idempotent"]);
    let in_use = env.try_operate(0, &["model", "delete", "drafting-llm"]);
    assert_eq!(in_use.status.code(), Some(4), "{in_use:?}");
}

#[test]
fn drains_undrains_changes_and_lists_groups() {
    let env = TestEnv::with_group(1);
    env.operate(&["group", "drain", "drafting-1"]);
    wait_for_state(&env, "drafting-1", "drained");
    let undrained = revision(&env.operate(&["group", "undrain", "drafting-1"]));
    wait_for_state(&env, "drafting-1", "serving");
    let options = [
        "--model",
        "drafting-llm",
        "--domain",
        "kalamaria-1",
        "--size",
        "3",
    ];
    let change = ["group", "change", "drafting-1"];
    let stale = [&change[..], &options, &["--based-on", "1"]].concat();
    assert_eq!(env.try_operate(0, &stale).status.code(), Some(5));
    env.operate(&[&change[..], &options, &["--based-on", &undrained]].concat());
    wait_for("three hosts in service", || {
        let is_larger = env.group_hosts(0, "drafting-1").len() == 3;
        let group = env.group(0, "drafting-1")?;
        (is_larger && group["state"] == "serving").then_some(())
    });
    let listed = env.operate(&["group", "list"]);
    assert!(
        listed.iter().any(|line| line["group"] == "drafting-1"),
        "{listed:?}"
    );
}

#[test]
fn pauses_resumes_and_aborts_upgrade() {
    let env = TestEnv::with_group(1);
    let wait_for_upgrade = |wanted: &str| {
        wait_for(&format!("upgrade {wanted}"), || {
            let lines = env.operate(&["upgrade", "status"]);
            let mut lines = lines.into_iter();
            lines
                .any(|line| line["upgrade"] == "night" && line["state"] == *wanted)
                .then_some(())
        });
    };
    let start = ["upgrade", "start", "night", "--model", "drafting-llm"];
    env.operate(&[&start[..], &["--to", "v2", "--width", "1"]].concat());
    env.operate(&["upgrade", "pause", "night"]);
    wait_for_upgrade("paused");
    env.operate(&["upgrade", "resume", "night"]);
    env.operate(&["upgrade", "abort", "night"]);
    wait_for_upgrade("aborted");
    wait_for("the old version in service", || {
        let group = env.group(0, "drafting-1")?;
        (group["version"] == "v1" && group["state"] == "serving").then_some(())
    });
}

#[test]
fn writes_report_as_json_and_page() {
    let env = TestEnv::with_group(1);
    env.complete(0, "notice", 4);
    let directory = tempfile::tempdir().expect("temporary directory");
    let page = directory.path().join("burn.html");
    let page_path = page.to_str().expect("path is text");
    let report = env.operate(&["report", "--html", page_path]);
    assert!(report[0]["rows"].is_array(), "{report:?}");
    let page = fs::read_to_string(page).expect("page is written");
    assert!(page.contains("<svg"));
}

#[test]
fn lists_entries_for_caller() {
    let env = TestEnv::with_group(2);
    let caller = env.daemons[1].caller.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_hickoryledge"))
        .args([
            "--daemon",
            &caller,
            "--json",
            "entries",
            "--key",
            KEY,
            "--model",
            "drafting-llm",
        ])
        .output()
        .expect("command runs");
    assert!(output.status.success(), "{output:?}");
    let lines = String::from_utf8(output.stdout).expect("output is text");
    assert_eq!(lines.lines().count(), 2, "{lines}");
}
