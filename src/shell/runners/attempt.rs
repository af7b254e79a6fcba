//! Sends one attempt at a call to a runner and forwards the response.

use super::{
    AttemptEnd, Shared,
    pool::{self, Sender},
    sse::{Event, EventDecoder},
};
use crate::{
    core::{
        input::{Echo, Failure, Payload, RunnerInput},
        keys::{AttemptId, CallId, Epoch},
        output::Route,
    },
    shell::{
        calls::{ForwardedRequest, ResponseHead},
        http::is_event_stream,
        whole_body::read_whole,
    },
};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Size up to which an unfinished event is buffered whatever other responses hold.
const FREE_EVENT_BYTES: usize = 4 << 10;

/// Maximum size of what follows the last event of a stream.
const MAX_REST_BYTES: usize = 64 << 10;

/// Time within which a body ends after the last event of its stream.
const REST_TIMEOUT: Duration = Duration::from_secs(1);

const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt");
const EPOCH: HeaderName = HeaderName::from_static("x-epoch");
const GROUP: HeaderName = HeaderName::from_static("x-group");
const FROM: HeaderName = HeaderName::from_static("x-from");
const RESUME_AT: HeaderName = HeaderName::from_static("x-resume-at");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Response headers that apply to one connection or are meant for this daemon.
const STRIPPED_HEADERS: [HeaderName; 5] = [
    CONNECTION,
    TRANSFER_ENCODING,
    CONTENT_LENGTH,
    ATTEMPT,
    EPOCH,
];

/// Parameters of one attempt.
pub(super) struct AttemptCall {
    pub(super) attempt: AttemptId,
    pub(super) call: CallId,
    pub(super) route: Route,
    pub(super) fresh: bool,
    pub(super) resume_at: u32,
}

impl AttemptCall {
    fn address(&self) -> SocketAddr {
        match &self.route {
            Route::Group { address, .. }
            | Route::Service { address, .. }
            | Route::Daemon { address, .. } => *address,
        }
    }

    fn is_completion(&self) -> bool {
        matches!(self.route, Route::Group { .. })
    }
}

/// Makes an attempt; the last input that it sends is `Finished` or `Failed`.
pub(super) async fn run(shared: Rc<Shared>, call: AttemptCall) -> AttemptEnd {
    let attempt = call.attempt;
    let Err(failure) = exchange(&shared, &call).await else {
        return AttemptEnd::Ended;
    };
    let end = match failure {
        Failure::NotSent | Failure::Declined => AttemptEnd::Ended,
        Failure::Cut | Failure::Unknown | Failure::Status(_) => AttemptEnd::MaybeRunning,
    };
    shared.send(RunnerInput::Failed { attempt, failure });
    end
}

async fn exchange(shared: &Shared, call: &AttemptCall) -> Result<(), Failure> {
    let forwarded = shared.calls.forwarded(call.call).ok_or(Failure::NotSent)?;
    let request = request(shared, call, &forwarded).ok_or(Failure::NotSent)?;
    let address = call.address();
    let sender = if call.fresh {
        pool::open_connection(address).await
    } else {
        shared.pool.acquire(address).await
    };
    let mut sender = sender.map_err(|_| Failure::NotSent)?;
    let response = send(&mut sender, request).await?;
    check_head(call, &response)?;
    report_accepted(shared, call, &response);
    let (head, body) = response.into_parts();
    if is_event_stream(&head.headers) {
        forward_stream(shared, call, body).await?;
    } else {
        let no_body = body_is_empty(head.status) || request_is_head(shared, call);
        if !no_body && !is_delimited(&head.headers) {
            return Err(Failure::Cut);
        }
        forward_buffered(shared, call, body).await?;
    }
    shared.pool.release(address, sender).await;
    Ok(())
}

/// Sends a request; a failure is `NotSent` only if no byte of it was written.
async fn send(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Failure> {
    sender.ready().await.map_err(|_| Failure::NotSent)?;
    sender.try_send_request(request).await.map_err(|error| {
        let unsent = error.message().is_some();
        if unsent {
            Failure::NotSent
        } else {
            Failure::Cut
        }
    })
}

fn request(
    shared: &Shared,
    call: &AttemptCall,
    forwarded: &ForwardedRequest,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(forwarded.body.clone()));
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.path.parse().ok()?;
    let headers = request.headers_mut();
    headers.extend(forwarded.headers.clone());
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    headers.insert(HOST, header_value(call.address())?);
    headers.insert(ATTEMPT, HeaderValue::from(call.attempt.0));
    headers.insert(FROM, header_value(&shared.daemon)?);
    if let Route::Group { group, epoch, .. } = &call.route {
        headers.insert(GROUP, header_value(group)?);
        headers.insert(EPOCH, HeaderValue::from(epoch.0));
        headers.insert(RESUME_AT, HeaderValue::from(call.resume_at));
    }
    Some(request)
}

