//! Hickoryledge serves large models whose replicas span several hosts.
//!
//! [`core`] makes the decisions of a daemon and does no I/O; [`shell`] runs it and does the I/O.
//! [`gateway`] runs a daemon on the users' platform through the adapter in [`platform`]. [`client`]
//! is the gRPC client for operators.

pub mod client;
pub mod core;
mod derive;
pub mod gateway;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod replay;
pub mod report;
pub mod settings;
pub mod shell;
pub mod timers;
pub mod wire;
