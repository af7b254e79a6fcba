//! Records stored at the platform's store.
//!
//! Each record is the JSON text of one key. Unknown fields are ignored and
//! missing ones get defaults, so that daemons of two versions can share records
//! during an upgrade.

use super::super::keys::{
    AccountName, AdapterName, DaemonName, DomainName, Epoch, Fence, GroupName, HallName, HostName,
    Incarnation, KeyHash, ModelName, OperationId, RegionName, ServiceName, UpgradeName,
    VersionName,
};
use std::{collections::BTreeMap, net::SocketAddr};

crate::record! {
    /// Account: the key that its callers present, its share and its limits.
    #[serde(default)]
    pub struct Account {
        /// Name of the account.
        pub name: AccountName,
        /// Hash of the key that its callers present.
        pub key: KeyHash,
        /// Share among accounts of the same priority.
        pub weight: u32,
        /// Priority; smaller values go first.
        pub priority: u8,
        /// Maximum requests per second over all daemons; zero for no limit.
        pub rate: u32,
        /// Maximum concurrent requests over all daemons; zero for no limit.
        pub open: u32,
        /// Models that it may use; empty for all.
        pub models: Vec<ModelName>,
        /// True once it is deleted; the record is kept to detect repeated operations.
        pub deleted: bool,
        /// Operation that wrote the record.
        pub operation: OperationId,
        /// Earlier operations on the record, the latest last.
        pub applied: Vec<OperationId>,
    }

    /// Model, with the defaults for its groups.
    #[serde(default)]
    pub struct Model {
        /// Name of the model.
        pub name: ModelName,
        /// Version that new groups load.
        pub version: VersionName,
        /// Adapters that every group loads.
        pub adapters: Vec<AdapterName>,
        /// Number of hosts in one replica.
        pub size: u16,
        /// Minimum number of groups that planned work leaves in service.
        pub floor: u16,
        /// Gigabytes that each host reads from the weight store.
        pub weights_gb: u32,
        /// True once it is deleted; the record is kept to detect repeated operations.
        pub deleted: bool,
        /// Operation that wrote the record.
        pub operation: OperationId,
        /// Earlier operations on the record, the latest last.
        pub applied: Vec<OperationId>,
    }

    /// Plain service that requests are routed to.
    #[derive(Default)]
    #[serde(default)]
    pub struct Service {
        /// Name of the service.
        pub name: ServiceName,
        /// True if a call may be run twice.
        pub idempotent: bool,
        /// Operation that wrote the record.
        pub operation: OperationId,
        /// Earlier operations on the record, the latest last.
        pub applied: Vec<OperationId>,
    }

    /// Specification of a serving group by operators.
    #[derive(Default)]
    #[serde(default)]
    pub struct GroupSpec {
        /// Name of the group.
        pub name: GroupName,
        /// Model that it serves.
        pub model: ModelName,
        /// Version that it serves; if empty, that of the model.
        pub version: VersionName,
        /// Number of hosts that it needs; if zero, that of the model.
        pub size: u16,
        /// Fabric domain that it is placed in.
        pub domain: DomainName,
        /// Accounts that may use it; empty for all.
        pub accounts: Vec<AccountName>,
        /// True while operators keep it out of service.
        pub drained: bool,
        /// True if it is to be drained and then removed.
        pub deleted: bool,
        /// Operation that wrote the record.
        pub operation: OperationId,
        /// Earlier operations on the record, the latest last.
        pub applied: Vec<OperationId>,
    }

    /// Upgrade of a model's groups to a version.
    #[serde(default)]
    pub struct Upgrade {
        /// Name of the upgrade.
        pub name: UpgradeName,
        /// Model to upgrade.
        pub model: ModelName,
        /// Version to load.
        pub to: VersionName,
        /// Version to return to if the upgrade is aborted.
        pub from: VersionName,
        /// State of the upgrade.
        pub state: UpgradeState,
        /// Number of groups upgraded at once.
        pub width: u16,
        /// Operation that wrote the record.
        pub operation: OperationId,
        /// Earlier operations on the record, the latest last.
        pub applied: Vec<OperationId>,
    }

    /// State of an upgrade.
    #[derive(Copy, Eq, Default)]
    pub enum UpgradeState {
        /// Groups are being upgraded.
        #[default]
        Running,
        /// No further group is started.
        Paused,
        /// Groups return to the previous version.
        Aborted,
        /// Every group has the version.
        Done,
    }

    /// Assignment of the hosts of one fabric domain to groups.
    ///
    /// Written only as a whole, by compare-and-swap, so that a check of the new value
    /// is enough to rule out that a host is in two groups.
    #[derive(Default)]
    #[serde(default)]
    pub struct Placement {
        /// Name of the domain.
        pub domain: DomainName,
        /// Groups placed in the domain.
        pub groups: BTreeMap<GroupName, PlacedGroup>,
        /// Earlier placements of these groups that still finish their requests.
        pub retiring: Vec<Retiring>,
        /// Fencing number of the daemon that wrote the record.
        pub fence: Fence,
        /// Number of writes of the record, from which epochs are drawn.
        pub serial: i64,
        /// Operation that wrote the record.
        pub operation: OperationId,
    }

    /// Placement of one group.
    #[serde(default)]
    #[derive(Default)]
    pub struct PlacedGroup {
        /// Epoch: the record's serial number when the hosts or the version last changed.
        pub epoch: Epoch,
        /// Hosts of the group, the leading one first.
        pub hosts: Vec<HostName>,
        /// Model to load.
        pub model: ModelName,
        /// Version to load.
        pub version: VersionName,
        /// Adapters to load.
        pub adapters: Vec<AdapterName>,
        /// Stage of the placement's lifecycle.
        pub stage: Stage,
        /// Placement that is being loaded to replace this one.
        pub next: Option<Box<PlacedGroup>>,
    }

    /// Earlier placement of a group, which gets no new work.
    #[derive(Eq, Default)]
    #[serde(default)]
    pub struct Retiring {
        /// Name of the group.
        pub group: GroupName,
        /// Epoch of the earlier placement.
        pub epoch: Epoch,
        /// Hosts of the earlier placement, the leading one first.
        pub hosts: Vec<HostName>,
    }

    /// Stage in the lifecycle of a placement.
    #[derive(Copy, Eq, Default)]
    pub enum Stage {
        /// The hosts are loading.
        #[default]
        Loading,
        /// All hosts have loaded; requests may be routed to it.
        Serving,
        /// It gets no new work and finishes its requests.
        Draining,
    }

    /// Claim of the duty to control a domain's placement, attached to the holder's lease.
    #[derive(Default)]
    #[serde(default)]
    pub struct Duty {
        /// Daemon that holds the duty.
        pub daemon: DaemonName,
        /// Incarnation of the holder.
        pub incarnation: Incarnation,
        /// Operation that wrote the record.
        pub operation: OperationId,
    }

    /// Registration of a daemon, attached to the daemon's lease.
    #[serde(default)]
    pub struct Daemon {
        /// Name of the daemon.
        pub name: DaemonName,
        /// Incarnation of the daemon.
        pub incarnation: Incarnation,
        /// Region of the daemon.
        pub region: RegionName,
        /// Hall of the daemon.
        pub hall: HallName,
        /// Address for callers.
        pub caller: SocketAddr,
        /// Address for other daemons, for both UDP and TCP.
        pub peer: SocketAddr,
        /// True once the daemon is stopping.
        pub leaving: bool,
    }
}

