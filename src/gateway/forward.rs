//! Serves a request from its arrival to its response.
//!
//! It is checked, sent to runners, and answered by the first that responds whole,
//! or passed to another daemon if none can be reached.

use super::{
    adapter::{Adapter, CallHead},
    admission::{self, AdmissionClass},
    attempt::{record_failure, wait_while_serving},
    balancer::Endpoint,
    call::{AttemptError, Call, Origin, StartedResponse, id_text},
    contention,
    open_requests::OpenGuard,
    peer_relay::{self, Admitted, RelayError},
    quarantine::{crash_check, fingerprint::Identity},
    responses::{self, CallResponse, Refusal, strip_hop_by_hop},
    retries::{final_refusal, send_with_retries},
    routes::RouteTable,
    spec::Route,
    state::GatewayState,
    stream,
};
use crate::{
    core::{
        keys::{AccountName, Arrival},
        time::Span,
    },
    shell::{
        request_body::RequestBody,
        whole_body::{BodyError, read_request, read_whole},
    },
};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, EXPECT, HOST},
    request, response,
};
use http_body_util::{Either, Full};
use metrics::{counter, histogram};
use rand::Rng as _;
use std::rc::Rc;

/// Timeout of a request whose caller sends none.
pub(super) const DEFAULT_TIMEOUT: Span = Span::from_secs(30);

/// Retry delay of a request that a stopping daemon refuses; other daemons can take it at once.
pub(super) const STOPPING_RETRY_DELAY_MS: u64 = 50;

/// Retry delay of a request whose body needs more memory than is left.
const NO_MEMORY_RETRY_DELAY_MS: u64 = 500;

