//! Settings: read from YAML, checked whole, then passed down resolved.

use {
    crate::core::{
        keys::{DaemonName, HallName, RegionName},
        options::Options,
    },
    std::net::SocketAddr,
};

/// The addresses that a daemon listens on.
#[derive(Clone, Debug)]
pub struct Listen {
    /// For callers, and for health and metrics.
    pub caller: SocketAddr,
    /// For other daemons, UDP and TCP alike.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// A daemon's settings, resolved.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The daemon's name.
    pub name: DaemonName,
    /// Its region.
    pub region: RegionName,
    /// Its hall.
    pub hall: HallName,
    /// Where it listens.
    pub listen: Listen,
    /// Daemons to ask first.
    pub peers: Vec<SocketAddr>,
    /// The platform's key-value service, any of these addresses.
    pub platform: Vec<SocketAddr>,
    /// The list of live and leaving hosts.
    pub host_list: SocketAddr,
    /// The key that daemons authenticate each other's messages with.
    pub peer_key: [u8; 32],
    /// The token that operators present.
    pub operator_token: String,
    /// The largest request body taken, in bytes.
    pub max_body: usize,
    /// The most calls open at once.
    pub max_calls: usize,
    /// Tunables of the decision logic.
    pub options: Options,
}
