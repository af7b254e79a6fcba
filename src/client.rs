//! The operators' client of a daemon.

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

/// How long an operator's call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call got no answer.
#[derive(Debug)]
pub enum CallError {
    /// The connection failed.
    Cut(hyper::Error),
    /// No answer within [`CALL_TIMEOUT`].
    Timeout,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Cut(error) => write!(f, "the connection failed: {error}"),
            CallError::Timeout => write!(f, "no answer within {CALL_TIMEOUT:?}"),
        }
    }
}

impl std::error::Error for CallError {}

/// A client of one daemon's operator calls.
pub type Client = OperatorClient<Channel>;

/// One HTTP/2 connection that adds the operators' token to each call.
pub struct Channel {
    sender: http2::SendRequest<Body>,
    token: HeaderValue,
}

/// Connects to a daemon's operator address.
///
/// # Errors
///
/// Fails if the daemon doesn't answer, or the token can't be sent.
pub async fn connect_operator(address: SocketAddr, token: &str) -> anyhow::Result<Client> {
    let mut token = HeaderValue::try_from(format!("Bearer {token}")).context("use the token")?;
    token.set_sensitive(true);
    let stream = connect(address)
        .await
        .with_context(|| format!("connect to {address}"))?;
    let (sender, connection) = http2::Builder::new(LocalExecutor)
        .timer(CompioTimer)
        .handshake(HyperStream::new_plain(stream))
        .await
        .with_context(|| format!("begin HTTP/2 with {address}"))?;
    compio::runtime::spawn(async move {
        let _ = connection.await;
    })
    .detach();
    let origin = Uri::try_from(format!("http://{address}")).context("name the daemon")?;
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
        self.sender.poll_ready(cx).map_err(CallError::Cut)
    }

    fn call(&mut self, mut request: Request<Body>) -> Self::Future {
        let headers = request.headers_mut();
        headers.insert(header::AUTHORIZATION, self.token.clone());
        let answer = self.sender.send_request(request);
        Box::pin(async move {
            match compio::time::timeout(CALL_TIMEOUT, answer).await {
                Ok(answer) => answer.map_err(CallError::Cut),
                Err(_) => Err(CallError::Timeout),
            }
        })
    }
}
