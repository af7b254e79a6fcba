//! Messages between a subscriber and the peer that it follows.

use crate::core::{
    input::WatchEvent,
    keys::{Era, Revision},
    time::Span,
};

crate::record! {
    /// Request for the changes of the entries under a prefix; the only message of a subscriber.
    pub struct Subscribe {
        /// Prefix of the entries' keys.
        pub prefix: String,
        /// Revision after which the changes are wanted.
        pub after: Revision,
        /// Era of the revision.
        pub era: Option<Era>,
    }

    /// Message to a subscriber.
    pub enum Update {
        /// Changes, which may be none.
        Changes(Changes),
        /// The requested changes are no longer kept.
        Compacted,
    }

    /// Changes up to a revision.
    pub struct Changes {
        /// Revision up to which all changes were sent.
        pub end: Revision,
        /// Changes, in order.
        pub events: Vec<WatchEvent>,
        /// Time since the store last proved to be in contact.
        pub age: Span,
        /// Number of store outages that have ended.
        pub outages: u32,
    }
}
