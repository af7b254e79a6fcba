//! Sends a request to one runner and waits for the head of its response.

use super::{
    adapter::{Adapter, ForwardHeaders, ResponseHead},
    announcements,
    balancer::{self, Endpoint},
    call::{AttemptError, AttemptParams, Call, InFlightGuard, StartedResponse},
    connection::{CONNECT_TIMEOUT, RunnerConnection, SendError},
    notices::Stated,
    permits::{self, Permit},
    reach_check,
    roster::Host,
    selection::has_alternative,
    spec::RouteKind,
};
use crate::{core::time::Span, shell::running_time};
use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{Request, Response, StatusCode, header::CONTENT_ENCODING};
use http_body_util::Full;
use metrics::counter;
use std::{pin::pin, time::Duration};

/// Interval at which a waiting request checks that its runner still serves.
pub(super) const SERVING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which the event loop reads what has arrived while it stalled, before a runner counts as
/// silent.
pub(super) const ARRIVAL_TIME: Duration = Duration::from_millis(20);

/// Timeout of a plain service's response to an idempotent request, which then goes to another
/// runner.
const PLAIN_RESPONSE_TIMEOUT: Span = Span::from_millis(900);

/// Timeout of the first event from a head whose streams to this daemon are all silent.
const STALLED_FIRST_EVENT_TIMEOUT: Span = Span::from_millis(500);

/// Timeout of the first event from a head that has no other stream to this daemon.
const FIRST_EVENT_TIMEOUT: Span = Span::from_millis(1_000);

/// Sends a request to a runner and returns its response once the head has arrived.
pub(super) async fn attempt<A>(
    call: &mut Call,
    endpoint: &Endpoint,
    permit: Permit,
    params: AttemptParams,
) -> Result<StartedResponse, AttemptError>
where
    A: Adapter,
{
    let in_flight = InFlightGuard::new(call.state.clone(), endpoint.host);
    let mut connection = open(call, endpoint).await?;
    let Some(_permit) = permits::renew(&call.state, endpoint, permit).await else {
        return Err(AttemptError::Unreached);
    };
    // After the renewal, which may take a round trip.
    if !wants_requests(call, endpoint) {
        return Err(AttemptError::Unreached);
    }
    let request = request::<A>(call, endpoint, params);
    call.attempts += 1;
    call.runs += 1;
    call.sent_at = call.state.now();
    call.open.record_send(&endpoint.name);
    count_send(call, endpoint);
    let response = {
        let sending = async {
            let sent = connection.send(request).await;
            sent.map_err(|error| match error {
                SendError::Refused | SendError::NotSent => AttemptError::Unreached,
                SendError::Cut => AttemptError::Cut,
            })
        };
        wait_while_serving(call, endpoint, sending)
            .await
            .and_then(|sent| sent)
    };
    let response = match response {
        Ok(response) => response,
        Err(error) => {
            if error == AttemptError::Unreached {
                call.runs -= 1;
            }
            return Err(error);
        }
    };
    let (parts, body) = response.into_parts();
    let head = A::decode_response(&parts);
    if is_own(call, endpoint, parts.status, &head) {
        record_load(call, endpoint, &head);
        record_notice(call, endpoint, &head);
    }
    call.state.report_unknown_headers(&head.unknown_headers);
    if let Some(error) = check_response(call, &parts, &head) {
        if error == AttemptError::Declined {
            call.runs -= 1;
        }
        return Err(error);
    }
    Ok(StartedResponse {
        endpoint: endpoint.clone(),
        connection,
        response: Response::from_parts(parts, body),
        in_flight,
    })
}

/// Returns false if a runner has said, while the connection was opened, that it leaves or wants no
/// requests for some time, or if the evacuation of its hall has begun.
fn wants_requests(call: &Call, endpoint: &Endpoint) -> bool {
    let state = &call.state;
    let roster = state.roster.borrow();
    let host = roster.host(endpoint.host);
    let is_leaving = host.is_some_and(Host::says_leaving);
    let is_evacuated = host.is_some_and(|host| roster.is_evacuated(host));
    let notices = state.notices.borrow();
    !is_leaving && !is_evacuated && !notices.is_paused(endpoint.host, state.now())
}

/// Counts a request that goes out to a runner.
fn count_send(call: &Call, endpoint: &Endpoint) {
    let limit = call.state.notices.borrow().rate_limit(endpoint.host);
    let is_limited = limit.is_some().to_string();
    counter!("sends_total", "limited" => is_limited).increment(1);
}

/// Returns true if a response is the runner's own, and not that of another one at its address.
fn is_own(call: &Call, endpoint: &Endpoint, status: StatusCode, head: &ResponseHead) -> bool {
    let has_other_sender = head
        .sender
        .as_ref()
        .is_some_and(|sender| *sender != endpoint.name);
    head.id == call.head.id && status != StatusCode::MISDIRECTED_REQUEST && !has_other_sender
}

/// Records the load that the runner reports.
fn record_load(call: &Call, endpoint: &Endpoint, head: &ResponseHead) {
    if let Some(load) = head.load {
        let now = call.state.now();
        let mut loads = call.state.loads.borrow_mut();
        loads.load_reported(endpoint.host, load, now);
    }
}

/// Records what the runner says of itself.
fn record_notice(call: &Call, endpoint: &Endpoint, head: &ResponseHead) {
    let is_invalid = head.notice.rate_limit == Stated::Invalid
        || head.notice.pause == Stated::Invalid
        || head.notice.cold_left == Stated::Invalid;
    if is_invalid {
        slog::warn!(call.state.log, "invalid notice of runner ignored";
            "request" => call.id(),
            "host" => endpoint.name.as_str(),
            "notice" => format!("{:?}", head.notice));
    }
    announcements::response_received(&call.state, endpoint.host, &head.notice);
}

