//! Messages and timers of groups.

use super::super::keys::{DomainName, Epoch, GroupName, Revision};

crate::record! {
    /// Messages about groups between two daemons.
    pub enum GroupMessage {
        /// Confirms that the sender routes no new work to this epoch of the group and has none
        /// running on it.
        Drained {
            /// The group.
            group: GroupName,
            /// The epoch.
            epoch: Epoch,
        },
        /// Asks the receiver to confirm that it has drained an epoch; answered only once it has.
        AskDrained {
            /// The domain.
            domain: DomainName,
            /// The group.
            group: GroupName,
            /// The epoch.
            epoch: Epoch,
            /// Revision of the placement record that ended the epoch.
            revision: Revision,
        },
    }

    /// Timers for groups.
    #[derive(Eq, Hash)]
    pub enum GroupTimer {
        /// Periodic check of all domains and their duties.
        Duty,
        /// Planning pass over one domain.
        Plan(DomainName),
    }
}
