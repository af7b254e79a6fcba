//! Checks the trace parser, each kind of line of a trace, and the corpus in `tests/traces`.
//!
//! Each trace of the corpus guards one mechanism: it must pass, and must fail with the
//! mechanism disabled.

use std::path::{Path, PathBuf};

use hickoryledge::{
    core::options::Mechanism,
    replay::{ReplayResult, Trace, TraceError, print_table, replay, replay_corpus},
};

const HEADER: &str = r#"{"hickoryledge_trace":1,"title":"t","daemons":[{"identity":{"name":"d1","incarnation":1,"region":"r","hall":"h","caller":"127.0.0.1:1","peer":"127.0.0.1:2","seeds":[],"secret":7}}]}"#;
const START: &str = r#"{"input":{"at":5,"event":"start"}}"#;
const STOP: &str = r#"{"input":{"at":9,"event":"stop"}}"#;

fn parse(lines: &[&str]) -> Result<Trace, TraceError> {
    Trace::parse(format!("{}\n", lines.join("\n")).as_bytes())
}

/// Replays lines after [`HEADER`].
fn replay_lines(lines: &[&str]) -> ReplayResult {
    let mut all = vec![HEADER];
    all.extend_from_slice(lines);
    replay(&parse(&all).expect("trace is valid"), &[])
}

/// Replays lines after [`HEADER`] and returns the divergence.
fn divergence(lines: &[&str]) -> String {
    replay_lines(lines)
        .divergence
        .expect("replay diverges")
        .to_string()
}

#[test]
fn rejects_unknown_version() {
    let header = HEADER.replace("\"hickoryledge_trace\":1", "\"hickoryledge_trace\":9");
    let error = parse(&[&header]).expect_err("version is not supported");
    assert!(
        matches!(error, TraceError::UnsupportedVersion(9)),
        "{error}"
    );
}

#[test]
fn rejects_empty_file() {
    assert!(matches!(Trace::parse(b""), Err(TraceError::Empty)));
    assert!(matches!(Trace::parse(b"\n\n"), Err(TraceError::Empty)));
}

#[test]
fn reports_number_of_invalid_line() {
    let error = parse(&[HEADER, START, "{\"input\":", STOP]).expect_err("line is invalid");
    assert!(
        matches!(error, TraceError::InvalidLine { line: 3, .. }),
        "{error}"
    );
}

#[test]
fn distinguishes_truncated_last_line_from_invalid_line() {
    let text = format!("{HEADER}\n{START}\n{{\"input\":{{\"at\":1");
    let error = Trace::parse(text.as_bytes()).expect_err("line is truncated");
    assert!(
        matches!(error, TraceError::TruncatedLine { line: 3 }),
        "{error}"
    );
}

#[test]
fn reports_truncated_header() {
    let error = Trace::parse(&HEADER.as_bytes()[..40]).expect_err("header is truncated");
    assert!(
        matches!(error, TraceError::TruncatedLine { line: 1 }),
        "{error}"
    );
}

#[test]
fn rejects_json_without_version() {
    let error = parse(&["{\"a\":1}"]).expect_err("text is not a trace");
    assert!(
        matches!(error, TraceError::InvalidLine { line: 1, .. }),
        "{error}"
    );
}

#[test]
fn rejects_input_before_previous_one() {
    let earlier = r#"{"input":{"at":4,"event":"stop"}}"#;
    assert!(divergence(&[START, earlier]).starts_with("line 3: time 4"));
}

#[test]
fn reports_unknown_daemon() {
    let other = r#"{"input":{"at":4,"daemon":1,"event":"stop"}}"#;
    assert!(divergence(&[other]).contains("daemon 1 is not in the header"));
}

#[test]
fn missing_expected_output_is_a_divergence() {
    let expect = r#"{"expect":{"output":"exit"}}"#;
    assert!(divergence(&[START, expect]).starts_with("line 3: expected \"exit\""));
}

#[test]
fn expected_output_passes() {
    let expect = r#"{"expect":{"output":"exit"}}"#;
    assert_eq!(replay_lines(&[START, STOP, expect]).divergence, None);
}

#[test]
fn rejected_output_is_a_divergence() {
    let reject = r#"{"reject":{"output":"exit"}}"#;
    assert!(divergence(&[START, STOP, reject]).starts_with("line 4: unexpected output"));
}

#[test]
fn output_forbidden_by_never_is_a_divergence_at_its_input() {
    let never = r#"{"never":{"output":"exit"}}"#;
    assert!(divergence(&[START, never, STOP]).starts_with("line 4: line 3 forbids"));
}

#[test]
fn output_count_must_match() {
    let none = r#"{"count":{"output":"exit","is":0}}"#;
    let one = r#"{"count":{"output":"exit","is":1}}"#;
    assert_eq!(replay_lines(&[START, none, STOP, one]).divergence, None);
    assert!(divergence(&[START, STOP, none]).contains("1 outputs match"));
}

#[test]
fn reports_unbound_name() {
    let expect = r#"{"expect":{"output":{"log":"$nothing"}}}"#;
    assert!(divergence(&[START, expect]).contains("$nothing is not bound"));
}

#[test]
fn replay_is_deterministic() {
    for path in trace_paths() {
        let trace = Trace::read(&path).expect("trace is valid");
        assert_eq!(
            replay(&trace, &[]),
            replay(&trace, &[]),
            "{}",
            path.display()
        );
    }
}

#[test]
fn corpus_passes() {
    let results = replay_corpus(&[traces_folder()]).expect("corpus is read");
    // The test runner captures only the output of macros, so this table is always printed.
    print_table(&results, &mut std::io::stdout()).expect("table is printed");
    let failed: Vec<_> = results
        .iter()
        .filter(|result| result.failure.is_some())
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
    assert!(!results.is_empty(), "the corpus is empty");
}

#[test]
fn every_trace_fails_without_its_mechanism() {
    for path in trace_paths() {
        let trace = Trace::read(&path).expect("trace is valid");
        let mechanism = trace.header.mechanism.expect("trace names its mechanism");
        let result = replay(&trace, &[mechanism]);
        assert!(
            result.divergence.is_some(),
            "{} passes without {mechanism:?}",
            path.display()
        );
    }
}

#[test]
fn every_mechanism_has_a_trace() {
    let headers = trace_paths()
        .into_iter()
        .map(|path| Trace::read(&path).expect("trace is valid").header);
    let covered: Vec<Mechanism> = headers.filter_map(|header| header.mechanism).collect();
    for mechanism in Mechanism::ALL {
        assert!(covered.contains(&mechanism), "{mechanism:?}");
    }
}

fn traces_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces")
}

fn trace_paths() -> Vec<PathBuf> {
    let results = replay_corpus(&[traces_folder()]).expect("corpus is read");
    results.into_iter().map(|result| result.path).collect()
}
