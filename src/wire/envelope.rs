//! The authenticated envelope around everything that daemons send each other.
//!
//! A frame is a version byte, a header, a body and a tag: a keyed hash over the
//! rest and over a context that is not sent, which binds a frame to the address
//! or the exchange that it was made for. Header and body are `postcard`. Each
//! sender numbers its frames; a receiver takes each number once.

use crate::core::keys::{DaemonName, Incarnation};
use serde::{Serialize, de::DeserializeOwned};
use std::{cell::Cell, collections::HashMap, fmt, net::SocketAddr};

/// The protocol's version; frames of others are dropped.
pub const VERSION: u8 = 1;

/// Length of a tag, in bytes.
pub const TAG_BYTES: usize = 16;

/// How far behind the newest number a frame may arrive, in frames.
const WINDOW_BITS: u64 = 1024;

/// The most senders remembered.
const MAX_SENDERS: usize = 8192;

/// Proves who made a frame, and for what.
pub type Tag = [u8; TAG_BYTES];

crate::key! {
    /// Frames that are numbered together.
    pub enum Channel {
        /// One datagram each.
        #[default]
        Datagram,
        /// Messages over a kept connection.
        Stream,
        /// The opening of a relayed call.
        Relay,
        /// Answers within one exchange, numbered from zero.
        Answer,
    }
}

crate::record! {
    /// Who sent a frame.
    pub struct Header {
        /// The sender.
        pub from: DaemonName,
        /// The sender's run.
        pub incarnation: Incarnation,
        /// What the number counts.
        pub channel: Channel,
        /// The frame's number.
        pub sequence: u64,
    }
}

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Another version of the protocol.
    Version,
    /// The tag is not right for this key and context.
    Forged,
    /// It can't be decoded.
    Malformed,
    /// It came before, or is too old to tell.
    Replayed,
    /// It is from a run that a later one has replaced.
    OldRun,
}

impl FrameError {
    /// A word for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FrameError::Version => "version",
            FrameError::Forged => "forged",
            FrameError::Malformed => "malformed",
            FrameError::Replayed => "replayed",
            FrameError::OldRun => "old_run",
        }
    }
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for FrameError {}

/// The context of a frame that opens an exchange: the address it is sent to.
pub fn address_context(to: SocketAddr) -> Vec<u8> {
    to.to_string().into_bytes()
}

/// The tag at a frame's end; nothing if it is too short.
pub fn frame_tag(frame: &[u8]) -> Option<Tag> {
    frame.last_chunk().copied()
}

/// Makes frames of one daemon run.
#[derive(Debug)]
pub struct Sealer {
    key: [u8; 32],
    from: DaemonName,
    incarnation: Incarnation,
    last: Cell<u64>,
}

impl Sealer {
    /// Numbers frames from one.
    pub fn new(key: [u8; 32], from: DaemonName, incarnation: Incarnation) -> Self {
        Self {
            key,
            from,
            incarnation,
            last: Cell::new(0),
        }
    }

    /// A frame with the next number.
    pub fn seal<T>(&self, channel: Channel, context: &[u8], body: &T) -> Vec<u8>
    where
        T: Serialize,
    {
        let sequence = self.last.get() + 1;
        self.last.set(sequence);
        self.seal_with_sequence(channel, sequence, context, body)
    }

    /// A frame with a number of the caller's.
    pub fn seal_with_sequence<T>(
        &self,
        channel: Channel,
        sequence: u64,
        context: &[u8],
        body: &T,
    ) -> Vec<u8>
    where
        T: Serialize,
    {
        let header = Header {
            from: self.from.clone(),
            incarnation: self.incarnation,
            channel,
            sequence,
        };
        let frame = postcard::to_extend(&(header, body), vec![VERSION]);
        let mut frame = frame.expect("every message has a length known ahead");
        let tag = sign(&self.key, &frame, context);
        frame.extend_from_slice(&tag);
        frame
    }
}

/// An authentic frame, its body still encoded.
#[derive(Debug)]
pub struct VerifiedFrame<'a> {
    /// Who sent it.
    pub header: Header,
    /// Its tag, the context of the answers to it.
    pub tag: Tag,
    body: &'a [u8],
}

impl VerifiedFrame<'_> {
    /// Decodes the body.
    ///
    /// # Errors
    ///
    /// [`FrameError::Malformed`] if it is not a `T`, or if something follows it.
    pub fn decode<T>(&self) -> Result<T, FrameError>
    where
        T: DeserializeOwned,
    {
        match postcard::take_from_bytes(self.body) {
            Ok((body, [])) => Ok(body),
            _ => Err(FrameError::Malformed),
        }
    }
}

/// Checks frames, and remembers which were taken.
#[derive(Debug)]
pub struct Opener {
    key: [u8; 32],
    senders: HashMap<DaemonName, Sender>,
}