fn header_value<T>(text: T) -> Option<HeaderValue>
where
    T: ToString,
{
    HeaderValue::try_from(text.to_string()).ok()
}

/// Checks that the head of the response means that the runner runs the call.
fn check_head(call: &AttemptCall, response: &Response<Incoming>) -> Result<(), Failure> {
    if response.headers().contains_key(NOT_RUN) {
        return Err(Failure::Declined);
    }
    let status = response.status();
    let failed = status.is_server_error() || status == StatusCode::CONFLICT;
    if call.is_completion() && failed {
        return Err(Failure::Status(status.as_u16()));
    }
    Ok(())
}

/// Reports to the core that the response has started, and stores its head.
fn report_accepted(shared: &Shared, call: &AttemptCall, response: &Response<Incoming>) {
    let mut headers = response.headers().clone();
    let echo = Echo {
        attempt: header_number(&headers, &ATTEMPT).map(AttemptId),
        epoch: header_number(&headers, &EPOCH).map(Epoch),
    };
    for name in STRIPPED_HEADERS {
        headers.remove(name);
    }
    let head = ResponseHead {
        status: response.status(),
        headers,
    };
    shared.calls.store_head(call.attempt, head);
    let attempt = call.attempt;
    shared.send(RunnerInput::Accepted { attempt, echo });
}

fn header_number<T>(headers: &HeaderMap, name: &HeaderName) -> Option<T>
where
    T: std::str::FromStr,
{
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Returns true if the end of the body can be distinguished from a closed connection.
fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn body_is_empty(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

fn request_is_head(shared: &Shared, call: &AttemptCall) -> bool {
    shared
        .calls
        .forwarded(call.call)
        .is_some_and(|forwarded| forwarded.method == http::Method::HEAD)
}

/// Forwards a stream event by event; it is complete once its last event has arrived.
async fn forward_stream(
    shared: &Shared,
    call: &AttemptCall,
    mut body: Incoming,
) -> Result<(), Failure> {
    let attempt = call.attempt;
    let mut decoder = EventDecoder::default();
    let mut buffered = shared.held_bytes.reserve(FREE_EVENT_BYTES);
    loop {
        let frame = body.frame().await.ok_or(Failure::Cut)?;
        let frame = frame.map_err(|_| Failure::Cut)?;
        if let Some(bytes) = frame.data_ref() {
            decoder.push(bytes);
        }
        while let Some(event) = decoder.next_event().map_err(|_| Failure::Cut)? {
            match event {
                Event::Empty => {}
                Event::Part {
                    offset,
                    tokens,
                    bytes,
                } => shared.send(RunnerInput::Chunk {
                    attempt,
                    offset,
                    tokens,
                    payload: Payload(bytes),
                }),
                Event::Done => {
                    shared.send(RunnerInput::Finished { attempt });
                    discard_rest(body).await;
                    return Ok(());
                }
            }
        }
        if !buffered.resize(decoder.buffered()) {
            return Err(Failure::Cut);
        }
    }
}

/// Reads a body to its end, so that its connection can be reused, unless it goes on for too long.
async fn discard_rest(body: Incoming) {
    let mut rest = Limited::new(body, MAX_REST_BYTES);
    let reading = async { while let Some(Ok(_)) = rest.frame().await {} };
    // The connection closes if the body has not ended.
    let _ = compio::time::timeout(REST_TIMEOUT, reading).await;
}

/// Forwards a response once it has arrived completely.
async fn forward_buffered(
    shared: &Shared,
    call: &AttemptCall,
    body: Incoming,
) -> Result<(), Failure> {
    let attempt = call.attempt;
    let bytes = read_whole(body, &shared.held_bytes).await;
    shared.send(RunnerInput::Chunk {
        attempt,
        offset: 0,
        tokens: 0,
        payload: Payload(bytes.ok_or(Failure::Cut)?),
    });
    shared.send(RunnerInput::Finished { attempt });
    Ok(())
}
