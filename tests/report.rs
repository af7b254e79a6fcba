//! Checks reports on recordings of known incidents against figures worked out by hand.
//!
//! `recordings/host-loss.jsonl`: a group of two hosts. Nine requests are answered
//! after 0.1 s. One host is lost from second 30 to 60, and five requests are refused.
//! Then five requests are answered after 0.5 s.
//! `recordings/straggler.jsonl`: host a sends ten of twenty tokens 0.1 s late, and
//! three calls to the platform's store fail.

use std::path::Path;

use hickoryledge::{
    replay::Trace,
    report::{
        Objective, ObjectiveRow, Objectives, OffenderKind, Report, build_trace_report, render_html,
        render_text,
    },
};

/// Builds the report on the loss of a host.
fn host_loss_report() -> Report {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recordings/host-loss.jsonl");
    let trace = Trace::read(&path).expect("recording is valid");
    build_trace_report(&trace, &Objectives::default()).expect("recording replays")
}

/// Returns the total row of an objective.
fn total_row(report: &Report, objective: Objective) -> &ObjectiveRow {
    let mut rows = report.rows.iter();
    let found = rows.find(|row| row.objective == objective && row.subject.is_none());
    found.expect("report has a total row")
}

fn assert_close(value: f64, expected: f64) {
    assert!(
        (value - expected).abs() < 1e-6 * expected.abs().max(1.0),
        "{value}, expected {expected}"
    );
}

#[test]
fn counts_complete_responses() {
    let report = host_loss_report();
    let row = total_row(&report, Objective::AnsweredWhole);
    assert_eq!((row.good, row.total), (14, 19));
    assert_close(row.slow_burn, (5.0 / 19.0) / 0.001);
    assert_close(row.budget_left, 1.0 - row.slow_burn);
}

#[test]
fn late_first_tokens_spend_their_error_budget() {
    let report = host_loss_report();
    let row = total_row(&report, Objective::FirstToken);
    assert_eq!((row.good, row.total), (9, 14));
    assert_close(row.slow_burn, (5.0 / 14.0) / 0.05);
}

#[test]
fn tokens_in_time_spend_no_error_budget() {
    let report = host_loss_report();
    let row = total_row(&report, Objective::TokenGap);
    assert_eq!((row.good, row.total), (14, 14));
    assert_close(row.slow_burn, 0.0);
}

/// The host is lost for 30 s, and its group serves again 3 s after it is back.
#[test]
fn counts_group_down_until_three_seconds_after_host_returns() {
    let report = host_loss_report();
    let row = total_row(&report, Objective::GroupAvailable);
    let down = 1.0 - row.good as f64 / row.total as f64;
    assert_close(down, 33.0 / 89.0);
}

#[test]
fn reports_worst_cause_and_next_step() {
    let report = host_loss_report();
    let cause = &report.causes[0];
    assert_eq!((cause.cause.as_str(), cause.count), ("refused: NoGroup", 5));
    assert!(
        report.advice[0].starts_with("groups in service (now)"),
        "{:?}",
        report.advice
    );
}

#[test]
fn reports_group_with_its_downtime() {
    let report = host_loss_report();
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
fn reports_straggler_and_platform_outage() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recordings/straggler.jsonl");
    let trace = Trace::read(&path).expect("recording is valid");
    let report = build_trace_report(&trace, &Objectives::default()).expect("recording replays");
    let offenders: Vec<_> = report
        .offenders
        .iter()
        .map(|o| (o.kind, o.name.as_str(), o.count))
        .collect();
    assert!(
        offenders.contains(&(OffenderKind::Straggler, "a", 10)),
        "{offenders:?}"
    );
    assert!(
        offenders
            .iter()
            .any(|(kind, _, count)| *kind == OffenderKind::Platform && *count == 3)
    );
    let advice = report.advice.join(" ");
    assert!(
        advice.contains("host a sent most of the late tokens"),
        "{advice}"
    );
}

#[test]
fn advises_nothing_without_bad_events() {
    let report = Report::default();
    assert!(render_text(&report).contains("next steps"));
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/traces/whole-answers/a-crossed-answer-is-dropped.jsonl");
    let trace = Trace::read(&path).expect("trace is valid");
    let healthy = build_trace_report(
        &trace,
        &Objectives {
            accelerator_target: 0.1,
            ..Objectives::default()
        },
    );
    let healthy = healthy.expect("trace replays");
    assert_eq!(
        healthy.advice,
        ["nothing to do: no error budget is being overspent"]
    );
}

#[test]
fn html_is_self_contained_and_plots_every_objective() {
    let html = render_html(&host_loss_report()).expect("page is rendered");
    assert_eq!(html.matches("<svg").count(), Objective::ALL.len());
    for objective in Objective::ALL {
        assert!(html.contains(objective.name()), "{}", objective.name());
    }
    assert!(
        !html.contains("http://") || html.contains("xmlns"),
        "no external resource is fetched"
    );
    assert!(!html.contains("<script") && !html.contains("<link"));
}

#[test]
fn report_survives_json_round_trip() {
    let report = host_loss_report();
    let text = serde_json::to_string(&report).expect("report is serialized");
    let parsed: Report = serde_json::from_str(&text).expect("report is parsed");
    assert_eq!(parsed, report);
}

#[test]
fn uses_bounds_of_given_objectives() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recordings/host-loss.jsonl");
    let trace = Trace::read(&path).expect("recording is valid");
    let slower = Objectives {
        first_token: hickoryledge::core::time::Span::from_millis(600),
        ..Objectives::default()
    };
    let report = build_trace_report(&trace, &slower).expect("recording replays");
    let row = total_row(&report, Objective::FirstToken);
    assert_eq!((row.good, row.total), (14, 14));
}

/// Callers may send any model name, so a count for each would let the report grow without bound.
#[test]
fn counts_unknown_target_names_as_one() {
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
