//! Envelope of the messages between daemons: accepted frames, rejected ones, and the reasons.

use hickoryledge::{
    core::keys::Incarnation,
    wire::envelope::{Channel, FrameError, Opener, Sealer, TAG_BYTES, VERSION},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const KEY: [u8; 32] = [7; 32];
const TO: &[u8] = b"127.0.0.1:1";

fn sealer(incarnation: u64) -> Sealer {
    Sealer::new(KEY, "a".into(), Incarnation(incarnation))
}

/// Opens and decodes a frame.
fn open(opener: &mut Opener, frame: &[u8]) -> Result<u32, FrameError> {
    opener.open(TO, frame)?.decode()
}

#[test]
fn accepts_authentic_frame_once() {
    let sealer = sealer(1);
    let mut opener = Opener::new(KEY);
    let frame = sealer.seal(Channel::Datagram, TO, &41u32);
    assert_eq!(
        Opener::new([8; 32]).open(TO, &frame).err(),
        Some(FrameError::Forged)
    );
    assert_eq!(
        opener.open(b"127.0.0.1:2", &frame).err(),
        Some(FrameError::Forged)
    );
    assert_eq!(open(&mut opener, &frame), Ok(41));
    assert_eq!(open(&mut opener, &frame), Err(FrameError::Replayed));
    let mut foreign = sealer.seal(Channel::Datagram, TO, &41u32);
    foreign[0] = VERSION + 1;
    assert_eq!(open(&mut opener, &foreign), Err(FrameError::Version));
    let longer = sealer.seal(Channel::Datagram, TO, &(41u32, 42u32));
    assert_eq!(open(&mut opener, &longer), Err(FrameError::Malformed));
}

#[test]
fn accepts_reordered_frames_within_window() {
    let sealer = sealer(1);
    let mut opener = Opener::new(KEY);
    let frames: Vec<_> = (0..3_000u32)
        .map(|n| sealer.seal(Channel::Datagram, TO, &n))
        .collect();
    for order in [[5, 3, 4], [1_000, 900, 1_001]] {
        for n in order {
            assert_eq!(open(&mut opener, &frames[n]), Ok(n as u32));
        }
        for n in order {
            assert_eq!(open(&mut opener, &frames[n]), Err(FrameError::Replayed));
        }
    }
    assert_eq!(open(&mut opener, &frames[2_999]), Ok(2_999));
    assert_eq!(open(&mut opener, &frames[6]), Err(FrameError::Replayed));
    assert_eq!(open(&mut opener, &frames[2_998]), Ok(2_998));
}

#[test]
fn new_incarnation_invalidates_old_one() {
    let mut opener = Opener::new(KEY);
    let old = sealer(1);
    let frame = old.seal(Channel::Stream, TO, &1u32);
    assert_eq!(open(&mut opener, &frame), Ok(1));
    let frame = sealer(2).seal(Channel::Stream, TO, &2u32);
    assert_eq!(open(&mut opener, &frame), Ok(2));
    let frame = old.seal(Channel::Stream, TO, &3u32);
    assert_eq!(open(&mut opener, &frame), Err(FrameError::OldRun));
}

#[test]
fn answer_is_bound_to_exchange_and_sequence() {
    let sealer = sealer(1);
    let opener = Opener::new(KEY);
    let answer = sealer.seal_with_sequence(Channel::Answer, 3, b"exchange", &9u32);
    let reject = |context: &[u8], n| opener.open_answer(context, n, &answer).map(|_| ()).err();
    assert_eq!(reject(b"exchange", 3), None);
    assert_eq!(reject(b"exchange", 4), Some(FrameError::Replayed));
    assert_eq!(reject(b"another", 3), Some(FrameError::Forged));
}

fn runner(seed: u8) -> TestRunner {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Altered, truncated and random bytes are rejected without a panic.
#[test]
fn rejects_damaged_frames() {
    let mut runner = runner(3);
    let frame = sealer(1).seal(Channel::Datagram, TO, &"a body of some length");
    let length = frame.len();
    let damage = (0..length, 1..=255u8, 0..=length, any::<Vec<u8>>());
    runner
        .run(&damage, |(at, flip, cut, noise)| {
            let mut opener = Opener::new(KEY);
            let mut changed = frame.clone();
            changed[at] ^= flip;
            prop_assert!(opener.open(TO, &changed).is_err());
            if cut < length {
                prop_assert!(opener.open(TO, &frame[..cut]).is_err());
            }
            prop_assert!(opener.open(TO, &noise).is_err());
            Ok(())
        })
        .expect("every damaged frame is rejected");
    assert!(length > TAG_BYTES);
}

/// Bodies of random bytes in authentic frames decode to an error or a message, never a panic.
#[test]
fn decoding_noise_never_panics() {
    let mut runner = runner(4);
    let sealer = sealer(1);
    runner
        .run(&proptest::collection::vec(any::<u8>(), 0..64), |noise| {
            let mut opener = Opener::new(KEY);
            let raw: Vec<Raw> = noise.into_iter().map(Raw).collect();
            let raw: &[Raw] = &raw;
            let frame = sealer.seal(Channel::Datagram, TO, &Tuple(raw));
            let verified = opener.open(TO, &frame).expect("the frame is authentic");
            let _ = verified.decode::<hickoryledge::core::message::Message>();
            Ok(())
        })
        .expect("no panic");
}

/// Byte that is serialized as it is.
#[derive(Clone, Copy)]
struct Raw(u8);

/// Bytes that are serialized without a length prefix.
struct Tuple<'a>(&'a [Raw]);

impl serde::Serialize for Tuple<'_> {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeTuple as _;
        let mut tuple = serializer.serialize_tuple(self.0.len())?;
        for Raw(byte) in self.0 {
            tuple.serialize_element(byte)?;
        }
        tuple.end()
    }
}
