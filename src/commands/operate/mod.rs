//! Operators' commands: one call each to a daemon.

mod change;
mod show;

use super::patience::talk;
use crate::{
    cli::{GroupCommand, Operate, Target, UpgradeCommand},
    error::CommandError,
    exit_codes::Exit,
};
use hickoryledge::{
    client::{self, Client},
    wire::operator::{StatusReply, StatusRequest},
};
use std::{net::SocketAddr, path::Path};

/// Where the token is looked for if no option gives it.
const TOKEN_VARIABLE: &str = "HICKORYLEDGE_TOKEN";

/// A connection to the daemon that is asked.
pub(super) struct Session {
    pub(super) client: Client,
    pub(super) peer: SocketAddr,
    json: bool,
}

/// Carries out an operator's command.
pub fn run(target: &Target, command: Operate) -> Result<(), CommandError> {
    talk(target, operate(target, command))
}

async fn operate(target: &Target, command: Operate) -> Result<(), CommandError> {
    let mut session = connect(target).await?;
    match command {
        Operate::Group(GroupCommand::List(_)) => show::groups(&mut session).await,
        Operate::Group(command) => change::group(&mut session, command).await,
        Operate::Account(command) => change::account(&mut session, command).await,
        Operate::Model(command) => change::model(&mut session, command).await,
        Operate::Service(command) => change::service(&mut session, command).await,
        Operate::Upgrade(UpgradeCommand::Status(_)) => show::upgrades(&mut session).await,
        Operate::Upgrade(command) => change::upgrade(&mut session, command).await,
        Operate::Status => show::everything(&mut session).await,
    }
}

pub(super) async fn connect(target: &Target) -> Result<Session, CommandError> {
    let peer = daemon(target)?;
    let token = token(target)?;
    let client = client::connect_operator(peer, &token)
        .await
        .map_err(|error| CommandError::unreachable("connect", peer, format!("{error:#}")))?;
    Ok(Session {
        client,
        peer,
        json: target.json,
    })
}

impl Session {
    async fn status(&mut self) -> Result<StatusReply, CommandError> {
        let reply = self.client.get_status(StatusRequest {}).await;
        reply
            .map(tonic::Response::into_inner)
            .map_err(|status| CommandError::answered("read the status", self.peer, &status))
    }
}

/// The daemon that the command line names.
pub(super) fn daemon(target: &Target) -> Result<SocketAddr, CommandError> {
    target
        .daemon
        .ok_or_else(|| CommandError::local(Exit::Usage, "find the daemon", "--daemon is not given"))
}

fn token(target: &Target) -> Result<String, CommandError> {
    let given = secret(target.token.as_ref(), target.token_file.as_deref())?;
    given
        .or_else(|| std::env::var(TOKEN_VARIABLE).ok())
        .ok_or_else(|| {
            let reason = format!("none of --token, --token-file and {TOKEN_VARIABLE} is given");
            CommandError::local(Exit::Usage, "find the token", reason)
        })
}

/// A secret from the command line or from a file.
pub(super) fn secret(
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
            Err(CommandError::local(Exit::Failure, "read a secret", reason))
        }
    }
}
