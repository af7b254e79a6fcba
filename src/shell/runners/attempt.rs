//! One attempt at a call, from its connection to its end.

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
    },
};
use bytes::{Bytes, BytesMut};
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use std::{net::SocketAddr, rc::Rc};

/// The longest whole answer taken, in bytes.
const MAX_WHOLE: usize = 16 << 20;

const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt");
const EPOCH: HeaderName = HeaderName::from_static("x-epoch");
const GROUP: HeaderName = HeaderName::from_static("x-group");
const FROM: HeaderName = HeaderName::from_static("x-from");
const RESUME_AT: HeaderName = HeaderName::from_static("x-resume-at");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Headers that concern one connection, or this daemon alone.
const NOT_PASSED: [HeaderName; 5] = [
    CONNECTION,
    TRANSFER_ENCODING,
    CONTENT_LENGTH,
    ATTEMPT,
    EPOCH,
];

/// What is to be attempted.
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

/// Makes an attempt; its last input is `Finished` or `Failed`.
pub(super) async fn run(shared: Rc<Shared>, call: AttemptCall) -> AttemptEnd {
    let attempt = call.attempt;
    let Err(failure) = exchange(&shared, &call).await else {
        return AttemptEnd::Known;
    };
    let end = match failure {
        Failure::NotSent | Failure::Declined => AttemptEnd::Known,
        Failure::Cut | Failure::Unknown | Failure::Status(_) => AttemptEnd::Unknown,
    };
    shared.send(RunnerInput::Failed { attempt, failure });
    end
}

async fn exchange(shared: &Shared, call: &AttemptCall) -> Result<(), Failure> {
    let body = shared.calls.forwarded(call.call).ok_or(Failure::NotSent)?;
    let request = request(shared, call, &body).ok_or(Failure::NotSent)?;
    let address = call.address();
    let sender = if call.fresh {
        pool::open(address).await
    } else {
        shared.pool.take(address).await
    };
    let mut sender = sender.map_err(|_| Failure::NotSent)?;
    let response = send(&mut sender, request).await?;
    check(call, &response)?;
    begin(shared, call, &response);
    let (head, body) = response.into_parts();
    if is_event_stream(&head.headers) {
        pass_stream(shared, call, body).await?;
    } else {
        let no_body = body_is_empty(head.status) || request_is_head(shared, call);
        if !no_body && !has_end(&head.headers) {
            return Err(Failure::Cut);
        }
        pass_whole(shared, call, body).await?;
    }
    shared.pool.give(address, sender).await;
    Ok(())
}

/// Sends a request; a failure is `NotSent` only if no byte of it was written.
async fn send(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Failure> {
    sender.ready().await.map_err(|_| Failure::NotSent)?;
    sender.try_send_request(request).await.map_err(|error| {
        let was_kept = error.message().is_some();
        if was_kept {
            Failure::NotSent
        } else {
            Failure::Cut
        }
    })
}

fn request(
    shared: &Shared,
    call: &AttemptCall,
    body: &ForwardedRequest,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(body.body.clone()));
    *request.method_mut() = body.method.clone();
    *request.uri_mut() = body.path.parse().ok()?;
    let headers = request.headers_mut();
    headers.extend(body.headers.clone());
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    headers.insert(HOST, value(call.address())?);
    headers.insert(ATTEMPT, HeaderValue::from(call.attempt.0));
    headers.insert(FROM, value(&shared.me)?);
    if let Route::Group { group, epoch, .. } = &call.route {
        headers.insert(GROUP, value(group)?);
        headers.insert(EPOCH, HeaderValue::from(epoch.0));
        headers.insert(RESUME_AT, HeaderValue::from(call.resume_at));
    }
    Some(request)
}

fn value<T>(text: T) -> Option<HeaderValue>
where
    T: ToString,
{
    HeaderValue::try_from(text.to_string()).ok()
}

/// Finds out whether the answer's head means that the call is being run.
fn check(call: &AttemptCall, response: &Response<Incoming>) -> Result<(), Failure> {
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

/// Tells the loop that the answer has begun, and keeps its head.
fn begin(shared: &Shared, call: &AttemptCall, response: &Response<Incoming>) {
    let mut headers = response.headers().clone();
    let echo = Echo {
        attempt: number(&headers, &ATTEMPT).map(AttemptId),
        epoch: number(&headers, &EPOCH).map(Epoch),
    };
    for name in NOT_PASSED {
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

fn number<T>(headers: &HeaderMap, name: &HeaderName) -> Option<T>
where
    T: std::str::FromStr,
{
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Whether the body's end can be told from a cut connection.
fn has_end(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn body_is_empty(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

fn request_is_head(shared: &Shared, call: &AttemptCall) -> bool {
    shared
        .calls
        .forwarded(call.call)
        .is_some_and(|body| body.method == http::Method::HEAD)
}

/// Passes a stream on, event by event; it is whole once its last event was seen.
async fn pass_stream(
    shared: &Shared,
    call: &AttemptCall,
    mut body: Incoming,
) -> Result<(), Failure> {
    let attempt = call.attempt;
    let mut events = EventDecoder::default();
    loop {
        let frame = body.frame().await.ok_or(Failure::Cut)?;
        let frame = frame.map_err(|_| Failure::Cut)?;
        if let Some(bytes) = frame.data_ref() {
            events.push(bytes);
        }
        while let Some(event) = events.next_event().map_err(|_| Failure::Cut)? {
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
                    drain(body).await;
                    return Ok(());
                }
            }
        }
    }
}

/// Reads a body to its end, so that its connection can be used again.
async fn drain(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

/// Passes an answer on once it has come whole.
async fn pass_whole(
    shared: &Shared,
    call: &AttemptCall,
    mut body: Incoming,
) -> Result<(), Failure> {
    let attempt = call.attempt;
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::Cut)?;
        if let Some(bytes) = frame.data_ref() {
            whole.extend_from_slice(bytes);
        }
        if whole.len() > MAX_WHOLE {
            return Err(Failure::Cut);
        }
    }
    shared.send(RunnerInput::Chunk {
        attempt,
        offset: 0,
        tokens: 0,
        payload: Payload(whole.freeze()),
    });
    shared.send(RunnerInput::Finished { attempt });
    Ok(())
}
