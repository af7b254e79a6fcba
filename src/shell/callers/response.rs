//! Builds the responses to callers.
//!
//! Each response ends with exactly one outcome: complete, not run or unknown.

use super::{
    super::calls::{CallEvent, OpenCall, ResponseHead},
    body::{CallerBody, EventStream},
    parse::{RequestError, format_ticket, is_forwarded},
};
use crate::core::{
    input::Ticket,
    output::{Doubt, Ending, EntryAddress, Refusal},
    time::Span,
};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};

/// A response to a caller.
pub(super) type CallerResponse = Response<CallerBody>;

/// Bytes of the largest response that is buffered as a whole.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// JSON body of a response that is not complete.
#[derive(Serialize)]
pub(super) struct Outcome<'a, R> {
    outcome: &'static str,
    reason: R,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
}

/// Returns the JSON that describes the ending; `None` if the call is complete.
pub(super) fn outcome_json(ending: &Ending) -> Option<String> {
    match ending {
        Ending::Complete => None,
        Ending::Refused { reason, .. } => Some(json(&Outcome {
            outcome: "not_run",
            reason,
            detail: None,
        })),
        Ending::Unknown(doubt) => Some(json(&Outcome {
            outcome: "unknown",
            reason: doubt,
            detail: None,
        })),
    }
}

/// Builds a plain text response.
pub(super) fn text(status: StatusCode, text: &'static str) -> CallerResponse {
    full(
        status,
        "text/plain; charset=utf-8",
        Bytes::from_static(text.as_bytes()),
    )
}

