//! Converts between the operators' gRPC messages and the records of the core.

use crate::{
    core::{
        config::record::{Account, GroupSpec, Model, Service, Upgrade, UpgradeState},
        input,
        keys::KeyHash,
        status::{DaemonStatus, DomainStatus, GroupStatus, Status as Report, UpgradeStatus},
    },
    wire::operator as wire,
};
use tonic::Status;

/// Bytes of the longest name.
const MAX_NAME_BYTES: usize = 64;
/// Hosts of the largest group.
const MAX_GROUP_SIZE: u32 = 1_024;
/// Largest weight of an account.
const MAX_WEIGHT: u32 = 1_000_000;

/// Checks that a name can be part of a key in the platform's store.
pub(super) fn name(name: String, field: &str) -> Result<String, Status> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return Err(Status::invalid_argument(format!(
            "{field} {name:?}: a name is 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'"
        )));
    }
    Ok(name)
}

fn names<N>(list: Vec<String>, field: &str) -> Result<Vec<N>, Status>
where
    N: From<String>,
{
    list.into_iter()
        .map(|item| name(item, field).map(N::from))
        .collect()
}

/// Checks a name that may be empty.
fn optional_name(text: String, field: &str) -> Result<String, Status> {
    if text.is_empty() {
        return Ok(text);
    }
    name(text, field)
}

fn required<T>(message: Option<T>, field: &str) -> Result<T, Status> {
    message.ok_or_else(|| Status::invalid_argument(format!("{field} is missing")))
}

fn in_range(value: u32, low: u32, high: u32, field: &str) -> Result<u32, Status> {
    if (low..=high).contains(&value) {
        return Ok(value);
    }
    Err(Status::invalid_argument(format!(
        "{field} is {value}, not {low} to {high}"
    )))
}

pub(super) fn account(account: Option<wire::Account>) -> Result<Account, Status> {
    let account = required(account, "account")?;
    let key: [u8; 32] = account
        .key_hash
        .try_into()
        .map_err(|_| Status::invalid_argument("key_hash is not 32 bytes long"))?;
    Ok(Account {
        name: name(account.name, "name")?.into(),
        key: KeyHash(key),
        weight: in_range(account.weight, 1, MAX_WEIGHT, "weight")?,
        priority: in_range(account.priority, 0, u8::MAX.into(), "priority")? as u8,
        rate: account.rate,
        open: account.open,
        models: names(account.models, "models")?,
        ..Account::default()
    })
}

pub(super) fn model(model: Option<wire::Model>) -> Result<Model, Status> {
    let model = required(model, "model")?;
    Ok(Model {
        name: name(model.name, "name")?.into(),
        version: name(model.version, "version")?.into(),
        adapters: names(model.adapters, "adapters")?,
        size: in_range(model.size, 1, MAX_GROUP_SIZE, "size")? as u16,
        floor: in_range(model.floor, 0, u16::MAX.into(), "floor")? as u16,
        weights_gb: model.weights_gb,
        ..Model::default()
    })
}

pub(super) fn service(service: Option<wire::Service>) -> Result<Service, Status> {
    let service = required(service, "service")?;
    Ok(Service {
        name: name(service.name, "name")?.into(),
        idempotent: service.idempotent,
        ..Service::default()
    })
}

pub(super) fn group(group: Option<wire::Group>) -> Result<GroupSpec, Status> {
    let group = required(group, "group")?;
    Ok(GroupSpec {
        name: name(group.name, "name")?.into(),
        model: name(group.model, "model")?.into(),
        version: optional_name(group.version, "version")?.into(),
        size: in_range(group.size, 0, MAX_GROUP_SIZE, "size")? as u16,
        domain: name(group.domain, "domain")?.into(),
        accounts: names(group.accounts, "accounts")?,
        ..GroupSpec::default()
    })
}

pub(super) fn upgrade(upgrade: Option<wire::Upgrade>) -> Result<Upgrade, Status> {
    let upgrade = required(upgrade, "upgrade")?;
    Ok(Upgrade {
        name: name(upgrade.name, "name")?.into(),
        model: name(upgrade.model, "model")?.into(),
        to: name(upgrade.to, "to")?.into(),
        width: in_range(upgrade.width, 1, MAX_GROUP_SIZE, "width")? as u16,
        ..Upgrade::default()
    })
}

pub(super) fn action(action: wire::UpgradeAction) -> Result<input::UpgradeAction, Status> {
    match action {
        wire::UpgradeAction::Pause => Ok(input::UpgradeAction::Pause),
        wire::UpgradeAction::Resume => Ok(input::UpgradeAction::Resume),
        wire::UpgradeAction::Abort => Ok(input::UpgradeAction::Abort),
        wire::UpgradeAction::Unspecified => Err(Status::invalid_argument("action is missing")),
    }
}

pub(super) fn status(report: Report) -> wire::StatusReply {
    wire::StatusReply {
        daemon: report.daemon.to_string(),
        revision: report.revision.0,
        fresh: report.fresh,
        groups: report.groups.into_iter().map(group_status).collect(),
        daemons: report.daemons.into_iter().map(daemon_status).collect(),
        domains: report.domains.into_iter().map(domain_status).collect(),
        upgrades: report.upgrades.into_iter().map(upgrade_status).collect(),
    }
}

fn group_status(status: GroupStatus) -> wire::GroupStatus {
    wire::GroupStatus {
        group: status.group.to_string(),
        model: status.model.to_string(),
        version: status.version.to_string(),
        domain: status.domain.to_string(),
        epoch: status.epoch.0,
        state: status.state,
        hosts: strings(&status.hosts),
        trouble: status.trouble,
    }
}

fn daemon_status(status: DaemonStatus) -> wire::DaemonStatus {
    wire::DaemonStatus {
        daemon: status.daemon.to_string(),
        state: status.state,
        revision: status.revision.0,
    }
}

fn domain_status(status: DomainStatus) -> wire::DomainStatus {
    wire::DomainStatus {
        domain: status.domain.to_string(),
        holder: status.holder.to_string(),
        spare: strings(&status.spare),
        lost: strings(&status.lost),
        stranded: status.stranded,
    }
}

fn upgrade_status(status: UpgradeStatus) -> wire::UpgradeStatus {
    let state = match status.state {
        UpgradeState::Running => "running",
        UpgradeState::Paused => "paused",
        UpgradeState::Aborted => "aborted",
        UpgradeState::Done => "done",
    };
    wire::UpgradeStatus {
        upgrade: status.upgrade.to_string(),
        model: status.model.to_string(),
        from: status.from.to_string(),
        to: status.to.to_string(),
        state: state.to_owned(),
        upgraded: status.upgraded,
        groups: status.groups,
    }
}

fn strings<N>(names: &[N]) -> Vec<String>
where
    N: ToString,
{
    names.iter().map(N::to_string).collect()
}
