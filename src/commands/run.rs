//! `run`: the daemon.

use crate::{cli::RunArgs, error::CommandError, exit_codes::Exit, runtime};
use hickoryledge::{settings, shell};

/// Runs the daemon until it is told to stop and its work has ended.
pub fn run(args: &RunArgs) -> Result<(), CommandError> {
    let settings = settings::read(&args.settings)
        .map_err(|error| CommandError::local(Exit::BadSettings, "read settings", error))?;
    runtime::run(|log| shell::run(settings, args.record.as_deref(), log))
}
