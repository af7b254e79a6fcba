//! Records a daemon's inputs as a trace of bounded size.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
};

use super::format::{DaemonHeader, FORMAT_VERSION, Header, Line};
use crate::core::{input::Input, time::Time};

/// Size of a recording after which no further inputs are written.
const MAX_RECORDING_BYTES: u64 = 128 << 20;

/// Writes inputs to a trace file until it has reached its maximum size.
#[derive(Debug)]
pub struct Recorder {
    file: BufWriter<File>,
    bytes_written: u64,
}

impl Recorder {
    /// Creates a recording of one daemon and writes its header. Callers' keys are recorded only as
    /// hashes, and request bodies not at all.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn create(path: &Path, daemon: DaemonHeader) -> io::Result<Self> {
        let header = Header {
            hickoryledge_trace: FORMAT_VERSION,
            title: format!("recording of {}", daemon.identity.name),
            invariant: String::new(),
            reason: String::new(),
            faults: Vec::new(),
            mechanism: None,
            auto_timers: false,
            daemons: vec![daemon],
        };
        let file = BufWriter::new(File::create(path)?);
        let mut recorder = Self {
            file,
            bytes_written: 0,
        };
        recorder.write(&header)?;
        Ok(recorder)
    }

    /// Writes one input; does nothing once the recording has reached its maximum size.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn record_input(&mut self, at: Time, input: &Input) -> io::Result<()> {
        if self.bytes_written >= MAX_RECORDING_BYTES {
            return Ok(());
        }
        let event = serde_json::to_value(input)?;
        self.write(&Line::Input {
            at,
            daemon: 0,
            event,
        })
    }

    /// Flushes buffered lines to the file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }

    /// Writes one line as JSON.
    fn write<T>(&mut self, line: &T) -> io::Result<()>
    where
        T: serde::Serialize,
    {
        let mut bytes = serde_json::to_vec(line)?;
        bytes.push(b'\n');
        self.bytes_written += bytes.len() as u64;
        self.file.write_all(&bytes)
    }
}
