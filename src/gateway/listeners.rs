//! Listeners of a gateway: callers, directory requests, readiness and metrics.

use super::{
    adapter::Adapter,
    call::Origin,
    explain::server,
    forward,
    responses::{self, CallResponse},
    state::GatewayState,
};
use crate::{
    core::time::Span,
    shell::{
        connections::{ConnectionHandle, accept},
        http::{ConnectionLimits, serve_http1_until},
        metrics,
        request_body::RequestBody,
    },
};
use bytes::Bytes;
use compio::net::TcpListener;
use http::{HeaderValue, Request, StatusCode, header::CONTENT_TYPE};
use hyper::service::service_fn;
use std::{convert::Infallible, rc::Rc, time::Duration};

/// Timeout of a connection without a request, until a configuration sets one.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_secs(60);

/// Timeout of a response of which the caller reads nothing.
const READ_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves callers until told to stop.
pub async fn serve_callers<A>(
    listener: TcpListener,
    state: Rc<GatewayState>,
    handle: ConnectionHandle,
) where
    A: Adapter,
{
    serve_calls::<A>(listener, state, handle, Origin::Caller).await;
}

/// Serves requests that other daemons pass on until told to stop.
pub async fn serve_relayed<A>(
    listener: TcpListener,
    state: Rc<GatewayState>,
    handle: ConnectionHandle,
) where
    A: Adapter,
{
    serve_calls::<A>(listener, state, handle, Origin::Peer).await;
}

async fn serve_calls<A>(
    listener: TcpListener,
    state: Rc<GatewayState>,
    handle: ConnectionHandle,
    origin: Origin,
) where
    A: Adapter,
{
    accept(listener, handle, move |stream, stop| {
        let state = state.clone();
        let limits = caller_limits(&state);
        async move {
            let service = service_fn(move |request: Request<RequestBody>| {
                let state = state.clone();
                async move {
                    let response = forward::respond::<A>(&state, request, origin).await;
                    Ok::<_, Infallible>(response)
                }
            });
            serve_http1_until(stream, service, limits, stop).await;
        }
    })
    .await;
}

/// Who a listener for queries is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Callers, which look for daemons.
    Callers,
    /// The platform and operators.
    Operators,
}

/// Serves directory requests, readiness probes, metrics and operators' queries until told to stop.
pub async fn serve_queries<A>(
    listener: TcpListener,
    state: Rc<GatewayState>,
    handle: ConnectionHandle,
    audience: Audience,
) where
    A: Adapter,
{
    accept(listener, handle, move |stream, stop| {
        let state = state.clone();
        async move {
            let service = service_fn(move |request: Request<RequestBody>| {
                let state = state.clone();
                async move {
                    let is_for_operators = audience == Audience::Operators;
                    let response = match is_for_operators && server::is_query(&state, &request) {
                        true => server::answer(&state, request).await,
                        false => answer_query::<A>(&state, request),
                    };
                    Ok::<_, Infallible>(response)
                }
            });
            serve_http1_until(stream, service, ConnectionLimits::default(), stop).await;
        }
    })
    .await;
}

fn caller_limits(state: &GatewayState) -> ConnectionLimits {
    let idle = state
        .route_table()
        .map_or(DEFAULT_IDLE_TIMEOUT, |table| table.spec().limits.idle_time);
    ConnectionLimits {
        head_timeout: idle.into(),
        stall_timeout: READ_STALL_TIMEOUT,
        ..ConnectionLimits::default()
    }
}

fn answer_query<A>(state: &GatewayState, request: Request<RequestBody>) -> CallResponse
where
    A: Adapter,
{
    let (parts, _) = request.into_parts();
    if A::is_readiness_probe(&parts) {
        let status = match state.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        return responses::full(status, Bytes::new());
    }
    if parts.uri.path() == "/metrics" {
        state.update_gauges();
        return responses::full(
            StatusCode::OK,
            metrics::render(&state.hall_metrics()).into(),
        );
    }
    match A::is_directory_request(&parts) {
        true => directory::<A>(state),
        false => responses::full(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn directory<A>(state: &GatewayState) -> CallResponse
where
    A: Adapter,
{
    let settings = &state.settings;
    let own = state.is_ready().then_some(settings.listen.caller);
    let addresses = state.peers.borrow().addresses(&settings.name, own);
    if addresses.is_empty() {
        return responses::full(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let ttl = Span::from_millis(settings.entries_ms);
    let mut response = responses::full(StatusCode::OK, A::encode_addresses(&addresses, ttl));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
