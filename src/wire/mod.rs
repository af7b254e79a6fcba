//! Messages on the wire.
//!
//! The gRPC messages are generated from `proto/`; [`envelope`] holds the frames
//! between daemons.

/// The operators' gRPC service.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "hickoryledge.v1.rs"]
pub mod operator;

/// The gRPC services of etcd, the platform's key-value store.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "etcdserverpb.rs"]
pub mod etcdserverpb;

/// The key-value messages of etcd.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "mvccpb.rs"]
pub mod mvccpb;

pub mod envelope;
