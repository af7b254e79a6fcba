//! Timers, with one type for each part of the decision logic.
//!
//! A timer can't be cancelled, so a part must check that one that fires still applies.

use super::{
    group::GroupTimer,
    keys::{AttemptId, CallId, PlatformId},
    member::MemberTimer,
};

crate::record! {
    /// Timer of one part.
    #[derive(Eq, Hash)]
    pub enum Timer {
        /// Timer of the request part.
        Request(RequestTimer),
        /// Timer of the group part.
        Group(GroupTimer),
        /// Timer of the member part.
        Member(MemberTimer),
        /// Timer of the configuration part.
        Config(ConfigTimer),
    }

    /// Timers of the request part.
    #[derive(Copy, Eq, Hash)]
    pub enum RequestTimer {
        /// The deadline of a call has passed.
        Deadline(CallId),
        /// An attempt may have been silent for too long.
        Silent(AttemptId),
        /// A call may be retried.
        Retry(CallId),
        /// The queued calls are due for a check.
        Queue,
        /// The used tickets are due for a sweep.
        Sweep,
        /// The grace period of a stop has ended.
        Stop,
    }

    /// Timers of the configuration part.
    #[derive(Copy, Eq, Hash)]
    pub enum ConfigTimer {
        /// A platform call got no answer.
        Timeout(PlatformId),
        /// The watch is to be started, or checked for silence.
        Watch,
        /// A fetch got no answer and is to be repeated.
        Fetch,
        /// A digest is to be sent to other daemons.
        Gossip,
        /// An operator's write is to be retried.
        Write(u64),
    }
}
