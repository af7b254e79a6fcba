//! `platform`: a gateway on the users' platform.

use crate::{cli::PlatformArgs, error::CommandError, exit_codes::Exit, runtime};
use hickoryledge::gateway::{self, adapter::Adapter, settings::Settings};
use std::path::PathBuf;

/// Runs a gateway until it is told to stop; `variable` names the settings file by default.
pub fn run<A>(args: &PlatformArgs, variable: &str) -> Result<(), CommandError>
where
    A: Adapter,
{
    let path = args
        .settings
        .clone()
        .or_else(|| std::env::var_os(variable).map(PathBuf::from))
        .ok_or_else(|| CommandError::local(Exit::Usage, "read settings", "no file is named"))?;
    let settings = Settings::read(&path).map_err(|error| {
        CommandError::local(Exit::BadSettings, "read settings", format!("{error:#}"))
    })?;
    runtime::run(|log| gateway::run::<A>(settings, log))
}
