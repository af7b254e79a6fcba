//! Splits a stream's bytes into whole events.

use bytes::{Bytes, BytesMut};

/// The longest event taken, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// One whole event, as the runner wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes, with the empty line that ends it.
    pub bytes: Bytes,
}

/// Bytes that are not yet a whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    /// How far `held` was searched.
    searched: usize,
}

impl EventSplitter {
    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.held.split_to(end).freeze();
        self.searched = 0;
        Some(Event {
            id: id(&bytes),
            bytes,
        })
    }

    /// Whether bytes of an unfinished event are held.
    pub fn is_partial(&self) -> bool {
        !self.held.is_empty()
    }

    /// Whether an event is longer than any that is taken.
    pub fn is_overlong(&self) -> bool {
        self.held.len() > MAX_EVENT
    }

    /// The position after the next empty line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        for at in from..self.held.len() {
            let rest = &self.held[at..];
            for end in [b"\n\n".as_slice(), b"\r\n\r\n"] {
                if rest.starts_with(end) {
                    return Some(at + end.len());
                }
            }
        }
        self.searched = self.held.len();
        None
    }
}

fn id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
