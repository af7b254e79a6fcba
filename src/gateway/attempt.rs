//! One send of a request to one runner.

use super::{
    adapter::{Adapter, ForwardHeaders, ResponseHead},
    balancer::{self, Place},
    call::{Begun, Call, Counted, Miss, Passing},
    connection::{CONNECT_TIMEOUT, RunnerConnection, SendError},
    spec::RouteKind,
};
use crate::core::time::Span;
use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{Request, Response, StatusCode, header::CONTENT_ENCODING};
use http_body_util::Full;
use metrics::counter;
use std::{pin::pin, time::Duration};

/// How often a waiting request looks whether its runner still serves.
pub(super) const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// How long an idempotent request waits for a plain service before it asks another runner.
const PATIENCE: Span = Span::from_millis(900);

/// How long a request waits for its first event at a head whose streams are silent.
const STALL_PATIENCE: Span = Span::from_millis(500);

/// The same at a head that passes on no other stream of this daemon.
const LONE_PATIENCE: Span = Span::from_millis(1_000);

/// One send to one runner.
pub(super) async fn attempt<A>(
    call: &mut Call,
    place: &Place,
    passing: Passing,
) -> Result<Begun, Miss>
where
    A: Adapter,
{
    let counted = Counted::new(call.site.clone(), place.host);
    let mut exchange = open(call, place).await?;
    let request = request::<A>(call, place, passing);
    call.sends += 1;
    call.runs += 1;
    let response = {
        let sending = async {
            let sent = exchange.send(request).await;
            sent.map_err(|error| match error {
                SendError::Refused | SendError::NotSent => Miss::Unreached,
                SendError::Cut => Miss::Unknown,
            })
        };
        until(call, place, sending).await.and_then(|sent| sent)
    };
    let response = match response {
        Ok(response) => response,
        Err(miss) => {
            if miss == Miss::Unreached {
                call.runs -= 1;
            }
            return Err(miss);
        }
    };
    let (parts, body) = response.into_parts();
    let head = A::decode_response(&parts);
    if let Some(load) = head.load {
        let now = call.site.now();
        call.site.loads.borrow_mut().reported(place.host, load, now);
    }
    if let Some(miss) = judge(call, &parts, &head) {
        if miss == Miss::Declined {
            call.runs -= 1;
        }
        return Err(miss);
    }
    Ok(Begun {
        place: place.clone(),
        exchange,
        response: Response::from_parts(parts, body),
        counted,
    })
}

/// Why an answer is not passed on, if it isn't.
fn judge(call: &Call, parts: &http::response::Parts, head: &ResponseHead) -> Option<Miss> {
    if head.id != call.head.id {
        return Some(Miss::Unknown);
    }
    if head.not_run || parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Miss::Declined);
    }
    let is_spoiled = parts.headers.contains_key(CONTENT_ENCODING);
    if is_spoiled || (parts.status.is_success() && !head.has_proof) {
        return Some(Miss::Unknown);
    }
    let may_fail_over = call.route.kind == RouteKind::Idempotent
        && parts.status.is_server_error()
        && call.runs < call.route.attempts;
    may_fail_over.then_some(Miss::Failed)
}

/// Connects to a runner; one that was reached before gets little longer than it took then.
async fn open(call: &Call, place: &Place) -> Result<RunnerConnection, Miss> {
    let loads = &call.site.loads;
    let began = call.site.now();
    let limit = loads.borrow().connect_limit(place.host);
    let timeout = limit.map_or(CONNECT_TIMEOUT, Duration::from);
    let opened = RunnerConnection::open(place.address, timeout).await;
    let exchange = opened.map_err(|_| Miss::Unreached)?;
    let took = call.site.now().since(began);
    loads.borrow_mut().reached(place.host, took);
    Ok(exchange)
}

/// The request as it is sent to a runner.
fn request<A>(call: &Call, place: &Place, passing: Passing) -> Request<Full<Bytes>>
where
    A: Adapter,
{
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    let passed = ForwardHeaders {
        remaining: call.deadline.since(call.site.now()),
        host: &place.name,
        account: call.account.as_ref(),
        resume_after: passing.resume_after,
        class: passing.standing,
    };
    A::set_headers(headers, &passed);
    request
}

/// Waits for a runner while it serves and there is time left.
pub(super) async fn until<F, T>(call: &Call, place: &Place, waited: F) -> Result<T, Miss>
where
    F: Future<Output = T>,
{
    let mut waited = pin!(waited);
    let began = call.site.now();
    loop {
        let look = pin!(compio::time::sleep(LOOK_INTERVAL));
        match select(waited.as_mut(), look).await {
            Either::Left((output, _)) => return Ok(output),
            Either::Right(_) => {}
        }
        let now = call.site.now();
        if now >= call.deadline {
            return Err(Miss::TimedOut);
        }
        if is_hopeless(call, place, now.since(began)) {
            return Err(Miss::Unknown);
        }
    }
}

/// Whether a repeatable request should rather go elsewhere than be waited for.
fn is_hopeless(call: &Call, place: &Place, waited: Span) -> bool {
    if !call.is_repeatable() {
        return false;
    }
    if !balancer::still_serves(&call.site.roster.borrow(), place) {
        return true;
    }
    if !call.may_move() {
        return false;
    }
    if place.epoch.is_none() {
        return waited > PATIENCE;
    }
    let silence = call
        .site
        .loads
        .borrow()
        .silence(place.host, call.site.now());
    let patience = match silence.has_streams {
        true => STALL_PATIENCE,
        false => LONE_PATIENCE,
    };
    silence.span.min(waited) > patience
}

/// Logs a send that came to nothing, and remembers it of the runner.
pub(super) fn note_miss(call: &Call, place: &Place, miss: Miss) {
    let now = call.site.now();
    let is_silent = place.epoch.is_some() && call.site.loads.borrow().stalled(place.host, now);
    if is_silent || matches!(miss, Miss::Unreached | Miss::Declined) {
        call.site.loads.borrow_mut().failed(place.host, now);
    }
    counter!("sends_missed_total", "miss" => miss.name()).increment(1);
    slog::info!(call.site.log, "send missed";
        "request" => call.id(),
        "host" => place.name.as_str(),
        "epoch" => place.epoch.map_or(0, |epoch| epoch.0),
        "miss" => format!("{miss:?}"),
        "sends" => call.sends,
        "after_ms" => now.since(call.arrived).as_millis());
}
