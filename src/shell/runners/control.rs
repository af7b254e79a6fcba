//! Orders to runners, and questions about their state.

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

/// How long a runner may take to answer a question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest answer taken, in bytes.
const MAX_ANSWER: usize = 4 << 20;

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

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Answer {
    fn read<T>(&self) -> Option<T>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Orders a runner, and reports the outcome.
pub(super) async fn order(shared: Rc<Shared>, call: OrderCall) {
    let body = OrderBody {
        order: call.order,
        fence: call.fence,
        from: &shared.me,
        action: &call.action,
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let sent = ask(&shared, Method::POST, call.address, "/orders", body);
    let answer = compio::time::timeout(call.timeout, sent).await;
    shared.send(RunnerInput::Ordered {
        order: call.order,
        host: call.host,
        outcome: outcome(answer.ok().flatten()),
    });
}

fn outcome(answer: Option<Answer>) -> OrderOutcome {
    let Some(answer) = answer else {
        return OrderOutcome::Lost;
    };
    let read = match answer.status {
        StatusCode::OK => Some(OrderOutcome::Done),
        StatusCode::CONFLICT => answer
            .read()
            .map(|StaleBody { fence }| OrderOutcome::Stale { fence }),
        StatusCode::UNPROCESSABLE_ENTITY => answer
            .read()
            .map(|RejectedBody { reason }| OrderOutcome::Rejected(reason)),
        _ => None,
    };
    read.unwrap_or(OrderOutcome::Lost)
}

/// Asks what a runner holds.
pub(super) async fn read_holding(shared: Rc<Shared>, host: HostName, address: SocketAddr) {
    let holding: Option<Holding> = read(&shared, address, "/holding").await;
    shared.send(RunnerInput::Holding { host, holding });
}

/// Asks for a load report.
pub(super) async fn read_load(shared: Rc<Shared>, host: HostName, address: SocketAddr) {
    let report: Option<LoadReport> = read(&shared, address, "/load").await;
    shared.send(RunnerInput::Load { host, report });
}

/// Asks for cache events; a runner that doesn't answer is asked again later.
pub(super) async fn read_cache(shared: Rc<Shared>, host: HostName, address: SocketAddr, from: u64) {
    let path = format!("/cache?from={from}");
    let Some(CacheBody { first, events }) = read(&shared, address, &path).await else {
        return;
    };
    shared.send(RunnerInput::Cache {
        host,
        first,
        events,
    });
}

/// Tells an engine to stop running an attempt.
pub(super) async fn cancel(shared: Rc<Shared>, attempt: AttemptId, address: SocketAddr) {
    let path = format!("/v1/completions/{}?from={}", attempt.0, shared.me);
    let sent = ask(&shared, Method::DELETE, address, &path, Vec::new());
    let _ = compio::time::timeout(ANSWER_TIMEOUT, sent).await;
}

async fn read<T>(shared: &Shared, address: SocketAddr, path: &str) -> Option<T>
where
    T: DeserializeOwned,
{
    let asked = ask(shared, Method::GET, address, path, Vec::new());
    let answer = compio::time::timeout(ANSWER_TIMEOUT, asked).await.ok()??;
    if answer.status != StatusCode::OK {
        return None;
    }
    answer.read()
}

async fn ask(
    shared: &Shared,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Option<Answer> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let mut sender = shared.pool.take(address).await.ok()?;
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER);
    let body = body.collect().await.ok()?.to_bytes();
    shared.pool.give(address, sender).await;
    Some(Answer { status, body })
}
