//! HTTP connections to runners.
//!
//! Each attempt of a caller's request has a connection of its own, so that a
//! late or duplicate response can't be taken for that of another request.
//! Dropping the connection tells the runner that nobody waits for the response
//! any more. Only the prober reuses a connection, for its probes.

use crate::shell::http::{connect_within, handshake_http1};
use bytes::Bytes;
use compio::runtime::JoinHandle;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use std::{io::ErrorKind, net::SocketAddr, time::Duration};

/// Connect timeout for a runner that was never reached before.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Reason for which no response was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The connection was refused; nothing was sent.
    Refused,
    /// No connection was established; nothing was sent.
    NotSent,
    /// The connection ended early; the request may have arrived.
    Cut,
}

/// Open connection to a runner.
pub struct RunnerConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Task that drives the connection; dropping it closes the connection.
    _task: JoinHandle<()>,
}

impl RunnerConnection {
    /// Connects to a runner.
    ///
    /// # Errors
    ///
    /// Fails if the runner can't be reached in time; nothing was sent then.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, SendError> {
        let stream =
            connect_within(address, timeout)
                .await
                .map_err(|error| match error.kind() {
                    ErrorKind::ConnectionRefused => SendError::Refused,
                    _ => SendError::NotSent,
                })?;
        let handshake = handshake_http1(stream).await;
        let (sender, task) = handshake.map_err(|_| SendError::NotSent)?;
        Ok(Self {
            sender,
            _task: task,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.ready().await.map_err(|_| SendError::NotSent)?;
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| match error.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::Cut,
            })
    }
}
