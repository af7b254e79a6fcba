//! Random sequences of requests and faults.

use hickoryledge::core::time::Span;
use proptest::prelude::*;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A stream, which may be resumed.
    Stream,
    /// An idempotent call of a plain service.
    Lookup,
    /// A non-idempotent call with a ticket of this daemon.
    Ticketed(usize),
    /// A non-idempotent call with the caller's own key.
    Keyed,
    /// A non-idempotent call, sent once.
    Plain,
}

/// What befalls one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Good,
    NotSent,
    Declined,
    Status,
    /// Cut after this many parts; before the head, if zero.
    Cut(u32),
    /// Silent for good after this many parts; before the head, if zero.
    Stall(u32),
    /// Runs, and answers late, by milliseconds.
    Late(u64),
    /// The answer of another attempt comes instead.
    Crossed,
    /// A part is left out after this many.
    Gap(u32),
    /// A part comes twice after this many.
    Repeat(u32),
}

/// What befalls a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing reaches it for so long, in milliseconds; then everything does.
    Pause(u64),
    /// It dies, and a new run takes its place.
    Restart,
    /// The platform's service fails for so long, in milliseconds.
    Outage(u64),
    /// The next writes at the platform's service take effect, and their answers are lost.
    LostAnswers(u32),
    /// It hears nobody for so long, in milliseconds.
    Deaf(u64),
}

/// One request, which may be sent more than once.
#[derive(Clone, Debug)]
pub struct Request {
    pub kind: Kind,
    /// Milliseconds after the one before.
    pub after: u64,
    /// To which daemon, and milliseconds after the first time.
    pub sends: Vec<(usize, u64)>,
    pub fates: Vec<Fate>,
    pub deadline: Span,
    /// The caller goes away after so many milliseconds.
    pub gone: Option<u64>,
}

/// A run of a few daemons.
#[derive(Clone, Debug)]
pub struct Plan {
    pub daemons: usize,
    pub requests: Vec<Request>,
    /// Milliseconds from the start, the daemon, and what befalls it.
    pub troubles: Vec<(u64, usize, Trouble)>,
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        3 => Just(Kind::Stream),
        2 => Just(Kind::Lookup),
        4 => (0..3usize).prop_map(Kind::Ticketed),
        2 => Just(Kind::Keyed),
        1 => Just(Kind::Plain),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Good),
        1 => Just(Fate::NotSent),
        1 => Just(Fate::Declined),
        1 => Just(Fate::Status),
        1 => (0..5u32).prop_map(Fate::Cut),
        1 => (0..5u32).prop_map(Fate::Stall),
        1 => (500..20_000u64).prop_map(Fate::Late),
        1 => Just(Fate::Crossed),
        1 => (1..5u32).prop_map(Fate::Gap),
        1 => (1..5u32).prop_map(Fate::Repeat),
    ]
}

fn trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        (100..30_000u64).prop_map(Trouble::Pause),
        Just(Trouble::Restart),
        (100..20_000u64).prop_map(Trouble::Outage),
        (1..4u32).prop_map(Trouble::LostAnswers),
        (100..20_000u64).prop_map(Trouble::Deaf),
    ]
}

fn request() -> impl Strategy<Value = Request> {
    let sends = prop::collection::vec((0..3usize, 0..30_000u64), 1..4);
    let fates = prop::collection::vec(fate(), 0..5);
    let gone = prop::option::weighted(0.1, 0..5_000u64);
    (kind(), 0..200u64, sends, fates, 200..60_000u64, gone).prop_map(
        |(kind, after, mut sends, fates, deadline, gone)| {
            sends[0].1 = 0;
            Request {
                kind,
                after,
                sends,
                fates,
                deadline: Span::from_millis(deadline),
                gone,
            }
        },
    )
}

/// Plans of so many requests.
pub fn plans(requests: usize) -> impl Strategy<Value = Plan> {
    let troubles = prop::collection::vec((0..20_000u64, 0..3usize, trouble()), 0..8);
    let requests = prop::collection::vec(request(), requests);
    (1..=3usize, requests, troubles).prop_map(|(daemons, requests, troubles)| Plan {
        daemons,
        requests,
        troubles,
    })
}
