//! Entries that another writer left among those of the runners.

use super::env::{Daemon, TestEnv, wait_until};
use serde_json::json;

/// Returns entries that name no runner to use, or one that nobody can reach.
fn odd_entries() -> Vec<String> {
    let entry = |field: &str, value: serde_json::Value| {
        let mut entry = json!({
            "Service": "plain", "Address": "127.0.0.1:9", "Zone": "hall", "Version": "v1",
            "Slots": 8, "State": "ready", "Domain": "d", "born": 7, "Seq": 1,
            "Models": [], "Staged": [],
        });
        entry[field] = value;
        entry.to_string()
    };
    let group = |epoch: serde_json::Value, rank: u64| json!({"Name": "g", "epoch": epoch, "rank": rank, "State": "open"});
    let deep = |open: &str, close: &str| {
        let nested = format!("{}{}", open.repeat(50_000), close.repeat(50_000));
        entry("Extra", json!("@")).replace("\"@\"", &nested)
    };
    let number = |field: &str, digits: &str| entry(field, json!("@")).replace("\"@\"", digits);
    vec![
        deep("[", "]"),
        deep("{\"a\":", "}").replace(":}", ":1}"),
        "[".repeat(100_000),
        number("Seq", "1e999"),
        number("Seq", "-1"),
        number("Seq", &u64::MAX.to_string()),
        number("Seq", "99999999999999999999999999999999"),
        number("Slots", &u32::MAX.to_string()),
        number("Slots", "4294967296"),
        number("born", &u64::MAX.to_string()),
        number("ColdLeftMs", "1e308"),
        entry("Address", json!("127.0.0.1:99999")),
        entry("Address", json!("127.0.0.1:0")),
        entry("Address", json!("127.0.0.1:-1")),
        entry("Address", json!(7)),
        entry("group", group(json!(i64::MAX), 0)),
        entry("group", group(json!(i64::MIN), 0)),
        entry("group", group(json!(u64::MAX), 0)),
        entry("group", group(json!(1), u64::from(u16::MAX))),
        entry("group", group(json!(1), 1 << 40)),
        entry("State", json!("unheard of")),
        entry("Service", json!("no such service")),
        "\u{0}".to_owned(),
        String::new(),
    ]
}

/// Checks that a daemon serves, and follows the changes of the store.
fn check_follows(env: &TestEnv, daemon: &Daemon, version: u64) {
    env.configure(version);
    let status = if version % 2 == 1 { 200 } else { 404 };
    wait_until("the configuration is in force", || {
        env.call_at(daemon, "GET", "/moved/x", &[], "").status == status
    });
    wait_until("requests are served", || {
        env.call_at(daemon, "GET", "/read/x", &[], "").status == 200
    });
}

// Elsewhere machines that read such a list ended again and again, or followed it no more.
#[test]
fn odd_entries_of_runners_stop_no_daemon() {
    let mut env = TestEnv::start();
    for (index, value) in odd_entries().iter().enumerate() {
        env.store.put(&format!("servers/odd-{index}"), value);
    }
    env.store.put("servers/", "{}");
    env.store.put("servers/a/b", "{}");
    check_follows(&env, &env.daemon, 2);
    // Listed, and not only followed.
    env.store.forget_history();
    check_follows(&env, &env.daemon, 3);
    let mut later = env.start_daemon("d2");
    check_follows(&env, &later, 4);
    // The entries of sound runners are still followed.
    env.store.delete("servers/p1");
    env.eventually("the departure is known", |env| {
        let before = env.plain_runners[0].requests().len();
        let served = (0..20).all(|_| env.call("GET", "/read/x", &[], "").status == 200);
        served && env.plain_runners[0].requests().len() == before
    });
    assert!(env.stream(&[]).status == 200);
    assert_eq!(env.daemon.exit_status(), None);
    assert_eq!(later.exit_status(), None);
}
