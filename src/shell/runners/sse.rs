//! Decodes the server-sent events of a completion.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Bytes of the longest event that is accepted.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Data of the event that ends a complete stream.
const DONE: &[u8] = b"[DONE]";

/// One event of a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Part of the completion.
    Part {
        /// Position of its first token in the whole completion.
        offset: u32,
        /// Number of tokens.
        tokens: u32,
        /// Bytes of the event, unchanged.
        bytes: Bytes,
    },
    /// The completion is complete.
    Done,
    /// An event without data, such as a comment.
    Empty,
}

/// Error of an event that is too long or has no valid data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedEvent;

#[derive(Deserialize)]
struct Position {
    offset: u32,
    tokens: u32,
}

/// Decoder that buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
    /// Length of the prefix that is known to contain no end of an event.
    scanned: usize,
}

impl EventDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of buffered bytes.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long or can't be parsed.
    pub fn next_event(&mut self) -> Result<Option<Event>, MalformedEvent> {
        let rest = &self.buffer[self.scanned..];
        let Some(end) = rest.windows(2).position(|pair| pair == b"\n\n") else {
            self.scanned = self.buffer.len().saturating_sub(1);
            let is_too_long = self.buffer.len() > MAX_EVENT_BYTES;
            return if is_too_long {
                Err(MalformedEvent)
            } else {
                Ok(None)
            };
        };
        let bytes = self.buffer.split_to(self.scanned + end + 2).freeze();
        self.scanned = 0;
        parse(bytes).map(Some)
    }
}

fn parse(bytes: Bytes) -> Result<Event, MalformedEvent> {
    let data = bytes
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"));
    let Some(data) = data.map(<[u8]>::trim_ascii) else {
        return Ok(Event::Empty);
    };
    if data == DONE {
        return Ok(Event::Done);
    }
    let Position { offset, tokens } = serde_json::from_slice(data).map_err(|_| MalformedEvent)?;
    Ok(Event::Part {
        offset,
        tokens,
        bytes,
    })
}
