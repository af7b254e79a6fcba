//! Relays a stream from runners to the caller, event by event.
//!
//! Only whole events are sent on. Where the route allows it, an interrupted
//! stream resumes at another runner after the last event that was sent; the
//! caller sees one response, with the head of its first runner.

use super::{
    adapter::Adapter,
    attempt::{ARRIVAL_TIME, SERVING_CHECK_INTERVAL, record_failure},
    balancer::{self, Endpoint},
    call::{AttemptError, Call, InFlightGuard, StartedResponse},
    connection::RunnerConnection,
    events::EventSplitter,
    peer_relay,
    quarantine::crash_check,
    responses::{CallResponse, EventFrames, StreamPart, strip_hop_by_hop},
    retries::send_with_retries,
    selection::has_alternative,
    spec::RouteKind,
    state::GatewayState,
};
use crate::{
    core::{
        keys::ModelName,
        time::{Span, Time},
    },
    shell::{held_bytes::Reservation, http::is_event_stream, running_time},
};
use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::SinkExt as _;
use http::Response;
use http_body_util::{BodyExt as _, Either, StreamBody};
use hyper::body::{Frame, Incoming};
use metrics::counter;
use std::rc::Rc;

/// Maximum number of events that are queued for a slow caller.
pub(super) const MAX_QUEUED_EVENTS: usize = 16;

/// Size up to which an event is queued, or received, whatever others hold.
pub(super) const FREE_EVENT_BYTES: usize = 4 << 10;

/// Silence on all streams of a head after which they resume elsewhere; callers give up after two
/// seconds.
const STREAM_STALL_TIMEOUT: Span = Span::from_millis(900);

/// Time of writing after which a runner counts as answering.
const ANSWERING_AFTER: Span = Span::from_millis(500);

/// Delay after no other runner took a stream over.
const RESUME_RETRY_DELAY: Span = Span::from_millis(500);

pub(super) type EventSender = mpsc::Sender<StreamPart>;

/// Returns true if a response is a stream that is relayed event by event.
pub(super) fn is_stream(call: &Call, started: &StartedResponse) -> bool {
    let response = &started.response;
    call.route.kind == RouteKind::Stream
        && response.status().is_success()
        && is_event_stream(response.headers())
}

/// Starts to relay a stream in the background and returns the response for the caller.
pub(super) fn relay<A>(call: Call, started: StartedResponse) -> CallResponse
where
    A: Adapter,
{
    let (sender, events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let mut head = Response::new(());
    *head.status_mut() = started.response.status();
    *head.headers_mut() = started.response.headers().clone();
    strip_hop_by_hop(head.headers_mut());
    compio::runtime::spawn(relay_events::<A>(call, started, sender)).detach();
    head.map(|()| Either::Right(StreamBody::new(EventFrames::new(events))))
}

/// Response of one runner while it is relayed; its stream counts as open until it is dropped.
struct Upstream {
    state: Rc<GatewayState>,
    endpoint: Endpoint,
    body: Incoming,
    events: EventSplitter,
    /// Reservation of the bytes in `events`.
    buffered: Reservation,
    /// Time before which no other runner is looked for.
    retry_at: Time,
    /// Time of the first event from this runner.
    began_at: Option<Time>,
    /// True once it counts as answering.
    is_answering: bool,
    /// Dropping the connection makes the runner stop working on the request.
    _connection: RunnerConnection,
    _in_flight: InFlightGuard,
}

impl Upstream {
    fn new(state: &Rc<GatewayState>, started: StartedResponse) -> Self {
        let now = state.now();
        let host = started.endpoint.host;
        state.loads.borrow_mut().stream_started(host, now);
        Self {
            state: state.clone(),
            endpoint: started.endpoint,
            body: started.response.into_body(),
            events: EventSplitter::default(),
            buffered: state.held_bytes.reserve(FREE_EVENT_BYTES),
            retry_at: now,
            began_at: None,
            is_answering: false,
            _connection: started.connection,
            _in_flight: started.in_flight,
        }
    }
}

impl Upstream {
    /// Counts the buffered bytes; returns false if they are too many.
    fn may_buffer(&mut self) -> bool {
        !self.events.is_too_long() && self.buffered.resize(self.events.buffered())
    }

    /// Counts fewer bytes after whole events were taken out.
    fn release_sent(&mut self) {
        self.buffered.resize(self.events.buffered());
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        let host = self.endpoint.host;
        self.state.loads.borrow_mut().stream_ended(host);
    }
}

/// Reason for which the relay of one runner's events paused or ended.
pub(super) enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The runner broke off.
    Broken,
    /// The runner is silent or no longer serves, but may still be at work.
    Doubtful,
    /// The caller has disconnected.
    CallerGone,
    /// The deadline has passed.
    TimedOut,
    /// The request or a part of its prompt was quarantined.
    Quarantined,
}

