//! Service-level report: how fast the error budgets are spent, and why.
//!
//! [`SloStats`] counts a daemon's inputs and outputs, live or from a replayed
//! recording. [`build_report`] turns the counts into a [`Report`], which is
//! rendered as text, JSON or one self-contained HTML page.

mod advice;
mod burn;
mod html;
mod monitor;
mod objective;
mod stats;
mod text;

pub use burn::{BurnPoint, Cause, ObjectiveRow, Offender, OffenderKind, Report, build_report};
pub use html::render_html;
pub use monitor::Monitor;
pub use objective::{Objective, Objectives};
pub use stats::{CapacityStats, LatencyHistogram, SloStats, Subject, SubjectStats, TimeSlot};
pub use text::render_text;

use crate::{
    core::{Core, input::Input, output::Output},
    replay::{Divergence, Trace, replay_with},
};

/// Replays a recording and builds its report.
///
/// # Errors
///
/// Fails with the first line of the trace that differs from the replay.
pub fn build_trace_report(trace: &Trace, objectives: &Objectives) -> Result<Report, Divergence> {
    let mut stats = SloStats::default();
    replay_with(trace, |now, core: &Core, input: &Input, out: &[Output]| {
        stats.record_input(now, core, input);
        stats.record_outputs(now, core, out);
    })?;
    Ok(build_report(&stats, objectives))
}
