//! Hickoryledge serves large models whose replicas span several hosts.
//!
//! [`core`] decides and does no I/O; [`shell`] is the loop around it.
//! [`client`] is the operators' side of the daemon's calls.

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