/// Returns the reason for which a response must not be forwarded, if there is one.
fn check_response(
    call: &Call,
    parts: &http::response::Parts,
    head: &ResponseHead,
) -> Option<AttemptError> {
    if head.id != call.head.id {
        return Some(AttemptError::Unknown);
    }
    if head.not_run || parts.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(AttemptError::Declined);
    }
    let is_encoded = parts.headers.contains_key(CONTENT_ENCODING);
    if is_encoded || (parts.status.is_success() && !head.has_proof) {
        return Some(AttemptError::Unknown);
    }
    let may_fail_over = call.route.kind == RouteKind::Idempotent
        && parts.status.is_server_error()
        && call.may_fail_over();
    may_fail_over.then_some(AttemptError::Failed)
}

/// Connects to a runner; after the first connection the timeout follows the last connect time.
async fn open(call: &mut Call, endpoint: &Endpoint) -> Result<RunnerConnection, AttemptError> {
    let loads = &call.state.loads;
    let started = call.state.now();
    let limit = loads.borrow().connect_timeout(endpoint.host);
    let timeout = limit.map_or(CONNECT_TIMEOUT, Duration::from);
    let opened = RunnerConnection::open(endpoint.address, timeout).await;
    call.is_unreached = opened.is_err();
    let Ok(connection) = opened else {
        reach_check::runner_unreached(&call.state, endpoint.host);
        return Err(AttemptError::Unreached);
    };
    call.state.runner_connected();
    let elapsed = call.state.now().since(started);
    loads.borrow_mut().connected(endpoint.host, elapsed);
    Ok(connection)
}

/// Builds the request that is sent to a runner.
fn request<A>(call: &Call, endpoint: &Endpoint, params: AttemptParams) -> Request<Full<Bytes>>
where
    A: Adapter,
{
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    let values = ForwardHeaders {
        remaining: call.deadline.since(call.state.now()),
        host: &endpoint.name,
        account: call.account.as_ref(),
        resume_after: params.resume_after,
        class: params.class,
        rank: call.rank.level(),
    };
    A::set_headers(headers, &values);
    request
}

/// Waits for `future` until the deadline, or until the request should go to another runner.
pub(super) async fn wait_while_serving<F, T>(
    call: &Call,
    endpoint: &Endpoint,
    future: F,
) -> Result<T, AttemptError>
where
    F: Future<Output = T>,
{
    let mut future = pin!(future);
    let started = call.state.now();
    loop {
        let check = pin!(compio::time::sleep(SERVING_CHECK_INTERVAL));
        match select(future.as_mut(), check).await {
            Either::Left((output, _)) => return Ok(output),
            Either::Right(_) => {}
        }
        let now = call.state.now();
        if now >= call.deadline || call.state.has_given_up() {
            return Err(AttemptError::TimedOut);
        }
        if call.is_quarantined() {
            return Err(AttemptError::Quarantined);
        }
        if should_fail_over(call, endpoint, now.since(started)) {
            let arrived = running_time::within(ARRIVAL_TIME, future.as_mut()).await;
            return arrived.ok_or(AttemptError::Unknown);
        }
    }
}

/// Returns true if a request that has waited this long should be sent to another runner.
///
/// The runner may still be at work: a request that nobody else could take goes on waiting for it.
fn should_fail_over(call: &Call, endpoint: &Endpoint, waited: Span) -> bool {
    call.is_repeatable() && is_doubtful(call, endpoint, waited) && has_alternative(call)
}

/// Returns true if a runner may no longer respond to a request that has waited this long.
fn is_doubtful(call: &Call, endpoint: &Endpoint, waited: Span) -> bool {
    if !balancer::still_serves(&call.state.roster.borrow(), endpoint) {
        return true;
    }
    if endpoint.epoch.is_none() {
        return waited > PLAIN_RESPONSE_TIMEOUT;
    }
    let silence = call
        .state
        .loads
        .borrow()
        .silence(endpoint.host, call.state.now());
    let timeout = match silence.has_streams {
        true => STALLED_FIRST_EVENT_TIMEOUT,
        false => FIRST_EVENT_TIMEOUT,
    };
    silence.span.min(waited) > timeout
}

/// Logs a failed attempt, and puts the runner into backoff if it was unreachable, declined or
/// stalled.
pub(super) fn record_failure(call: &Call, endpoint: &Endpoint, error: AttemptError) {
    let now = call.state.now();
    let is_stalled =
        endpoint.epoch.is_some() && call.state.loads.borrow().is_stalled(endpoint.host, now);
    if is_stalled || matches!(error, AttemptError::Unreached | AttemptError::Declined) {
        call.state
            .loads
            .borrow_mut()
            .runner_failed(endpoint.host, now);
    }
    counter!("sends_missed_total", "miss" => error.name()).increment(1);
    slog::info!(call.state.log, "attempt failed without a usable response";
        "request" => call.id(),
        "host" => endpoint.name.as_str(),
        "epoch" => endpoint.epoch.map_or(0, |epoch| epoch.0),
        "miss" => format!("{error:?}"),
        "sends" => call.attempts,
        "fingerprint" => call.fingerprint.to_string(),
        "parts" => call.parts_text(),
        "after_ms" => now.since(call.arrived).as_millis());
}
