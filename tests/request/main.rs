//! The request part's decisions, in virtual time.

mod attempts;
mod harness;
mod once;
mod sharing;
mod truth;
