//! Writes answers: each ends in exactly one of the outcomes that callers know.

use super::{
    super::calls::{CallEvent, OpenCall, ResponseHead},
    ask::{Fault, format_ticket, is_passed_on},
    body::{CallerBody, EventStream},
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

/// An answer to a caller.
pub(super) type Answer = Response<CallerBody>;

/// The largest answer that is collected whole, in bytes.
const MAX_ANSWER: usize = 16 << 20;
const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// How an answer that is not complete tells its outcome.
#[derive(Serialize)]
pub(super) struct Outcome<'a, R> {
    outcome: &'static str,
    reason: R,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
}

/// The JSON that says how a call ended; nothing if it is complete.
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

/// A short text.
pub(super) fn text(status: StatusCode, text: &'static str) -> Answer {
    full(
        status,
        "text/plain; charset=utf-8",
        Bytes::from_static(text.as_bytes()),
    )
}

/// An answer with a whole body.
pub(super) fn full(status: StatusCode, kind: &'static str, bytes: Bytes) -> Answer {
    let mut answer = Response::new(CallerBody::whole(bytes));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// Asks the caller to open a new connection for its next request.
pub(super) fn close_after(answer: &mut Answer) {
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
}

/// A refusal: the request was not run.
pub(super) fn refused(reason: Refusal, retry_after: Option<Span>) -> Answer {
    let outcome = Outcome {
        outcome: "not_run",
        reason,
        detail: None,
    };
    let mut answer = told(refusal_status(reason), "not-run", json(&outcome));
    if let Some(after) = retry_after {
        let seconds = HeaderValue::from(after.as_secs_f64().ceil().max(1.0) as u64);
        answer.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    answer
}

/// A refusal of a request that makes no sense.
pub(super) fn fault(fault: &Fault) -> Answer {
    let outcome = Outcome {
        outcome: "not_run",
        reason: Refusal::Invalid,
        detail: Some(fault.detail),
    };
    let mut answer = told(fault.status, "not-run", json(&outcome));
    close_after(&mut answer);
    answer
}

/// The end of a call of which nothing has been passed on.
pub(super) fn ended(ending: Ending) -> Answer {
    match ending {
        Ending::Complete => unknown(Doubt::RunnerError),
        Ending::Refused {
            reason,
            retry_after,
        } => refused(reason, retry_after),
        Ending::Unknown(doubt) => unknown(doubt),
    }
}

/// The daemons to use.
pub(super) fn entries(entries: &[EntryAddress], ttl: Span, ticket: Option<&Ticket>) -> Answer {
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

/// Collects a service's answer and passes it on once it is complete.
pub(super) async fn whole(mut open: OpenCall) -> Answer {
    let (head, bytes) = match collect(&mut open).await {
        Ok(collected) => collected,
        Err(answer) => return *answer,
    };
    let mut answer = Response::new(CallerBody::whole(bytes));
    *answer.status_mut() = head.status;
    for (name, value) in &head.headers {
        if is_passed_on(name) {
            answer.headers_mut().append(name.clone(), value.clone());
        }
    }
    mark(&mut answer, "complete");
    answer
}

/// Collects a completion's events and joins their texts.
pub(super) async fn joined(mut open: OpenCall) -> Answer {
    let (_, events) = match collect(&mut open).await {
        Ok(collected) => collected,
        Err(answer) => return *answer,
    };
    let Some(joined) = join(&events) else {
        return unknown(Doubt::RunnerError);
    };
    told(StatusCode::OK, "complete", json(&joined))
}

/// Passes a completion's events on as they come.
pub(super) async fn stream(mut open: OpenCall) -> Answer {
    match open.events.next().await {
        Some(CallEvent::Begin(_)) => {}
        Some(CallEvent::End(ending)) => return ended(ending),
        _ => return unknown(Doubt::Cut),
    }
    let mut answer = Response::new(CallerBody::Stream(EventStream::new(open)));
    let kind = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    let uncached = HeaderValue::from_static("no-cache");
    answer.headers_mut().insert(header::CACHE_CONTROL, uncached);
    answer
}

async fn collect(open: &mut OpenCall) -> Result<(ResponseHead, Bytes), Box<Answer>> {
    let mut head = None;
    let mut bytes = BytesMut::new();
    loop {
        match open.events.next().await {
            Some(CallEvent::Begin(begun)) => head = Some(begun),
            Some(CallEvent::Data { bytes: part, .. }) => bytes.extend_from_slice(&part),
            Some(CallEvent::End(Ending::Complete)) => break,
            Some(CallEvent::End(ending)) => return Err(Box::new(ended(ending))),
            Some(CallEvent::Entries { .. }) | None => return Err(Box::new(unknown(Doubt::Cut))),
        }
        if bytes.len() > MAX_ANSWER {
            return Err(Box::new(unknown(Doubt::RunnerError)));
        }
    }
    match head {
        Some(head) => Ok((head, bytes.freeze())),
        None => Err(Box::new(unknown(Doubt::RunnerError))),
    }
}

/// One event of a runner's answer.
#[derive(Deserialize)]
struct Event {
    offset: u64,
    tokens: u64,
    text: String,
}

/// A whole completion.
#[derive(Default, Serialize)]
struct Joined {
    text: String,
    tokens: u64,
}

/// Joins events' texts; nothing if they don't follow on each other.
fn join(events: &[u8]) -> Option<Joined> {
    let mut joined = Joined::default();
    for line in std::str::from_utf8(events).ok()?.lines() {
        let Some(data) = line.strip_prefix("data:") else {
            continue;
        };
        let event: Event = serde_json::from_str(data.trim()).ok()?;
        if event.offset != joined.tokens {
            return None;
        }
        joined.tokens += event.tokens;
        joined.text.push_str(&event.text);
    }
    Some(joined)
}

fn unknown(doubt: Doubt) -> Answer {
    let status = match doubt {
        Doubt::Expired | Doubt::Stalled => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let outcome = Outcome {
        outcome: "unknown",
        reason: doubt,
        detail: None,
    };
    told(status, "unknown", json(&outcome))
}

fn told(status: StatusCode, outcome: &'static str, json: String) -> Answer {
    let mut answer = Response::new(CallerBody::whole(json.into()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(header::CONTENT_TYPE, JSON);
    mark(&mut answer, outcome);
    answer
}

fn mark(answer: &mut Answer, outcome: &'static str) {
    let outcome = HeaderValue::from_static(outcome);
    answer.headers_mut().insert(OUTCOME, outcome);
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
