//! Renders the report as text for a terminal.

use std::fmt::Write;

use super::burn::{ObjectiveRow, Offender, OffenderKind, Report};

/// Renders the report as text.
pub fn render_text(report: &Report) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<24} {:<28} {:>7} {:>10} {:>8} {:>8} {:>8}",
        "objective", "subject", "target", "good", "budget", "burn 5m", "burn 1h"
    );
    for row in &report.rows {
        write_row(&mut out, row);
    }
    if !report.causes.is_empty() {
        let _ = writeln!(out, "\ntop causes");
    }
    for cause in &report.causes {
        let subject = &cause.subject;
        let _ = writeln!(
            out,
            "  {:>8}  {} ({} of {})",
            cause.count, cause.cause, subject.account, subject.target
        );
    }
    if !report.offenders.is_empty() {
        let _ = writeln!(out, "\ntop offenders");
    }
    for offender in &report.offenders {
        let _ = writeln!(
            out,
            "  {:>8}  {}",
            offender.count,
            describe_offender(offender)
        );
    }
    let _ = writeln!(out, "\nnext steps");
    for line in &report.advice {
        let _ = writeln!(out, "  {line}");
    }
    out
}

fn write_row(out: &mut String, row: &ObjectiveRow) {
    let subject = match &row.subject {
        None => "everything".to_owned(),
        Some(subject) => format!("{} of {}", subject.account, subject.target),
    };
    let good = match row.total {
        0 => "-".to_owned(),
        total => format!("{:.3}%", 100.0 * row.good as f64 / total as f64),
    };
    let _ = writeln!(
        out,
        "{:<24} {subject:<28} {:>6.2}% {good:>10} {:>7.0}% {:>8.2} {:>8.2}",
        row.objective.name(),
        100.0 * row.target,
        100.0 * row.budget_left,
        row.fast_burn,
        row.slow_burn,
    );
}

fn describe_offender(offender: &Offender) -> String {
    let name = &offender.name;
    match offender.kind {
        OffenderKind::GroupDown => format!("seconds of downtime of group {name}"),
        OffenderKind::Straggler => format!("late tokens from host {name}"),
        OffenderKind::Platform => "failed calls to the platform's service".to_owned(),
    }
}
