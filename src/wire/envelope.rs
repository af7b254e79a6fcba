//! The authenticated envelope of all messages between daemons.
//!
//! A frame is a version byte, a header, a body and a tag. The tag is a keyed hash
//! over the rest of the frame and over a context that is not sent, which binds
//! the frame to its destination address or to one exchange. Header and body are
//! encoded with `postcard`. Each sender numbers its frames, and a receiver
//! accepts each number once.

use crate::core::keys::{DaemonName, Incarnation};
use serde::{Serialize, de::DeserializeOwned};
use std::{cell::Cell, collections::HashMap, fmt, net::SocketAddr};

/// Version of the protocol; frames of other versions are dropped.
pub const VERSION: u8 = 1;

/// Length of a tag, in bytes.
pub const TAG_BYTES: usize = 16;

/// Sequence numbers below the newest one that are still tracked; older frames are dropped.
const REPLAY_WINDOW_BITS: u64 = 1024;

/// Senders whose sequence numbers are tracked.
const MAX_SENDERS: usize = 8192;

/// Authentication tag of a frame.
pub type Tag = [u8; TAG_BYTES];

crate::key! {
    /// Kind of a frame; a receiver checks the sequence numbers of each kind separately.
    pub enum Channel {
        /// A message in a single datagram.
        #[default]
        Datagram,
        /// A message on a stream connection.
        Stream,
        /// Opening frame of a relayed call.
        Relay,
        /// An answer within one exchange, numbered from zero.
        Answer,
    }
}

crate::record! {
    /// Header of a frame.
    pub struct Header {
        /// Name of the sender.
        pub from: DaemonName,
        /// Incarnation of the sender.
        pub incarnation: Incarnation,
        /// Kind of the frame.
        pub channel: Channel,
        /// Sequence number.
        pub sequence: u64,
    }
}

/// Reason why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The frame has another version of the protocol.
    Version,
    /// The tag doesn't match the key and the context.
    Forged,
    /// The frame can't be decoded.
    Malformed,
    /// The frame was received before, or is too old to tell.
    Replayed,
    /// The frame is from an incarnation that a later one has replaced.
    OldRun,
}

impl FrameError {
    /// Returns the label for metrics.
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

/// Returns the context of a frame that opens an exchange: its destination address.
pub fn address_context(to: SocketAddr) -> Vec<u8> {
    to.to_string().into_bytes()
}

/// Returns the tag at the end of a frame; `None` if the frame is too short.
pub fn frame_tag(frame: &[u8]) -> Option<Tag> {
    frame.last_chunk().copied()
}

/// Builds the frames of one incarnation of a daemon.
#[derive(Debug)]
pub struct Sealer {
    key: [u8; 32],
    from: DaemonName,
    incarnation: Incarnation,
    last_sequence: Cell<u64>,
}

impl Sealer {
    /// Creates a sealer that numbers frames from one.
    pub fn new(key: [u8; 32], from: DaemonName, incarnation: Incarnation) -> Self {
        Self {
            key,
            from,
            incarnation,
            last_sequence: Cell::new(0),
        }
    }

    /// Builds a frame with the next sequence number.
    pub fn seal<T>(&self, channel: Channel, context: &[u8], body: &T) -> Vec<u8>
    where
        T: Serialize,
    {
        let sequence = self.last_sequence.get() + 1;
        self.last_sequence.set(sequence);
        self.seal_with_sequence(channel, sequence, context, body)
    }

    /// Builds a frame with the given sequence number.
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
        let mut frame = frame.expect("a message should serialize with postcard");
        let tag = compute_tag(&self.key, &frame, context);
        frame.extend_from_slice(&tag);
        frame
    }
}

/// A frame with a valid tag, its body still encoded.
#[derive(Debug)]
pub struct VerifiedFrame<'a> {
    /// Header of the frame.
    pub header: Header,
    /// Tag of the frame, which is the context of its answers.
    pub tag: Tag,
    body: &'a [u8],
}

impl VerifiedFrame<'_> {
    /// Decodes the body.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Malformed`] if the body is not exactly one `T`.
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

