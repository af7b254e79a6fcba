//! What runners are ordered to do.

use crate::core::keys::{Epoch, GroupName, HostName, ModelName};

crate::record! {
    /// An order to a runner.
    #[derive(Eq, PartialOrd, Ord)]
    pub enum Order {
        /// Become a member of a group.
        Join {
            /// The group.
            group: GroupName,
            /// Its epoch.
            epoch: Epoch,
            /// Its model.
            model: ModelName,
            /// Its members; the first is the head.
            members: Vec<HostName>,
        },
        /// Begin to serve; for heads.
        Open {
            /// The group.
            group: GroupName,
            /// Its epoch.
            epoch: Epoch,
        },
        /// Stop serving; for heads.
        Close {
            /// The group.
            group: GroupName,
            /// Its epoch.
            epoch: Epoch,
            /// Whether running requests are cut off.
            cut: bool,
        },
        /// Stage a model's weights on the host.
        Stage {
            /// The model.
            model: ModelName,
        },
    }

    /// An order and the runner that it is for.
    pub struct Directive {
        /// The runner.
        pub host: HostName,
        /// What it is to do.
        pub order: Order,
    }
}
