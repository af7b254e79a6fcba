//! Relay of the store's changes between the daemons of a hall.
//!
//! Calls to the store must not grow with the number of daemons. In a large hall
//! a few daemons, the watchers, watch the store, and the others subscribe to
//! their changes. Changes carry the store's revisions, so a subscriber can move
//! between a peer and the store at any time without a gap.
//!
//! In a large fleet, a daemon that starts also lists the entries from a watcher.
//!
//! A subscriber trusts its peer only as long as the peer proves that it is in
//! contact with the store; otherwise it watches the store itself.
//!
//! `history` and `source` decide and do no I/O.

pub mod history;
pub(super) mod list;
pub(super) mod messages;
pub mod packed;
pub(super) mod peer;
pub(super) mod server;
pub mod source;
pub(super) mod subscription;
mod topic;

pub(super) use topic::{Topic, Topics};
