//! Responses to callers.

use super::routes::AccessError;
use crate::shell::http::HOP_BY_HOP;
use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::Stream;
use http::{
    HeaderMap, HeaderName, HeaderValue, Response, StatusCode,
    header::{CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, RETRY_AFTER},
};
use http_body::Frame;
use http_body_util::{Either, Full, StreamBody};
use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Part of a stream that is passed to the caller's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamPart {
    /// Whole event.
    Event(Bytes),
    /// End of a complete stream.
    End,
}

/// Parts of a stream as frames; it is incomplete unless its end was sent.
pub struct EventFrames {
    parts: mpsc::Receiver<StreamPart>,
    is_ended: bool,
}

impl EventFrames {
    /// Creates the frames of the parts that are received.
    pub fn new(parts: mpsc::Receiver<StreamPart>) -> Self {
        Self {
            parts,
            is_ended: false,
        }
    }
}

impl Stream for EventFrames {
    type Item = Result<Frame<Bytes>, IncompleteStream>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        let part = ready!(Pin::new(&mut self.parts).poll_next(cx));
        if let Some(StreamPart::Event(bytes)) = part {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        self.is_ended = true;
        Poll::Ready(match part {
            Some(StreamPart::End) => None,
            _ => Some(Err(IncompleteStream)),
        })
    }
}

/// Body of a stream, sent event by event.
pub type EventBody = StreamBody<EventFrames>;

/// Body of a response, either known in full or streamed.
pub type Body = Either<Full<Bytes>, EventBody>;

/// Response to a caller.
pub type CallResponse = Response<Body>;

/// Error of a stream that ended early; the caller's connection is cut.
#[derive(Clone, Copy, Debug)]
pub struct IncompleteStream;

impl fmt::Display for IncompleteStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("stream ended before the response was complete")
    }
}

impl std::error::Error for IncompleteStream {}

/// Reason for which the gateway itself ends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration has been read yet.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    NoAccount,
    /// The body exceeds the size limit.
    TooLong,
    /// The body did not arrive in full.
    BadBody,
    /// No runner can take the request now; it has not run.
    Unavailable {
        /// Delay after which the caller should retry, in milliseconds.
        retry_ms: u64,
    },
    /// It or a part of its prompt crashes runners; it has not run.
    Quarantined,
    /// It may have run, and its response is lost.
    Unknown,
    /// The deadline has passed; it may have run.
    TimedOut,
}

impl From<AccessError> for Refusal {
    fn from(error: AccessError) -> Self {
        match error {
            AccessError::NoRoute => Refusal::NoRoute,
            AccessError::NoAccount => Refusal::NoAccount,
        }
    }
}

impl Refusal {
    /// Returns the HTTP status for the caller.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::NotConfigured | Refusal::Unavailable { .. } | Refusal::Quarantined => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::NoAccount => StatusCode::UNAUTHORIZED,
            Refusal::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BadBody => StatusCode::BAD_REQUEST,
            Refusal::Unknown => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Headers that are meant for a proxy between the caller and the gateway.
const PROXY_HEADERS: [HeaderName; 2] = [PROXY_AUTHENTICATE, PROXY_AUTHORIZATION];

/// Removes the headers that apply to a single connection.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in HOP_BY_HOP.into_iter().chain(PROXY_HEADERS) {
        headers.remove(name);
    }
}

/// Builds the response to a request that the gateway ends itself.
pub fn refused(refusal: Refusal) -> CallResponse {
    let mut response = full(refusal.status(), Bytes::new());
    let retry_ms = match refusal {
        Refusal::Unavailable { retry_ms } => retry_ms,
        Refusal::NotConfigured => UNCONFIGURED_RETRY_DELAY_MS,
        Refusal::Quarantined => QUARANTINED_RETRY_DELAY_MS,
        _ => return response,
    };
    let seconds = format!("{}.{:03}", retry_ms / 1_000, retry_ms % 1_000);
    if let Ok(value) = HeaderValue::try_from(seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Retry delay that is sent by a daemon that has not read a configuration yet.
pub(super) const UNCONFIGURED_RETRY_DELAY_MS: u64 = 500;

/// Retry delay of a quarantined request; retries are refused for hours.
const QUARANTINED_RETRY_DELAY_MS: u64 = 600_000;

/// Builds a response whose body is known in full.
pub fn full(status: StatusCode, bytes: Bytes) -> CallResponse {
    let mut response = Response::new(Either::Left(Full::new(bytes)));
    *response.status_mut() = status;
    response
}
