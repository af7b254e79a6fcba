//! The `platform` subcommand, which runs a gateway on the users' platform.

use crate::{cli::PlatformArgs, error::CommandError, exit_codes::ExitStatus, runtime};
use hickoryledge::gateway::{self, adapter::Adapter, settings::Settings};
use std::path::PathBuf;

/// Runs a gateway until it is stopped.
///
/// The environment variable `variable` names the settings file if the command line doesn't.
pub fn run<A>(args: &PlatformArgs, variable: &str) -> Result<(), CommandError>
where
    A: Adapter,
{
    let path = args
        .settings
        .clone()
        .or_else(|| std::env::var_os(variable).map(PathBuf::from))
        .ok_or_else(|| {
            CommandError::local(
                ExitStatus::Usage,
                "failed to read settings",
                "no settings file is given",
            )
        })?;
    let settings = Settings::read(&path).map_err(|error| {
        CommandError::local(
            ExitStatus::InvalidSettings,
            "failed to read settings",
            format!("{error:#}"),
        )
    })?;
    runtime::run(|log| gateway::run::<A>(settings, log))
}
