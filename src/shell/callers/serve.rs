//! Answers callers' requests.

use super::{
    super::{
        Clock, SharedCore,
        calls::{CallEvent, Calls},
        metrics,
    },
    answer::{self, Answer},
    ask::{self, Fault},
    connections::Connections,
    counted::Counted,
};
use crate::{
    core::{count::Count, input::Target, keys::ModelName, output::Refusal, time::Span},
    settings::Settings,
};
use bytes::Bytes;
use compio::net::TcpListener;
use futures_util::StreamExt as _;
use http::{Method, Request, StatusCode, request::Parts};
use http_body::Body as _;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::{cell::Cell, rc::Rc, time::Duration};

/// When a caller turned away for want of room may come back.
const FULL_RETRY: Span = Span::from_secs(1);

/// The content type of Prometheus text.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// What every connection needs.
pub(super) struct Site {
    calls: Rc<Calls>,
    core: SharedCore,
    clock: Clock,
    max_body: usize,
    /// The most calls open or being read.
    pub(super) max_calls: usize,
    /// How long a caller may take to send a head, again a body, and to read nothing.
    pub(super) caller_timeout: Duration,
    /// What this side has counted.
    pub(super) counted: Counted,
    reading: Cell<usize>,
}

/// Serves callers until told to stop.
pub fn start(
    listener: TcpListener,
    calls: Rc<Calls>,
    core: SharedCore,
    clock: Clock,
    settings: &Settings,
) -> Connections {
    let site = Site {
        calls,
        core,
        clock,
        max_body: settings.max_body,
        max_calls: settings.max_calls,
        caller_timeout: settings.caller_timeout,
        counted: Counted::default(),
        reading: Cell::new(0),
    };
    Connections::start(listener, Rc::new(site))
}

/// Answers one request.
pub(super) async fn respond(site: &Site, request: Request<Incoming>) -> Answer {
    let (parts, body) = request.into_parts();
    let mut answer = match route(&parts) {
        Route::Health => answer::text(StatusCode::OK, "ok\n"),
        Route::Ready => ready(site),
        Route::Metrics => counts(site),
        Route::Entries => entries(site, &parts).await,
        Route::Call(kind) => call(site, kind, parts, body).await,
        Route::Unknown => answer::refused(Refusal::NotFound, None),
    };
    if site.calls.is_stopping() {
        answer::close_after(&mut answer);
    }
    answer
}

/// What a request's line asks for.
enum Route {
    Health,
    Ready,
    Metrics,
    Entries,
    Call(CallKind),
    Unknown,
}

/// The two kinds of calls.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Completion,
    Service,
}

fn route(parts: &Parts) -> Route {
    let path = parts.uri.path();
    if path.starts_with(ask::SERVICES) {
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

fn ready(site: &Site) -> Answer {
    let fresh = site.core.borrow().members().is_fresh(site.clock.now());
    if site.calls.is_stopping() {
        return answer::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if !fresh {
        return answer::text(StatusCode::SERVICE_UNAVAILABLE, "stale\n");
    }
    answer::text(StatusCode::OK, "ready\n")
}

fn counts(site: &Site) -> Answer {
    let mut counts = site.core.borrow().counts();
    counts.push(Count::gauge("calls_open", site.calls.count() as u64));
    site.counted.counts(&mut counts);
    let text = metrics::render(&counts);
    answer::full(StatusCode::OK, METRICS_TYPE, text.into())
}

async fn entries(site: &Site, parts: &Parts) -> Answer {
    let Some(credential) = ask::credential(&parts.headers) else {
        return answer::refused(Refusal::Unauthorized, None);
    };
    if is_full(site) {
        return full(site);
    }
    let model = ask::query(parts, "model").map(ModelName::from);
    let mut open = site.calls.open_entries(credential, model);
    match open.events.next().await {
        Some(CallEvent::Entries {
            entries,
            ttl,
            ticket,
        }) => answer::entries(&entries, ttl, ticket.as_ref()),
        Some(CallEvent::End(ending)) => answer::ended(ending),
        _ => answer::refused(Refusal::Stopping, None),
    }
}

async fn call(site: &Site, kind: CallKind, parts: Parts, body: Incoming) -> Answer {
    let Some(credential) = ask::credential(&parts.headers) else {
        return answer::refused(Refusal::Unauthorized, None);
    };
    if is_full(site) {
        return full(site);
    }
    let bytes = match read_body(site, body).await {
        Ok(bytes) => bytes,
        Err(fault) => return bad_request(site, &fault),
    };
    let asked = match kind {
        CallKind::Completion => ask::completion(&parts, credential, bytes),
        CallKind::Service => ask::service(&parts, credential, bytes),
    };
    let mut asked = match asked {
        Ok(asked) => asked,
        Err(fault) => return bad_request(site, &fault),
    };
    mark_idempotent(site, &mut asked);
    let open = site.calls.open(asked.body);
    match (kind, asked.stream) {
        (CallKind::Completion, true) => answer::stream(open).await,
        (CallKind::Completion, false) => answer::joined(open).await,
        (CallKind::Service, _) => answer::whole(open).await,
    }
}

fn is_full(site: &Site) -> bool {
    site.calls.count() + site.reading.get() >= site.max_calls
}

fn full(site: &Site) -> Answer {
    site.counted.full();
    answer::refused(Refusal::Overloaded, Some(FULL_RETRY))
}

fn bad_request(site: &Site, fault: &Fault) -> Answer {
    site.counted.bad_request();
    answer::fault(fault)
}

/// Counts a request as being read, for as long as it lives.
struct Reading<'a>(&'a Cell<usize>);

impl<'a> Reading<'a> {
    fn begin(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Reads a body whole, within the limits of size and time.
async fn read_body(site: &Site, body: Incoming) -> Result<Bytes, Fault> {
    if body.size_hint().lower() > site.max_body as u64 {
        return Err(Fault::too_large());
    }
    let _reading = Reading::begin(&site.reading);
    let limited = Limited::new(body, site.max_body).collect();
    let read = compio::time::timeout(site.caller_timeout, limited)
        .await
        .map_err(|_| Fault::slow())?;
    match read {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Fault::too_large()),
        Err(_) => Err(Fault::cut()),
    }
}

/// Takes a service's calls as non-idempotent where its record says so and the caller is silent.
fn mark_idempotent(site: &Site, asked: &mut ask::Asked) {
    if asked.marked {
        return;
    }
    if let Target::Service { service } = &asked.body.request.target {
        let core = site.core.borrow();
        let record = core.config().view().service(service);
        asked.body.request.idempotent = record.is_some_and(|record| record.idempotent);
    }
}
