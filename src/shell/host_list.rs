//! Reads the list of live and leaving hosts, again and again.

use {super::Inbox, std::net::SocketAddr};

/// Reads the list until the loop ends.
pub fn start(_inbox: Inbox, _address: SocketAddr) {}
