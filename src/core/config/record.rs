//! Records kept at the platform's service.
//!
//! Each is one key holding JSON text. Records ignore fields that they don't
//! know and fill in those that are missing, so that daemons of two versions
//! can share them while an upgrade runs.

use super::super::keys::{
    AccountName, AdapterName, DaemonName, DomainName, Epoch, Fence, GroupName, HallName, HostName,
    Incarnation, KeyHash, ModelName, OperationId, RegionName, ServiceName, UpgradeName,
    VersionName,
};
use std::{collections::BTreeMap, net::SocketAddr};

crate::record! {
    /// A client account: who may call, and its share.
    #[serde(default)]
    pub struct Account {
        /// Its name.
        pub name: AccountName,
        /// Hash of the key that its callers present.
        pub key: KeyHash,
        /// Its share among accounts of the same priority.
        pub weight: u32,
        /// Its priority; smaller goes first.
        pub priority: u8,
        /// Requests a second over all daemons together; zero for no limit.
        pub rate: u32,
        /// Requests open at once over all daemons together; zero for no limit.
        pub open: u32,
        /// Models it may use; empty for all.
        pub models: Vec<ModelName>,
        /// Set when it is gone; the record is kept a while for its operations.
        pub deleted: bool,
        /// The operation that wrote it.
        pub operation: OperationId,
        /// Operations that took effect before, the latest last.
        pub applied: Vec<OperationId>,
    }

    /// A model and how it is to be served.
    #[serde(default)]
    pub struct Model {
        /// Its name.
        pub name: ModelName,
        /// The version that new groups load.
        pub version: VersionName,
        /// Adapters that every group loads.
        pub adapters: Vec<AdapterName>,
        /// Hosts in one replica.
        pub size: u16,
        /// The fewest groups that planned work leaves in service.
        pub floor: u16,
        /// Gigabytes read from the weight store for each host.
        pub weights_gb: u32,
        /// Set when it is gone; the record is kept a while for its operations.
        pub deleted: bool,
        /// The operation that wrote it.
        pub operation: OperationId,
        /// Operations that took effect before, the latest last.
        pub applied: Vec<OperationId>,
    }

    /// A plain service that requests are routed to.
    #[derive(Default)]
    #[serde(default)]
    pub struct Service {
        /// Its name.
        pub name: ServiceName,
        /// Whether a call may be run twice.
        pub idempotent: bool,
        /// The operation that wrote it.
        pub operation: OperationId,
        /// Operations that took effect before, the latest last.
        pub applied: Vec<OperationId>,
    }

    /// A serving group as operators want it.
    #[derive(Default)]
    #[serde(default)]
    pub struct GroupSpec {
        /// Its name.
        pub name: GroupName,
        /// The model that it serves.
        pub model: ModelName,
        /// The version that it serves; the model's, if empty.
        pub version: VersionName,
        /// Hosts that it needs; the model's, if zero.
        pub size: u16,
        /// The fabric domain that it is placed in.
        pub domain: DomainName,
        /// Accounts that may use it; empty for all.
        pub accounts: Vec<AccountName>,
        /// Set while operators keep it out of service.
        pub drained: bool,
        /// Set when it is to be drained and then forgotten.
        pub deleted: bool,
        /// The operation that wrote it.
        pub operation: OperationId,
        /// Operations that took effect before, the latest last.
        pub applied: Vec<OperationId>,
    }

    /// An upgrade of a model's groups to a version.
    #[serde(default)]
    pub struct Upgrade {
        /// Its name.
        pub name: UpgradeName,
        /// The model.
        pub model: ModelName,
        /// The version to load.
        pub to: VersionName,
        /// The version to go back to.
        pub from: VersionName,
        /// Its state.
        pub state: UpgradeState,
        /// Groups taken through at once.
        pub width: u16,
        /// The operation that wrote it.
        pub operation: OperationId,
        /// Operations that took effect before, the latest last.
        pub applied: Vec<OperationId>,
    }

    /// How far an upgrade is.
    #[derive(Copy, Eq, Default)]
    pub enum UpgradeState {
        /// Groups are taken through.
        #[default]
        Running,
        /// No further group is started.
        Paused,
        /// Groups are taken back.
        Aborted,
        /// Every group has the version.
        Done,
    }

    /// Which hosts of one fabric domain hold which group.
    ///
    /// Changed only whole, by compare-and-swap, so that "no host in two
    /// groups" is a property of one value.
    #[derive(Default)]
    #[serde(default)]
    pub struct Placement {
        /// The domain.
        pub domain: DomainName,
        /// The groups placed in it.
        pub groups: BTreeMap<GroupName, PlacedGroup>,
        /// Earlier placements of these groups that still finish what runs.
        pub retiring: Vec<Retiring>,
        /// The fencing number of the daemon that wrote it.
        pub fence: Fence,
        /// Counts the writes of the record; epochs are drawn from it.
        pub serial: i64,
        /// The operation that wrote it.
        pub operation: OperationId,
    }

    /// One placed group.
    #[serde(default)]
    #[derive(Default)]
    pub struct PlacedGroup {
        /// Its epoch: the record's serial when its hosts or version last changed.
        pub epoch: Epoch,
        /// Its hosts, the leading one first.
        pub hosts: Vec<HostName>,
        /// The model loaded.
        pub model: ModelName,
        /// The version loaded.
        pub version: VersionName,
        /// The adapters loaded.
        pub adapters: Vec<AdapterName>,
        /// Where it is in its life.
        pub stage: Stage,
        /// The placement that is being loaded to take its place.
        pub next: Option<Box<PlacedGroup>>,
    }

    /// An earlier placement of a group: it gets no new work.
    #[derive(Eq, Default)]
    #[serde(default)]
    pub struct Retiring {
        /// The group.
        pub group: GroupName,
        /// The earlier placement's epoch.
        pub epoch: Epoch,
        /// Its hosts, the leading one first.
        pub hosts: Vec<HostName>,
    }

    /// Where a placed group is in its life.
    #[derive(Copy, Eq, Default)]
    pub enum Stage {
        /// Its hosts are loading.
        #[default]
        Loading,
        /// All its hosts hold it: it may be routed to.
        Serving,
        /// It gets no new work; what runs is finished.
        Draining,
    }

    /// Who drives the placement of a domain; hangs on a lease.
    #[derive(Default)]
    #[serde(default)]
    pub struct Duty {
        /// The holder.
        pub daemon: DaemonName,
        /// The holder's run.
        pub incarnation: Incarnation,
        /// The operation that wrote it.
        pub operation: OperationId,
    }

    /// A daemon; hangs on a lease.
    #[serde(default)]
    pub struct Daemon {
        /// Its name.
        pub name: DaemonName,
        /// Its run.
        pub incarnation: Incarnation,
        /// Its region.
        pub region: RegionName,
        /// Its hall.
        pub hall: HallName,
        /// Its address for callers.
        pub caller: SocketAddr,
        /// Its address for other daemons, UDP and TCP alike.
        pub peer: SocketAddr,
        /// Set once it is stopping.
        pub leaving: bool,
    }
}

/// No address at all.
const NO_ADDRESS: SocketAddr =
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
            caller: NO_ADDRESS,
            peer: NO_ADDRESS,
            leaving: false,
        }
    }
}
