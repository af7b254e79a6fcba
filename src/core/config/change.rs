//! What an operator's request makes of the record that it concerns.
//!
//! Every record names the operation that wrote it and those before it, so
//! that the same operation asked twice, on any daemons, takes effect once.

use super::{
    record::{Account, GroupSpec, Model, Upgrade, UpgradeState},
    view::{Key, View},
};
use crate::core::{
    input::{OperatorRequest, PlatformEntry, UpgradeAction},
    keys::{OperationId, Revision},
};
use serde::{Serialize, de::DeserializeOwned};

/// How many operations a record remembers besides the last.
const REMEMBERED_OPERATIONS: usize = 16;

/// What is to be done with the key.
#[derive(Debug, PartialEq)]
pub(super) enum Plan {
    /// Write this value, JSON text.
    Put(String),
    /// Write this value, which says that the record is gone, for a while.
    Retire(String),
    /// Nothing: it is as asked.
    Done,
    /// Nothing: another operator was first.
    Conflict(Revision),
    /// Nothing: the request makes no sense.
    Invalid(&'static str),
}

/// The operations that a record remembers, and whether it is gone.
#[derive(Debug, Default, serde::Deserialize)]
#[serde(default)]
pub(super) struct Stamp {
    operation: OperationId,
    applied: Vec<OperationId>,
    deleted: bool,
}

impl Stamp {
    /// The operations that an entry's value remembers.
    pub(super) fn of(entry: Option<&PlatformEntry>) -> Stamp {
        entry
            .and_then(|entry| serde_json::from_str(&entry.value).ok())
            .unwrap_or_default()
    }

    /// Whether an operation has taken effect.
    pub(super) fn has(&self, operation: OperationId) -> bool {
        self.operation == operation || self.applied.contains(&operation)
    }

    /// The operations to remember beside the next one.
    fn next(mut self) -> Vec<OperationId> {
        self.applied.push(self.operation);
        let extra = self.applied.len().saturating_sub(REMEMBERED_OPERATIONS);
        self.applied.drain(..extra);
        self.applied
    }
}

/// The key that a request concerns; none for a report.
pub(super) fn key(request: &OperatorRequest) -> Option<Key> {
    Some(match request {
        OperatorRequest::PutAccount(account) => Key::Account(account.name.clone()),
        OperatorRequest::DeleteAccount(name) => Key::Account(name.clone()),
        OperatorRequest::PutModel(model) => Key::Model(model.name.clone()),
        OperatorRequest::DeleteModel(name) => Key::Model(name.clone()),
        OperatorRequest::PutService(service) => Key::Service(service.name.clone()),
        OperatorRequest::CreateGroup(spec) => Key::Group(spec.name.clone()),
        OperatorRequest::ChangeGroup { spec, .. } => Key::Group(spec.name.clone()),
        OperatorRequest::DrainGroup { group, .. } => Key::Group(group.clone()),
        OperatorRequest::DeleteGroup(name) => Key::Group(name.clone()),
        OperatorRequest::StartUpgrade(upgrade) => Key::Upgrade(upgrade.name.clone()),
        OperatorRequest::SteerUpgrade { upgrade, .. } => Key::Upgrade(upgrade.clone()),
        OperatorRequest::Status => return None,
    })
}

/// Why a request is refused before anything is read.
pub(super) fn fault(request: &OperatorRequest, operation: OperationId) -> Option<&'static str> {
    if operation == OperationId::default() {
        return Some("the operation needs a number other than zero");
    }
    let name = key(request)?.path();
    if name.ends_with('/') {
        return Some("a name is missing");
    }
    if Key::parse(&name) != key(request) {
        return Some("a name must not contain a slash");
    }
    match request {
        OperatorRequest::CreateGroup(spec) | OperatorRequest::ChangeGroup { spec, .. }
            if spec.domain.as_str().is_empty() =>
        {
            Some("the group needs a fabric domain")
        }
        _ => None,
    }
}

