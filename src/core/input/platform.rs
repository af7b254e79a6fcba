//! Inputs from the platform's key-value store.

use crate::core::{
    keys::{LeaseId, PlatformId, Revision},
    time::Span,
};

crate::record! {
    /// Event from the platform's key-value store.
    pub enum PlatformInput {
        /// A call was answered.
        Answered {
            /// Identifier of the call.
            id: PlatformId,
            /// Answer to the call.
            answer: PlatformAnswer,
        },
        /// A call has failed; a write may have taken effect nevertheless.
        Failed {
            /// Identifier of the call.
            id: PlatformId,
        },
        /// Changes under a watch, in order.
        Watched {
            /// Identifier of the watch.
            id: PlatformId,
            /// Revision up to which the watch is now complete.
            revision: Revision,
            /// Changes; empty if only progress is reported.
            events: Vec<WatchEvent>,
        },
        /// A watch has ended.
        WatchEnded {
            /// Identifier of the watch.
            id: PlatformId,
            /// True if the requested revisions were compacted, so that a new list is needed.
            compacted: bool,
        },
    }

    /// Answer to a call of the platform's store.
    pub enum PlatformAnswer {
        /// Result of a read.
        Entries {
            /// Revision at which the entries were read.
            revision: Revision,
            /// Entries found.
            entries: Vec<PlatformEntry>,
        },
        /// A write took effect.
        Written {
            /// Revision of the write.
            revision: Revision,
        },
        /// A write did not take effect, because the key was not as expected.
        Conflict {
            /// Revision at which the key was read.
            revision: Revision,
            /// Current entry of the key, if any.
            current: Option<PlatformEntry>,
        },
        /// A lease was granted or renewed.
        Leased {
            /// Identifier of the lease.
            lease: LeaseId,
            /// Time to live of the lease; zero if it doesn't exist.
            ttl: Span,
        },
        /// A lease was revoked.
        Revoked,
    }

    /// Key and its value at the platform's store.
    pub struct PlatformEntry {
        /// Text of the key.
        pub key: String,
        /// Value, as JSON text.
        pub value: String,
        /// Revision of the last write.
        pub revision: Revision,
        /// Lease that the key is attached to, if any.
        pub lease: Option<LeaseId>,
    }

    /// Change of one key under a watch.
    pub enum WatchEvent {
        /// The key was written.
        Put(PlatformEntry),
        /// The key was deleted.
        Deleted {
            /// Text of the key.
            key: String,
            /// Revision of the delete.
            revision: Revision,
        },
    }
}

impl WatchEvent {
    /// Returns the revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            WatchEvent::Put(entry) => entry.revision,
            WatchEvent::Deleted { revision, .. } => *revision,
        }
    }
}
