//! The burn report on the recording of a known incident.
//!
//! `recordings/host-loss.jsonl`: one group of two hosts; nine requests answered
//! after 0.1 s; a member is gone from second 30 to 60 and five requests are
//! refused; five requests answered after 0.5 s. `straggler.jsonl`: host a gives ten
//! of twenty tokens 0.1 s late, and three platform calls fail.

use std::path::Path;

use hickoryledge::{
    replay::Trace,
    report::{
        Objective, Objectives, OffenderKind, Report, Row, build_trace_report, render_html,
        render_text,
    },
};

fn incident() -> Report {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recordings/host-loss.jsonl");
    let trace = Trace::read(&path).expect("recording is valid");
    build_trace_report(&trace, &Objectives::default()).expect("recording replays")
}

fn row(report: &Report, objective: Objective) -> &Row {
    let mut rows = report.rows.iter();
    let found = rows.find(|row| row.objective == objective && row.subject.is_none());
    found.expect("row is there")
}

fn assert_close(value: f64, wanted: f64) {
    assert!(
        (value - wanted).abs() < 1e-6 * wanted.abs().max(1.0),
        "{value}, not {wanted}"
    );
}

#[test]
fn requests_answered_whole_are_counted_by_hand() {
    let report = incident();
    let row = row(&report, Objective::AnsweredWhole);
    assert_eq!((row.good, row.total), (14, 19));
    assert_close(row.slow_burn, (5.0 / 19.0) / 0.001);
    assert_close(row.budget_left, 1.0 - row.slow_burn);
}

#[test]
fn late_first_tokens_burn_their_budget() {
    let report = incident();
    let row = row(&report, Objective::FirstToken);
    assert_eq!((row.good, row.total), (9, 14));
    assert_close(row.slow_burn, (5.0 / 14.0) / 0.05);
}

#[test]
fn tokens_in_time_burn_nothing() {
    let report = incident();
    let row = row(&report, Objective::TokenGap);
    assert_eq!((row.good, row.total), (14, 14));
    assert_close(row.slow_burn, 0.0);
}

#[test]
fn the_group_was_down_until_its_host_had_been_back_for_three_seconds() {
    let report = incident();
    let row = row(&report, Objective::GroupAvailable);
    let down = 1.0 - row.good as f64 / row.total as f64;
    assert_close(down, 33.0 / 89.0);
}

#[test]
fn the_worst_cause_and_the_next_step_are_named() {
    let report = incident();
    let cause = &report.causes[0];
    assert_eq!((cause.cause.as_str(), cause.count), ("refused: NoGroup", 5));
    assert!(
        report.advice[0].starts_with("groups in service (now)"),
        "{:?}",
        report.advice
    );
}

#[test]
fn the_group_that_was_down_is_named_with_its_time() {
    let report = incident();
    let down = &report.offenders[0];
    assert_eq!(
        (down.kind, down.name.as_str()),
        (OffenderKind::GroupDown, "g")
    );
    assert_eq!(down.count, 33);
    assert!(
        report.advice[0].contains("keeps g out of service"),
        "{:?}",
        report.advice
    );
}

#[test]
fn a_straggler_and_an_outage_are_named() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recordings/straggler.jsonl");
    let trace = Trace::read(&path).expect("recording is valid");
    let report = build_trace_report(&trace, &Objectives::default()).expect("recording replays");
    let named: Vec<_> = report
        .offenders
        .iter()
        .map(|o| (o.kind, o.name.as_str(), o.count))
        .collect();
    assert!(
        named.contains(&(OffenderKind::Straggler, "a", 10)),
        "{named:?}"
    );
    assert!(
        named
            .iter()
            .any(|(kind, _, count)| *kind == OffenderKind::Platform && *count == 3)
    );
    let advice = report.advice.join(" ");
    assert!(
        advice.contains("host a gave most of the late tokens"),
        "{advice}"
    );
}

#[test]
fn a_day_without_loss_needs_nothing_done() {
    let report = Report::default();
    assert!(render_text(&report).contains("what to do next"));
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/traces/whole-answers/a-crossed-answer-is-dropped.jsonl");
    let trace = Trace::read(&path).expect("trace is valid");
    let quiet = build_trace_report(
        &trace,
        &Objectives {
            accelerator_target: 0.1,
            ..Objectives::default()
        },
    );
    let quiet = quiet.expect("trace replays");
    assert_eq!(quiet.advice, ["nothing: every budget holds"]);
}

#[test]
fn the_page_stands_alone_and_draws_every_objective() {
    let page = render_html(&incident()).expect("page is drawn");
    assert_eq!(page.matches("<svg").count(), Objective::ALL.len());
    for objective in Objective::ALL {
        assert!(page.contains(objective.name()), "{}", objective.name());
    }
    assert!(
        !page.contains("http://") || page.contains("xmlns"),
        "nothing is fetched"
    );
    assert!(!page.contains("<script") && !page.contains("<link"));
}

#[test]
fn the_report_survives_its_json() {
    let report = incident();
    let text = serde_json::to_string(&report).expect("report is written");
    let back: Report = serde_json::from_str(&text).expect("report is read");
    assert_eq!(back, report);
}

#[test]
fn objectives_of_the_settings_are_used() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recordings/host-loss.jsonl");
    let trace = Trace::read(&path).expect("recording is valid");
    let slower = Objectives {
        first_token: hickoryledge::core::time::Span::from_millis(600),
        ..Objectives::default()
    };
    let report = build_trace_report(&trace, &slower).expect("recording replays");
    let row = row(&report, Objective::FirstToken);
    assert_eq!((row.good, row.total), (14, 14));
}

#[test]
fn names_that_callers_make_up_count_as_one() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recordings/unknown-names.jsonl");
    let trace = Trace::read(&path).expect("recording is valid");
    let report = build_trace_report(&trace, &Objectives::default()).expect("recording replays");
    let causes: Vec<_> = report
        .causes
        .iter()
        .map(|cause| {
            (
                cause.subject.target.as_str(),
                cause.cause.as_str(),
                cause.count,
            )
        })
        .collect();
    assert_eq!(causes, [("(unknown)", "refused: NotFound", 5)]);
}
