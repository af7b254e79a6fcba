//! The request part's decisions, in virtual time.

mod harness;
mod once;
mod truth;
