//! Traces: recorded inputs, replayed through the decision logic and checked.
//!
//! A trace is JSON lines (docs/TRACES.md): a header, then inputs and stated
//! outcomes. Replaying one gives the same outputs on every run.

mod format;
mod pattern;
mod record;
mod run;
mod table;

pub use format::{DaemonHeader, Fault, Header, Line, Outcome, Trace, VERSION};
pub use record::Recorder;
pub use run::{Divergence, Verdict, observe, replay};
pub use table::{Row, print_table, replay_corpus};