/// Verifies received frames and rejects replayed ones.
#[derive(Debug)]
pub struct Opener {
    key: [u8; 32],
    senders: HashMap<DaemonName, SenderState>,
}

impl Opener {
    /// Creates an opener that has received no frames.
    pub fn new(key: [u8; 32]) -> Self {
        Self {
            key,
            senders: HashMap::new(),
        }
    }

    /// Verifies a frame and records its sequence number.
    ///
    /// # Errors
    ///
    /// Returns the reason if the frame must be dropped.
    pub fn open<'a>(
        &mut self,
        context: &[u8],
        frame: &'a [u8],
    ) -> Result<VerifiedFrame<'a>, FrameError> {
        let verified = verify(&self.key, context, frame)?;
        self.check_replay(&verified.header)?;
        Ok(verified)
    }

    /// Verifies an answer frame, which must have the expected sequence number.
    ///
    /// # Errors
    ///
    /// Returns the reason if the frame must be dropped.
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

    fn check_replay(&mut self, header: &Header) -> Result<(), FrameError> {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&header.from) {
            return Err(FrameError::OldRun);
        }
        let sender = self.senders.entry(header.from.clone()).or_default();
        if header.incarnation < sender.incarnation {
            return Err(FrameError::OldRun);
        }
        if header.incarnation > sender.incarnation {
            *sender = SenderState {
                incarnation: header.incarnation,
                ..SenderState::default()
            };
        }
        let window = match header.channel {
            Channel::Datagram => &mut sender.datagrams,
            Channel::Stream => &mut sender.streams,
            Channel::Relay => &mut sender.relays,
            Channel::Answer => return Err(FrameError::Replayed),
        };
        if window.insert(header.sequence) {
            Ok(())
        } else {
            Err(FrameError::Replayed)
        }
    }
}

/// Sequence numbers received from one sender.
#[derive(Debug, Default)]
struct SenderState {
    incarnation: Incarnation,
    datagrams: ReplayWindow,
    streams: ReplayWindow,
    relays: ReplayWindow,
}

/// Sliding window over the last [`REPLAY_WINDOW_BITS`] sequence numbers, one bit for each.
#[derive(Debug, Default)]
struct ReplayWindow {
    newest: u64,
    seen: [u64; (REPLAY_WINDOW_BITS / 64) as usize],
}

impl ReplayWindow {
    /// Records a sequence number; returns false if it was seen before or is too old to tell.
    fn insert(&mut self, sequence: u64) -> bool {
        if sequence == 0 || sequence.saturating_add(REPLAY_WINDOW_BITS) <= self.newest {
            return false;
        }
        if sequence > self.newest {
            self.clear_between(sequence);
            self.newest = sequence;
        }
        let (word, bit) = bit_position(sequence);
        let was_seen = self.seen[word] & bit != 0;
        self.seen[word] |= bit;
        !was_seen
    }

    fn clear_between(&mut self, sequence: u64) {
        if sequence - self.newest >= REPLAY_WINDOW_BITS {
            self.seen = Default::default();
            return;
        }
        for number in self.newest + 1..=sequence {
            let (word, bit) = bit_position(number);
            self.seen[word] &= !bit;
        }
    }
}

/// Returns the word and the bit of a sequence number in the window.
fn bit_position(sequence: u64) -> (usize, u64) {
    let slot = sequence % REPLAY_WINDOW_BITS;
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
    if !constant_time_eq(&compute_tag(key, signed, context), tag) {
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

fn compute_tag(key: &[u8; 32], signed: &[u8], context: &[u8]) -> Tag {
    let hash = blake3::Hasher::new_keyed(key)
        .update(&(signed.len() as u64).to_le_bytes())
        .update(signed)
        .update(context)
        .finalize();
    let (tag, _) = hash
        .as_bytes()
        .split_first_chunk()
        .expect("a hash should be longer than a tag");
    *tag
}

/// Compares two tags in constant time.
fn constant_time_eq(a: &Tag, b: &Tag) -> bool {
    let difference = a.iter().zip(b).fold(0, |sum, (a, b)| sum | (a ^ b));
    difference == 0
}
