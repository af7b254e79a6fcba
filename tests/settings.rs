//! Settings files: what is taken, and what is refused with its place.

use hickoryledge::{core::time::Span, settings};
use std::{net::SocketAddr, path::Path};

const GOOD: &str = "\
name: entry-1
region: north
hall: east
regions:
  north: [east, west]
  south: [quay]
listen:
  caller: 127.0.0.1:7001
  peer: 127.0.0.1:7002
  operator: 127.0.0.1:7003
peers: [127.0.0.2:7002]
platform: [127.0.0.9:2379]
host_list: 127.0.0.9:8080
peer_key: a key of the daemons
operator_token: a token of the operators
";

/// The faults of a text as `line:column field reason`.
fn faults(text: &str) -> Vec<String> {
    let Err(faults) = settings::parse(text, Path::new(".")) else {
        return Vec::new();
    };
    let line = |fault: &settings::Fault| {
        let settings::Fault {
            place,
            field,
            reason,
        } = fault;
        format!("{}:{} {field} {reason}", place.line, place.column)
    };
    faults.iter().map(line).collect()
}

/// The one fault that a change of the good text brings.
fn fault_of(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "{from} is part of the good text");
    let found = faults(&GOOD.replacen(from, to, 1));
    assert_eq!(found.len(), 1, "{found:?}");
    found[0].clone()
}

#[test]
fn good_settings_are_taken_with_defaults() {
    let settings = settings::parse(GOOD, Path::new(".")).expect("they are good");
    let address: SocketAddr = "127.0.0.2:7002".parse().expect("an address");
    assert_eq!(settings.name.as_str(), "entry-1");
    assert_eq!(settings.peers, [address]);
    assert_eq!(settings.max_body, 1 << 20);
    assert_eq!(settings.options, Default::default());
}

#[test]
fn limits_and_options_are_read() {
    let text = format!("{GOOD}limits: {{max_calls: 7}}\noptions: {{lease_ms: 1500}}\n");
    let settings = settings::parse(&text, Path::new(".")).expect("they are good");
    assert_eq!(settings.max_calls, 7);
    assert_eq!(settings.options.lease, Span::from_millis(1_500));
}

#[test]
fn unknown_fields_are_refused() {
    assert_eq!(
        fault_of("peers:", "peerz:"),
        "11:8 peerz is not a known setting"
    );
    assert_eq!(
        fault_of("  peer: 127", "  port: 1\n  peer: 127"),
        "9:9 listen.port is not a known setting"
    );
}

#[test]
fn bad_addresses_are_refused() {
    for bad in ["127.0.0.1", "127.0.0.1:70000", "entry.example:1", "'[::1'"] {
        let found = fault_of("127.0.0.1:7001", bad);
        assert!(found.starts_with("8:11 listen.caller "), "{found}");
    }
    for bad in ["0.0.0.0:2379", "127.0.0.9:0"] {
        let found = fault_of("127.0.0.9:2379", bad);
        assert!(found.starts_with("12:12 platform[0] "), "{found}");
    }
}

#[test]
fn zero_and_absurd_limits_are_refused() {
    let cases = [
        ("limits: {max_body: 0}", "16:20 limits.max_body "),
        ("limits: {max_body: 1e15}", "16:20 limits.max_body "),
        ("limits: {max_calls: 0}", "16:21 limits.max_calls "),
        ("limits: {max_calls: -4}", "16:21 limits.max_calls "),
        ("limits: {max_calls: 2.5}", "16:21 limits.max_calls "),
        ("limits: {max_calls: many}", "16:21 limits.max_calls "),
        ("options: {lease_ms: 0}", "16:21 options.lease_ms "),
        ("options: {grace_ms: 1e9}", "16:21 options.grace_ms "),
        (
            "options: {retry_percent: 101}",
            "16:26 options.retry_percent ",
        ),
        ("options: {entry_count: 0}", "16:24 options.entry_count "),
        (
            "options: {stranded_cost: -1}",
            "16:26 options.stranded_cost ",
        ),
        (
            "options: {downtime_cost: 1e9}",
            "16:26 options.downtime_cost ",
        ),
        ("options: {downtime_cost: .nan}", "16:26 "),
        (
            "options: {weight_store_gbps: 0}",
            "16:30 options.weight_store_gbps ",
        ),
    ];
    for (line, expected) in cases {
        let found = faults(&format!("{GOOD}{line}\n"));
        assert_eq!(found.len(), 1, "{line}: {found:?}");
        assert!(found[0].starts_with(expected), "{line}: {found:?}");
    }
}

