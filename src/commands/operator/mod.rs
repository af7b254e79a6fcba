//! Operator commands, each of which makes one gRPC call to a daemon.

mod change;
mod show;

use super::timeout::run_with_timeout;
use crate::{
    cli::{GroupCommand, OperatorCommand, Target, UpgradeCommand},
    error::CommandError,
    exit_codes::ExitStatus,
};
use hickoryledge::{
    client::{self, Client},
    wire::operator::{StatusReply, StatusRequest},
};
use std::{net::SocketAddr, path::Path};

/// Environment variable with the token, used if no option gives it.
const TOKEN_VARIABLE: &str = "HICKORYLEDGE_TOKEN";

/// Connection to the daemon that the command line names.
pub(super) struct Session {
    pub(super) client: Client,
    pub(super) daemon: SocketAddr,
    json: bool,
}

/// Runs an operator command and prints its result.
pub fn run(target: &Target, command: OperatorCommand) -> Result<(), CommandError> {
    run_with_timeout(target, execute(target, command))
}

async fn execute(target: &Target, command: OperatorCommand) -> Result<(), CommandError> {
    let mut session = connect(target).await?;
    match command {
        OperatorCommand::Group(GroupCommand::List(_)) => show::groups(&mut session).await,
        OperatorCommand::Group(command) => change::group(&mut session, command).await,
        OperatorCommand::Account(command) => change::account(&mut session, command).await,
        OperatorCommand::Model(command) => change::model(&mut session, command).await,
        OperatorCommand::Service(command) => change::service(&mut session, command).await,
        OperatorCommand::Upgrade(UpgradeCommand::Status(_)) => show::upgrades(&mut session).await,
        OperatorCommand::Upgrade(command) => change::upgrade(&mut session, command).await,
        OperatorCommand::Status => show::status(&mut session).await,
    }
}

/// Connects to the daemon that the command line names.
pub(super) async fn connect(target: &Target) -> Result<Session, CommandError> {
    let daemon = daemon(target)?;
    let token = token(target)?;
    let client = client::connect_operator(daemon, &token)
        .await
        .map_err(|error| {
            CommandError::unreachable("failed to connect", daemon, format!("{error:#}"))
        })?;
    Ok(Session {
        client,
        daemon,
        json: target.json,
    })
}

impl Session {
    async fn status(&mut self) -> Result<StatusReply, CommandError> {
        let reply = self.client.get_status(StatusRequest {}).await;
        reply.map(tonic::Response::into_inner).map_err(|status| {
            CommandError::from_status("failed to read the status", self.daemon, &status)
        })
    }
}

/// Returns the address of the daemon that the command line names.
pub(super) fn daemon(target: &Target) -> Result<SocketAddr, CommandError> {
    target.daemon.ok_or_else(|| {
        CommandError::local(
            ExitStatus::Usage,
            "failed to find the daemon",
            "--daemon is not given",
        )
    })
}

/// Returns the operators' token from the command line or the environment.
pub(super) fn token(target: &Target) -> Result<String, CommandError> {
    let given = read_secret(target.token.as_ref(), target.token_file.as_deref())?;
    given
        .or_else(|| std::env::var(TOKEN_VARIABLE).ok())
        .ok_or_else(|| {
            let reason = format!("none of --token, --token-file and {TOKEN_VARIABLE} is given");
            CommandError::local(ExitStatus::Usage, "failed to find the token", reason)
        })
}

/// Returns a secret from the command line or from a file, if either is given.
pub(super) fn read_secret(
    text: Option<&String>,
    file: Option<&Path>,
) -> Result<Option<String>, CommandError> {
    if let Some(text) = text {
        return Ok(Some(text.clone()));
    }
    let Some(file) = file else {
        return Ok(None);
    };
    match std::fs::read_to_string(file) {
        Ok(text) => Ok(Some(text.trim().to_owned())),
        Err(error) => {
            let reason = format!("{}: {error}", file.display());
            Err(CommandError::local(
                ExitStatus::Failure,
                "failed to read a secret",
                reason,
            ))
        }
    }
}
