//! Randomly generated plans of requests and faults.

use hickoryledge::core::time::Span;
use proptest::prelude::*;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A model's stream, which may be resumed.
    Stream,
    /// An idempotent call of a plain service.
    Lookup,
    /// A non-idempotent call with a ticket issued by the daemon of this index.
    Ticketed(usize),
    /// A non-idempotent call with the caller's own idempotency key.
    Keyed,
    /// A non-idempotent call without ticket or key, sent once.
    Plain,
}

/// Scripted course of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptScript {
    /// Answered completely.
    Good,
    NotSent,
    Declined,
    /// Answered with an error status.
    Status,
    /// Connection cut after this many parts; before the head if zero.
    Cut(u32),
    /// Silent forever after this many parts; before the head if zero.
    Stall(u32),
    /// Answered this many milliseconds late.
    Late(u64),
    /// Answered with the response of another attempt.
    WrongAttempt,
    /// One part is left out after this many.
    Gap(u32),
    /// One part is sent twice after this many.
    Repeat(u32),
}

/// Fault of a daemon or of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonFault {
    /// The daemon is paused for this many milliseconds; events are delivered afterwards.
    Pause(u64),
    /// The daemon crashes and is replaced by a new incarnation.
    Restart,
    /// The platform's store refuses calls for this many milliseconds.
    Outage(u64),
    /// The answers to the next writes at the platform's store are lost after they took effect.
    LostAnswers(u32),
    /// The daemon counts as out of contact with the platform's store for this many milliseconds.
    Isolated(u64),
}

/// A request, which may be sent more than once.
#[derive(Clone, Debug)]
pub struct Request {
    pub kind: RequestKind,
    /// Milliseconds after the previous request.
    pub after: u64,
    /// Daemon and milliseconds after the first time, for each time it is sent.
    pub sends: Vec<(usize, u64)>,
    pub scripts: Vec<AttemptScript>,
    pub deadline: Span,
    /// Milliseconds after which the caller disconnects, if it does.
    pub gone_after: Option<u64>,
}

/// A run of a few daemons with requests and faults.
#[derive(Clone, Debug)]
pub struct Plan {
    pub daemons: usize,
    pub requests: Vec<Request>,
    /// Milliseconds from the start, the daemon and its fault.
    pub daemon_faults: Vec<(u64, usize, DaemonFault)>,
}

fn kind() -> impl Strategy<Value = RequestKind> {
    prop_oneof![
        3 => Just(RequestKind::Stream),
        2 => Just(RequestKind::Lookup),
        4 => (0..3usize).prop_map(RequestKind::Ticketed),
        2 => Just(RequestKind::Keyed),
        1 => Just(RequestKind::Plain),
    ]
}

fn script() -> impl Strategy<Value = AttemptScript> {
    prop_oneof![
        4 => Just(AttemptScript::Good),
        1 => Just(AttemptScript::NotSent),
        1 => Just(AttemptScript::Declined),
        1 => Just(AttemptScript::Status),
        1 => (0..5u32).prop_map(AttemptScript::Cut),
        1 => (0..5u32).prop_map(AttemptScript::Stall),
        1 => (500..20_000u64).prop_map(AttemptScript::Late),
        1 => Just(AttemptScript::WrongAttempt),
        1 => (1..5u32).prop_map(AttemptScript::Gap),
        1 => (1..5u32).prop_map(AttemptScript::Repeat),
    ]
}

fn daemon_fault() -> impl Strategy<Value = DaemonFault> {
    prop_oneof![
        (100..30_000u64).prop_map(DaemonFault::Pause),
        Just(DaemonFault::Restart),
        (100..20_000u64).prop_map(DaemonFault::Outage),
        (1..4u32).prop_map(DaemonFault::LostAnswers),
        (100..20_000u64).prop_map(DaemonFault::Isolated),
    ]
}

fn request() -> impl Strategy<Value = Request> {
    let sends = prop::collection::vec((0..3usize, 0..30_000u64), 1..4);
    let scripts = prop::collection::vec(script(), 0..5);
    let gone_after = prop::option::weighted(0.1, 0..5_000u64);
    (
        kind(),
        0..200u64,
        sends,
        scripts,
        200..60_000u64,
        gone_after,
    )
        .prop_map(|(kind, after, mut sends, scripts, deadline, gone_after)| {
            sends[0].1 = 0;
            Request {
                kind,
                after,
                sends,
                scripts,
                deadline: Span::from_millis(deadline),
                gone_after,
            }
        })
}

/// Generates plans with this many requests.
pub fn plans(requests: usize) -> impl Strategy<Value = Plan> {
    let daemon_faults = prop::collection::vec((0..20_000u64, 0..3usize, daemon_fault()), 0..8);
    let requests = prop::collection::vec(request(), requests);
    (1..=3usize, requests, daemon_faults).prop_map(|(daemons, requests, daemon_faults)| Plan {
        daemons,
        requests,
        daemon_faults,
    })
}
