//! Records inputs of daemons as traces, and replays traces through the core.
//!
//! A trace is a file of JSON lines (docs/TRACES.md): a header, then inputs and
//! checks of the outputs. A replay gives the same outputs on every run.

mod format;
mod pattern;
mod record;
mod run;
mod table;

pub use format::{DaemonHeader, FORMAT_VERSION, Header, Line, OutputPattern, Trace, TraceError};
pub use record::Recorder;
pub use run::{Divergence, ReplayResult, replay, replay_with};
pub use table::{TraceResult, print_table, replay_corpus};