/// Placeholder for a missing address.
const UNSPECIFIED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

impl Default for Account {
    fn default() -> Self {
        Self {
            name: AccountName::default(),
            key: KeyHash::default(),
            weight: 1,
            priority: 1,
            rate: 0,
            open: 0,
            models: Vec::new(),
            deleted: false,
            operation: OperationId::default(),
            applied: Vec::new(),
        }
    }
}

impl Default for Model {
    fn default() -> Self {
        Self {
            name: ModelName::default(),
            version: VersionName::default(),
            adapters: Vec::new(),
            size: 1,
            floor: 0,
            weights_gb: 1,
            deleted: false,
            operation: OperationId::default(),
            applied: Vec::new(),
        }
    }
}

impl Default for Upgrade {
    fn default() -> Self {
        Self {
            name: UpgradeName::default(),
            model: ModelName::default(),
            to: VersionName::default(),
            from: VersionName::default(),
            state: UpgradeState::Running,
            width: 1,
            operation: OperationId::default(),
            applied: Vec::new(),
        }
    }
}

impl Default for Daemon {
    fn default() -> Self {
        Self {
            name: DaemonName::default(),
            incarnation: Incarnation::default(),
            region: RegionName::default(),
            hall: HallName::default(),
            caller: UNSPECIFIED_ADDRESS,
            peer: UNSPECIFIED_ADDRESS,
            leaving: false,
        }
    }
}
