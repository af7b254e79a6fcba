//! Groups: which hosts hold which replica, and the orders that make it so.

use {
    super::{
        config::{Key, View},
        count::Count,
        ctx::Ctx,
        input::{Holding, OperatorRequest, OrderOutcome, PlatformAnswer},
        keys::{
            AccountName, AdapterName, DaemonName, DomainName, Epoch, GroupName, HostName,
            ModelName, OrderId, PlatformId, VersionName,
        },
        member::{Hosts, Members},
        status::{DomainStatus, GroupStatus},
        time::Time,
    },
    std::net::SocketAddr,
};

crate::record! {
    /// Messages between the group parts of two daemons.
    pub enum GroupMessage {
        /// The sender gives a group of this epoch no new work, and has none running on it.
        Drained {
            /// The group.
            group: GroupName,
            /// The epoch.
            epoch: Epoch,
        },
    }

    /// Timers of the group part.
    #[derive(Eq, Hash)]
    pub enum GroupTimer {
        /// Look whether domains need a duty holder.
        Duty,
        /// Go on with a domain's placement.
        Plan(DomainName),
    }
}

slotmap::new_key_type! {
    /// A group in service, in this daemon's arena.
    pub struct GroupKey;
}

/// A group that may be routed to: in service, at the current epoch, all members present.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingGroup {
    /// The group.
    pub name: GroupName,
    /// Its model.
    pub model: ModelName,
    /// The version it holds.
    pub version: VersionName,
    /// The adapters it holds.
    pub adapters: Vec<AdapterName>,
    /// Its epoch.
    pub epoch: Epoch,
    /// Its fabric domain.
    pub domain: DomainName,
    /// Its hosts, the leading one first.
    pub hosts: Vec<HostName>,
    /// The address of the leading host's runner.
    pub address: SocketAddr,
    /// Accounts that may use it; empty for all.
    pub accounts: Vec<AccountName>,
}

/// The groups as this daemon sees them, and the domains that it drives.
#[derive(Debug, Default)]
pub struct Groups {}

/// Queries.
impl Groups {
    /// The groups that a model may be routed to now.
    pub fn serving(&self, _model: &ModelName) -> &[GroupKey] {
        &[]
    }

    /// A group in service.
    pub fn get(&self, _key: GroupKey) -> Option<&ServingGroup> {
        None
    }

    /// Whether a group may still be routed to at this epoch.
    pub fn is_current(&self, _group: &GroupName, _epoch: Epoch) -> bool {
        false
    }

    /// Whether this daemon drives a domain now, by its own clock.
    pub fn holds_duty(&self, _domain: &DomainName, _now: Time) -> bool {
        false
    }

    /// Finds out whether an operator's request can be met; the error says which hosts miss.
    pub fn check(
        &self,
        _view: &View,
        _hosts: &Hosts,
        _request: &OperatorRequest,
    ) -> Result<(), String> {
        Ok(())
    }

    /// The groups' part of the report.
    pub fn status(&self, _view: &View, _hosts: &Hosts) -> Vec<GroupStatus> {
        Vec::new()
    }

    /// The domains' part of the report.
    pub fn domain_status(&self, _view: &View, _hosts: &Hosts) -> Vec<DomainStatus> {
        Vec::new()
    }

    /// Adds what this part has counted.
    pub fn counts(&self, _counts: &mut Vec<Count>) {}
}

/// Commands.
impl Groups {
    /// Starts looking for duties.
    pub fn on_start(&mut self, _ctx: &mut Ctx) {}

    /// Takes changes of the records in force.
    pub fn on_config(
        &mut self,
        _ctx: &mut Ctx,
        _view: &View,
        _hosts: &Hosts,
        _members: &Members,
        _changed: &[Key],
    ) {
    }

    /// Takes changes of hosts' health.
    pub fn on_hosts(
        &mut self,
        _ctx: &mut Ctx,
        _view: &View,
        _hosts: &Hosts,
        _members: &Members,
        _changed: &[HostName],
    ) {
    }

    /// Takes a timer.
    pub fn on_timer(
        &mut self,
        _ctx: &mut Ctx,
        _view: &View,
        _hosts: &Hosts,
        _members: &Members,
        _timer: GroupTimer,
    ) {
    }

    /// Takes the answer to a platform call of this part; nothing means that it failed.
    pub fn on_platform(
        &mut self,
        _ctx: &mut Ctx,
        _view: &View,
        _hosts: &Hosts,
        _members: &Members,
        _id: PlatformId,
        _answer: Option<PlatformAnswer>,
    ) {
    }

    /// Takes the outcome of an order.
    #[expect(
        clippy::too_many_arguments,
        reason = "the event and what it is judged by"
    )]
    pub fn on_ordered(
        &mut self,
        _ctx: &mut Ctx,
        _view: &View,
        _hosts: &Hosts,
        _members: &Members,
        _order: OrderId,
        _host: HostName,
        _outcome: OrderOutcome,
    ) {
    }

    /// Takes what a runner really holds.
    pub fn on_holding(
        &mut self,
        _ctx: &mut Ctx,
        _view: &View,
        _hosts: &Hosts,
        _members: &Members,
        _host: HostName,
        _holding: Option<Holding>,
    ) {
    }

    /// Takes a message of another daemon's group part.
    pub fn on_message(
        &mut self,
        _ctx: &mut Ctx,
        _view: &View,
        _hosts: &Hosts,
        _members: &Members,
        _from: &DaemonName,
        _message: GroupMessage,
    ) {
    }

    /// Hands over the domains that this daemon drives.
    pub fn on_stop(&mut self, _ctx: &mut Ctx) {}
}
