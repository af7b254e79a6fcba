//! In-memory fakes of what the decision logic communicates with.
#![allow(dead_code)]

pub mod cluster;
pub mod kv;
pub mod store;
