//! Async runtime that a daemon runs on.

use crate::{error::CommandError, exit_codes::ExitStatus, logging};
use compio::{
    driver::ProactorBuilder,
    runtime::{Runtime, RuntimeBuilder},
};
use slog::Logger;
use std::io;

/// Maximum number of threads that open and close sockets for the runtime.
const MAX_POOL_THREADS: usize = 2;

/// Runs a daemon on a runtime of its own until it ends.
///
/// # Errors
///
/// Fails if the runtime can't be started, or with the error of the daemon.
pub fn run<S, F>(start: S) -> Result<(), CommandError>
where
    S: FnOnce(Logger) -> F,
    F: Future<Output = anyhow::Result<()>>,
{
    let runtime = build_runtime().map_err(|error| {
        CommandError::local(
            ExitStatus::Failure,
            "failed to start the async runtime",
            error,
        )
    })?;
    let (log, _guard) = logging::start();
    runtime.block_on(start(log)).map_err(|error| {
        CommandError::local(
            ExitStatus::Failure,
            "failed to run the daemon",
            format!("{error:#}"),
        )
    })
}

/// Builds the runtime; without a limit a burst of connections would start a thread for each.
fn build_runtime() -> io::Result<Runtime> {
    let mut driver = ProactorBuilder::new();
    driver.thread_pool_limit(MAX_POOL_THREADS);
    RuntimeBuilder::new().with_proactor(driver).build()
}
