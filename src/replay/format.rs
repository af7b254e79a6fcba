//! Trace format and its parser.

use std::{collections::BTreeMap, fmt, fs, io, path::Path};

use serde_json::Value;

use crate::core::{
    ctx::Identity,
    options::{Mechanism, Options},
    time::Time,
};

/// Version of the trace format that this program writes and reads.
pub const FORMAT_VERSION: u32 = 1;

crate::record! {
    /// First line of a trace.
    #[serde(deny_unknown_fields)]
    pub struct Header {
        /// Version of the trace format.
        pub hickoryledge_trace: u32,
        /// Short description of the trace.
        pub title: String,
        /// Invariant that the trace tests.
        #[serde(default)]
        pub invariant: String,
        /// Reason for which the trace is kept.
        #[serde(default)]
        pub reason: String,
        /// Faults that occur in the trace.
        #[serde(default)]
        pub faults: Vec<String>,
        /// Mechanism without which the replay must fail.
        #[serde(default)]
        pub mechanism: Option<Mechanism>,
        /// True if the replay delivers timers when they are due; recordings contain their own timer
        /// inputs.
        #[serde(default)]
        pub auto_timers: bool,
        /// Daemons; lines refer to them by index.
        pub daemons: Vec<DaemonHeader>,
    }

    /// Daemon of a trace.
    #[serde(deny_unknown_fields)]
    pub struct DaemonHeader {
        /// Identity of the daemon.
        pub identity: Identity,
        /// Seed of its random number generator.
        #[serde(default)]
        pub seed: u64,
        /// Options of its core.
        #[serde(default)]
        pub options: Options,
    }

    /// Line after the header: an input, or a check of the outputs.
    #[serde(deny_unknown_fields)]
    pub enum Line {
        /// Input for a daemon.
        Input {
            /// Time of the input.
            at: Time,
            /// Index of the daemon in the header.
            #[serde(default)]
            daemon: usize,
            /// Event as JSON; `"$name"` is replaced by the value bound to that name.
            event: Value,
        },
        /// Checks that the preceding input caused an output that matches.
        Expect(OutputPattern),
        /// Checks that the preceding input caused no output that matches.
        Reject(OutputPattern),
        /// Checks that no output from here to the end matches.
        Never(OutputPattern),
        /// Checks the number of outputs so far that match.
        Count {
            /// Pattern that the outputs are matched against.
            output: Value,
            /// Expected number of matching outputs.
            is: usize,
        },
    }

    /// Pattern for outputs, and the values of the match to bind to names.
    #[serde(deny_unknown_fields)]
    pub struct OutputPattern {
        /// Fields and values that a matching output must have.
        pub output: Value,
        /// JSON pointers to values of the match, by the name to bind them to.
        #[serde(default)]
        pub bind: BTreeMap<String, String>,
    }
}

/// Parsed trace.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Header of the trace.
    pub header: Header,
    /// Lines after the header, with their line numbers in the file.
    pub lines: Vec<(usize, Line)>,
}

/// Error while reading or parsing a trace.
#[derive(Debug)]
pub enum TraceError {
    /// The file can't be read.
    Io(io::Error),
    /// The file has no lines.
    Empty,
    /// The format version is not supported.
    UnsupportedVersion(u64),
    /// A line is not valid JSON or doesn't match the format.
    InvalidLine {
        /// Line number, from 1.
        line: usize,
        /// Error of the JSON parser, or a description of the mismatch.
        reason: String,
    },
    /// The last line is incomplete: it has no line break and can't be parsed.
    TruncatedLine {
        /// Line number, from 1.
        line: usize,
    },
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TraceError::Io(error) => write!(f, "cannot read the file: {error}"),
            TraceError::Empty => f.write_str("the trace is empty"),
            TraceError::UnsupportedVersion(version) => {
                write!(
                    f,
                    "unsupported format version {version}, expected {FORMAT_VERSION}"
                )
            }
            TraceError::InvalidLine { line, reason } => write!(f, "line {line}: {reason}"),
            TraceError::TruncatedLine { line } => {
                write!(f, "line {line}: the last line is truncated")
            }
        }
    }
}

impl std::error::Error for TraceError {}

impl Trace {
    /// Reads a trace from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or with the first invalid line.
    pub fn read(path: &Path) -> Result<Self, TraceError> {
        let bytes = fs::read(path).map_err(TraceError::Io)?;
        Self::parse(&bytes)
    }

    /// Parses a trace.
    ///
    /// # Errors
    ///
    /// Fails with the first invalid line.
    pub fn parse(bytes: &[u8]) -> Result<Self, TraceError> {
        let terminated = bytes.last() == Some(&b'\n');
        let numbered: Vec<(usize, &[u8])> = bytes
            .split(|byte| *byte == b'\n')
            .enumerate()
            .map(|(index, line)| (index + 1, line))
            .filter(|(_, line)| !line.is_empty())
            .collect();
        let Some(((number, first), rest)) = numbered.split_first() else {
            return Err(TraceError::Empty);
        };
        let header = parse_header(*number, first, terminated || !rest.is_empty())?;
        let mut lines = Vec::new();
        for (index, (number, line)) in rest.iter().enumerate() {
            let truncated = index + 1 == rest.len() && !terminated;
            match serde_json::from_slice(line) {
                Ok(line) => lines.push((*number, line)),
                Err(_) if truncated => return Err(TraceError::TruncatedLine { line: *number }),
                Err(error) => {
                    return Err(TraceError::InvalidLine {
                        line: *number,
                        reason: error.to_string(),
                    });
                }
            }
        }
        Ok(Self { header, lines })
    }
}

fn parse_header(number: usize, line: &[u8], complete: bool) -> Result<Header, TraceError> {
    let invalid = |reason: String| match complete {
        true => TraceError::InvalidLine {
            line: number,
            reason,
        },
        false => TraceError::TruncatedLine { line: number },
    };
    let value: Value = serde_json::from_slice(line).map_err(|error| invalid(error.to_string()))?;
    let version = value.get("hickoryledge_trace").and_then(Value::as_u64);
    match version {
        Some(version) if version != u64::from(FORMAT_VERSION) => {
            return Err(TraceError::UnsupportedVersion(version));
        }
        Some(_) => {}
        None => {
            return Err(invalid(
                "not a trace: the header has no `hickoryledge_trace` version".to_owned(),
            ));
        }
    }
    serde_json::from_value(value).map_err(|error| invalid(error.to_string()))
}
