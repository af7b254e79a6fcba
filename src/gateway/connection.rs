//! One request on one connection of its own.
//!
//! A connection is used once: a late or doubled answer can then belong to no
//! other request, and dropping the exchange tells the runner that nobody waits.

use crate::shell::http::{begin_http1, connect_within};
use bytes::Bytes;
use compio::runtime::JoinHandle;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use std::{io::ErrorKind, net::SocketAddr, time::Duration};

/// How long connecting may take to a runner that was never reached.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Why no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// Nobody listens there; no byte was sent.
    Refused,
    /// No byte was sent.
    NotSent,
    /// The request may have arrived.
    Cut,
}

/// An open connection.
pub struct RunnerConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Drives the connection; dropping it closes the connection.
    _connection: JoinHandle<()>,
}

impl RunnerConnection {
    /// Connects to a runner.
    ///
    /// # Errors
    ///
    /// Fails if it can't be reached in time; nothing was sent then.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, SendError> {
        let stream =
            connect_within(address, timeout)
                .await
                .map_err(|error| match error.kind() {
                    ErrorKind::ConnectionRefused => SendError::Refused,
                    _ => SendError::NotSent,
                })?;
        let begun = begin_http1(stream).await;
        let (sender, connection) = begun.map_err(|_| SendError::NotSent)?;
        Ok(Self {
            sender,
            _connection: connection,
        })
    }

    /// Sends the request and waits for the head of its answer.
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
