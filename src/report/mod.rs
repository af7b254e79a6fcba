//! The report on service-level burn: how fast the error budgets are spent, and why.
//!
//! A [`Tally`] watches a daemon's inputs and outputs, live or from a replayed
//! recording. [`burn`] turns it into a [`Report`], which is written as text,
//! JSON or one self-contained page.

mod advice;
mod burn;
mod monitor;
mod objective;
mod page;
mod tally;
mod text;

pub use burn::{Cause, Offender, OffenderKind, Point, Report, Row, burn};
pub use monitor::Monitor;
pub use objective::{Objective, Objectives};
pub use page::render_html;
pub use tally::{Figures, Latencies, SiteFigures, Slot, Subject, Tally};
pub use text::render_text;

use crate::{
    core::{Core, input::Input, output::Output},
    replay::{Divergence, Trace, observe},
};

/// The report on a recording, by replaying it.
///
/// # Errors
///
/// Fails with the first line whose stated outcome differs.
pub fn build_trace_report(trace: &Trace, objectives: &Objectives) -> Result<Report, Divergence> {
    let mut tally = Tally::default();
    observe(trace, |now, core: &Core, input: &Input, out: &[Output]| {
        tally.record_input(now, core, input);
        tally.record_outputs(now, core, out);
    })?;
    Ok(burn(&tally, objectives))
}
