//! Asks one daemon as a caller whether it knows a key.

use bytes::Bytes;
use cyper_core::HyperStream;
use hickoryledge::shell::http;
use http_body_util::{BodyExt as _, Empty};
use hyper::{Request, StatusCode, client::conn::http1};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How often a daemon is asked.
const POLL: Duration = Duration::from_millis(5);

/// How long a daemon may take to answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a change may take to be in force.
const PATIENCE: Duration = Duration::from_secs(30);

/// One daemon, and a connection to it.
pub struct Probe {
    address: SocketAddr,
    sender: Option<http1::SendRequest<Empty<Bytes>>>,
}

impl Probe {
    /// A probe of a daemon's caller address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Waits until the daemon knows a key; the time passed since a moment.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than [`PATIENCE`].
    pub async fn wait_known(&mut self, key: &str, since: Instant) -> anyhow::Result<Duration> {
        while since.elapsed() < PATIENCE {
            let asked = compio::time::timeout(ASK_TIMEOUT, self.ask(key)).await;
            match asked.unwrap_or_else(|late| Err(late.into())) {
                Ok(status) if status != StatusCode::UNAUTHORIZED => return Ok(since.elapsed()),
                Ok(_) => {}
                Err(error) => eprintln!("{} is asked again: {error}", self.address),
            }
            compio::time::sleep(POLL).await;
        }
        anyhow::bail!("{} does not know {key} after {PATIENCE:?}", self.address)
    }

    async fn ask(&mut self, key: &str) -> anyhow::Result<StatusCode> {
        let mut sender = match self.sender.take().filter(|open| !open.is_closed()) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        sender.ready().await?;
        let request = Request::get("/v1/entries")
            .header("host", "daemon")
            .header("authorization", format!("Bearer {key}"))
            .body(Empty::new())?;
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        answer.into_body().collect().await?;
        self.sender = Some(sender);
        Ok(status)
    }

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
