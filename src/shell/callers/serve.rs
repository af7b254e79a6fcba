//! Accepts callers' connections and answers their requests.

use {
    super::{
        super::{
            Clock, SharedCore,
            calls::{CallEvent, Calls},
            http::serve_http1,
            metrics,
        },
        answer::{self, Answer},
        ask::{self, Fault},
    },
    crate::{
        core::{input::Target, keys::ModelName, output::Refusal, time::Span},
        settings::Settings,
    },
    compio::net::TcpListener,
    futures_util::StreamExt as _,
    http::{Method, Request, StatusCode, request::Parts},
    http_body_util::{BodyExt as _, Limited},
    hyper::{body::Incoming, service::service_fn},
    std::{convert::Infallible, rc::Rc, time::Duration},
};

/// How long a caller may take to send a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the loop waits after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// When a caller turned away for want of room may come back.
const FULL_RETRY: Span = Span::from_secs(1);

/// The content type of Prometheus text.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// What every connection needs.
struct Site {
    calls: Rc<Calls>,
    core: SharedCore,
    clock: Clock,
    max_body: usize,
    max_calls: usize,
}

/// Serves callers until the loop ends.
pub fn start(
    listener: TcpListener,
    calls: Rc<Calls>,
    core: SharedCore,
    clock: Clock,
    settings: &Settings,
) {
    let site = Rc::new(Site {
        calls,
        core,
        clock,
        max_body: settings.max_body,
        max_calls: settings.max_calls,
    });
    compio::runtime::spawn(accept(listener, site)).detach();
}

async fn accept(listener: TcpListener, site: Rc<Site>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            compio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let site = site.clone();
        let service = service_fn(move |request| {
            let site = site.clone();
            async move { Ok::<_, Infallible>(respond(&site, request).await) }
        });
        compio::runtime::spawn(serve_http1(stream, service)).detach();
    }
}

async fn respond(site: &Site, request: Request<Incoming>) -> Answer {
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
    let text = metrics::render(&site.core, site.calls.count());
    answer::full(StatusCode::OK, METRICS_TYPE, text.into())
}

async fn entries(site: &Site, parts: &Parts) -> Answer {
    let Some(credential) = ask::credential(&parts.headers) else {
        return answer::refused(Refusal::Unauthorized, None);
    };
    if is_full(site) {
        return answer::refused(Refusal::Overloaded, Some(FULL_RETRY));
    }
    let model = ask::query(parts, "model").map(ModelName::from);
    let mut open = site.calls.ask_entries(credential, model);
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
        return answer::refused(Refusal::Overloaded, Some(FULL_RETRY));
    }
    let bytes = match read_body(site, body).await {
        Ok(bytes) => bytes,
        Err(fault) => return answer::fault(&fault),
    };
    let asked = match kind {
        CallKind::Completion => ask::completion(&parts, credential, bytes),
        CallKind::Service => ask::service(&parts, credential, bytes),
    };
    let mut asked = match asked {
        Ok(asked) => asked,
        Err(fault) => return answer::fault(&fault),
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
    site.calls.count() >= site.max_calls
}

/// Reads a body whole, within the limits of size and time.
async fn read_body(site: &Site, body: Incoming) -> Result<bytes::Bytes, Fault> {
    let limited = Limited::new(body, site.max_body).collect();
    let read = compio::time::timeout(BODY_TIMEOUT, limited)
        .await
        .map_err(|_| Fault::slow())?;
    match read {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Fault::too_large()),
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
