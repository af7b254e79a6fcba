//! `replay`: traces without a daemon.

use std::{
    io::{Write as _, stdout},
    path::{Path, PathBuf},
};

use hickoryledge::replay::{self, Trace};

use crate::{cli::ReplayArgs, error::CommandError, exit_codes::Exit};

/// Replays traces and prints a table, or their outputs.
pub fn run(args: &ReplayArgs) -> Result<(), CommandError> {
    if args.paths.is_empty() {
        return Err(CommandError::local(
            Exit::Usage,
            "find traces",
            "no path is given",
        ));
    }
    match args.outputs {
        true => args.paths.iter().try_for_each(|path| print_outputs(path)),
        false => print_table(&args.paths),
    }
}

fn print_table(paths: &[PathBuf]) -> Result<(), CommandError> {
    let rows = replay::replay_corpus(paths).map_err(|error| failure("find traces", error))?;
    replay::print_table(&rows, &mut stdout()).map_err(|error| failure("print the table", error))?;
    let failed = rows.iter().filter(|row| row.failure.is_some()).count();
    if failed > 0 {
        return Err(failure(
            "replay",
            format!("{failed} of {} traces differ", rows.len()),
        ));
    }
    Ok(())
}

fn print_outputs(path: &Path) -> Result<(), CommandError> {
    let trace = Trace::read(path)
        .map_err(|fault| failure("read the trace", format!("{}: {fault}", path.display())))?;
    let verdict = replay::replay(&trace, &[]);
    let mut out = stdout().lock();
    for line in &verdict.outputs {
        writeln!(out, "{line}").map_err(|error| failure("print outputs", error))?;
    }
    match verdict.divergence {
        Some(divergence) => Err(failure(
            "replay",
            format!("{}: {divergence}", path.display()),
        )),
        None => Ok(()),
    }
}

fn failure<R>(step: &'static str, reason: R) -> CommandError
where
    R: std::fmt::Display,
{
    CommandError::local(Exit::Failure, step, reason)
}
