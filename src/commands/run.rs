//! The `run` subcommand, which runs a daemon.

use crate::{cli::RunArgs, error::CommandError, exit_codes::ExitStatus, runtime};
use hickoryledge::{settings, shell};

/// Runs a daemon until it is stopped and its requests have ended.
pub fn run(args: &RunArgs) -> Result<(), CommandError> {
    let settings = settings::read(&args.settings).map_err(|error| {
        CommandError::local(
            ExitStatus::InvalidSettings,
            "failed to read settings",
            error,
        )
    })?;
    runtime::run(|log| shell::run(settings, args.record.as_deref(), log))
}
