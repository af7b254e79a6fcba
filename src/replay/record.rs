//! Recording a daemon's inputs as a trace, bounded in size.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
};

use super::format::{DaemonHeader, Header, Line, VERSION};
use crate::core::{input::Input, time::Time};

/// The most bytes written to one recording.
const MAX_RECORDING_BYTES: u64 = 128 << 20;

/// Writes inputs to a file until it is full.
#[derive(Debug)]
pub struct Recorder {
    file: BufWriter<File>,
    written: u64,
}

impl Recorder {
    /// Begins a recording of one daemon. Callers' keys are there as hashes
    /// only, and request bodies not at all.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn create(path: &Path, daemon: DaemonHeader) -> io::Result<Self> {
        let header = Header {
            hickoryledge_trace: VERSION,
            title: format!("recording of {}", daemon.identity.name),
            invariant: String::new(),
            reason: String::new(),
            faults: Vec::new(),
            mechanism: None,
            auto_timers: false,
            daemons: vec![daemon],
        };
        let file = BufWriter::new(File::create(path)?);
        let mut recorder = Self { file, written: 0 };
        recorder.write(&header)?;
        Ok(recorder)
    }

    /// Writes one input; does nothing once the recording is full.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn record_input(&mut self, at: Time, input: &Input) -> io::Result<()> {
        if self.written >= MAX_RECORDING_BYTES {
            return Ok(());
        }
        let event = serde_json::to_value(input)?;
        self.write(&Line::Input {
            at,
            daemon: 0,
            event,
        })
    }

    /// Brings what was written to the file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }

    fn write<T>(&mut self, line: &T) -> io::Result<()>
    where
        T: serde::Serialize,
    {
        let mut bytes = serde_json::to_vec(line)?;
        bytes.push(b'\n');
        self.written += bytes.len() as u64;
        self.file.write_all(&bytes)
    }
}
