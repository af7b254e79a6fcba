//! Routes callers' requests and sends the responses.

use super::{
    super::{
        Clock, SharedCore,
        calls::{CallEvent, Calls},
        connections::Connections,
        metrics,
        request_body::RequestBody,
    },
    connections,
    counters::Counters,
    parse::{self, RequestError},
    response::{self, CallerResponse},
};
use crate::{
    core::{input::Target, keys::ModelName, metric::Metric, output::Refusal, time::Span},
    settings::Settings,
};
use bytes::Bytes;
use compio::net::TcpListener;
use futures_util::StreamExt as _;
use http::{Method, Request, StatusCode, request::Parts};
use http_body::Body as _;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use std::{cell::Cell, rc::Rc, time::Duration};

/// `retry-after` of a call refused because too many are open.
const OVERLOAD_RETRY_AFTER: Span = Span::from_secs(1);

/// Content type of Prometheus text.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// State shared by all connections of callers.
pub(super) struct CallerState {
    calls: Rc<Calls>,
    core: SharedCore,
    clock: Clock,
    max_body: usize,
    /// Limit on calls that are open or being read.
    pub(super) max_calls: usize,
    /// Time that a caller has to send a head, then to send a body, and may go without reading.
    pub(super) caller_timeout: Duration,
    /// Counters of connections and refusals.
    pub(super) counters: Counters,
    reading_bodies: Cell<usize>,
}

/// Starts serving callers.
pub fn start(
    listener: TcpListener,
    calls: Rc<Calls>,
    core: SharedCore,
    clock: Clock,
    settings: &Settings,
) -> Connections {
    let state = CallerState {
        calls,
        core,
        clock,
        max_body: settings.max_body,
        max_calls: settings.max_calls,
        caller_timeout: settings.caller_timeout,
        counters: Counters::default(),
        reading_bodies: Cell::new(0),
    };
    connections::start(listener, Rc::new(state))
}

/// Handles one request.
pub(super) async fn respond(state: &CallerState, request: Request<RequestBody>) -> CallerResponse {
    let (parts, body) = request.into_parts();
    let mut response = match route(&parts) {
        Route::Health => response::text(StatusCode::OK, "ok\n"),
        Route::Ready => ready(state),
        Route::Metrics => metrics_page(state),
        Route::Entries => entries(state, &parts).await,
        Route::Call(kind) => call(state, kind, parts, body).await,
        Route::Unknown => response::refused(Refusal::NotFound, None),
    };
    if state.calls.is_stopping() {
        response::set_close(&mut response);
    }
    response
}

/// Route of a request by its method and path.
enum Route {
    Health,
    Ready,
    Metrics,
    Entries,
    Call(CallKind),
    Unknown,
}

/// Kind of a call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Completion,
    Service,
}

fn route(parts: &Parts) -> Route {
    let path = parts.uri.path();
    if path.starts_with(parse::SERVICES_PREFIX) {
        return Route::Call(CallKind::Service);
    }
    match (&parts.method, path) {
        (&Method::GET, "/health") => Route::Health,
        (&Method::GET, "/ready") => Route::Ready,
        (&Method::GET, "/metrics") => Route::Metrics,
        (&Method::GET, "/v1/entries") => Route::Entries,
        (&Method::POST, "/v1/completions") => Route::Call(CallKind::Completion),
        _ => Route::Unknown,
    }
}

fn ready(state: &CallerState) -> CallerResponse {
    let fresh = state.core.borrow().members().is_fresh(state.clock.now());
    if state.calls.is_stopping() {
        return response::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if !fresh {
        return response::text(StatusCode::SERVICE_UNAVAILABLE, "stale\n");
    }
    response::text(StatusCode::OK, "ready\n")
}

fn metrics_page(state: &CallerState) -> CallerResponse {
    let mut counts = state.core.borrow().metrics();
    counts.push(Metric::gauge("calls_open", state.calls.count() as u64));
    state.counters.collect(&mut counts);
    let text = metrics::render(&counts);
    response::full(StatusCode::OK, METRICS_CONTENT_TYPE, text.into())
}

async fn entries(state: &CallerState, parts: &Parts) -> CallerResponse {
    let Some(credential) = parse::credential(&parts.headers) else {
        return response::refused(Refusal::Unauthorized, None);
    };
    if at_call_limit(state) {
        return overloaded(state);
    }
    let model = parse::query(parts, "model").map(ModelName::from);
    let mut call = state.calls.open_entries(credential, model);
    match call.events.next().await {
        Some(CallEvent::Entries {
            entries,
            ttl,
            ticket,
        }) => response::entries(&entries, ttl, ticket.as_ref()),
        Some(CallEvent::End(ending)) => response::ended(ending),
        _ => response::refused(Refusal::Stopping, None),
    }
}

async fn call(
    state: &CallerState,
    kind: CallKind,
    parts: Parts,
    body: RequestBody,
) -> CallerResponse {
    let Some(credential) = parse::credential(&parts.headers) else {
        return response::refused(Refusal::Unauthorized, None);
    };
    if at_call_limit(state) {
        return overloaded(state);
    }
    let bytes = match read_body(state, body).await {
        Ok(bytes) => bytes,
        Err(error) => return bad_request(state, &error),
    };
    let parsed = match kind {
        CallKind::Completion => parse::completion(&parts, credential, bytes),
        CallKind::Service => parse::service(&parts, credential, bytes),
    };
    let mut parsed = match parsed {
        Ok(parsed) => parsed,
        Err(error) => return bad_request(state, &error),
    };
    apply_service_record(state, &mut parsed);
    let call = state.calls.open(parsed.forwarded);
    match (kind, parsed.stream) {
        (CallKind::Completion, true) => response::stream(call).await,
        (CallKind::Completion, false) => response::joined(call).await,
        (CallKind::Service, _) => response::buffered(call).await,
    }
}

fn at_call_limit(state: &CallerState) -> bool {
    state.calls.count() + state.reading_bodies.get() >= state.max_calls
}

fn overloaded(state: &CallerState) -> CallerResponse {
    state.counters.refuse_call();
    response::refused(Refusal::Overloaded, Some(OVERLOAD_RETRY_AFTER))
}

fn bad_request(state: &CallerState, error: &RequestError) -> CallerResponse {
    state.counters.bad_request();
    response::invalid(error)
}

/// Guard that counts a body as being read until it is dropped.
struct BodyReadGuard<'a>(&'a Cell<usize>);

impl<'a> BodyReadGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for BodyReadGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Reads a complete body, within the limits of size and time.
async fn read_body(state: &CallerState, body: RequestBody) -> Result<Bytes, RequestError> {
    if body.size_hint().lower() > state.max_body as u64 {
        return Err(RequestError::too_large());
    }
    let _guard = BodyReadGuard::new(&state.reading_bodies);
    let limited = Limited::new(body, state.max_body).collect();
    let read = compio::time::timeout(state.caller_timeout, limited)
        .await
        .map_err(|_| RequestError::timed_out())?;
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(RequestError::too_large()),
        Err(_) => Err(RequestError::incomplete()),
    }
}

/// Takes `idempotent` from the service's record if the caller doesn't set it.
fn apply_service_record(state: &CallerState, parsed: &mut parse::ParsedRequest) {
    if parsed.sets_idempotent {
        return;
    }
    if let Target::Service { service } = &parsed.forwarded.request.target {
        let core = state.core.borrow();
        let record = core.config().view().service(service);
        parsed.forwarded.request.idempotent = record.is_some_and(|record| record.idempotent);
    }
}
