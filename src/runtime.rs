//! The loop that a daemon runs on.

use crate::{error::CommandError, exit_codes::Exit, logging};
use compio::{
    driver::ProactorBuilder,
    runtime::{Runtime, RuntimeBuilder},
};
use slog::Logger;
use std::io;

/// Threads that open and close sockets for the loop.
const HELPER_THREADS: usize = 2;

/// Runs a daemon on a loop of its own until it ends.
///
/// # Errors
///
/// Fails if the loop can't be started, or with the daemon's own error.
pub fn run<S, F>(start: S) -> Result<(), CommandError>
where
    S: FnOnce(Logger) -> F,
    F: Future<Output = anyhow::Result<()>>,
{
    let runtime =
        build().map_err(|error| CommandError::local(Exit::Failure, "start the loop", error))?;
    let (log, _guard) = logging::start();
    runtime
        .block_on(start(log))
        .map_err(|error| CommandError::local(Exit::Failure, "run", format!("{error:#}")))
}

/// The loop; without a limit a burst of connections would start a thread for each.
fn build() -> io::Result<Runtime> {
    let mut driver = ProactorBuilder::new();
    driver.thread_pool_limit(HELPER_THREADS);
    RuntimeBuilder::new().with_proactor(driver).build()
}
