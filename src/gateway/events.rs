//! Splits the bytes of an event stream into whole events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Maximum size of the comments between two events.
const MAX_COMMENT_BYTES: usize = 64 << 10;

/// Whole event as the runner wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
    /// Raw bytes, including the empty line at the end.
    pub bytes: Bytes,
}

/// Buffer that collects bytes until they form whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the part of `buffer` that was already searched.
    searched: usize,
    /// Size of the comments since the last event.
    comments: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        self.comments = match is_comment(&bytes) {
            true => self.comments + bytes.len(),
            false => 0,
        };
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Returns true if bytes of an unfinished event are buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the number of buffered bytes.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns true if the buffered bytes exceed the maximum size of an event, or the comments
    /// since the last event exceed theirs.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES || self.comments > MAX_COMMENT_BYTES
    }

    /// Returns the position after the next empty line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        for at in from..self.buffer.len() {
            let rest = &self.buffer[at..];
            for end in [b"\n\n".as_slice(), b"\r\n\r\n"] {
                if rest.starts_with(end) {
                    return Some(at + end.len());
                }
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Returns true if a block of lines has no field.
fn is_comment(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line.first(), None | Some(b':' | b'\r')))
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
