//! Small fakes at the interfaces of the decision logic.
#![allow(dead_code)]

pub mod handover;
pub mod kv;
pub mod store;
