//! The `replay` subcommand, which replays traces without a running daemon.

use std::{
    io::{Write as _, stdout},
    path::{Path, PathBuf},
};

use hickoryledge::replay::{self, Trace};

use crate::{cli::ReplayArgs, error::CommandError, exit_codes::ExitStatus};

/// Replays traces and prints a table of the results, or every output.
pub fn run(args: &ReplayArgs) -> Result<(), CommandError> {
    if args.paths.is_empty() {
        return Err(CommandError::local(
            ExitStatus::Usage,
            "failed to find traces",
            "no trace is given",
        ));
    }
    match args.outputs {
        true => args.paths.iter().try_for_each(|path| print_outputs(path)),
        false => print_table(&args.paths),
    }
}

fn print_table(paths: &[PathBuf]) -> Result<(), CommandError> {
    let rows =
        replay::replay_corpus(paths).map_err(|error| failure("failed to find traces", error))?;
    replay::print_table(&rows, &mut stdout())
        .map_err(|error| failure("failed to print the table", error))?;
    let failed = rows.iter().filter(|row| row.failure.is_some()).count();
    if failed > 0 {
        return Err(failure(
            "failed to replay",
            format!("{failed} of {} traces failed", rows.len()),
        ));
    }
    Ok(())
}

fn print_outputs(path: &Path) -> Result<(), CommandError> {
    let trace = Trace::read(path).map_err(|error| {
        failure(
            "failed to read the trace",
            format!("{}: {error}", path.display()),
        )
    })?;
    let verdict = replay::replay(&trace, &[]);
    let mut out = stdout().lock();
    for line in &verdict.outputs {
        writeln!(out, "{line}").map_err(|error| failure("failed to print the outputs", error))?;
    }
    match verdict.divergence {
        Some(divergence) => Err(failure(
            "failed to replay",
            format!("{}: {divergence}", path.display()),
        )),
        None => Ok(()),
    }
}

/// Creates an error with the exit status of a general failure.
fn failure<R>(step: &'static str, reason: R) -> CommandError
where
    R: std::fmt::Display,
{
    CommandError::local(ExitStatus::Failure, step, reason)
}