/// Serves a request.
pub async fn respond<A>(
    state: &Rc<GatewayState>,
    request: Request<RequestBody>,
    origin: Origin,
) -> CallResponse
where
    A: Adapter,
{
    let arrived = state.now();
    let (mut parts, body) = request.into_parts();
    let admitted = match origin {
        Origin::Caller => None,
        Origin::Peer => match peer_relay::admit(state, &mut parts) {
            Some(admitted) => Some(admitted),
            None => return peer_relay::declined(),
        },
    };
    let head = A::decode_call(&parts);
    let id = head.id.clone();
    let open = state.open.insert(id_text(&id), arrived);
    let mut response = match accept(state, head, parts, body, open, admitted).await {
        Ok(call) => run::<A>(call).await,
        Err(refusal) => {
            log_refusal(state, &id, refusal);
            responses::refused(refusal)
        }
    };
    let status = response.status().as_u16().to_string();
    counter!("answers_total", "status" => status).increment(1);
    histogram!("answer_begins_seconds").record(state.now().since(arrived).as_secs_f64());
    if state.stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn log_refusal(state: &GatewayState, id: &Option<HeaderValue>, refusal: Refusal) {
    slog::info!(state.log, "request refused";
        "request" => id_text(id),
        "reason" => format!("{refusal:?}"),
        "version" => state.route_table().map_or(0, |table| table.spec().version));
}

/// Checks a request against the configuration and reads its body.
async fn accept(
    state: &Rc<GatewayState>,
    head: CallHead,
    parts: request::Parts,
    body: RequestBody,
    open: OpenGuard,
    admitted: Option<Admitted>,
) -> Result<Call, Refusal> {
    let arrived = state.now();
    let table = state.route_table().ok_or(Refusal::NotConfigured)?;
    let (mut route, account) = authorize(&table, &head, &parts)?;
    if let Some(admitted) = &admitted {
        route.attempts = route.attempts.min(admitted.runs_left);
    }
    state.accepted.set(state.accepted.get() + 1);
    let max_bytes = table.spec().limits.body_bytes;
    let body = read_body(state, body, max_bytes, table.spec().limits.head_time).await?;
    let identity = Identity {
        method: &parts.method,
        host: host_name(&parts.headers),
        uri: &parts.uri,
        account: account.as_ref(),
        body: &body,
    };
    let fingerprint = identity.fingerprint();
    if state.quarantine.refuses(fingerprint, &head.shared_parts) {
        return Err(Refusal::Quarantined);
    }
    let draw = state.rng.borrow_mut().random();
    let arrival = Arrival(state.rng.borrow_mut().random());
    let service = route.pick_service(draw).ok_or(Refusal::NoRoute)?.clone();
    let engine = table.spec().engine(&service);
    let model = engine.zip(head.model.as_ref());
    let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let deadline = arrived + timeout.min(route.timeout);
    let rank = table.rank(&service, &route, account.as_ref());
    let estimate = admission::expected_duration(model, head.prompt_tokens, head.max_tokens);
    if !state.admits(deadline, estimate) {
        return Err(Refusal::Unavailable {
            retry_ms: STOPPING_RETRY_DELAY_MS,
        });
    }
    let time_spent = state.estimate_time_spent(&route.name, timeout);
    // The daemon that a caller sent the request to has counted it.
    if admitted.is_none() {
        state.count_request(&service);
    }
    if let Some((engine, model)) = model.filter(|_| admitted.is_none()) {
        let request = contention::Request {
            service: &service,
            model,
            engine,
            rank,
            account: account.as_ref(),
            prompt_tokens: head.prompt_tokens,
            answer_tokens: head.max_tokens,
        };
        let mut contention = state.contention.borrow_mut();
        contention.record_request(&request, arrived);
        let class = AdmissionClass::before_run(time_spent, route.objective);
        contention.report_request(&request, class);
        drop(contention);
        state.demand.borrow_mut().count(&request, arrived);
    }
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(EXPECT);
    Ok(Call {
        state: state.clone(),
        service,
        head,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        account,
        rank,
        fingerprint,
        arrival,
        is_relayed: false,
        relayed: admitted.map(|admitted| admitted.guard),
        deadline,
        tried: Vec::new(),
        runs: 0,
        excused: 0,
        has_crashed: false,
        attempts: 0,
        is_unreached: false,
        route,
        arrived,
        time_spent,
        sent_at: arrived,
        first_event: None,
        open,
    })
}

/// Finds a request's route and account.
fn authorize(
    table: &RouteTable,
    head: &CallHead,
    parts: &request::Parts,
) -> Result<(Route, Option<AccountName>), Refusal> {
    let host = host_name(&parts.headers);
    let key = head.key_hash.as_ref();
    let account = key.and_then(|key| table.account(key));
    let route = table.authorize(host, parts.uri.path(), account)?;
    Ok((route.clone(), account.cloned()))
}

/// Returns the host that a caller names, without a port.
fn host_name(headers: &HeaderMap) -> &str {
    let host = headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

async fn read_body(
    state: &GatewayState,
    body: RequestBody,
    max_bytes: usize,
    timeout: Span,
) -> Result<Bytes, Refusal> {
    let reading = read_request(body, max_bytes, &state.request_bytes);
    let read = compio::time::timeout(timeout.into(), reading)
        .await
        .map_err(|_| Refusal::BadBody)?;
    read.map_err(|error| match error {
        BodyError::Cut => Refusal::BadBody,
        BodyError::TooLong => Refusal::TooLong,
        BodyError::NoMemory => Refusal::Unavailable {
            retry_ms: NO_MEMORY_RETRY_DELAY_MS,
        },
    })
}

/// Sends an accepted request to runners and builds the response to the caller.
async fn run<A>(mut call: Call) -> CallResponse
where
    A: Adapter,
{
    if call.should_relay() {
        call = match relay::<A>(call).await {
            Ok(response) => return response,
            Err(call) => *call,
        };
    }
    let resume_after = call.head.resume_after;
    match send_with_retries::<A>(&mut call, resume_after).await {
        Ok(started) if stream::is_stream(&call, &started) => stream::relay::<A>(call, started),
        Ok(started) => finish::<A>(call, started).await,
        Err(refusal) => relay_or_refuse::<A>(call, refusal).await,
    }
}

/// Passes a request to another daemon if this one could not reach a runner, and refuses it
/// otherwise.
async fn relay_or_refuse<A>(call: Call, refusal: Refusal) -> CallResponse
where
    A: Adapter,
{
    if !call.should_relay_at_last() {
        return call.refuse(refusal);
    }
    match relay::<A>(call).await {
        Ok(response) => response,
        Err(call) => call.refuse(refusal),
    }
}

/// Passes a request to another daemon; returns it if none takes it.
async fn relay<A>(mut call: Call) -> Result<CallResponse, Box<Call>>
where
    A: Adapter,
{
    let resume_after = call.head.resume_after;
    match peer_relay::send::<A>(&mut call, resume_after).await {
        Ok(relayed) => Ok(peer_relay::respond(call, relayed).await),
        Err(RelayError::NotTaken) => Err(Box::new(call)),
        Err(RelayError::Lost) => Ok(call.refuse(Refusal::Unknown)),
        Err(RelayError::TimedOut) => Ok(call.refuse(Refusal::TimedOut)),
    }
}

/// Buffers a response in full, and sends the request again if that fails and it may be repeated.
async fn finish<A>(mut call: Call, mut started: StartedResponse) -> CallResponse
where
    A: Adapter,
{
    loop {
        let (parts, body) = started.response.into_parts();
        let reading = read_whole(body, &call.state.held_bytes);
        let read = wait_while_serving(&call, &started.endpoint, reading).await;
        let error = match read {
            Ok(Some(bytes)) => {
                call.state
                    .loads
                    .borrow_mut()
                    .request_served(started.endpoint.host);
                if parts.status.is_success() {
                    call.record_answer(started.endpoint.host);
                }
                log_response(&call, &started.endpoint, parts.status);
                return build_response(parts, bytes);
            }
            Ok(None) => AttemptError::Cut,
            Err(error) => error,
        };
        drop(started.connection);
        record_failure(&call, &started.endpoint, error);
        if error == AttemptError::Cut {
            crash_check::connection_ended(&mut call, &started.endpoint).await;
        }
        if !call.may_retry(error) {
            let refusal = final_refusal(&call, error);
            return call.refuse(refusal);
        }
        let resume_after = call.head.resume_after;
        started = match send_with_retries::<A>(&mut call, resume_after).await {
            Ok(started) => started,
            Err(refusal) => return relay_or_refuse::<A>(call, refusal).await,
        };
    }
}

fn log_response(call: &Call, endpoint: &Endpoint, status: StatusCode) {
    slog::info!(call.state.log, "response forwarded";
        "request" => call.id(),
        "fingerprint" => call.fingerprint.to_string(),
        "host" => endpoint.name.as_str(),
        "status" => status.as_u16(),
        "sends" => call.attempts,
        "after_ms" => call.state.now().since(call.arrived).as_millis());
}

fn build_response(mut parts: response::Parts, bytes: Bytes) -> CallResponse {
    strip_hop_by_hop(&mut parts.headers);
    Response::from_parts(parts, Either::Left(Full::new(bytes)))
}