/// Builds a response with the given body.
pub(super) fn full(status: StatusCode, content_type: &'static str, bytes: Bytes) -> CallerResponse {
    let mut response = Response::new(CallerBody::whole(bytes));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Adds `connection: close`, so that the caller opens a new connection for its next request.
pub(super) fn set_close(response: &mut CallerResponse) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

/// Builds the response to a refused request, which was not run.
pub(super) fn refused(reason: Refusal, retry_after: Option<Span>) -> CallerResponse {
    let outcome = Outcome {
        outcome: "not_run",
        reason,
        detail: None,
    };
    let mut response = with_outcome(refusal_status(reason), "not-run", json(&outcome));
    if let Some(delay) = retry_after {
        let seconds = HeaderValue::from(delay.as_secs_f64().ceil().max(1.0) as u64);
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Builds the response to an invalid request.
pub(super) fn invalid(error: &RequestError) -> CallerResponse {
    let outcome = Outcome {
        outcome: "not_run",
        reason: Refusal::Invalid,
        detail: Some(error.detail),
    };
    let mut response = with_outcome(error.status, "not-run", json(&outcome));
    set_close(&mut response);
    response
}

/// Builds the response to a call that ended before any of its response was forwarded.
pub(super) fn ended(ending: Ending) -> CallerResponse {
    match ending {
        Ending::Complete => unknown(Doubt::RunnerError),
        Ending::Refused {
            reason,
            retry_after,
        } => refused(reason, retry_after),
        Ending::Unknown(doubt) => unknown(doubt),
    }
}

/// Builds the response that lists the daemons that the caller may use.
pub(super) fn entries(
    entries: &[EntryAddress],
    ttl: Span,
    ticket: Option<&Ticket>,
) -> CallerResponse {
    #[derive(Serialize)]
    struct Entries<'a> {
        entries: &'a [EntryAddress],
        ttl_ms: u64,
        ticket: Option<String>,
    }
    let text = json(&Entries {
        entries,
        ttl_ms: ttl.as_millis(),
        ticket: ticket.map(format_ticket),
    });
    full(StatusCode::OK, "application/json", text.into())
}

/// Buffers a service's response and forwards it once it is complete.
pub(super) async fn buffered(mut call: OpenCall) -> CallerResponse {
    let (head, bytes) = match collect(&mut call).await {
        Ok(collected) => collected,
        Err(response) => return *response,
    };
    let mut response = Response::new(CallerBody::whole(bytes));
    *response.status_mut() = head.status;
    for (name, value) in &head.headers {
        if is_forwarded(name) {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    set_outcome(&mut response, "complete");
    response
}

/// Buffers a completion's events and returns their joined text.
pub(super) async fn joined(mut call: OpenCall) -> CallerResponse {
    let (_, events) = match collect(&mut call).await {
        Ok(collected) => collected,
        Err(response) => return *response,
    };
    let Some(completion) = join_events(&events) else {
        return unknown(Doubt::RunnerError);
    };
    with_outcome(StatusCode::OK, "complete", json(&completion))
}

/// Forwards a completion's events as they arrive.
pub(super) async fn stream(mut call: OpenCall) -> CallerResponse {
    match call.events.next().await {
        Some(CallEvent::Begin(_)) => {}
        Some(CallEvent::End(ending)) => return ended(ending),
        _ => return unknown(Doubt::Cut),
    }
    let mut response = Response::new(CallerBody::Stream(EventStream::new(call)));
    let content_type = HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    let no_cache = HeaderValue::from_static("no-cache");
    response
        .headers_mut()
        .insert(header::CACHE_CONTROL, no_cache);
    response
}

async fn collect(call: &mut OpenCall) -> Result<(ResponseHead, Bytes), Box<CallerResponse>> {
    let mut head = None;
    let mut bytes = BytesMut::new();
    loop {
        match call.events.next().await {
            Some(CallEvent::Begin(begin)) => head = Some(begin),
            Some(CallEvent::Data { bytes: part, .. }) => bytes.extend_from_slice(&part),
            Some(CallEvent::End(Ending::Complete)) => break,
            Some(CallEvent::End(ending)) => return Err(Box::new(ended(ending))),
            Some(CallEvent::Entries { .. }) | None => return Err(Box::new(unknown(Doubt::Cut))),
        }
        if bytes.len() > MAX_RESPONSE_BYTES {
            return Err(Box::new(unknown(Doubt::RunnerError)));
        }
    }
    match head {
        Some(head) => Ok((head, bytes.freeze())),
        None => Err(Box::new(unknown(Doubt::RunnerError))),
    }
}

/// One event of a runner's response.
#[derive(Deserialize)]
struct CompletionEvent {
    offset: u64,
    tokens: u64,
    text: String,
}

/// Body of a completion that is not streamed.
#[derive(Default, Serialize)]
struct Completion {
    text: String,
    tokens: u64,
}

/// Joins the texts of the events; returns `None` if a token is missing between two of them.
fn join_events(events: &[u8]) -> Option<Completion> {
    let mut completion = Completion::default();
    for line in std::str::from_utf8(events).ok()?.lines() {
        let Some(data) = line.strip_prefix("data:") else {
            continue;
        };
        let event: CompletionEvent = serde_json::from_str(data.trim()).ok()?;
        if event.offset != completion.tokens {
            return None;
        }
        completion.tokens += event.tokens;
        completion.text.push_str(&event.text);
    }
    Some(completion)
}

fn unknown(doubt: Doubt) -> CallerResponse {
    let status = match doubt {
        Doubt::Expired | Doubt::Stalled => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let outcome = Outcome {
        outcome: "unknown",
        reason: doubt,
        detail: None,
    };
    with_outcome(status, "unknown", json(&outcome))
}

fn with_outcome(status: StatusCode, outcome: &'static str, json: String) -> CallerResponse {
    let mut response = Response::new(CallerBody::whole(json.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, JSON);
    set_outcome(&mut response, outcome);
    response
}

fn set_outcome(response: &mut CallerResponse, outcome: &'static str) {
    let outcome = HeaderValue::from_static(outcome);
    response.headers_mut().insert(OUTCOME, outcome);
}

fn json<T>(value: &T) -> String
where
    T: Serialize,
{
    serde_json::to_string(value).unwrap_or_default()
}

fn refusal_status(reason: Refusal) -> StatusCode {
    match reason {
        Refusal::Unauthorized => StatusCode::UNAUTHORIZED,
        Refusal::NotFound => StatusCode::NOT_FOUND,
        Refusal::Invalid => StatusCode::BAD_REQUEST,
        Refusal::OverLimit => StatusCode::TOO_MANY_REQUESTS,
        Refusal::Overloaded
        | Refusal::NoGroup
        | Refusal::Stopping
        | Refusal::Stale
        | Refusal::PlatformDown
        | Refusal::Exhausted
        | Refusal::Expired => StatusCode::SERVICE_UNAVAILABLE,
    }
}
