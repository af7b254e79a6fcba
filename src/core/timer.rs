//! Timers, one kind for each part of the decision logic.
//!
//! A part that gets a timer must check that it still matters.

use super::{
    group::GroupTimer,
    keys::{AttemptId, CallId, PlatformId},
    member::MemberTimer,
};

crate::record! {
    /// A timer.
    #[derive(Eq, Hash)]
    pub enum Timer {
        /// For requests.
        Request(RequestTimer),
        /// For groups.
        Group(GroupTimer),
        /// For members.
        Member(MemberTimer),
        /// For configuration.
        Config(ConfigTimer),
    }

    /// Timers of the request path.
    #[derive(Copy, Eq, Hash)]
    pub enum RequestTimer {
        /// A call's deadline.
        Deadline(CallId),
        /// An attempt has been silent for too long.
        Silent(AttemptId),
        /// A call may be tried again.
        Retry(CallId),
        /// Queued calls are looked at again.
        Queue,
        /// Old entries are dropped from the ledger.
        Sweep,
        /// The graceful stop's time is up.
        Stop,
    }

    /// Timers of the configuration.
    #[derive(Copy, Eq, Hash)]
    pub enum ConfigTimer {
        /// A platform call has had no answer.
        Timeout(PlatformId),
        /// The watch is started or looked at again.
        Watch,
        /// Missing changes are asked of a peer again.
        Fetch,
        /// Peers are told again how far this daemon is.
        Gossip,
        /// An operator's write is tried again.
        Write(u64),
    }
}
