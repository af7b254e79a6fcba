//! The `check` subcommand, which validates a settings file without a running daemon.

use crate::{cli::CheckArgs, error::CommandError, exit_codes::ExitStatus};
use hickoryledge::settings;

/// Reads a settings file and reports whether a daemon would accept it.
pub fn run(args: &CheckArgs) -> Result<(), CommandError> {
    settings::read(&args.settings).map_err(|error| {
        CommandError::local(
            ExitStatus::InvalidSettings,
            "failed to validate settings",
            error,
        )
    })?;
    println!("{} is valid", args.settings.display());
    Ok(())
}
