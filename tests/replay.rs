//! The trace format, and replaying.

use std::path::{Path, PathBuf};

use hickoryledge::{
    core::options::Mechanism,
    replay::{Fault, Trace, Verdict, print_table, replay, replay_corpus},
};

const HEADER: &str = r#"{"hickoryledge_trace":1,"title":"t","daemons":[{"identity":{"name":"d1","incarnation":1,"region":"r","hall":"h","caller":"127.0.0.1:1","peer":"127.0.0.1:2","seeds":[],"secret":7}}]}"#;
const START: &str = r#"{"input":{"at":5,"event":"start"}}"#;
const STOP: &str = r#"{"input":{"at":9,"event":"stop"}}"#;

fn parse(lines: &[&str]) -> Result<Trace, Fault> {
    Trace::parse(format!("{}\n", lines.join("\n")).as_bytes())
}

fn play(lines: &[&str]) -> Verdict {
    let mut all = vec![HEADER];
    all.extend_from_slice(lines);
    replay(&parse(&all).expect("trace is valid"), &[])
}

fn divergence(lines: &[&str]) -> String {
    play(lines).divergence.expect("replay differs").to_string()
}

#[test]
fn unknown_version_is_refused() {
    let header = HEADER.replace("\"hickoryledge_trace\":1", "\"hickoryledge_trace\":9");
    let fault = parse(&[&header]).expect_err("version is unknown");
    assert!(matches!(fault, Fault::Version(9)), "{fault}");
}

#[test]
fn empty_file_is_refused() {
    assert!(matches!(Trace::parse(b""), Err(Fault::Empty)));
    assert!(matches!(Trace::parse(b"\n\n"), Err(Fault::Empty)));
}

#[test]
fn garbled_line_is_named() {
    let fault = parse(&[HEADER, START, "{\"input\":", STOP]).expect_err("line is garbled");
    assert!(matches!(fault, Fault::Garbled { line: 3, .. }), "{fault}");
}

#[test]
fn torn_last_line_is_told_from_a_garbled_one() {
    let text = format!("{HEADER}\n{START}\n{{\"input\":{{\"at\":1");
    let fault = Trace::parse(text.as_bytes()).expect_err("line is torn");
    assert!(matches!(fault, Fault::Torn { line: 3 }), "{fault}");
}

#[test]
fn torn_header_is_told() {
    let fault = Trace::parse(&HEADER.as_bytes()[..40]).expect_err("header is torn");
    assert!(matches!(fault, Fault::Torn { line: 1 }), "{fault}");
}

#[test]
fn other_text_is_not_a_trace() {
    let fault = parse(&["{\"a\":1}"]).expect_err("no trace");
    assert!(matches!(fault, Fault::Garbled { line: 1, .. }), "{fault}");
}

#[test]
fn time_never_goes_back() {
    let back = r#"{"input":{"at":4,"event":"stop"}}"#;
    assert!(divergence(&[START, back]).starts_with("line 3: time 4"));
}

#[test]
fn unknown_daemon_is_named() {
    let other = r#"{"input":{"at":4,"daemon":1,"event":"stop"}}"#;
    assert!(divergence(&[other]).contains("daemon 1 is not in the header"));
}

#[test]
fn expected_output_that_does_not_come_is_a_divergence() {
    let expect = r#"{"expect":{"output":"exit"}}"#;
    assert!(divergence(&[START, expect]).starts_with("line 3: expected \"exit\""));
}

#[test]
fn expected_output_that_comes_holds() {
    let expect = r#"{"expect":{"output":"exit"}}"#;
    assert_eq!(play(&[START, STOP, expect]).divergence, None);
}

#[test]
fn rejected_output_that_comes_is_a_divergence() {
    let reject = r#"{"reject":{"output":"exit"}}"#;
    assert!(divergence(&[START, STOP, reject]).starts_with("line 4: there must not come"));
}

#[test]
fn output_that_must_never_come_is_a_divergence_at_its_input() {
    let never = r#"{"never":{"output":"exit"}}"#;
    assert!(divergence(&[START, never, STOP]).starts_with("line 4: line 3 says never"));
}

#[test]
fn counted_outputs_must_agree() {
    let none = r#"{"count":{"output":"exit","is":0}}"#;
    let one = r#"{"count":{"output":"exit","is":1}}"#;
    assert_eq!(play(&[START, none, STOP, one]).divergence, None);
    assert!(divergence(&[START, STOP, none]).contains("1 outputs match"));
}

#[test]
fn unbound_name_is_named() {
    let expect = r#"{"expect":{"output":{"log":"$nothing"}}}"#;
    assert!(divergence(&[START, expect]).contains("$nothing is not bound"));
}

#[test]
fn replay_gives_the_same_bytes_every_time() {
    for path in traces() {
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
fn corpus_holds() {
    let rows = replay_corpus(&[traces_folder()]).expect("corpus is read");
    // The test runner keeps back what is printed by macros only.
    print_table(&rows, &mut std::io::stdout()).expect("table is printed");
    let failed: Vec<_> = rows.iter().filter(|row| row.failure.is_some()).collect();
    assert!(failed.is_empty(), "{failed:#?}");
    assert!(!rows.is_empty(), "the corpus is empty");
}

#[test]
fn every_trace_fails_without_its_mechanism() {
    for path in traces() {
        let trace = Trace::read(&path).expect("trace is valid");
        let mechanism = trace.header.mechanism.expect("trace names its mechanism");
        let verdict = replay(&trace, &[mechanism]);
        assert!(
            verdict.divergence.is_some(),
            "{} holds without {mechanism:?}",
            path.display()
        );
    }
}

#[test]
fn every_mechanism_has_a_trace() {
    let headers = traces()
        .into_iter()
        .map(|path| Trace::read(&path).expect("trace is valid").header);
    let shown: Vec<Mechanism> = headers.filter_map(|header| header.mechanism).collect();
    for mechanism in Mechanism::ALL {
        assert!(shown.contains(&mechanism), "{mechanism:?}");
    }
}

fn traces_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces")
}

fn traces() -> Vec<PathBuf> {
    let rows = replay_corpus(&[traces_folder()]).expect("corpus is read");
    rows.into_iter().map(|row| row.path).collect()
}
