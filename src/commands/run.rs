//! `run`: the daemon.

use crate::{cli::RunArgs, error::CommandError, exit_codes::Exit, logging, runtime};
use hickoryledge::{settings, shell};

/// Runs the daemon until it is told to stop and its work has ended.
pub fn run(args: &RunArgs) -> Result<(), CommandError> {
    let settings = settings::read(&args.settings)
        .map_err(|error| CommandError::local(Exit::BadSettings, "read settings", error))?;
    let runtime = runtime::build()
        .map_err(|error| CommandError::local(Exit::Failure, "start the loop", error))?;
    let (log, _guard) = logging::start();
    runtime
        .block_on(shell::run(settings, args.record.as_deref(), log))
        .map_err(|error| CommandError::local(Exit::Failure, "run", format!("{error:#}")))
}