/// Outcome of a stream for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Complete,
    Cut,
    CallerGone,
    TimedOut,
    Quarantined,
}

impl Outcome {
    /// Returns the name in logs and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::Cut => "cut",
            Outcome::CallerGone => "caller left",
            Outcome::TimedOut => "timed out",
            Outcome::Quarantined => "quarantined",
        }
    }
}

async fn relay_events<A>(mut call: Call, started: StartedResponse, mut sender: EventSender)
where
    A: Adapter,
{
    let mut endpoint = started.endpoint.clone();
    let mut last = call.head.resume_after;
    let outcome = relay_all::<A>(&mut call, started, &mut endpoint, &mut last, &mut sender).await;
    log_end(&call, &endpoint, outcome, last);
    if outcome == Outcome::Complete {
        call.state.loads.borrow_mut().request_served(endpoint.host);
        // If the channel is closed, the caller has disconnected after the last event.
        let _ = sender.send(StreamPart::End).await;
    }
}

/// Relays one runner's events after the other's; `endpoint` is the runner that sends them.
async fn relay_all<A>(
    call: &mut Call,
    started: StartedResponse,
    endpoint: &mut Endpoint,
    last: &mut Option<u64>,
    sender: &mut EventSender,
) -> Outcome
where
    A: Adapter,
{
    let state = call.state.clone();
    let mut upstream = Upstream::new(&state, started);
    loop {
        *endpoint = upstream.endpoint.clone();
        match relay_body(call, &mut upstream, last, sender).await {
            RelayEnd::Complete => {
                call.record_answer(endpoint.host);
                return Outcome::Complete;
            }
            RelayEnd::CallerGone => return Outcome::CallerGone,
            RelayEnd::TimedOut => return Outcome::TimedOut,
            RelayEnd::Quarantined => return Outcome::Quarantined,
            RelayEnd::Broken => {
                log_broken(call, &upstream, *last);
                drop(upstream);
                record_failure(call, endpoint, AttemptError::Cut);
                crash_check::connection_ended(call, endpoint).await;
                match resume::<A>(call, *last).await {
                    Some(started) => upstream = Upstream::new(&state, started),
                    None => {
                        let resumed = peer_relay::resume::<A>(call, last, sender).await;
                        return resumed.unwrap_or(Outcome::Cut);
                    }
                }
            }
            // The runner may go on, so only one that has responded takes its place.
            RelayEnd::Doubtful => {
                record_failure(call, endpoint, AttemptError::Unknown);
                match resume::<A>(call, *last).await {
                    Some(started) => upstream = Upstream::new(&state, started),
                    None => {
                        let resumed = peer_relay::resume::<A>(call, last, sender).await;
                        if let Some(outcome) = resumed {
                            return outcome;
                        }
                        upstream.retry_at = state.now() + RESUME_RETRY_DELAY;
                    }
                }
            }
        }
    }
}

/// Resumes a stream at another runner after the event `last`; returns nothing if the route doesn't
/// allow it or no runner responds.
async fn resume<A>(call: &mut Call, last: Option<u64>) -> Option<StartedResponse>
where
    A: Adapter,
{
    if !call.is_repeatable() {
        return None;
    }
    let started = send_with_retries::<A>(call, last).await.ok()?;
    is_stream(call, &started).then_some(started)
}

/// Relays the events of one runner's response.
async fn relay_body(
    call: &mut Call,
    upstream: &mut Upstream,
    last: &mut Option<u64>,
    sender: &mut EventSender,
) -> RelayEnd {
    loop {
        let frame = match next_frame(call, upstream, sender).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return RelayEnd::Broken,
            Ok(None) if upstream.events.is_partial() => return RelayEnd::Broken,
            Ok(None) => return RelayEnd::Complete,
            Err(end) => return end,
        };
        if let Some(bytes) = frame.data_ref() {
            upstream.events.push(bytes);
        }
        call.state
            .loads
            .borrow_mut()
            .data_received(upstream.endpoint.host, call.state.now());
        if !upstream.may_buffer() {
            return RelayEnd::Broken;
        }
        let before = *last;
        if let Some(end) = send_events(call, &mut upstream.events, last, sender).await {
            return end;
        }
        if *last > before {
            record_progress(call, upstream);
        }
        upstream.release_sent();
        if call.state.now() >= call.deadline {
            return RelayEnd::TimedOut;
        }
    }
}

/// Waits for the next part of a response; fails with the reason for which it is not waited for any
/// more.
async fn next_frame(
    call: &Call,
    upstream: &mut Upstream,
    sender: &EventSender,
) -> Result<Option<hyper::Result<Frame<Bytes>>>, RelayEnd> {
    loop {
        if call.is_quarantined() {
            return Err(RelayEnd::Quarantined);
        }
        let frame = compio::time::timeout(SERVING_CHECK_INTERVAL, upstream.body.frame()).await;
        if let Ok(frame) = frame {
            return Ok(frame);
        }
        match check_silent(call, upstream, sender) {
            None => {}
            Some(RelayEnd::Doubtful) => {
                let arrived = running_time::within(ARRIVAL_TIME, upstream.body.frame()).await;
                return arrived.ok_or(RelayEnd::Doubtful);
            }
            Some(end) => return Err(end),
        }
    }
}

