//! `check`: settings without a daemon.

use crate::{cli::CheckArgs, error::CommandError, exit_codes::Exit};
use hickoryledge::settings;

/// Reads a settings file and says whether a daemon would take it.
pub fn run(args: &CheckArgs) -> Result<(), CommandError> {
    settings::read(&args.settings)
        .map_err(|error| CommandError::local(Exit::BadSettings, "check", error))?;
    println!("{} is valid", args.settings.display());
    Ok(())
}
