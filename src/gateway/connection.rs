//! HTTP connections to runners.
//!
//! Each attempt of a caller's request has a connection of its own, so that a
//! late or duplicate response can't be taken for that of another request.
//! Dropping the connection tells the runner that nobody waits for the response
//! any more. Only the prober reuses a connection, for its probes.

use crate::shell::{
    http::{connect_within, handshake_http1},
    interim::too_many_interim,
};
use bytes::Bytes;
use compio::runtime::JoinHandle;
use futures_util::future::{Either, select};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use std::{io::ErrorKind, net::SocketAddr, pin::pin, time::Duration};

/// Connect timeout for a runner that was never reached before.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Reason for which no response was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The connection was refused; nothing was sent.
    Refused,
    /// No connection was established; nothing was sent.
    NotSent,
    /// The connection ended early, or brought no final response; the request may have arrived.
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
    /// Fails if the connection ends first, or brings too many interim responses.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.ready().await.map_err(|_| SendError::NotSent)?;
        let too_many = pin!(too_many_interim(&mut request));
        let response = pin!(self.sender.try_send_request(request));
        match select(response, too_many).await {
            Either::Left((response, _)) => {
                response.map_err(|mut error| match error.take_message() {
                    Some(_) => SendError::NotSent,
                    None => SendError::Cut,
                })
            }
            Either::Right(_) => Err(SendError::Cut),
        }
    }
}
