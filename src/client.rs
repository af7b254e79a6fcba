//! gRPC client for a daemon's operator address.

use crate::{
    shell::http::{LocalExecutor, connect},
    wire::operator::operator_client::OperatorClient,
};
use anyhow::Context as _;
use cyper_core::{CompioTimer, HyperStream};
use http::{HeaderValue, Request, Response, Uri, header};
use hyper::{body::Incoming, client::conn::http2};
use std::{
    fmt,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tonic::body::Body;
use tower_service::Service;

/// Timeout of an operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Error of a call without a response.
#[derive(Debug)]
pub enum CallError {
    /// The connection failed.
    Connection(hyper::Error),
    /// No response arrived within [`CALL_TIMEOUT`].
    Timeout,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Connection(error) => write!(f, "the connection failed: {error}"),
            CallError::Timeout => write!(f, "no response within {CALL_TIMEOUT:?}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Client of one daemon's operator service.
pub type Client = OperatorClient<Channel>;

/// HTTP/2 connection that adds the operators' token to each call.
pub struct Channel {
    sender: http2::SendRequest<Body>,
    token: HeaderValue,
}

/// Connects to a daemon's operator address.
///
/// # Errors
///
/// Fails if the connection can't be made, or if the token isn't a valid header value.
pub async fn connect_operator(address: SocketAddr, token: &str) -> anyhow::Result<Client> {
    let mut token = HeaderValue::try_from(format!("Bearer {token}")).context("encode the token")?;
    token.set_sensitive(true);
    let stream = connect(address)
        .await
        .with_context(|| format!("connect to {address}"))?;
    let (sender, connection) = http2::Builder::new(LocalExecutor)
        .timer(CompioTimer)
        .handshake(HyperStream::new_plain(stream))
        .await
        .with_context(|| format!("start HTTP/2 with {address}"))?;
    compio::runtime::spawn(async move {
        let _ = connection.await;
    })
    .detach();
    let origin = Uri::try_from(format!("http://{address}")).context("build the request origin")?;
    Ok(OperatorClient::with_origin(
        Channel { sender, token },
        origin,
    ))
}

impl Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = CallError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>>>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.sender.poll_ready(cx).map_err(CallError::Connection)
    }

    fn call(&mut self, mut request: Request<Body>) -> Self::Future {
        let headers = request.headers_mut();
        headers.insert(header::AUTHORIZATION, self.token.clone());
        let response = self.sender.send_request(request);
        Box::pin(async move {
            match compio::time::timeout(CALL_TIMEOUT, response).await {
                Ok(response) => response.map_err(CallError::Connection),
                Err(_) => Err(CallError::Timeout),
            }
        })
    }
}
