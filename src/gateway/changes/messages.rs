//! Messages between a subscriber and the peer that it follows.

use super::packed::Packed;
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
        /// Revision after which the changes are wanted; zero for a list of the entries instead.
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
        /// Part of a list, sent only to who asks for one.
        ListPage(ListPage),
    }

    /// Part of a list of entries. Changes after the list's revision may be missing in it.
    pub struct ListPage {
        /// Revision of the list; the same in all its pages.
        pub at: Revision,
        /// Era of the revision.
        pub era: Option<Era>,
        /// Entries, in the order of their keys, compressed; none in the page after the last one.
        pub entries: Packed,
        /// Time since the store last proved to be in contact.
        pub age: Span,
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

impl Subscribe {
    /// Returns true if a list is requested instead of changes.
    pub fn wants_list(&self) -> bool {
        self.after == Revision::default()
    }
}
