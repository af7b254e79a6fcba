//! Messages between daemons.
//!
//! Each part of the decision logic owns one kind. The shell frames them with
//! `postcard` in an authenticated envelope. A later version of the protocol
//! may append variants and never reorders them.

use super::{config::ConfigMessage, group::GroupMessage, member::MemberMessage};

crate::record! {
    /// One message.
    pub enum Message {
        /// Between the membership parts.
        Member(MemberMessage),
        /// Between the configuration parts.
        Config(ConfigMessage),
        /// Between the group parts.
        Group(GroupMessage),
    }
}