/// What to do, given what the key holds.
pub(super) fn plan(
    request: &OperatorRequest,
    operation: OperationId,
    current: Option<&PlatformEntry>,
    view: &View,
) -> Plan {
    let put = Writer { operation, current };
    match request {
        OperatorRequest::PutAccount(account) => put.value(account),
        OperatorRequest::PutModel(model) => put.value(model),
        OperatorRequest::PutService(service) => put.value(service),
        OperatorRequest::DeleteAccount(_) => put.retire(|account| Account {
            deleted: true,
            ..account
        }),
        OperatorRequest::DeleteModel(_) => put.retire(|model| Model {
            deleted: true,
            ..model
        }),
        OperatorRequest::CreateGroup(spec) => match current {
            Some(held) => Plan::Conflict(held.revision),
            None => put.value(spec),
        },
        OperatorRequest::ChangeGroup { spec, based_on } => put.change_group(spec, *based_on),
        OperatorRequest::DrainGroup { drained, .. } => put.edit("no such group", |spec| {
            let drained = *drained;
            Ok(GroupSpec { drained, ..spec })
        }),
        OperatorRequest::DeleteGroup(_) if current.is_none() => Plan::Done,
        OperatorRequest::DeleteGroup(_) => put.edit("no such group", |spec| {
            let deleted = true;
            Ok(GroupSpec { deleted, ..spec })
        }),
        OperatorRequest::StartUpgrade(upgrade) => put.start_upgrade(upgrade, view),
        OperatorRequest::SteerUpgrade { action, .. } => {
            put.edit("no such upgrade", |upgrade| steer(upgrade, *action))
        }
        OperatorRequest::Status => Plan::Done,
    }
}

/// Writes values over what a key holds.
struct Writer<'a> {
    operation: OperationId,
    current: Option<&'a PlatformEntry>,
}

impl Writer<'_> {
    /// The value of a record, stamped.
    fn value<T>(&self, record: &T) -> Plan
    where
        T: Serialize,
    {
        let Ok(mut value) = serde_json::to_value(record) else {
            return Plan::Invalid("the record can't be written");
        };
        value["operation"] = self.operation.0.into();
        let applied = match self.current {
            Some(_) => Stamp::of(self.current).next(),
            None => Vec::new(),
        };
        value["applied"] = applied.iter().map(|operation| operation.0).collect();
        Plan::Put(value.to_string())
    }

    /// The value of the record held, changed.
    fn edit<T, F>(&self, missing: &'static str, change: F) -> Plan
    where
        T: Serialize + DeserializeOwned,
        F: FnOnce(T) -> Result<T, &'static str>,
    {
        let Some(held) = self.current else {
            return Plan::Invalid(missing);
        };
        let Ok(record) = serde_json::from_str(&held.value) else {
            return Plan::Invalid("the record held can't be read");
        };
        match change(record) {
            Ok(record) => self.value(&record),
            Err(reason) => Plan::Invalid(reason),
        }
    }

    /// The value of the record held, changed so that it says that it is gone.
    fn retire<T, F>(&self, change: F) -> Plan
    where
        T: Serialize + DeserializeOwned,
        F: FnOnce(T) -> T,
    {
        if self.current.is_none() || Stamp::of(self.current).deleted {
            return Plan::Done;
        }
        match self.edit("no such record", |held| Ok(change(held))) {
            Plan::Put(value) => Plan::Retire(value),
            plan => plan,
        }
    }

    fn change_group(&self, spec: &GroupSpec, based_on: Revision) -> Plan {
        match self.current {
            Some(held) if held.revision != based_on => Plan::Conflict(held.revision),
            _ => self.edit("no such group", |held: GroupSpec| {
                Ok(GroupSpec {
                    drained: held.drained,
                    deleted: held.deleted,
                    ..spec.clone()
                })
            }),
        }
    }

    fn start_upgrade(&self, upgrade: &Upgrade, view: &View) -> Plan {
        if let Some(held) = self.current {
            return Plan::Conflict(held.revision);
        }
        let mut upgrade = upgrade.clone();
        upgrade.state = UpgradeState::Running;
        if upgrade.from.as_str().is_empty()
            && let Some(model) = view.model(&upgrade.model)
        {
            upgrade.from = model.version.clone();
        }
        self.value(&upgrade)
    }
}

fn steer(upgrade: Upgrade, action: UpgradeAction) -> Result<Upgrade, &'static str> {
    let state = match (action, upgrade.state) {
        (_, UpgradeState::Done) => return Err("the upgrade is done"),
        (UpgradeAction::Resume, UpgradeState::Aborted) => return Err("the upgrade was aborted"),
        (UpgradeAction::Pause, UpgradeState::Aborted) => return Err("the upgrade was aborted"),
        (UpgradeAction::Pause, _) => UpgradeState::Paused,
        (UpgradeAction::Resume, _) => UpgradeState::Running,
        (UpgradeAction::Abort, _) => UpgradeState::Aborted,
    };
    Ok(Upgrade { state, ..upgrade })
}
