//! Every command of the operators' page, against a running daemon.

mod common;

use std::{fs, process::Command};

use common::{KEY, TestEnv, wait_for};
use serde_json::Value;

fn wait_state(env: &TestEnv, group: &str, state: &str) {
    wait_for(&format!("{group} {state}"), || {
        (env.group(0, group)?["state"] == *state).then_some(())
    });
}

fn revision(lines: &[Value]) -> String {
    lines[0]["revision"].to_string()
}

#[test]
fn accounts_models_and_services_are_put_and_deleted() {
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
    let sizes = [
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
    env.operate(&[&put[..], &sizes].concat());
    env.operate(&["model", "delete", "second"]);
    env.operate(&["service", "put", "depot", "--idempotent"]);
    let used = env.try_operate(0, &["model", "delete", "drafting-llm"]);
    assert_eq!(used.status.code(), Some(4), "{used:?}");
}

#[test]
fn groups_are_changed_drained_put_back_and_listed() {
    let env = TestEnv::with_group(1);
    env.operate(&["group", "drain", "drafting-1"]);
    wait_state(&env, "drafting-1", "drained");
    let put_back = revision(&env.operate(&["group", "undrain", "drafting-1"]));
    wait_state(&env, "drafting-1", "serving");
    let model = [
        "--model",
        "drafting-llm",
        "--domain",
        "kalamaria-1",
        "--size",
        "3",
    ];
    let change = ["group", "change", "drafting-1"];
    let late = [&change[..], &model, &["--based-on", "1"]].concat();
    assert_eq!(env.try_operate(0, &late).status.code(), Some(5));
    env.operate(&[&change[..], &model, &["--based-on", &put_back]].concat());
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
fn an_upgrade_is_paused_resumed_and_aborted() {
    let env = TestEnv::with_group(1);
    let state = |wanted: &str| {
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
    state("paused");
    env.operate(&["upgrade", "resume", "night"]);
    env.operate(&["upgrade", "abort", "night"]);
    state("aborted");
    wait_for("the old version in service", || {
        let group = env.group(0, "drafting-1")?;
        (group["version"] == "v1" && group["state"] == "serving").then_some(())
    });
}

#[test]
fn reports_are_written_as_text_json_and_a_page() {
    let env = TestEnv::with_group(1);
    env.complete(0, "notice", 4);
    let folder = tempfile::tempdir().expect("temporary folder");
    let page = folder.path().join("burn.html");
    let page_path = page.to_str().expect("path is text");
    let report = env.operate(&["report", "--html", page_path]);
    assert!(report[0]["rows"].is_array(), "{report:?}");
    let page = fs::read_to_string(page).expect("page is written");
    assert!(page.contains("<svg"));
}

#[test]
fn a_caller_address_tells_which_daemons_to_use() {
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
