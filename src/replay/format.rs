//! The lines of a trace, and reading them.

use std::{collections::BTreeMap, fmt, fs, io, path::Path};

use serde_json::Value;

use crate::core::{
    ctx::Identity,
    options::{Mechanism, Options},
    time::Time,
};

/// The version of the format that this program writes and reads.
pub const VERSION: u32 = 1;

crate::record! {
    /// The first line of a trace.
    #[serde(deny_unknown_fields)]
    pub struct Header {
        /// The format's version.
        pub hickoryledge_trace: u32,
        /// What the trace shows, in a few words.
        pub title: String,
        /// The invariant it speaks for.
        #[serde(default)]
        pub invariant: String,
        /// Why it is kept.
        #[serde(default)]
        pub reason: String,
        /// The faults it holds.
        #[serde(default)]
        pub faults: Vec<String>,
        /// The mechanism without which it must fail.
        #[serde(default)]
        pub mechanism: Option<Mechanism>,
        /// Whether due timers are delivered between lines; recordings hold their own.
        #[serde(default)]
        pub auto_timers: bool,
        /// The daemons, in the order that lines count them.
        pub daemons: Vec<DaemonHeader>,
    }

    /// One daemon of a trace.
    #[serde(deny_unknown_fields)]
    pub struct DaemonHeader {
        /// Who it is.
        pub identity: Identity,
        /// Its source of chance.
        #[serde(default)]
        pub seed: u64,
        /// Its tunables.
        #[serde(default)]
        pub options: Options,
    }

    /// One line after the header.
    #[serde(deny_unknown_fields)]
    pub enum Line {
        /// An event for a daemon.
        Input {
            /// When.
            at: Time,
            /// Which daemon.
            #[serde(default)]
            daemon: usize,
            /// The event; `"$name"` stands for a bound value.
            event: Value,
        },
        /// The input before gave an output that matches.
        Expect(Outcome),
        /// The input before gave no output that matches.
        Reject(Outcome),
        /// From here to the end no output matches.
        Never(Outcome),
        /// So far, this many outputs have matched.
        Count {
            /// The pattern.
            output: Value,
            /// How many.
            is: usize,
        },
    }

    /// A pattern for outputs, and what to keep of the match.
    #[serde(deny_unknown_fields)]
    pub struct Outcome {
        /// The part of the output that must be there.
        pub output: Value,
        /// Names for values of the match, by JSON pointer.
        #[serde(default)]
        pub bind: BTreeMap<String, String>,
    }
}

/// A trace, read whole.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Its header.
    pub header: Header,
    /// Its lines, with their numbers in the file.
    pub lines: Vec<(usize, Line)>,
}

/// Why a trace can't be read.
#[derive(Debug)]
pub enum Fault {
    /// The file can't be read.
    Unreadable(io::Error),
    /// The file holds nothing.
    Empty,
    /// The format's version is not known.
    Version(u64),
    /// A line is not what it should be.
    Garbled {
        /// The line's number, from 1.
        line: usize,
        /// What is wrong.
        reason: String,
    },
    /// The last line was not written whole.
    Torn {
        /// The line's number, from 1.
        line: usize,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Unreadable(error) => write!(f, "can't be read: {error}"),
            Fault::Empty => f.write_str("the trace is empty"),
            Fault::Version(version) => {
                write!(
                    f,
                    "format version {version} is not known; this program reads {VERSION}"
                )
            }
            Fault::Garbled { line, reason } => write!(f, "line {line}: {reason}"),
            Fault::Torn { line } => write!(f, "line {line}: the last line was not written whole"),
        }
    }
}

impl std::error::Error for Fault {}

impl Trace {
    /// Reads a trace from a file.
    ///
    /// # Errors
    ///
    /// Fails with the first line that is not what it should be.
    pub fn read(path: &Path) -> Result<Self, Fault> {
        let bytes = fs::read(path).map_err(Fault::Unreadable)?;
        Self::parse(&bytes)
    }

    /// Reads a trace from its bytes.
    ///
    /// # Errors
    ///
    /// Fails with the first line that is not what it should be.
    pub fn parse(bytes: &[u8]) -> Result<Self, Fault> {
        let whole = bytes.last() == Some(&b'\n');
        let numbered: Vec<(usize, &[u8])> = bytes
            .split(|byte| *byte == b'\n')
            .enumerate()
            .map(|(index, line)| (index + 1, line))
            .filter(|(_, line)| !line.is_empty())
            .collect();
        let Some(((number, first), rest)) = numbered.split_first() else {
            return Err(Fault::Empty);
        };
        let header = parse_header(*number, first, whole || !rest.is_empty())?;
        let mut lines = Vec::new();
        for (index, (number, line)) in rest.iter().enumerate() {
            let torn = index + 1 == rest.len() && !whole;
            match serde_json::from_slice(line) {
                Ok(line) => lines.push((*number, line)),
                Err(_) if torn => return Err(Fault::Torn { line: *number }),
                Err(error) => {
                    return Err(Fault::Garbled {
                        line: *number,
                        reason: error.to_string(),
                    });
                }
            }
        }
        Ok(Self { header, lines })
    }
}

fn parse_header(number: usize, line: &[u8], whole: bool) -> Result<Header, Fault> {
    let garbled = |reason: String| match whole {
        true => Fault::Garbled {
            line: number,
            reason,
        },
        false => Fault::Torn { line: number },
    };
    let value: Value = serde_json::from_slice(line).map_err(|error| garbled(error.to_string()))?;
    let version = value.get("hickoryledge_trace").and_then(Value::as_u64);
    match version {
        Some(version) if version != u64::from(VERSION) => return Err(Fault::Version(version)),
        Some(_) => {}
        None => {
            return Err(garbled(
                "this is not a trace: no version in its header".to_owned(),
            ));
        }
    }
    serde_json::from_value(value).map_err(|error| garbled(error.to_string()))
}
