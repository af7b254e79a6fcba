//! Tests of the core's request handling, in virtual time.

#[path = "../fakes/mod.rs"]
mod fakes;

mod attempts;
mod endings;
mod fleet;
#[allow(dead_code)]
mod harness;
mod plan;
mod random_faults;
mod routing;
mod scheduling;
mod single_start;
