//! Replays all traces of a corpus and prints a table of the results.

use std::{
    fs,
    io::{self, Write},
    path::{Path, PathBuf},
};

use super::{format::Trace, run::replay};
use crate::core::options::Mechanism;

/// Result of replaying one trace file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TraceResult {
    /// Path of the file.
    pub path: PathBuf,
    /// Invariant that the trace tests.
    pub invariant: String,
    /// Faults that occur in the trace.
    pub faults: Vec<String>,
    /// Mechanism without which the replay must fail.
    pub mechanism: Option<Mechanism>,
    /// Inputs replayed.
    pub inputs: usize,
    /// Checks that were evaluated.
    pub checks: usize,
    /// Reason for which the replay failed.
    pub failure: Option<String>,
}

/// Replays the given files and all traces below the given folders, in order of their paths.
///
/// # Errors
///
/// Fails if a folder can't be read. A trace that can't be read is a failed result.
pub fn replay_corpus(paths: &[PathBuf]) -> io::Result<Vec<TraceResult>> {
    let mut files = Vec::new();
    for path in paths {
        collect_traces(path, &mut files)?;
    }
    files.sort();
    Ok(files.iter().map(|path| replay_file(path)).collect())
}

/// Adds a file, or all traces below a folder.
fn collect_traces(path: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        let path = entry?.path();
        let is_trace = path
            .extension()
            .is_some_and(|extension| extension == "jsonl");
        if path.is_dir() || is_trace {
            collect_traces(&path, files)?;
        }
    }
    Ok(())
}

fn replay_file(path: &Path) -> TraceResult {
    let mut result = TraceResult {
        path: path.to_owned(),
        ..TraceResult::default()
    };
    let trace = match Trace::read(path) {
        Ok(trace) => trace,
        Err(error) => {
            result.failure = Some(error.to_string());
            return result;
        }
    };
    let outcome = replay(&trace, &[]);
    result.invariant = trace.header.invariant;
    result.faults = trace.header.faults;
    result.mechanism = trace.header.mechanism;
    result.inputs = outcome.inputs;
    result.checks = outcome.checks;
    result.failure = outcome.divergence.map(|divergence| divergence.to_string());
    result
}

/// Prints a table with one line for each result.
///
/// # Errors
///
/// Fails if the output can't be written.
pub fn print_table<W>(results: &[TraceResult], out: &mut W) -> io::Result<()>
where
    W: Write,
{
    let columns = ["invariant", "trace", "inputs", "checks", "faults", "result"];
    let [invariant, trace, inputs, checks, faults, outcome] = columns;
    writeln!(
        out,
        "{invariant:<18} {trace:<46} {inputs:>6} {checks:>6}  {faults:<36} {outcome}"
    )?;
    for result in results {
        let TraceResult {
            invariant,
            inputs,
            checks,
            ..
        } = result;
        let stem = result
            .path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy();
        let faults = result.faults.join(", ");
        let outcome = result.failure.as_deref().unwrap_or("passed");
        writeln!(
            out,
            "{invariant:<18} {stem:<46} {inputs:>6} {checks:>6}  {faults:<36} {outcome}"
        )?;
    }
    Ok(())
}
