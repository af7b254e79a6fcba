//! Messages and timers of the membership.

use super::{
    super::keys::{DaemonName, HostName, Incarnation},
    load::Digest,
    table::MemberUpdate,
};
use std::net::SocketAddr;

crate::record! {
    /// Membership message from one daemon to another.
    pub enum MemberMessage {
        /// Liveness check, which the receiver acknowledges.
        Probe {
            /// Number that the ack repeats.
            number: u64,
            /// True if the sender lacks the receiver's record.
            #[serde(rename = "greet")]
            wants_record: bool,
            /// Piggybacked updates.
            gossip: Gossip,
        },
        /// Reply to a probe.
        #[serde(rename = "alive")]
        Ack {
            /// Number of the probe.
            number: u64,
            /// Piggybacked updates.
            gossip: Gossip,
        },
        /// Request to probe an address on the sender's behalf.
        #[serde(rename = "probe_for")]
        IndirectProbe {
            /// Number of the sender's own probe.
            number: u64,
            /// Peer address to probe.
            target: SocketAddr,
        },
        /// Reply to an indirect probe whose target has answered.
        #[serde(rename = "vouched")]
        IndirectAck {
            /// Number of the receiver's own probe.
            number: u64,
        },
        /// Request for the receiver's whole member table.
        Pull,
        /// Whole member table of the sender.
        Table(Vec<MemberUpdate>),
        /// Update for every daemon, forwarded along a broadcast tree.
        #[serde(rename = "spread")]
        Broadcast {
            /// Daemon that started the broadcast.
            origin: DaemonName,
            /// Incarnation of the origin.
            incarnation: Incarnation,
            /// Sequence number within that incarnation, starting at 1.
            sequence: u64,
            /// Content of the broadcast.
            #[serde(rename = "news")]
            update: Update,
        },
    }

    /// Updates piggybacked on a probe or an ack.
    #[derive(Default)]
    pub struct Gossip {
        /// Updates about daemons.
        pub daemons: Vec<MemberUpdate>,
        /// Hosts that are leaving.
        pub leaving: Vec<HostName>,
    }

    /// Content of a broadcast.
    pub enum Update {
        /// Status of a daemon.
        Daemon(MemberUpdate),
        /// Notice that a host is leaving.
        Leaving(HostName),
        /// Load and health of a domain's hosts, from its duty holder.
        Load(Digest),
    }

    /// Timers of the membership part.
    #[derive(Copy, Eq, Hash)]
    pub enum MemberTimer {
        /// Start of the next probe interval.
        Probe,
        /// Timeout of a direct probe, after which others probe indirectly.
        Indirect,
        /// Next round of load polls and digests.
        Load,
        /// Next check of the registration.
        Registry,
    }
}
