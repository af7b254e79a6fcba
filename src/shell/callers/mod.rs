//! The HTTP server for callers.
//!
//! Each request is read completely, within limits, and passed to the core. Its
//! response ends with the outcome that the core decides, and with no other.

mod body;
mod connections;
mod counters;
mod parse;
mod response;
mod serve;

pub use parse::format_ticket;
pub use serve::start;
