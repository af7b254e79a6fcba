//! Relays a peer's stream to the caller, event by event.

use super::send::{Relayed, send};
use crate::gateway::{
    adapter::Adapter,
    attempt::SERVING_CHECK_INTERVAL,
    call::Call,
    events::EventSplitter,
    responses::{CallResponse, EventFrames, StreamPart, strip_hop_by_hop},
    stream::{EventSender, FREE_EVENT_BYTES, MAX_QUEUED_EVENTS, Outcome, RelayEnd, send_events},
};
use futures_channel::mpsc;
use futures_util::SinkExt as _;
use http::Response;
use http_body_util::{BodyExt as _, Either, StreamBody};

/// Starts to relay a peer's stream in the background and returns the response for the caller.
pub(super) fn relay(call: Call, relayed: Relayed) -> CallResponse {
    let (mut sender, events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let mut head = Response::new(());
    *head.status_mut() = relayed.response.status();
    *head.headers_mut() = relayed.response.headers().clone();
    strip_hop_by_hop(head.headers_mut());
    compio::runtime::spawn(async move {
        let mut last = call.head.resume_after;
        let outcome = relay_body(&call, relayed, &mut last, &mut sender).await;
        slog::info!(call.state.log, "stream of a peer ended";
            "request" => call.id(),
            "outcome" => outcome.name(),
            "last_event" => last.unwrap_or_default());
        if outcome == Outcome::Complete {
            // If the channel is closed, the caller has disconnected after the last event.
            let _ = sender.send(StreamPart::End).await;
        }
    })
    .detach();
    head.map(|()| Either::Right(StreamBody::new(EventFrames::new(events))))
}

/// Resumes a stream by way of a peer after the event `last`, if this daemon could not reach a
/// runner; returns its outcome, or nothing if no peer took it.
pub(in crate::gateway) async fn resume<A>(
    call: &mut Call,
    last: &mut Option<u64>,
    sender: &mut EventSender,
) -> Option<Outcome>
where
    A: Adapter,
{
    if !call.is_repeatable() || !call.should_relay_at_last() {
        return None;
    }
    let relayed = send::<A>(call, *last).await.ok()?;
    if !relayed.is_stream(call) {
        return None;
    }
    Some(relay_body(call, relayed, last, sender).await)
}

async fn relay_body(
    call: &Call,
    relayed: Relayed,
    last: &mut Option<u64>,
    sender: &mut EventSender,
) -> Outcome {
    let mut body = relayed.response.into_body();
    let (_connection, _guard) = (relayed.connection, relayed.guard);
    let mut events = EventSplitter::default();
    let mut buffered = call.state.held_bytes.reserve(FREE_EVENT_BYTES);
    loop {
        let frame = compio::time::timeout(SERVING_CHECK_INTERVAL, body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => {
                if let Some(bytes) = frame.data_ref() {
                    events.push(bytes);
                }
            }
            Ok(None) if !events.is_partial() => return Outcome::Complete,
            Ok(_) => return Outcome::Cut,
            Err(_) if sender.is_closed() => return Outcome::CallerGone,
            Err(_) => {}
        }
        if events.is_too_long() || !buffered.resize(events.buffered()) {
            return Outcome::Cut;
        }
        match send_events(call, &mut events, last, sender).await {
            Some(RelayEnd::CallerGone) => return Outcome::CallerGone,
            Some(_) => return Outcome::Cut,
            None => {}
        }
        buffered.resize(events.buffered());
        if call.state.now() >= call.deadline {
            return Outcome::TimedOut;
        }
    }
}
