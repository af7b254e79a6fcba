//! A runner's report of itself, as its entry in the store has it.

use super::stated::Stated;
use crate::core::{
    keys::{DomainName, Epoch, GroupName, HallName, ModelName, ServiceName},
    time::Span,
};
use std::net::SocketAddr;

crate::record! {
    /// A runner's entry, as it reports itself.
    pub struct Runner {
        /// Service that it belongs to.
        pub service: ServiceName,
        /// Address for requests and orders.
        pub address: SocketAddr,
        /// Hall of its host.
        pub hall: HallName,
        /// Fabric domain, if it can be a member of a group.
        pub domain: Option<DomainName>,
        /// Number of requests that it runs at once.
        pub slots: u32,
        /// True if it is draining and about to leave.
        pub draining: bool,
        /// Start of this run, in Unix milliseconds.
        pub born: u64,
        /// Number of orders that this run has accepted.
        #[serde(default)]
        pub orders: u64,
        /// Time for which it stays cold, as of the report.
        #[serde(default)]
        pub cold_left: Stated<Span>,
        /// Models whose weights are stored on its host.
        pub staged: Vec<ModelName>,
        /// Membership in a group.
        pub member: Option<Membership>,
    }

    /// A runner's membership in a group.
    pub struct Membership {
        /// Name of the group.
        pub group: GroupName,
        /// Epoch of the group.
        pub epoch: Epoch,
        /// Rank in the group; 0 is the head.
        pub rank: u16,
        /// Model of the group, if the runner reports it.
        pub model: Option<ModelName>,
        /// State of the member.
        pub state: MemberState,
    }

    /// State of a group member.
    #[derive(Copy, Eq)]
    pub enum MemberState {
        /// Loading weights.
        Joining,
        /// Weights loaded, not serving.
        Ready,
        /// Head that takes requests.
        Open,
        /// Head that finishes its requests and takes no more.
        Closing,
        /// Out of service: the group was without one of its members for too long.
        Broken,
    }
}

impl Runner {
    /// Returns the epoch of its group if it is a head that takes requests.
    pub fn open_epoch(&self) -> Option<Epoch> {
        let member = self.member.as_ref()?;
        let is_open = member.rank == 0 && member.state == MemberState::Open;
        is_open.then_some(member.epoch)
    }

    /// Returns true if this report of the same host is certain to be newer.
    pub(super) fn is_newer(&self, other: &Runner) -> bool {
        let is_draining = self.draining && !other.draining;
        let position = (self.born, self.orders);
        position > (other.born, other.orders) || (self.born == other.born && is_draining)
    }
}