/// Records that a runner has sent an event, and whether it has lived on since its first.
fn record_progress(call: &mut Call, upstream: &mut Upstream) {
    let now = call.state.now();
    if call.first_event.is_none() {
        call.first_event = Some(now);
        count_if_late(call, &upstream.endpoint, now);
    }
    let began_at = *upstream.began_at.get_or_insert(now);
    if !upstream.is_answering && now.since(began_at) >= ANSWERING_AFTER {
        upstream.is_answering = true;
        call.record_answer(upstream.endpoint.host);
    }
}

/// Counts a request whose first event is late. One that was sent again is late for another reason
/// than the load of its head.
fn count_if_late(call: &Call, endpoint: &Endpoint, now: Time) {
    if call.attempts == 1 && now.since(call.sent_at) > call.route.objective {
        let mut loads = call.state.loads.borrow_mut();
        loads.request_late(endpoint.host);
    }
}

/// Sends whole events to the caller, except those that it already has.
pub(super) async fn send_events(
    call: &Call,
    events: &mut EventSplitter,
    last: &mut Option<u64>,
    sender: &mut EventSender,
) -> Option<RelayEnd> {
    while let Some(event) = events.next_event() {
        let is_duplicate = event.id.is_some() && event.id <= *last;
        if is_duplicate {
            continue;
        }
        let Some(bytes) = call.state.held_bytes.hold(event.bytes, FREE_EVENT_BYTES) else {
            return Some(RelayEnd::Broken);
        };
        *last = event.id.or(*last);
        if let Some(end) = send_event(call, bytes, sender).await {
            return Some(end);
        }
    }
    None
}

/// Queues one event for the caller, and waits for room in the queue until the deadline: a slow
/// reader must not keep the runner at work for longer.
async fn send_event(call: &Call, event: Bytes, sender: &mut EventSender) -> Option<RelayEnd> {
    let Err(unsent) = sender.try_send(StreamPart::Event(event)) else {
        return None;
    };
    if unsent.is_disconnected() {
        return Some(RelayEnd::CallerGone);
    }
    let left = call.deadline.since(call.state.now());
    let sending = sender.send(unsent.into_inner());
    match compio::time::timeout(left.into(), sending).await {
        Ok(Ok(())) => None,
        Ok(Err(_)) => Some(RelayEnd::CallerGone),
        Err(_) => Some(RelayEnd::TimedOut),
    }
}

/// Returns the reason for which a silent stream should not be waited for, if there is one.
fn check_silent(call: &Call, upstream: &Upstream, sender: &EventSender) -> Option<RelayEnd> {
    if sender.is_closed() {
        return Some(RelayEnd::CallerGone);
    }
    let now = call.state.now();
    if now >= call.deadline {
        return Some(RelayEnd::TimedOut);
    }
    if !call.is_repeatable() || now < upstream.retry_at {
        return None;
    }
    let endpoint = &upstream.endpoint;
    let is_lost = balancer::has_lost_member(&call.state.roster.borrow(), endpoint);
    let silence = call.state.loads.borrow().silence(endpoint.host, now);
    let is_doubtful = is_lost || silence.span > STREAM_STALL_TIMEOUT;
    (is_doubtful && has_alternative(call)).then_some(RelayEnd::Doubtful)
}

/// Logs that a runner broke a stream off, and how long it had been writing.
fn log_broken(call: &Call, upstream: &Upstream, last: Option<u64>) {
    let now = call.state.now();
    slog::info!(call.state.log, "stream broke off";
        "request" => call.id(),
        "host" => upstream.endpoint.name.as_str(),
        "last_event" => last.unwrap_or_default(),
        "writing_ms" => upstream.began_at.map(|at| now.since(at).as_millis()));
}

fn log_end(call: &Call, endpoint: &Endpoint, outcome: Outcome, last: Option<u64>) {
    counter!("streams_ended_total", "outcome" => outcome.name()).increment(1);
    slog::info!(call.state.log, "stream ended";
        "request" => call.id(),
        "fingerprint" => call.fingerprint.to_string(),
        "host" => endpoint.name.as_str(),
        "outcome" => outcome.name(),
        "last_event" => last.unwrap_or_default(),
        "sends" => call.attempts,
        "sent_ms" => call.sent_at.since(call.arrived).as_millis(),
        "first_event_ms" => call.first_event.map(|at| at.since(call.arrived).as_millis()),
        "objective_ms" => call.route.objective.as_millis(),
        "model" => call.head.model.as_ref().map(ModelName::as_str),
        "after_ms" => call.state.now().since(call.arrived).as_millis());
}
