//! What a gateway listens on: callers, questions for addresses, and readiness.

use super::{
    adapter::Adapter,
    answer::{self, Answer},
    forward,
    state::GatewayState,
};
use crate::{
    core::time::Span,
    shell::{
        http::{Limits, serve_http1_until},
        metrics,
    },
};
use bytes::Bytes;
use compio::net::{TcpListener, TcpStream};
use futures_channel::oneshot;
use futures_util::{
    FutureExt as _,
    future::{Either, Shared, select},
};
use http::{HeaderValue, Request, StatusCode, header::CONTENT_TYPE};
use hyper::{body::Incoming, service::service_fn};
use std::{convert::Infallible, pin::pin, rc::Rc, time::Duration};

/// The pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a connection without a request is kept, before a configuration says.
const IDLE_TIME: Span = Span::from_secs(60);

/// How long a reader of an answer may take nothing of it.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Ends listening and idle connections once it is sent or dropped.
pub type Stop = Shared<oneshot::Receiver<()>>;

/// Serves callers until told to stop.
pub async fn callers<A>(listener: TcpListener, site: Rc<GatewayState>, stop: Stop)
where
    A: Adapter,
{
    accept(listener, stop.clone(), move |stream| {
        let site = site.clone();
        let limits = caller_limits(&site);
        let stop = stop.clone();
        async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let site = site.clone();
                async move { Ok::<_, Infallible>(forward::respond::<A>(&site, request).await) }
            });
            serve_http1_until(stream, service, limits, stop.map(|_| ())).await;
        }
    })
    .await;
}

/// Serves questions for addresses and readiness until told to stop.
pub async fn questions<A>(listener: TcpListener, site: Rc<GatewayState>, stop: Stop)
where
    A: Adapter,
{
    accept(listener, stop.clone(), move |stream| {
        let site = site.clone();
        let stop = stop.clone();
        async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let site = site.clone();
                async move { Ok::<_, Infallible>(question::<A>(&site, request)) }
            });
            serve_http1_until(stream, service, Limits::default(), stop.map(|_| ())).await;
        }
    })
    .await;
}

async fn accept<S, F>(listener: TcpListener, stop: Stop, serve: S)
where
    S: Fn(TcpStream) -> F,
    F: Future<Output = ()> + 'static,
{
    loop {
        let next = pin!(listener.accept());
        match select(next, stop.clone()).await {
            Either::Left((Ok((stream, _)), _)) => compio::runtime::spawn(serve(stream)).detach(),
            Either::Left((Err(_), _)) => compio::time::sleep(ACCEPT_PAUSE).await,
            Either::Right(_) => return,
        }
    }
}

fn caller_limits(site: &GatewayState) -> Limits {
    let idle = site
        .route_table()
        .map_or(IDLE_TIME, |table| table.spec().limits.idle_time);
    Limits {
        head: idle.into(),
        stall: STALL_TIMEOUT,
        ..Limits::default()
    }
}

fn question<A>(site: &GatewayState, request: Request<Incoming>) -> Answer
where
    A: Adapter,
{
    let (parts, _) = request.into_parts();
    if A::is_readiness_probe(&parts) {
        let status = match site.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        return answer::whole(status, Bytes::new());
    }
    if parts.uri.path() == "/metrics" {
        return answer::whole(StatusCode::OK, metrics::render(&[]).into());
    }
    match A::is_directory_request(&parts) {
        true => addresses::<A>(site),
        false => answer::whole(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn addresses<A>(site: &GatewayState) -> Answer
where
    A: Adapter,
{
    let settings = &site.settings;
    let own = site.is_ready().then_some(settings.listen.caller);
    let addresses = site.peers.borrow().addresses(&settings.name, own);
    if addresses.is_empty() {
        return answer::whole(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let ttl = Span::from_millis(settings.entries_ms);
    let mut answer = answer::whole(StatusCode::OK, A::encode_addresses(&addresses, ttl));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}