impl Opener {
    /// Nothing taken yet.
    pub fn new(key: [u8; 32]) -> Self {
        Self {
            key,
            senders: HashMap::new(),
        }
    }

    /// Checks a frame, and takes its number.
    ///
    /// # Errors
    ///
    /// Says why the frame is to be dropped.
    pub fn open<'a>(
        &mut self,
        context: &[u8],
        frame: &'a [u8],
    ) -> Result<VerifiedFrame<'a>, FrameError> {
        let verified = verify(&self.key, context, frame)?;
        self.take(&verified.header)?;
        Ok(verified)
    }

    /// Checks an answer frame, whose number must be the one expected.
    ///
    /// # Errors
    ///
    /// Says why the frame is to be dropped.
    pub fn open_answer<'a>(
        &self,
        context: &[u8],
        expected: u64,
        frame: &'a [u8],
    ) -> Result<VerifiedFrame<'a>, FrameError> {
        let verified = verify(&self.key, context, frame)?;
        let Header {
            channel, sequence, ..
        } = verified.header;
        if channel != Channel::Answer || sequence != expected {
            return Err(FrameError::Replayed);
        }
        Ok(verified)
    }

    fn take(&mut self, header: &Header) -> Result<(), FrameError> {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&header.from) {
            return Err(FrameError::OldRun);
        }
        let sender = self.senders.entry(header.from.clone()).or_default();
        if header.incarnation < sender.incarnation {
            return Err(FrameError::OldRun);
        }
        if header.incarnation > sender.incarnation {
            *sender = Sender {
                incarnation: header.incarnation,
                ..Sender::default()
            };
        }
        let window = match header.channel {
            Channel::Datagram => &mut sender.datagrams,
            Channel::Stream => &mut sender.streams,
            Channel::Relay => &mut sender.relays,
            Channel::Answer => return Err(FrameError::Replayed),
        };
        if window.take(header.sequence) {
            Ok(())
        } else {
            Err(FrameError::Replayed)
        }
    }
}

#[derive(Debug, Default)]
struct Sender {
    incarnation: Incarnation,
    datagrams: Window,
    streams: Window,
    relays: Window,
}

/// The numbers taken, the last [`WINDOW_BITS`] of them exactly.
#[derive(Debug, Default)]
struct Window {
    newest: u64,
    taken: [u64; (WINDOW_BITS / 64) as usize],
}

impl Window {
    /// Takes a number; false if it was taken or is too old to tell.
    fn take(&mut self, sequence: u64) -> bool {
        if sequence == 0 || sequence.saturating_add(WINDOW_BITS) <= self.newest {
            return false;
        }
        if sequence > self.newest {
            self.clear_between(sequence);
            self.newest = sequence;
        }
        let (word, bit) = place(sequence);
        let was_taken = self.taken[word] & bit != 0;
        self.taken[word] |= bit;
        !was_taken
    }

    fn clear_between(&mut self, sequence: u64) {
        if sequence - self.newest >= WINDOW_BITS {
            self.taken = Default::default();
            return;
        }
        for number in self.newest + 1..=sequence {
            let (word, bit) = place(number);
            self.taken[word] &= !bit;
        }
    }
}

/// The word and bit that stand for a number.
fn place(sequence: u64) -> (usize, u64) {
    let slot = sequence % WINDOW_BITS;
    ((slot / 64) as usize, 1 << (slot % 64))
}

fn verify<'a>(
    key: &[u8; 32],
    context: &[u8],
    frame: &'a [u8],
) -> Result<VerifiedFrame<'a>, FrameError> {
    if frame.first() != Some(&VERSION) {
        return Err(FrameError::Version);
    }
    let (signed, tag) = frame
        .split_last_chunk::<TAG_BYTES>()
        .ok_or(FrameError::Malformed)?;
    if !same(&sign(key, signed, context), tag) {
        return Err(FrameError::Forged);
    }
    let encoded = signed.get(1..).ok_or(FrameError::Malformed)?;
    let (header, body) = postcard::take_from_bytes(encoded).map_err(|_| FrameError::Malformed)?;
    Ok(VerifiedFrame {
        header,
        tag: *tag,
        body,
    })
}

fn sign(key: &[u8; 32], signed: &[u8], context: &[u8]) -> Tag {
    let hash = blake3::Hasher::new_keyed(key)
        .update(&(signed.len() as u64).to_le_bytes())
        .update(signed)
        .update(context)
        .finalize();
    let (tag, _) = hash
        .as_bytes()
        .split_first_chunk()
        .expect("a hash is longer than a tag");
    *tag
}

/// Compares in constant time.
fn same(a: &Tag, b: &Tag) -> bool {
    let difference = a.iter().zip(b).fold(0, |sum, (a, b)| sum | (a ^ b));
    difference == 0
}
