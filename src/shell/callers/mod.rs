//! The HTTP side towards callers.
//!
//! Each request is read whole, within limits, and handed to the decision
//! logic; its answer ends as the decision logic says and in no other way.

mod answer;
mod ask;
mod body;
mod connections;
mod counted;
mod serve;

pub use ask::format_ticket;
pub use connections::Connections;
pub use serve::start;
