//! How long a command waits for a daemon that may never answer.

use std::{future::Future, time::Duration};

use crate::{cli::Target, error::CommandError, exit_codes::Exit};

/// The longest wait for a daemon; longer than it tries an operator's write.
const PATIENCE: Duration = Duration::from_secs(15);

/// Runs a command's talk with a daemon on a loop of its own, and gives it up in time.
pub fn talk<T, F>(target: &Target, talk: F) -> Result<T, CommandError>
where
    F: Future<Output = Result<T, CommandError>>,
{
    let runtime = compio::runtime::Runtime::new()
        .map_err(|error| CommandError::local(Exit::Failure, "start the loop", error))?;
    let talked = runtime.block_on(compio::time::timeout(PATIENCE, talk));
    talked.unwrap_or_else(|_| {
        let reason = format!("no answer within {} s", PATIENCE.as_secs());
        Err(CommandError {
            peer: target.daemon,
            ..CommandError::local(Exit::Unavailable, "wait for the answer", reason)
        })
    })
}
