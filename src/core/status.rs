//! The report that an operator gets about a running system.

use super::{
    config::record::{Upgrade, UpgradeState},
    keys::{
        DaemonName, DomainName, Epoch, GroupName, HostName, ModelName, Revision, UpgradeName,
        VersionName,
    },
};

crate::record! {
    /// Everything one daemon knows.
    #[derive(Default)]
    pub struct Status {
        /// The daemon that answers.
        pub daemon: DaemonName,
        /// The revision in force on it.
        pub revision: Revision,
        /// Whether it takes new work.
        pub fresh: bool,
        /// The groups, by name.
        pub groups: Vec<GroupStatus>,
        /// The daemons, by name.
        pub daemons: Vec<DaemonStatus>,
        /// The fabric domains, by name.
        pub domains: Vec<DomainStatus>,
        /// The upgrades, by name.
        pub upgrades: Vec<UpgradeStatus>,
    }

    /// One group.
    pub struct GroupStatus {
        /// The group.
        pub group: GroupName,
        /// Its model.
        pub model: ModelName,
        /// The version it holds.
        pub version: VersionName,
        /// Its fabric domain.
        pub domain: DomainName,
        /// Its placement epoch, zero if it isn't placed.
        pub epoch: Epoch,
        /// Its state, in a word.
        pub state: String,
        /// Its hosts, the leading one first.
        pub hosts: Vec<HostName>,
        /// What keeps it out of service, if anything.
        pub trouble: String,
    }

    /// One daemon.
    pub struct DaemonStatus {
        /// The daemon.
        pub daemon: DaemonName,
        /// Its state, in a word.
        pub state: String,
        /// The revision in force on it, as last heard.
        pub revision: Revision,
    }

    /// One fabric domain.
    pub struct DomainStatus {
        /// The domain.
        pub domain: DomainName,
        /// Who drives its placement.
        pub holder: DaemonName,
        /// Hosts that no group uses.
        pub spare: Vec<HostName>,
        /// Hosts known to be dead or leaving.
        pub lost: Vec<HostName>,
        /// Accelerators in no serving group.
        pub stranded: u32,
    }

    /// One upgrade.
    pub struct UpgradeStatus {
        /// The upgrade.
        pub upgrade: UpgradeName,
        /// Its model.
        pub model: ModelName,
        /// The version to go back to.
        pub from: VersionName,
        /// The version to load.
        pub to: VersionName,
        /// How far it is.
        pub state: UpgradeState,
        /// Groups of the model that hold the version.
        pub upgraded: u32,
        /// Groups of the model.
        pub groups: u32,
    }
}

impl UpgradeStatus {
    /// How far an upgrade is, judged by the groups' own status.
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
