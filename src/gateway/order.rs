//! Types of the orders that the planner gives to runners.

use crate::core::keys::{Epoch, GroupName, HostName, ModelName};
use std::fmt;

crate::record! {
    /// An order to a runner.
    #[derive(Eq, PartialOrd, Ord)]
    pub enum Order {
        /// Join a group as a member and load the model's weights.
        Join {
            /// Name of the group.
            group: GroupName,
            /// Epoch of the group.
            epoch: Epoch,
            /// Model that the group serves.
            model: ModelName,
            /// Members by rank; the first is the head.
            members: Vec<HostName>,
        },
        /// Start to serve requests; sent to heads only.
        Open {
            /// Name of the group.
            group: GroupName,
            /// Epoch of the group.
            epoch: Epoch,
        },
        /// Stop serving requests; sent to heads only.
        Close {
            /// Name of the group.
            group: GroupName,
            /// Epoch of the group.
            epoch: Epoch,
            /// True if running requests are ended at once rather than finished.
            cut: bool,
        },
        /// Leave a group at once.
        Leave {
            /// Name of the group.
            group: GroupName,
            /// Epoch of the group.
            epoch: Epoch,
        },
        /// Stage a model's weights on the host.
        Stage {
            /// Model to stage.
            model: ModelName,
        },
    }

    /// A runner's response to an order.
    pub struct OrderAnswer {
        /// The order and its receiver.
        pub directive: Directive,
        /// True if the runner carries the order out, or already did.
        pub is_accepted: bool,
    }

    /// An order together with the host whose runner receives it.
    pub struct Directive {
        /// Host of the runner.
        pub host: HostName,
        /// Order to carry out.
        pub order: Order,
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Order::Join { group, model, .. } => write!(f, "join {group} for {model}"),
            Order::Open { group, .. } => write!(f, "open {group}"),
            Order::Close { group, cut, .. } if *cut => write!(f, "close {group} at once"),
            Order::Close { group, .. } => write!(f, "close {group}"),
            Order::Leave { group, .. } => write!(f, "leave {group}"),
            Order::Stage { model } => write!(f, "stage {model}"),
        }
    }
}
