//! Settings files: defaults of valid ones, and diagnostics with positions for invalid ones.
//!
//! Messages are compared with their line and column, so that an operator can find each error.

use hickoryledge::{core::time::Span, settings};
use std::{net::SocketAddr, path::Path};

const VALID: &str = "\
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

/// Returns the diagnostics of a text as `line:column field reason`.
fn diagnostics(text: &str) -> Vec<String> {
    let Err(diagnostics) = settings::parse(text, Path::new(".")) else {
        return Vec::new();
    };
    let line = |diagnostic: &settings::Diagnostic| {
        let settings::Diagnostic {
            position,
            field,
            reason,
        } = diagnostic;
        format!("{}:{} {field} {reason}", position.line, position.column)
    };
    diagnostics.iter().map(line).collect()
}

/// Replaces `from` by `to` in the valid settings and returns the only diagnostic.
fn only_diagnostic(from: &str, to: &str) -> String {
    assert!(
        VALID.contains(from),
        "{from} is not part of the valid settings"
    );
    let found = diagnostics(&VALID.replacen(from, to, 1));
    assert_eq!(found.len(), 1, "{found:?}");
    found[0].clone()
}

#[test]
fn fills_in_defaults() {
    let settings = settings::parse(VALID, Path::new(".")).expect("settings are valid");
    let address: SocketAddr = "127.0.0.2:7002".parse().expect("address is valid");
    assert_eq!(settings.name.as_str(), "entry-1");
    assert_eq!(settings.peers, [address]);
    assert_eq!(settings.max_body, 1 << 20);
    assert_eq!(settings.options, Default::default());
}

#[test]
fn reads_limits_and_options() {
    let text = format!("{VALID}limits: {{max_calls: 7}}\noptions: {{lease_ms: 1500}}\n");
    let settings = settings::parse(&text, Path::new(".")).expect("settings are valid");
    assert_eq!(settings.max_calls, 7);
    assert_eq!(settings.options.lease, Span::from_millis(1_500));
}

#[test]
fn rejects_unknown_fields() {
    assert_eq!(
        only_diagnostic("peers:", "peerz:"),
        "11:8 peerz is not a known setting"
    );
    assert_eq!(
        only_diagnostic("  peer: 127", "  port: 1\n  peer: 127"),
        "9:9 listen.port is not a known setting"
    );
}

#[test]
fn rejects_invalid_addresses() {
    for address in ["127.0.0.1", "127.0.0.1:70000", "entry.example:1", "'[::1'"] {
        let found = only_diagnostic("127.0.0.1:7001", address);
        assert!(found.starts_with("8:11 listen.caller "), "{found}");
    }
    for address in ["0.0.0.0:2379", "127.0.0.9:0"] {
        let found = only_diagnostic("127.0.0.9:2379", address);
        assert!(found.starts_with("12:12 platform[0] "), "{found}");
    }
}

#[test]
fn rejects_numbers_out_of_range() {
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
        let found = diagnostics(&format!("{VALID}{line}\n"));
        assert_eq!(found.len(), 1, "{line}: {found:?}");
        assert!(found[0].starts_with(expected), "{line}: {found:?}");
    }
}

#[test]
fn rejects_undeclared_region_and_hall() {
    assert_eq!(
        only_diagnostic("hall: east", "hall: quay"),
        "3:7 hall hall \"quay\" is not declared in region \"north\""
    );
    assert_eq!(
        only_diagnostic("region: north", "region: mars"),
        "2:9 region region \"mars\" is not declared under regions"
    );
    let found = only_diagnostic("[quay]", "[]");
    assert_eq!(found, "6:10 regions.south must declare at least one hall");
}

