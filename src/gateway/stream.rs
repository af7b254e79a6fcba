//! Passes a stream on, event by event.
//!
//! Only whole events are passed on. A stream that breaks goes on at another
//! runner after the last event that was passed on, where the route allows it;
//! the caller sees one answer, with the head of its first runner.

use super::{
    adapter::Adapter,
    answer::{Answer, Incomplete, strip_hop_by_hop},
    attempt::{LOOK_INTERVAL, note_miss},
    balancer,
    call::{Begun, Call, Miss},
    events::EventSplitter,
    forward::begin,
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

/// Events that may wait for a slow caller.
const QUEUE_EVENTS: usize = 16;

/// How long all streams of a head may be silent before they go on elsewhere; callers leave after two seconds.
const SILENCE: Span = Span::from_millis(900);

type Sink = mpsc::Sender<Result<Frame<Bytes>, Incomplete>>;

/// Whether an answer is a stream that is passed on event by event.
pub(super) fn is_stream(call: &Call, begun: &Begun) -> bool {
    let response = &begun.response;
    call.route.kind == RouteKind::Stream
        && response.status().is_success()
        && is_event_stream(response.headers())
}

/// Begins to pass a stream on.
pub(super) fn relay<A>(call: Call, begun: Begun) -> Answer
where
    A: Adapter,
{
    let (sink, events) = mpsc::channel(QUEUE_EVENTS);
    let mut head = Response::new(());
    *head.status_mut() = begun.response.status();
    *head.headers_mut() = begun.response.headers().clone();
    strip_hop_by_hop(head.headers_mut());
    compio::runtime::spawn(pump::<A>(call, begun, sink)).detach();
    head.map(|()| Either::Right(StreamBody::new(events)))
}

/// Why passing on one runner's events ended.
enum End {
    /// The stream is whole.
    Complete,
    /// The runner broke off, or no longer serves.
    Broken,
    /// The caller has gone.
    Left,
    /// The time is over.
    TimedOut,
}

async fn pump<A>(mut call: Call, mut begun: Begun, mut sink: Sink)
where
    A: Adapter,
{
    let mut last = call.head.resume_after;
    loop {
        let body = begun.response.into_body();
        let host = begun.place.host;
        call.site.loads.borrow_mut().begun(host, call.site.now());
        let end = pass(&call, &begun.place, body, &mut last, &mut sink).await;
        if matches!(end, End::Broken) {
            note_miss(&call, &begun.place, Miss::Unknown);
        }
        call.site.loads.borrow_mut().stopped(host);
        // The exchange lives until here: dropping it ends the runner's work.
        drop(begun.exchange);
        drop(begun.counted);
        match end {
            End::Complete => {
                call.site.loads.borrow_mut().served(begun.place.host);
                log_end(&call, "complete", last);
                return;
            }
            End::Left => {
                log_end(&call, "caller left", last);
                return;
            }
            End::TimedOut => {
                log_end(&call, "timed out", last);
                break;
            }
            End::Broken => {}
        }
        if !call.is_repeatable() {
            log_end(&call, "cut", last);
            break;
        }
        begun = match begin::<A>(&mut call, last).await {
            Ok(begun) if is_stream(&call, &begun) => begun,
            _ => {
                log_end(&call, "cut", last);
                break;
            }
        };
    }
    // A closed channel means that the caller has gone too.
    let _ = sink.send(Err(Incomplete)).await;
}

/// Passes one runner's events on.
async fn pass(
    call: &Call,
    place: &balancer::Place,
    mut body: Incoming,
    last: &mut Option<u64>,
    sink: &mut Sink,
) -> End {
    let mut events = EventSplitter::default();
    loop {
        let frame = match compio::time::timeout(LOOK_INTERVAL, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return End::Broken,
            Ok(None) if events.is_partial() => return End::Broken,
            Ok(None) => return End::Complete,
            Err(_) => {
                if let Some(end) = look(call, place, sink) {
                    return end;
                }
                continue;
            }
        };
        if let Some(bytes) = frame.data_ref() {
            events.push(bytes);
        }
        call.site
            .loads
            .borrow_mut()
            .moved(place.host, call.site.now());
        if events.is_overlong() {
            return End::Broken;
        }
        if let Some(end) = forward(&mut events, last, sink).await {
            return end;
        }
        if call.site.now() >= call.deadline {
            return End::TimedOut;
        }
    }
}

/// Passes whole events on, but for those that the caller has.
async fn forward(
    events: &mut EventSplitter,
    last: &mut Option<u64>,
    sink: &mut Sink,
) -> Option<End> {
    while let Some(event) = events.next_event() {
        let is_known = event.id.is_some() && event.id <= *last;
        if is_known {
            continue;
        }
        *last = event.id.or(*last);
        if sink.send(Ok(Frame::data(event.bytes))).await.is_err() {
            return Some(End::Left);
        }
    }
    None
}

/// Whether a silent stream is to be given up.
fn look(call: &Call, place: &balancer::Place, sink: &Sink) -> Option<End> {
    if sink.is_closed() {
        return Some(End::Left);
    }
    if call.site.now() >= call.deadline {
        return Some(End::TimedOut);
    }
    if !call.is_repeatable() {
        return None;
    }
    let is_served = balancer::still_serves(&call.site.roster.borrow(), place);
    let now = call.site.now();
    let silence = call.site.loads.borrow().silence(place.host, now);
    let is_silent = silence.span > SILENCE && call.may_move();
    (!is_served || is_silent).then_some(End::Broken)
}

fn log_end(call: &Call, outcome: &'static str, last: Option<u64>) {
    counter!("streams_ended_total", "outcome" => outcome).increment(1);
    slog::info!(call.site.log, "stream ended";
        "request" => call.id(),
        "outcome" => outcome,
        "last_event" => last.unwrap_or_default(),
        "sends" => call.sends,
        "after_ms" => call.site.now().since(call.arrived).as_millis());
}
