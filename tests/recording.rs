//! Checks that a recording of a running daemon can be replayed and reported on, and contains
//! no secrets: neither keys, nor tokens, nor prompts.

mod common;

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use common::{KEY, TOKEN, TestEnv, completion_text};
use nix::sys::signal::Signal;
use serde_json::Value;

/// Number of requests that are recorded.
const CALLS: u32 = 6;

/// Records a daemon from its start to its graceful stop, and returns the recording's path.
fn record(folder: &Path) -> PathBuf {
    let file = folder.join("recording.jsonl");
    let mut env = TestEnv::with_hosts();
    env.start_recorded("entry-0", &file);
    env.set_up();
    for number in 0..CALLS {
        let prompt = format!("confidential notice {number}");
        let answer = env.complete(0, &prompt, 8);
        assert_eq!(
            answer.stream(),
            (completion_text(&prompt, 8), true),
            "{answer:?}"
        );
    }
    let live_report = env.operate(&["report"]);
    assert_eq!(complete_count(&live_report[0]), u64::from(CALLS));
    env.daemons[0].process.signal(Signal::SIGTERM);
    assert_eq!(env.daemons[0].process.wait_exit(), 0);
    file
}

/// Returns the number of complete responses in a report.
fn complete_count(report: &Value) -> u64 {
    let rows = report["rows"].as_array().cloned().unwrap_or_default();
    let mut rows = rows.iter().filter(|row| row["subject"].is_null());
    let row = rows.find(|row| row["objective"] == "answered_whole");
    row.and_then(|row| row["good"].as_u64())
        .expect("report counts complete responses")
}

fn run(args: &[&str], file: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hickoryledge"))
        .args(args)
        .arg(file)
        .output()
        .expect("command runs")
}

#[test]
fn recording_replays_and_reports_what_the_daemon_did() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = record(folder.path());

    let text = fs::read_to_string(&file).expect("recording is text");
    for secret in [KEY, TOKEN, "confidential"] {
        assert!(!text.contains(secret), "recording contains {secret}");
    }

    let table = run(&["replay"], &file);
    assert!(table.status.success(), "{table:?}");
    let outputs = run(&["replay", "--outputs"], &file);
    let outputs = String::from_utf8(outputs.stdout).expect("outputs are text");
    let completed = outputs.matches("\"ending\":\"complete\"").count();
    assert_eq!(completed, CALLS as usize);
    let second_outputs = run(&["replay", "--outputs"], &file);
    assert_eq!(
        outputs.as_bytes(),
        second_outputs.stdout,
        "two replays differ"
    );

    let report = run(&["--json", "report", "--recording"], &file);
    let report: Value = serde_json::from_slice(&report.stdout).expect("report is JSON");
    assert_eq!(complete_count(&report), u64::from(CALLS));
}
