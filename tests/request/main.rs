//! The request part's decisions, in virtual time.

#[path = "../fakes/mod.rs"]
mod fakes;

mod attempts;
mod faulted;
mod fleet;
#[allow(dead_code)]
mod harness;
mod once;
mod plan;
mod routes;
mod sharing;
mod truth;
