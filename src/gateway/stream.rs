//! Relays a stream from runners to the caller, event by event.
//!
//! Only whole events are sent on. Where the route allows it, an interrupted
//! stream resumes at another runner after the last event that was sent; the
//! caller sees one response, with the head of its first runner.

use super::{
    adapter::Adapter,
    attempt::{SERVING_CHECK_INTERVAL, record_failure},
    balancer,
    call::{AttemptError, Call, StartedResponse},
    events::EventSplitter,
    forward::send_with_retries,
    responses::{CallResponse, IncompleteStream, strip_hop_by_hop},
    spec::RouteKind,
};
use crate::{core::time::Span, shell::http::is_event_stream};
use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::SinkExt as _;
use http::Response;
use http_body::Frame;
use http_body_util::{BodyExt as _, Either, StreamBody};
use hyper::body::Incoming;
use metrics::counter;

/// Maximum number of events that are queued for a slow caller.
const MAX_QUEUED_EVENTS: usize = 16;

/// Size up to which an event is queued, or received, whatever others hold.
const FREE_EVENT_BYTES: usize = 4 << 10;

/// Silence on all streams of a head after which they resume elsewhere; callers give up after two
/// seconds.
const STREAM_STALL_TIMEOUT: Span = Span::from_millis(900);

type EventSender = mpsc::Sender<Result<Frame<Bytes>, IncompleteStream>>;

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
    head.map(|()| Either::Right(StreamBody::new(events)))
}

/// Reason for which the relay of one runner's events ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The runner broke off, stalled, or no longer serves.
    Broken,
    /// The caller has disconnected.
    CallerGone,
    /// The deadline has passed.
    TimedOut,
}

async fn relay_events<A>(mut call: Call, mut started: StartedResponse, mut sender: EventSender)
where
    A: Adapter,
{
    let mut last = call.head.resume_after;
    loop {
        let body = started.response.into_body();
        let host = started.endpoint.host;
        call.state
            .loads
            .borrow_mut()
            .stream_started(host, call.state.now());
        let end = relay_body(&call, &started.endpoint, body, &mut last, &mut sender).await;
        if matches!(end, StreamEnd::Broken) {
            record_failure(&call, &started.endpoint, AttemptError::Unknown);
        }
        call.state.loads.borrow_mut().stream_ended(host);
        // Dropping the connection makes the runner stop working on the request.
        drop(started.connection);
        drop(started.in_flight);
        match end {
            StreamEnd::Complete => {
                call.state
                    .loads
                    .borrow_mut()
                    .request_served(started.endpoint.host);
                log_end(&call, &started.endpoint, "complete", last);
                return;
            }
            StreamEnd::CallerGone => {
                log_end(&call, &started.endpoint, "caller left", last);
                return;
            }
            StreamEnd::TimedOut => {
                log_end(&call, &started.endpoint, "timed out", last);
                break;
            }
            StreamEnd::Broken => {}
        }
        if !call.is_repeatable() {
            log_end(&call, &started.endpoint, "cut", last);
            break;
        }
        started = match send_with_retries::<A>(&mut call, last).await {
            Ok(started) if is_stream(&call, &started) => started,
            _ => {
                log_end(&call, &started.endpoint, "cut", last);
                break;
            }
        };
    }
    // If the channel is closed, the caller has disconnected too.
    let _ = sender.send(Err(IncompleteStream)).await;
}

/// Relays the events of one runner's response.
async fn relay_body(
    call: &Call,
    endpoint: &balancer::Endpoint,
    mut body: Incoming,
    last: &mut Option<u64>,
    sender: &mut EventSender,
) -> StreamEnd {
    let mut events = EventSplitter::default();
    let mut reservation = call.state.held_bytes.reserve(FREE_EVENT_BYTES);
    loop {
        let frame = match compio::time::timeout(SERVING_CHECK_INTERVAL, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return StreamEnd::Broken,
            Ok(None) if events.is_partial() => return StreamEnd::Broken,
            Ok(None) => return StreamEnd::Complete,
            Err(_) => {
                if let Some(end) = check_silent(call, endpoint, sender) {
                    return end;
                }
                continue;
            }
        };
        if let Some(bytes) = frame.data_ref() {
            events.push(bytes);
        }
        call.state
            .loads
            .borrow_mut()
            .data_received(endpoint.host, call.state.now());
        if events.is_too_long() || !reservation.resize(events.buffered()) {
            return StreamEnd::Broken;
        }
        if let Some(end) = send_events(call, &mut events, last, sender).await {
            return end;
        }
        reservation.resize(events.buffered());
        if call.state.now() >= call.deadline {
            return StreamEnd::TimedOut;
        }
    }
}

/// Sends whole events to the caller, except those that it already has.
async fn send_events(
    call: &Call,
    events: &mut EventSplitter,
    last: &mut Option<u64>,
    sender: &mut EventSender,
) -> Option<StreamEnd> {
    while let Some(event) = events.next_event() {
        let is_duplicate = event.id.is_some() && event.id <= *last;
        if is_duplicate {
            continue;
        }
        let Some(bytes) = call.state.held_bytes.hold(event.bytes, FREE_EVENT_BYTES) else {
            return Some(StreamEnd::Broken);
        };
        *last = event.id.or(*last);
        if sender.send(Ok(Frame::data(bytes))).await.is_err() {
            return Some(StreamEnd::CallerGone);
        }
    }
    None
}

/// Returns the reason for which a silent stream should not be waited for, if there is one.
fn check_silent(
    call: &Call,
    endpoint: &balancer::Endpoint,
    sender: &EventSender,
) -> Option<StreamEnd> {
    if sender.is_closed() {
        return Some(StreamEnd::CallerGone);
    }
    if call.state.now() >= call.deadline {
        return Some(StreamEnd::TimedOut);
    }
    if !call.is_repeatable() {
        return None;
    }
    let is_serving = balancer::still_serves(&call.state.roster.borrow(), endpoint);
    let now = call.state.now();
    let silence = call.state.loads.borrow().silence(endpoint.host, now);
    let is_stalled = silence.span > STREAM_STALL_TIMEOUT && call.may_fail_over();
    (!is_serving || is_stalled).then_some(StreamEnd::Broken)
}

fn log_end(call: &Call, endpoint: &balancer::Endpoint, outcome: &'static str, last: Option<u64>) {
    counter!("streams_ended_total", "outcome" => outcome).increment(1);
    slog::info!(call.state.log, "stream ended";
        "request" => call.id(),
        "host" => endpoint.name.as_str(),
        "outcome" => outcome,
        "last_event" => last.unwrap_or_default(),
        "sends" => call.attempts,
        "after_ms" => call.state.now().since(call.arrived).as_millis());
}
