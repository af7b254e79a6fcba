//! Timeout of commands that wait for a daemon.

use std::{future::Future, time::Duration};

use crate::{cli::Target, error::CommandError, exit_codes::ExitStatus};

/// Timeout of a command; longer than a daemon retries an operator's write.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Runs a future on a runtime of its own and fails if it takes longer than [`RESPONSE_TIMEOUT`].
pub fn run_with_timeout<T, F>(target: &Target, future: F) -> Result<T, CommandError>
where
    F: Future<Output = Result<T, CommandError>>,
{
    let runtime = compio::runtime::Runtime::new().map_err(|error| {
        CommandError::local(
            ExitStatus::Failure,
            "failed to start the async runtime",
            error,
        )
    })?;
    let result = runtime.block_on(compio::time::timeout(RESPONSE_TIMEOUT, future));
    result.unwrap_or_else(|_| {
        let reason = format!("no response within {} s", RESPONSE_TIMEOUT.as_secs());
        Err(CommandError {
            daemon: target.daemon,
            ..CommandError::local(ExitStatus::Unavailable, "failed to get a response", reason)
        })
    })
}
