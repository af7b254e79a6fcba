//! Replaying a whole corpus, and its table.

use std::{
    fs,
    io::{self, Write},
    path::{Path, PathBuf},
};

use super::{format::Trace, run::replay};
use crate::core::options::Mechanism;

/// What the replay of one file came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    /// The file.
    pub path: PathBuf,
    /// The invariant it speaks for.
    pub invariant: String,
    /// The faults it holds.
    pub faults: Vec<String>,
    /// The mechanism without which it must fail.
    pub mechanism: Option<Mechanism>,
    /// Inputs replayed.
    pub inputs: usize,
    /// Stated outcomes checked.
    pub checks: usize,
    /// Why it fails, if it does.
    pub failure: Option<String>,
}

/// Replays files, and every trace in folders and their folders, in order of path.
///
/// # Errors
///
/// Fails if a folder can't be read; a trace that can't be read is a failed row.
pub fn replay_corpus(paths: &[PathBuf]) -> io::Result<Vec<Row>> {
    let mut files = Vec::new();
    for path in paths {
        collect(path, &mut files)?;
    }
    files.sort();
    Ok(files.iter().map(|path| row(path)).collect())
}

fn collect(path: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        let path = entry?.path();
        let is_trace = path.extension().is_some_and(|ending| ending == "jsonl");
        if path.is_dir() || is_trace {
            collect(&path, files)?;
        }
    }
    Ok(())
}

fn row(path: &Path) -> Row {
    let mut row = Row {
        path: path.to_owned(),
        ..Row::default()
    };
    let trace = match Trace::read(path) {
        Ok(trace) => trace,
        Err(fault) => {
            row.failure = Some(fault.to_string());
            return row;
        }
    };
    let verdict = replay(&trace, &[]);
    row.invariant = trace.header.invariant;
    row.faults = trace.header.faults;
    row.mechanism = trace.header.mechanism;
    row.inputs = verdict.inputs;
    row.checks = verdict.checks;
    row.failure = verdict.divergence.map(|divergence| divergence.to_string());
    row
}

/// Prints the table of invariant, traces, faults and verdict.
///
/// # Errors
///
/// Fails if the output can't be written.
pub fn print_table<W>(rows: &[Row], out: &mut W) -> io::Result<()>
where
    W: Write,
{
    let columns = [
        "invariant",
        "trace",
        "inputs",
        "checks",
        "faults",
        "verdict",
    ];
    let [invariant, trace, inputs, checks, faults, verdict] = columns;
    writeln!(
        out,
        "{invariant:<18} {trace:<46} {inputs:>6} {checks:>6}  {faults:<36} {verdict}"
    )?;
    for row in rows {
        let Row {
            invariant,
            inputs,
            checks,
            ..
        } = row;
        let stem = row.path.file_stem().unwrap_or_default().to_string_lossy();
        let faults = row.faults.join(", ");
        let verdict = row.failure.as_deref().unwrap_or("holds");
        writeln!(
            out,
            "{invariant:<18} {stem:<46} {inputs:>6} {checks:>6}  {faults:<36} {verdict}"
        )?;
    }
    Ok(())
}
