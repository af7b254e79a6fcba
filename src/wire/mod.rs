//! Messages on the wire: generated from `proto/`, and those between daemons.

/// The operators' calls.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "hickoryledge.v1.rs"]
pub mod operator;

/// The platform's calls.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "etcdserverpb.rs"]
pub mod etcdserverpb;

/// The platform's key-value messages.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "mvccpb.rs"]
pub mod mvccpb;

pub mod envelope;
