//! Status report of a running system, for operators.

use super::{
    config::record::{Upgrade, UpgradeState},
    keys::{
        DaemonName, DomainName, Epoch, GroupName, HostName, ModelName, Revision, UpgradeName,
        VersionName,
    },
};

crate::record! {
    /// State of the system as one daemon knows it.
    #[derive(Default)]
    pub struct Status {
        /// Daemon that reports.
        pub daemon: DaemonName,
        /// Revision of the configuration in force on that daemon.
        pub revision: Revision,
        /// True if the daemon accepts new work.
        pub fresh: bool,
        /// Groups, sorted by name.
        pub groups: Vec<GroupStatus>,
        /// Daemons, sorted by name.
        pub daemons: Vec<DaemonStatus>,
        /// Fabric domains, sorted by name.
        pub domains: Vec<DomainStatus>,
        /// Upgrades, sorted by name.
        pub upgrades: Vec<UpgradeStatus>,
    }

    /// Status of one group.
    pub struct GroupStatus {
        /// Name of the group.
        pub group: GroupName,
        /// Model that it serves.
        pub model: ModelName,
        /// Version that it holds.
        pub version: VersionName,
        /// Fabric domain that it is placed in.
        pub domain: DomainName,
        /// Placement epoch; zero if it isn't placed.
        pub epoch: Epoch,
        /// State, as one word.
        pub state: String,
        /// Hosts of the group, the leading one first.
        pub hosts: Vec<HostName>,
        /// Reason that the group is out of service; empty if it is in service.
        pub trouble: String,
    }

    /// Status of one daemon.
    pub struct DaemonStatus {
        /// Name of the daemon.
        pub daemon: DaemonName,
        /// State, as one word.
        pub state: String,
        /// Last reported revision of the configuration in force on it.
        pub revision: Revision,
    }

    /// Status of one fabric domain.
    pub struct DomainStatus {
        /// Name of the domain.
        pub domain: DomainName,
        /// Duty holder, which controls the placement.
        pub holder: DaemonName,
        /// Hosts that no group uses.
        pub spare: Vec<HostName>,
        /// Hosts that are dead or leaving.
        pub lost: Vec<HostName>,
        /// Number of accelerators that are in no serving group.
        pub stranded: u32,
    }

    /// Status of one upgrade.
    pub struct UpgradeStatus {
        /// Name of the upgrade.
        pub upgrade: UpgradeName,
        /// Model to upgrade.
        pub model: ModelName,
        /// Version to return to if the upgrade is aborted.
        pub from: VersionName,
        /// Version to load.
        pub to: VersionName,
        /// State of the upgrade.
        pub state: UpgradeState,
        /// Number of the model's groups that hold the new version.
        pub upgraded: u32,
        /// Number of the model's groups.
        pub groups: u32,
    }
}

impl UpgradeStatus {
    /// Returns the status of an upgrade, with its progress counted from the groups' status.
    pub fn new(upgrade: &Upgrade, groups: &[GroupStatus]) -> Self {
        let of_model = || groups.iter().filter(|group| group.model == upgrade.model);
        let upgraded = of_model().filter(|group| group.version == upgrade.to);
        Self {
            upgrade: upgrade.name.clone(),
            model: upgrade.model.clone(),
            from: upgrade.from.clone(),
            to: upgrade.to.clone(),
            state: upgrade.state,
            upgraded: upgraded.count() as u32,
            groups: of_model().count() as u32,
        }
    }
}
