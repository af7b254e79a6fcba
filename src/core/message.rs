//! Messages between daemons.
//!
//! Each part of the decision logic defines one message type. The shell encodes
//! messages with `postcard` in an authenticated envelope. A later version of the
//! protocol may append variants but must not reorder them.

use super::{config::ConfigMessage, group::GroupMessage, member::MemberMessage};

crate::record! {
    /// Message from one daemon to another.
    pub enum Message {
        /// Message of the member part.
        Member(MemberMessage),
        /// Message of the configuration part.
        Config(ConfigMessage),
        /// Message of the group part.
        Group(GroupMessage),
    }
}