#[test]
fn rejects_duplicates() {
    assert_eq!(
        only_diagnostic("[east, west]", "[east, east]"),
        "5:17 regions.north[1] hall \"east\" is declared twice"
    );
    assert_eq!(
        only_diagnostic("127.0.0.1:7003", "127.0.0.1:7001"),
        "10:13 listen.operator 127.0.0.1:7001 is used twice"
    );
    assert_eq!(
        only_diagnostic("[127.0.0.2:7002]", "[127.0.0.2:7002, 127.0.0.2:7002]"),
        "11:25 peers[1] 127.0.0.2:7002 is given twice"
    );
    let found = diagnostics(&format!("{VALID}name: entry-2\n"));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with("16:1 "), "{found:?}");
}

#[test]
fn rejects_missing_and_short_secrets() {
    assert_eq!(
        only_diagnostic("peer_key: a key of the daemons\n", ""),
        "1:1 peer_key or peer_key_file is missing"
    );
    assert_eq!(
        only_diagnostic("a token of the operators", "short"),
        "15:17 operator_token must be at least 16 bytes long"
    );
    let found = only_diagnostic(
        "peer_key: a key of the daemons",
        "peer_key_file: nowhere.key",
    );
    assert!(found.starts_with("14:16 peer_key_file "), "{found}");
    let both = "peer_key_file: x\npeer_key: a key of the daemons";
    let found = only_diagnostic("peer_key: a key of the daemons", both);
    assert!(found.starts_with("14:16 peer_key_file "), "{found}");
}

#[test]
fn reads_secrets_from_files() {
    let directory = tempfile::tempdir().expect("temporary directory");
    std::fs::write(directory.path().join("token"), "a token from a file\n")
        .expect("file is written");
    let text = VALID.replace(
        "operator_token: a token of the operators",
        "operator_token_file: token",
    );
    let settings = settings::parse(&text, directory.path()).expect("settings are valid");
    assert_eq!(settings.operator_token.expose(), "a token from a file");
}

/// Otherwise an operator would have to fix the errors one run at a time.
#[test]
fn reports_all_errors_at_once() {
    let text = VALID
        .replace("hall: east", "hall: quay")
        .replace("127.0.0.9:8080", "nowhere")
        .replace("a token of the operators", "short")
        + "speed: 9\n";
    let found = diagnostics(&text);
    let fields: Vec<&str> = found.iter().filter_map(|f| f.split(' ').nth(1)).collect();
    assert_eq!(fields, ["hall", "host_list", "operator_token", "speed"]);
}

/// The YAML parser's message quotes the file, which may hold secrets; only its first line is kept.
#[test]
fn rejects_invalid_yaml_without_quoting_it() {
    let found = diagnostics("name: [entry\nregion: x\n");
    assert_eq!(found.len(), 1);
    assert!(!found[0].starts_with("0:0"), "{found:?}");
    let found = diagnostics(&format!("{VALID}limits: [\n"));
    assert!(
        !found[0].contains("operators"),
        "diagnostic quotes a secret: {found:?}"
    );
    assert_eq!(diagnostics("[]"), ["1:1  must be a map"]);
}

#[test]
fn accepts_example_settings() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    for name in ["papadakis.yaml", "greenfry.yaml"] {
        let settings = settings::read(&examples.join(name)).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(settings.peers.len(), 7, "{name} has 8 entry hosts");
    }
}

#[test]
fn hides_secrets_from_debug_output() {
    let settings = settings::parse(VALID, Path::new(".")).expect("settings are valid");
    let printed = format!("{settings:?}");
    assert!(printed.contains("operator_token: (secret)"), "{printed}");
    assert!(!printed.contains("a token of the operators"), "{printed}");
}

#[test]
fn reads_objectives_and_rejects_target_without_budget() {
    let text = format!("{VALID}objectives: {{first_token_ms: 200, whole_target: 0.99}}\n");
    let settings = settings::parse(&text, Path::new(".")).expect("settings are valid");
    assert_eq!(settings.objectives.first_token, Span::from_millis(200));
    assert_eq!(settings.objectives.whole_target, 0.99);
    let text = format!("{VALID}objectives: {{whole_target: 1.0}}\n");
    let found = diagnostics(&text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(
        found[0].starts_with("16:28 objectives.whole_target"),
        "{found:?}"
    );
}
