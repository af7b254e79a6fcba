//! Polls one daemon as a caller until it accepts an API key.

use bytes::Bytes;
use cyper_core::HyperStream;
use hickoryledge::shell::http;
use http_body_util::{BodyExt as _, Empty};
use hyper::{Request, StatusCode, client::conn::http1};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Interval between requests to a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of the wait until a change is in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Probe of one daemon, with a connection that is reused.
pub struct Probe {
    address: SocketAddr,
    sender: Option<http1::SendRequest<Empty<Bytes>>>,
}

impl Probe {
    /// Creates a probe of a daemon's caller address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Waits until the daemon accepts a key; returns the time that has passed since `since`.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than [`IN_FORCE_TIMEOUT`].
    pub async fn wait_accepted(&mut self, key: &str, since: Instant) -> anyhow::Result<Duration> {
        while since.elapsed() < IN_FORCE_TIMEOUT {
            let response = compio::time::timeout(REQUEST_TIMEOUT, self.request_status(key)).await;
            match response.unwrap_or_else(|elapsed| Err(elapsed.into())) {
                Ok(status) if status != StatusCode::UNAUTHORIZED => return Ok(since.elapsed()),
                Ok(_) => {}
                Err(error) => eprintln!("request to {} failed; retrying: {error}", self.address),
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        anyhow::bail!(
            "{} did not accept {key} within {IN_FORCE_TIMEOUT:?}",
            self.address
        )
    }

    /// Makes a request with a key and returns the status of the response.
    async fn request_status(&mut self, key: &str) -> anyhow::Result<StatusCode> {
        let mut sender = match self.sender.take().filter(|open| !open.is_closed()) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        sender.ready().await?;
        let request = Request::get("/v1/entries")
            .header("host", "daemon")
            .header("authorization", format!("Bearer {key}"))
            .body(Empty::new())?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        self.sender = Some(sender);
        Ok(status)
    }

    /// Connects to the daemon.
    async fn connect(&self) -> anyhow::Result<http1::SendRequest<Empty<Bytes>>> {
        let stream = HyperStream::new_plain(http::connect(self.address).await?);
        let (sender, connection) = http1::handshake(stream).await?;
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Ok(sender)
    }
}
