//! Fuzzes the parsers of settings, traces and event streams with mutated input: none may
//! panic or buffer without bound.
//!
//! `FUZZ_CASES=100000 cargo test --release --test fuzz` runs more cases. The seeds
//! are the same on every run.

use std::{
    fs,
    path::{Path, PathBuf},
};

use hickoryledge::{
    replay::{Trace, replay, replay_corpus},
    settings,
    shell::runners::sse::{Event, EventDecoder},
};
use proptest::{
    collection::vec,
    prelude::{Strategy, any},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// Number of cases of each test, unless `FUZZ_CASES` is set.
const DEFAULT_CASES: u32 = 300;

/// Checks a property for values that are generated from a fixed seed.
fn check_property<S, F>(strategy: S, property: F)
where
    S: Strategy,
    F: Fn(S::Value),
{
    let cases = std::env::var("FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
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

/// Edit of a text: position, number of bytes to remove, and bytes to insert.
type Edit = (usize, usize, Vec<u8>);

/// Generates one to five edits.
fn edits() -> impl Strategy<Value = Vec<Edit>> {
    let inserted = vec(any::<u8>(), 0..8);
    vec((any::<usize>(), 0..12_usize, inserted), 1..6)
}

/// Applies the edits to a text.
fn mutate(text: &[u8], edits: &[Edit]) -> Vec<u8> {
    let mut text = text.to_vec();
    for (at, length, inserted) in edits {
        let begin = at % (text.len() + 1);
        let end = (begin + length).min(text.len());
        text.splice(begin..end, inserted.iter().copied());
    }
    text
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn trace_paths() -> Vec<PathBuf> {
    let results = replay_corpus(&[root().join("tests/traces")]).expect("corpus is read");
    results.into_iter().map(|result| result.path).collect()
}

#[test]
fn mutated_settings_parse_or_are_rejected_with_errors() {
    let example = fs::read(root().join("examples/papadakis.yaml")).expect("example is read");
    check_property(edits(), |edits| {
        let text = String::from_utf8_lossy(&mutate(&example, &edits)).into_owned();
        if let Err(errors) = settings::parse(&text, root()) {
            assert!(!errors.is_empty(), "rejected without an error");
        }
    });
}

#[test]
fn mutated_traces_are_rejected_or_replayed() {
    let texts: Vec<Vec<u8>> = trace_paths()
        .iter()
        .map(|path| fs::read(path).expect("trace is read"))
        .collect();
    check_property((any::<usize>(), edits()), |(number, edits)| {
        let text = mutate(&texts[number % texts.len()], &edits);
        if let Ok(trace) = Trace::parse(&text) {
            let result = replay(&trace, &[]);
            assert_eq!(result, replay(&trace, &[]), "two replays differ");
        }
    });
}

#[test]
fn replays_reordered_traces_without_panic() {
    let traces: Vec<Trace> = trace_paths()
        .iter()
        .map(|path| Trace::read(path).expect("trace is valid"))
        .collect();
    check_property(
        (any::<usize>(), vec(any::<usize>(), 1..8)),
        |(number, picks)| {
            let mut trace = traces[number % traces.len()].clone();
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

/// Parses chunks of an event stream; returns `None` if the parser rejects the stream.
fn read_events<'a, I>(chunks: I) -> Option<Vec<Event>>
where
    I: Iterator<Item = &'a [u8]>,
{
    let mut events = EventDecoder::default();
    let mut parsed = Vec::new();
    for chunk in chunks {
        events.push(chunk);
        while let Some(event) = events.next_event().ok()? {
            parsed.push(event);
        }
    }
    Some(parsed)
}

/// The network may split a stream anywhere, also within an event.
#[test]
fn event_parsing_does_not_depend_on_chunk_size() {
    let stream: String = (0..20)
        .map(|n| format!("data: {{\"offset\":{n},\"tokens\":1,\"text\":\"t{n}\"}}\n\n"))
        .chain(["data: [DONE]\n\n".to_owned()])
        .collect();
    check_property((edits(), 1..40_usize), |(edits, size)| {
        let bytes = mutate(stream.as_bytes(), &edits);
        let whole = read_events(std::iter::once(bytes.as_slice()));
        assert_eq!(whole, read_events(bytes.chunks(size)));
    });
}

/// A runner that never ends an event must not make the daemon buffer it without bound.
#[test]
fn rejects_event_without_end() {
    let mut events = EventDecoder::default();
    let line = vec![b'x'; 1 << 16];
    let rejected_at = (0..1_000).find(|_| {
        events.push(&line);
        events.next_event().is_err()
    });
    assert!(
        rejected_at.is_some_and(|chunks| chunks < 100),
        "{rejected_at:?}"
    );
}
