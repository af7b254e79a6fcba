//! Bytes that are no response and come without end, until the daemon closes the connection.

use std::{
    io::Write as _,
    net::TcpStream,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

/// Bytes that are written at once.
const BLOCK_BYTES: usize = 64 << 10;

/// Time after which a writer gives up; far more than any timeout of the daemon.
const MAX_TIME: Duration = Duration::from_secs(60);

/// Bytes without end: a start, and then units that are numbered from one.
#[derive(Clone, Copy, Debug)]
pub struct Endless {
    /// Name of the case, for failure messages.
    pub name: &'static str,
    /// Text before the first unit; `{own}` stands for the headers of the runner's responses.
    pub start: &'static str,
    /// Returns the text of a unit.
    pub unit: fn(u64) -> String,
    /// Bytes that are written before each pause; at least one unit.
    pub block: usize,
    /// Pause between two blocks.
    pub pause: Duration,
}

impl Endless {
    /// Returns bytes that come as fast as they are read.
    pub const fn new(name: &'static str, start: &'static str, unit: fn(u64) -> String) -> Self {
        Self {
            name,
            start,
            unit,
            block: BLOCK_BYTES,
            pause: Duration::ZERO,
        }
    }

    /// Returns the same bytes, one block in each `pause`.
    pub const fn paced(self, pause: Duration) -> Self {
        Self { pause, ..self }
    }

    /// Returns the same bytes, one unit in each `pause`.
    pub const fn dripping(self, pause: Duration) -> Self {
        Self {
            block: 1,
            pause,
            ..self
        }
    }

    /// Writes until the peer closes the connection; returns false if it never does.
    pub fn write(&self, stream: &mut TcpStream, own_headers: &str, first: u64) -> bool {
        let deadline = Instant::now() + MAX_TIME;
        let start = self.start.replace("{own}", own_headers);
        if stream.write_all(start.as_bytes()).is_err() {
            return true;
        }
        let mut next = first;
        while Instant::now() < deadline {
            let mut block = String::new();
            while block.len() < self.block {
                block.push_str(&(self.unit)(next));
                next += 1;
            }
            if stream.write_all(block.as_bytes()).is_err() {
                return true;
            }
            thread::sleep(self.pause);
        }
        false
    }
}

/// Number of troubles that were met, and of those whose connection was closed.
#[derive(Debug, Default)]
pub struct TroubleCount {
    started: AtomicUsize,
    closed: AtomicUsize,
}

impl TroubleCount {
    /// Writes a trouble and counts it.
    pub fn write(&self, trouble: Endless, stream: &mut TcpStream, own_headers: &str, first: u64) {
        self.started.fetch_add(1, Ordering::SeqCst);
        if trouble.write(stream, own_headers, first) {
            self.closed.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Returns the number of troubles so far.
    pub fn started(&self) -> usize {
        self.started.load(Ordering::SeqCst)
    }

    /// Returns the number of troubles whose connection is still open.
    pub fn open(&self) -> usize {
        self.started() - self.closed.load(Ordering::SeqCst)
    }
}

/// Returns one chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns a kilobyte without a line break.
pub fn kilobyte() -> String {
    "x".repeat(1 << 10)
}
