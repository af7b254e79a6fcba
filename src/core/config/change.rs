//! Translation of operators' requests to changes of records.
//!
//! Every record names the operation that wrote it and earlier ones, so that a
//! repeated operation takes effect once, whichever daemons get it.

use super::{
    record::{Account, GroupSpec, Model, Upgrade, UpgradeState},
    view::{Key, View},
};
use crate::core::{
    input::{OperatorRequest, PlatformEntry, UpgradeAction},
    keys::{OperationId, Revision},
};
use serde::{Serialize, de::DeserializeOwned};

/// Maximum number of earlier operations kept in a record.
const MAX_EARLIER_OPERATIONS: usize = 16;

/// Change to make to a key.
#[derive(Debug, PartialEq)]
pub(super) enum Plan {
    /// Write this value, as JSON text.
    Put(String),
    /// Write this value, which marks the record as deleted, under a lease.
    MarkDeleted(String),
    /// Make no change, because the record is already as requested.
    NoChange,
    /// Make no change, because another operator wrote the record at this revision.
    Conflict(Revision),
    /// Make no change, because the request is invalid for this reason.
    Invalid(&'static str),
}

/// Fields common to the records that operators write.
#[derive(Debug, Default, serde::Deserialize)]
#[serde(default)]
pub(super) struct RecordHeader {
    operation: OperationId,
    applied: Vec<OperationId>,
    deleted: bool,
}

impl RecordHeader {
    /// Reads the fields from an entry; all are empty if there is none or it is invalid.
    pub(super) fn from_entry(entry: Option<&PlatformEntry>) -> RecordHeader {
        entry
            .and_then(|entry| serde_json::from_str(&entry.value).ok())
            .unwrap_or_default()
    }

    /// Returns true if an operation has taken effect.
    pub(super) fn has_applied(&self, operation: OperationId) -> bool {
        self.operation == operation || self.applied.contains(&operation)
    }

    /// Returns the earlier operations to store with the next one.
    fn into_earlier(mut self) -> Vec<OperationId> {
        self.applied.push(self.operation);
        let excess = self.applied.len().saturating_sub(MAX_EARLIER_OPERATIONS);
        self.applied.drain(..excess);
        self.applied
    }
}

/// Returns the key that a request changes; `None` for a status request.
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

/// Returns the reason to refuse a request before anything is read, if there is one.
pub(super) fn invalid_reason(
    request: &OperatorRequest,
    operation: OperationId,
) -> Option<&'static str> {
    if operation == OperationId::default() {
        return Some("the operation number must not be zero");
    }
    let name = key(request)?.path();
    if name.ends_with('/') {
        return Some("the name is empty");
    }
    if Key::parse(&name) != key(request) {
        return Some("the name must not contain a slash");
    }
    match request {
        OperatorRequest::CreateGroup(spec) | OperatorRequest::ChangeGroup { spec, .. }
            if spec.domain.as_str().is_empty() =>
        {
            Some("the group has no fabric domain")
        }
        _ => None,
    }
}

/// Determines the change that a request makes, given the current entry of its key.
pub(super) fn plan(
    request: &OperatorRequest,
    operation: OperationId,
    current: Option<&PlatformEntry>,
    view: &View,
) -> Plan {
    let builder = RecordBuilder { operation, current };
    match request {
        OperatorRequest::PutAccount(account) => builder.put(account),
        OperatorRequest::PutModel(model) => builder.put(model),
        OperatorRequest::PutService(service) => builder.put(service),
        OperatorRequest::DeleteAccount(_) => builder.mark_deleted(|account| Account {
            deleted: true,
            ..account
        }),
        OperatorRequest::DeleteModel(_) => builder.mark_deleted(|model| Model {
            deleted: true,
            ..model
        }),
        OperatorRequest::CreateGroup(spec) => match current {
            Some(current) => Plan::Conflict(current.revision),
            None => builder.put(spec),
        },
        OperatorRequest::ChangeGroup { spec, based_on } => builder.change_group(spec, *based_on),
        OperatorRequest::DrainGroup { drained, .. } => builder.edit("no such group", |spec| {
            let drained = *drained;
            Ok(GroupSpec { drained, ..spec })
        }),
        OperatorRequest::DeleteGroup(_) if current.is_none() => Plan::NoChange,
        OperatorRequest::DeleteGroup(_) => builder.edit("no such group", |spec| {
            let deleted = true;
            Ok(GroupSpec { deleted, ..spec })
        }),
        OperatorRequest::StartUpgrade(upgrade) => builder.start_upgrade(upgrade, view),
        OperatorRequest::SteerUpgrade { action, .. } => {
            builder.edit("no such upgrade", |upgrade| apply_action(upgrade, *action))
        }
        OperatorRequest::Status => Plan::NoChange,
    }
}

/// Builder of the new value of a key that holds `current`.
struct RecordBuilder<'a> {
    operation: OperationId,
    current: Option<&'a PlatformEntry>,
}

impl RecordBuilder<'_> {
    /// Writes a record, with the operations that it has to name.
    fn put<T>(&self, record: &T) -> Plan
    where
        T: Serialize,
    {
        let Ok(mut value) = serde_json::to_value(record) else {
            return Plan::Invalid("the record can't be serialized");
        };
        value["operation"] = self.operation.0.into();
        let applied = match self.current {
            Some(_) => RecordHeader::from_entry(self.current).into_earlier(),
            None => Vec::new(),
        };
        value["applied"] = applied.iter().map(|operation| operation.0).collect();
        Plan::Put(value.to_string())
    }

    /// Writes the current record with a change applied.
    fn edit<T, F>(&self, missing_reason: &'static str, change: F) -> Plan
    where
        T: Serialize + DeserializeOwned,
        F: FnOnce(T) -> Result<T, &'static str>,
    {
        let Some(current) = self.current else {
            return Plan::Invalid(missing_reason);
        };
        let Ok(record) = serde_json::from_str(&current.value) else {
            return Plan::Invalid("the stored record is invalid");
        };
        match change(record) {
            Ok(record) => self.put(&record),
            Err(reason) => Plan::Invalid(reason),
        }
    }

    /// Writes the current record, which `change` marks as deleted.
    fn mark_deleted<T, F>(&self, change: F) -> Plan
    where
        T: Serialize + DeserializeOwned,
        F: FnOnce(T) -> T,
    {
        if self.current.is_none() || RecordHeader::from_entry(self.current).deleted {
            return Plan::NoChange;
        }
        match self.edit("no such record", |current| Ok(change(current))) {
            Plan::Put(value) => Plan::MarkDeleted(value),
            plan => plan,
        }
    }

    fn change_group(&self, spec: &GroupSpec, based_on: Revision) -> Plan {
        match self.current {
            Some(current) if current.revision != based_on => Plan::Conflict(current.revision),
            _ => self.edit("no such group", |current: GroupSpec| {
                Ok(GroupSpec {
                    drained: current.drained,
                    deleted: current.deleted,
                    ..spec.clone()
                })
            }),
        }
    }

    fn start_upgrade(&self, upgrade: &Upgrade, view: &View) -> Plan {
        if let Some(current) = self.current {
            return Plan::Conflict(current.revision);
        }
        let mut upgrade = upgrade.clone();
        upgrade.state = UpgradeState::Running;
        if upgrade.from.as_str().is_empty()
            && let Some(model) = view.model(&upgrade.model)
        {
            upgrade.from = model.version.clone();
        }
        self.put(&upgrade)
    }
}

fn apply_action(upgrade: Upgrade, action: UpgradeAction) -> Result<Upgrade, &'static str> {
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
