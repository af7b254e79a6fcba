//! The report as text for a terminal.

use std::fmt::Write;

use super::burn::{Offender, OffenderKind, Report, Row};

/// Writes the report as text.
pub fn render_text(report: &Report) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<24} {:<28} {:>7} {:>10} {:>8} {:>8} {:>8}",
        "objective", "for", "target", "good", "left", "5 min", "1 h"
    );
    for row in &report.rows {
        write_row(&mut out, row);
    }
    if !report.causes.is_empty() {
        let _ = writeln!(out, "\nworst causes");
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
        let _ = writeln!(out, "\nwhat stood behind it");
    }
    for offender in &report.offenders {
        let _ = writeln!(out, "  {:>8}  {}", offender.count, describe(offender));
    }
    let _ = writeln!(out, "\nwhat to do next");
    for line in &report.advice {
        let _ = writeln!(out, "  {line}");
    }
    out
}

fn write_row(out: &mut String, row: &Row) {
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

fn describe(offender: &Offender) -> String {
    let name = &offender.name;
    match offender.kind {
        OffenderKind::GroupDown => format!("seconds that group {name} was down"),
        OffenderKind::Straggler => format!("late tokens of host {name}"),
        OffenderKind::Platform => "failed calls of the platform's service".to_owned(),
    }
}
