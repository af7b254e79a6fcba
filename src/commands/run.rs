//! `run`: the daemon.

use crate::{cli::RunArgs, error::CommandError, exit_codes::Exit, logging};
use compio::{
    driver::ProactorBuilder,
    runtime::{Runtime, RuntimeBuilder},
};
use hickoryledge::{settings, shell};
use std::io;

/// Threads that open and close sockets for the loop.
const HELPER_THREADS: usize = 2;

/// Runs the daemon until it is told to stop and its work has ended.
pub fn run(args: &RunArgs) -> Result<(), CommandError> {
    let settings = settings::read(&args.settings)
        .map_err(|error| CommandError::local(Exit::BadSettings, "read settings", error))?;
    let runtime =
        runtime().map_err(|error| CommandError::local(Exit::Failure, "start the loop", error))?;
    let (log, _guard) = logging::start();
    runtime
        .block_on(shell::run(settings, args.record.as_deref(), log))
        .map_err(|error| CommandError::local(Exit::Failure, "run", format!("{error:#}")))
}

/// The loop; without a limit a burst of connections would start a thread for each.
fn runtime() -> io::Result<Runtime> {
    let mut driver = ProactorBuilder::new();
    driver.thread_pool_limit(HELPER_THREADS);
    RuntimeBuilder::new().with_proactor(driver).build()
}
