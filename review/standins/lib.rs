//! Stand-ins of the users' platform for the cases of the review. They use the standard library only.

pub mod config;
pub mod daemon;
pub mod http;
pub mod json;
pub mod record;
pub mod runner;
pub mod store;
