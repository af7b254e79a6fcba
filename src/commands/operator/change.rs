//! Operator commands that change the configuration.

use super::{super::table, Session, read_secret};
use crate::{
    cli::{AccountCommand, GroupCommand, ModelCommand, ServiceCommand, UpgradeCommand},
    error::CommandError,
    exit_codes::ExitStatus,
};
use hickoryledge::{
    core::keys::KeyHash,
    wire::operator::{
        Account, Change, ChangeGroupRequest, CreateGroupRequest, DrainGroupRequest, Group, Model,
        NameRequest, PutAccountRequest, PutModelRequest, PutServiceRequest, Service,
        StartUpgradeRequest, SteerUpgradeRequest, Upgrade, UpgradeAction,
    },
};
use serde::Serialize;
use tonic::{Response, Status};

/// Change that took effect, as printed.
#[derive(Serialize)]
struct Changed {
    operation: u64,
    revision: i64,
}

impl table::Row for Changed {
    const HEADERS: &'static [&'static str] = &["OPERATION", "REVISION"];

    fn cells(&self) -> Vec<String> {
        vec![self.operation.to_string(), self.revision.to_string()]
    }
}

/// Returns the operation id of the command line, or a new random one.
fn operation_id(given: Option<u64>) -> u64 {
    given.unwrap_or_else(|| rand::random_range(1..=u64::MAX))
}

/// Builds a group from the arguments of `create` or `change`, which have the same options.
macro_rules! group_from_args {
    ($args:expr) => {
        Group {
            name: $args.name,
            model: $args.model,
            version: $args.version,
            size: $args.size,
            domain: $args.domain,
            accounts: $args.account,
        }
    };
}

/// Builds a request that holds only a name, for deleting a record.
fn name_request(given: Option<u64>, name: String) -> NameRequest {
    let operation = operation_id(given);
    NameRequest { operation, name }
}

/// Prints the result of a change; an uncertain one comes with the operation id for a retry.
fn print_result(
    session: &Session,
    operation: u64,
    result: Result<Response<Change>, Status>,
) -> Result<(), CommandError> {
    match result {
        Ok(change) => {
            let revision = change.into_inner().revision;
            table::print(
                session.json,
                &[Changed {
                    operation,
                    revision,
                }],
            );
            Ok(())
        }
        Err(status) => {
            let mut error =
                CommandError::from_status("failed to make the change", session.daemon, &status);
            if error.exit == ExitStatus::Unavailable {
                let hint = format!("; retry with --operation {operation}");
                error.reason.push_str(&hint);
            }
            Err(error)
        }
    }
}

pub(super) async fn group(
    session: &mut Session,
    command: GroupCommand,
) -> Result<(), CommandError> {
    match command {
        GroupCommand::Create(args) => {
            let operation = operation_id(args.operation);
            let group = group_from_args!(args);
            let request = CreateGroupRequest {
                operation,
                group: Some(group),
            };
            let result = session.client.create_group(request).await;
            print_result(session, operation, result)
        }
        GroupCommand::Change(args) => {
            let operation = operation_id(args.operation);
            let group = group_from_args!(args);
            let request = ChangeGroupRequest {
                operation,
                group: Some(group),
                based_on: args.based_on,
            };
            let result = session.client.change_group(request).await;
            print_result(session, operation, result)
        }
        GroupCommand::Drain(args) => drain(session, args.operation, args.name, true).await,
        GroupCommand::Undrain(args) => drain(session, args.operation, args.name, false).await,
        GroupCommand::Delete(args) => {
            let request = name_request(args.operation, args.name);
            let operation = request.operation;
            let result = session.client.delete_group(request).await;
            print_result(session, operation, result)
        }
        GroupCommand::List(_) => Ok(()),
    }
}

async fn drain(
    session: &mut Session,
    given: Option<u64>,
    name: String,
    drained: bool,
) -> Result<(), CommandError> {
    let operation = operation_id(given);
    let request = DrainGroupRequest {
        operation,
        name,
        drained,
    };
    let result = session.client.drain_group(request).await;
    print_result(session, operation, result)
}

pub(super) async fn account(
    session: &mut Session,
    command: AccountCommand,
) -> Result<(), CommandError> {
    match command {
        AccountCommand::Put(args) => {
            let operation = operation_id(args.operation);
            let key =
                read_secret(args.key.as_ref(), args.key_file.as_deref())?.ok_or_else(|| {
                    let reason = "neither --key nor --key-file is given";
                    CommandError::local(ExitStatus::Usage, "failed to find the key", reason)
                })?;
            let account = Account {
                name: args.name,
                key_hash: KeyHash::of(&key).0.to_vec(),
                weight: args.weight,
                priority: args.priority,
                rate: args.rate,
                open: args.open,
                models: args.model,
            };
            let request = PutAccountRequest {
                operation,
                account: Some(account),
            };
            let result = session.client.put_account(request).await;
            print_result(session, operation, result)
        }
        AccountCommand::Delete(args) => {
            let request = name_request(args.operation, args.name);
            let operation = request.operation;
            let result = session.client.delete_account(request).await;
            print_result(session, operation, result)
        }
    }
}

pub(super) async fn model(
    session: &mut Session,
    command: ModelCommand,
) -> Result<(), CommandError> {
    match command {
        ModelCommand::Put(args) => {
            let operation = operation_id(args.operation);
            let model = Model {
                name: args.name,
                version: args.version,
                adapters: args.adapter,
                size: args.size,
                floor: args.floor,
                weights_gb: args.weights_gb,
            };
            let request = PutModelRequest {
                operation,
                model: Some(model),
            };
            let result = session.client.put_model(request).await;
            print_result(session, operation, result)
        }
        ModelCommand::Delete(args) => {
            let request = name_request(args.operation, args.name);
            let operation = request.operation;
            let result = session.client.delete_model(request).await;
            print_result(session, operation, result)
        }
    }
}

pub(super) async fn service(
    session: &mut Session,
    command: ServiceCommand,
) -> Result<(), CommandError> {
    let ServiceCommand::Put(args) = command;
    let operation = operation_id(args.operation);
    let service = Service {
        name: args.name,
        idempotent: args.idempotent,
    };
    let request = PutServiceRequest {
        operation,
        service: Some(service),
    };
    let result = session.client.put_service(request).await;
    print_result(session, operation, result)
}

pub(super) async fn upgrade(
    session: &mut Session,
    command: UpgradeCommand,
) -> Result<(), CommandError> {
    let (given, name, action) = match command {
        UpgradeCommand::Start(args) => {
            let operation = operation_id(args.operation);
            let upgrade = Upgrade {
                name: args.name,
                model: args.model,
                to: args.to,
                width: args.width,
            };
            let request = StartUpgradeRequest {
                operation,
                upgrade: Some(upgrade),
            };
            let result = session.client.start_upgrade(request).await;
            return print_result(session, operation, result);
        }
        UpgradeCommand::Status(_) => return Ok(()),
        UpgradeCommand::Pause(args) => (args.operation, args.name, UpgradeAction::Pause),
        UpgradeCommand::Resume(args) => (args.operation, args.name, UpgradeAction::Resume),
        UpgradeCommand::Abort(args) => (args.operation, args.name, UpgradeAction::Abort),
    };
    let operation = operation_id(given);
    let request = SteerUpgradeRequest {
        operation,
        name,
        action: action.into(),
    };
    let result = session.client.steer_upgrade(request).await;
    print_result(session, operation, result)
}