#[test]
fn undeclared_sites_are_refused() {
    assert_eq!(
        fault_of("hall: east", "hall: quay"),
        "3:7 hall hall \"quay\" is not declared in region \"north\""
    );
    assert_eq!(
        fault_of("region: north", "region: mars"),
        "2:9 region region \"mars\" is not declared under regions"
    );
    let found = fault_of("[quay]", "[]");
    assert_eq!(found, "6:10 regions.south must declare at least one hall");
}

#[test]
fn duplicates_are_refused() {
    assert_eq!(
        fault_of("[east, west]", "[east, east]"),
        "5:17 regions.north[1] hall \"east\" is declared twice"
    );
    assert_eq!(
        fault_of("127.0.0.1:7003", "127.0.0.1:7001"),
        "10:13 listen.operator 127.0.0.1:7001 is used twice"
    );
    assert_eq!(
        fault_of("[127.0.0.2:7002]", "[127.0.0.2:7002, 127.0.0.2:7002]"),
        "11:25 peers[1] 127.0.0.2:7002 is given twice"
    );
    let found = faults(&format!("{GOOD}name: entry-2\n"));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with("16:1 "), "{found:?}");
}

#[test]
fn missing_and_weak_secrets_are_refused() {
    assert_eq!(
        fault_of("peer_key: a key of the daemons\n", ""),
        "1:1 peer_key or peer_key_file is missing"
    );
    assert_eq!(
        fault_of("a token of the operators", "short"),
        "15:17 operator_token must be at least 16 bytes long"
    );
    let found = fault_of(
        "peer_key: a key of the daemons",
        "peer_key_file: nowhere.key",
    );
    assert!(found.starts_with("14:16 peer_key_file "), "{found}");
    let both = "peer_key_file: x\npeer_key: a key of the daemons";
    let found = fault_of("peer_key: a key of the daemons", both);
    assert!(found.starts_with("14:16 peer_key_file "), "{found}");
}

#[test]
fn secrets_are_read_from_files() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("token"), "a token from a file\n").expect("it is written");
    let text = GOOD.replace(
        "operator_token: a token of the operators",
        "operator_token_file: token",
    );
    let settings = settings::parse(&text, folder.path()).expect("they are good");
    assert_eq!(settings.operator_token.expose(), "a token from a file");
}

#[test]
fn every_fault_is_told_at_once() {
    let text = GOOD
        .replace("hall: east", "hall: quay")
        .replace("127.0.0.9:8080", "nowhere")
        .replace("a token of the operators", "short")
        + "speed: 9\n";
    let found = faults(&text);
    let fields: Vec<&str> = found.iter().filter_map(|f| f.split(' ').nth(1)).collect();
    assert_eq!(fields, ["hall", "host_list", "operator_token", "speed"]);
}

#[test]
fn what_is_not_yaml_is_refused_with_its_place() {
    let found = faults("name: [entry\nregion: x\n");
    assert_eq!(found.len(), 1);
    assert!(!found[0].starts_with("0:0"), "{found:?}");
    let found = faults(&format!("{GOOD}limits: [\n"));
    assert!(
        !found[0].contains("operators"),
        "a secret is shown: {found:?}"
    );
    assert_eq!(faults("[]"), ["1:1  must be a map"]);
}

#[test]
fn examples_are_good() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    for name in ["papadakis.yaml", "greenfry.yaml"] {
        let settings = settings::read(&examples.join(name)).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(settings.peers.len(), 7, "{name} has 8 entry hosts");
    }
}

#[test]
fn secrets_are_not_printed() {
    let settings = settings::parse(GOOD, Path::new(".")).expect("they are good");
    let printed = format!("{settings:?}");
    assert!(printed.contains("operator_token: (secret)"), "{printed}");
    assert!(!printed.contains("a token of the operators"), "{printed}");
}

#[test]
fn objectives_are_taken_and_leave_a_budget() {
    let text = format!("{GOOD}objectives: {{first_token_ms: 200, whole_target: 0.99}}\n");
    let settings = settings::parse(&text, Path::new(".")).expect("they are good");
    assert_eq!(settings.objectives.first_token, Span::from_millis(200));
    assert_eq!(settings.objectives.whole_target, 0.99);
    let all = format!("{GOOD}objectives: {{whole_target: 1.0}}\n");
    let found = faults(&all);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(
        found[0].starts_with("16:28 objectives.whole_target"),
        "{found:?}"
    );
}
