//! Answers to callers.

use crate::shell::http::HOP_BY_HOP;
use bytes::Bytes;
use futures_channel::mpsc;
use http::{
    HeaderMap, HeaderName, HeaderValue, Response, StatusCode,
    header::{CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, RETRY_AFTER},
};
use http_body::Frame;
use http_body_util::{Either, Full, StreamBody};
use std::fmt;

/// The events of a stream, as they come.
pub type Events = StreamBody<mpsc::Receiver<Result<Frame<Bytes>, Incomplete>>>;

/// The body of an answer.
pub type Body = Either<Full<Bytes>, Events>;

/// An answer to a caller.
pub type Answer = Response<Body>;

/// A stream that ended without being complete; the connection is cut.
#[derive(Clone, Copy, Debug)]
pub struct Incomplete;

impl fmt::Display for Incomplete {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer is not complete")
    }
}

impl std::error::Error for Incomplete {}

/// Why the gateway itself ends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    NoAccount,
    /// The body is too long.
    TooLong,
    /// The body did not arrive whole.
    BadBody,
    /// Nothing serves the request now; it has not run.
    Unavailable {
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// It may have run, and its answer is lost.
    Unknown,
    /// It took longer than the route allows; it may have run.
    TimedOut,
}

impl Refusal {
    /// Its status.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::NotConfigured | Refusal::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::NoAccount => StatusCode::UNAUTHORIZED,
            Refusal::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BadBody => StatusCode::BAD_REQUEST,
            Refusal::Unknown => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Headers for a proxy before the callers.
const PROXY_ONLY: [HeaderName; 2] = [PROXY_AUTHENTICATE, PROXY_AUTHORIZATION];

/// Removes the headers that concern one connection only.
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
    for name in HOP_BY_HOP.into_iter().chain(PROXY_ONLY) {
        headers.remove(name);
    }
}

/// The answer to a request that the gateway ends itself.
pub fn refused(refusal: Refusal) -> Answer {
    let mut answer = whole(refusal.status(), Bytes::new());
    let retry_ms = match refusal {
        Refusal::Unavailable { retry_ms } => retry_ms,
        Refusal::NotConfigured => UNCONFIGURED_RETRY_MS,
        _ => return answer,
    };
    let seconds = format!("{}.{:03}", retry_ms / 1_000, retry_ms % 1_000);
    if let Ok(value) = HeaderValue::try_from(seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// When to come back to a daemon that has just started.
const UNCONFIGURED_RETRY_MS: u64 = 500;

/// An answer known whole.
pub fn whole(status: StatusCode, bytes: Bytes) -> Answer {
    let mut answer = Response::new(Either::Left(Full::new(bytes)));
    *answer.status_mut() = status;
    answer
}
