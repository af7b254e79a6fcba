//! Garbled input: nothing panics, and nothing grows without bound.
//!
//! `FUZZ_CASES=100000 cargo test --release --test fuzz` runs for longer; the
//! seeds are the same on every run.

use std::{
    fs,
    path::{Path, PathBuf},
};

use hickoryledge::{
    replay::{Trace, replay, replay_corpus},
    settings,
    shell::runners::sse::{Event, Events},
};
use proptest::{
    collection::vec,
    prelude::{Strategy, any},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// Cases of each test, unless `FUZZ_CASES` says otherwise.
const CASES: u32 = 300;

/// Runs a property over values of fixed seeds.
fn check<S, F>(strategy: S, property: F)
where
    S: Strategy,
    F: Fn(S::Value),
{
    let cases = std::env::var("FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, |value| {
            property(value);
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{error}"));
}

/// One change of a text: where, how much goes, and what comes.
type Edit = (usize, usize, Vec<u8>);

fn edits() -> impl Strategy<Value = Vec<Edit>> {
    let piece = vec(any::<u8>(), 0..8);
    vec((any::<usize>(), 0..12_usize, piece), 1..6)
}

fn garble(text: &[u8], edits: &[Edit]) -> Vec<u8> {
    let mut text = text.to_vec();
    for (at, length, piece) in edits {
        let begin = at % (text.len() + 1);
        let end = (begin + length).min(text.len());
        text.splice(begin..end, piece.iter().copied());
    }
    text
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn traces() -> Vec<PathBuf> {
    let rows = replay_corpus(&[root().join("tests/traces")]).expect("corpus is read");
    rows.into_iter().map(|row| row.path).collect()
}

#[test]
fn garbled_settings_are_refused_with_a_place() {
    let example = fs::read(root().join("examples/papadakis.yaml")).expect("example is read");
    check(edits(), |edits| {
        let text = String::from_utf8_lossy(&garble(&example, &edits)).into_owned();
        if let Err(faults) = settings::parse(&text, root()) {
            assert!(!faults.is_empty(), "refused without a reason");
        }
    });
}

#[test]
fn garbled_traces_are_refused_or_replayed() {
    let texts: Vec<Vec<u8>> = traces()
        .iter()
        .map(|path| fs::read(path).expect("trace is read"))
        .collect();
    check((any::<usize>(), edits()), |(number, edits)| {
        let text = garble(&texts[number % texts.len()], &edits);
        if let Ok(trace) = Trace::parse(&text) {
            let verdict = replay(&trace, &[]);
            assert_eq!(verdict, replay(&trace, &[]), "replay is not the same twice");
        }
    });
}

#[test]
fn traces_without_some_lines_replay_without_a_panic() {
    let whole: Vec<Trace> = traces()
        .iter()
        .map(|path| Trace::read(path).expect("trace is valid"))
        .collect();
    check(
        (any::<usize>(), vec(any::<usize>(), 1..8)),
        |(number, picks)| {
            let mut trace = whole[number % whole.len()].clone();
            for pick in picks {
                let count = trace.lines.len();
                let (from, to) = (pick % count, pick / count % count);
                match pick % 3 {
                    0 => trace.lines.swap(from, to),
                    1 => trace.lines[to] = trace.lines[from].clone(),
                    _ if count > 1 => {
                        trace.lines.remove(from);
                    }
                    _ => {}
                }
            }
            replay(&trace, &[]);
        },
    );
}

fn read_events<'a, I>(pieces: I) -> Option<Vec<Event>>
where
    I: Iterator<Item = &'a [u8]>,
{
    let mut events = Events::default();
    let mut read = Vec::new();
    for piece in pieces {
        events.push(piece);
        while let Some(event) = events.next_event().ok()? {
            read.push(event);
        }
    }
    Some(read)
}

#[test]
fn a_stream_is_read_alike_however_it_is_split() {
    let stream: String = (0..20)
        .map(|n| format!("data: {{\"offset\":{n},\"tokens\":1,\"text\":\"t{n}\"}}\n\n"))
        .chain(["data: [DONE]\n\n".to_owned()])
        .collect();
    check((edits(), 1..40_usize), |(edits, size)| {
        let bytes = garble(stream.as_bytes(), &edits);
        let whole = read_events(std::iter::once(bytes.as_slice()));
        assert_eq!(whole, read_events(bytes.chunks(size)));
    });
}

#[test]
fn a_stream_without_end_is_not_kept() {
    let mut events = Events::default();
    let line = vec![b'x'; 1 << 16];
    let refused = (0..1_000).find(|_| {
        events.push(&line);
        events.next_event().is_err()
    });
    assert!(refused.is_some_and(|pieces| pieces < 100), "{refused:?}");
}
