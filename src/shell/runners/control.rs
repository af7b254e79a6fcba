//! Sends orders to runners and queries their state.

use super::Shared;
use crate::core::{
    input::{CacheEvent, Holding, LoadReport, OrderOutcome, RunnerInput},
    keys::{AttemptId, DaemonName, Fence, HostName, OrderId},
    output::OrderAction,
};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header::HOST};
use http_body_util::{BodyExt as _, Full, Limited};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Timeout of a query or a cancel.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of the longest response that is accepted.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// An order to a runner.
pub(super) struct OrderCall {
    pub(super) order: OrderId,
    pub(super) host: HostName,
    pub(super) address: SocketAddr,
    pub(super) action: OrderAction,
    pub(super) fence: Fence,
    pub(super) timeout: Duration,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    order: OrderId,
    fence: Fence,
    from: &'a DaemonName,
    action: &'a OrderAction,
}

#[derive(Deserialize)]
struct StaleBody {
    fence: Fence,
}

#[derive(Deserialize)]
struct RejectedBody {
    reason: String,
}

#[derive(Deserialize)]
struct CacheBody {
    first: u64,
    events: Vec<CacheEvent>,
}

struct RunnerResponse {
    status: StatusCode,
    body: Bytes,
}

impl RunnerResponse {
    fn json<T>(&self) -> Option<T>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Sends an order to a runner and reports the outcome.
pub(super) async fn order(shared: Rc<Shared>, call: OrderCall) {
    let body = OrderBody {
        order: call.order,
        fence: call.fence,
        from: &shared.daemon,
        action: &call.action,
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let sent = exchange(&shared, Method::POST, call.address, "/orders", body);
    let response = compio::time::timeout(call.timeout, sent).await;
    shared.send(RunnerInput::Ordered {
        order: call.order,
        host: call.host,
        outcome: outcome(response.ok().flatten()),
    });
}

fn outcome(response: Option<RunnerResponse>) -> OrderOutcome {
    let Some(response) = response else {
        return OrderOutcome::Lost;
    };
    let outcome = match response.status {
        StatusCode::OK => Some(OrderOutcome::Done),
        StatusCode::CONFLICT => response
            .json()
            .map(|StaleBody { fence }| OrderOutcome::Stale { fence }),
        StatusCode::UNPROCESSABLE_ENTITY => response
            .json()
            .map(|RejectedBody { reason }| OrderOutcome::Rejected(reason)),
        _ => None,
    };
    outcome.unwrap_or(OrderOutcome::Lost)
}

/// Queries the state that a runner holds.
pub(super) async fn read_holding(shared: Rc<Shared>, host: HostName, address: SocketAddr) {
    let holding: Option<Holding> = query(&shared, address, "/holding").await;
    shared.send(RunnerInput::Holding { host, holding });
}

/// Queries a runner's load report.
pub(super) async fn read_load(shared: Rc<Shared>, host: HostName, address: SocketAddr) {
    let report: Option<LoadReport> = query(&shared, address, "/load").await;
    shared.send(RunnerInput::Load { host, report });
}

/// Queries a runner's cache events; reports nothing if the query fails, and the core retries.
pub(super) async fn read_cache(shared: Rc<Shared>, host: HostName, address: SocketAddr, from: u64) {
    let path = format!("/cache?from={from}");
    let Some(CacheBody { first, events }) = query(&shared, address, &path).await else {
        return;
    };
    shared.send(RunnerInput::Cache {
        host,
        first,
        events,
    });
}

/// Sends a request to an engine to stop running an attempt.
pub(super) async fn cancel(shared: Rc<Shared>, attempt: AttemptId, address: SocketAddr) {
    let path = format!("/v1/completions/{}?from={}", attempt.0, shared.daemon);
    let sent = exchange(&shared, Method::DELETE, address, &path, Vec::new());
    let _ = compio::time::timeout(RESPONSE_TIMEOUT, sent).await;
}

async fn query<T>(shared: &Shared, address: SocketAddr, path: &str) -> Option<T>
where
    T: DeserializeOwned,
{
    let sent = exchange(shared, Method::GET, address, path, Vec::new());
    let response = compio::time::timeout(RESPONSE_TIMEOUT, sent).await.ok()??;
    if response.status != StatusCode::OK {
        return None;
    }
    response.json()
}

async fn exchange(
    shared: &Shared,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Option<RunnerResponse> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let mut sender = shared.pool.acquire(address).await.ok()?;
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    shared.pool.release(address, sender).await;
    Some(RunnerResponse { status, body })
}
