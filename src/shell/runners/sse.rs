//! Splits a completion's stream into its events.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// The longest event taken, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// What ends a stream.
const DONE: &[u8] = b"[DONE]";

/// One event of a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Part of the answer.
    Part {
        /// The position of its first token in the whole answer.
        offset: u32,
        /// How many tokens it holds.
        tokens: u32,
        /// The event as it came.
        bytes: Bytes,
    },
    /// The answer is whole.
    Done,
    /// Nothing of the answer: a comment.
    Empty,
}

/// The stream is not what was agreed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

#[derive(Deserialize)]
struct Position {
    offset: u32,
    tokens: u32,
}

/// Bytes not yet made into events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    buffer: BytesMut,
    /// Bytes known to hold no end of an event.
    searched: usize,
}

impl EventDecoder {
    /// Adds what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long or can't be read.
    pub fn next_event(&mut self) -> Result<Option<Event>, Malformed> {
        let rest = &self.buffer[self.searched..];
        let Some(end) = rest.windows(2).position(|pair| pair == b"\n\n") else {
            self.searched = self.buffer.len().saturating_sub(1);
            let is_long = self.buffer.len() > MAX_EVENT;
            return if is_long { Err(Malformed) } else { Ok(None) };
        };
        let bytes = self.buffer.split_to(self.searched + end + 2).freeze();
        self.searched = 0;
        read(bytes).map(Some)
    }
}

fn read(bytes: Bytes) -> Result<Event, Malformed> {
    let data = bytes
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"data:"));
    let Some(data) = data.map(<[u8]>::trim_ascii) else {
        return Ok(Event::Empty);
    };
    if data == DONE {
        return Ok(Event::Done);
    }
    let Position { offset, tokens } = serde_json::from_slice(data).map_err(|_| Malformed)?;
    Ok(Event::Part {
        offset,
        tokens,
        bytes,
    })
}
