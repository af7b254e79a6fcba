//! Asks one daemon as a caller whether it knows a key.

use {
    bytes::Bytes,
    cyper_core::HyperStream,
    hickoryledge::shell::http,
    http_body_util::{BodyExt as _, Empty},
    hyper::{Request, StatusCode, client::conn::http1},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// How often a daemon is asked.
const POLL: Duration = Duration::from_millis(5);

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
    pub async fn wait_known(&mut self, key: &str, since: Instant) -> Duration {
        loop {
            match self.ask(key).await {
                Ok(status) if status != StatusCode::UNAUTHORIZED => return since.elapsed(),
                Ok(_) => {}
                Err(_) => self.sender = None,
            }
            compio::time::sleep(POLL).await;
        }
    }

    async fn ask(&mut self, key: &str) -> anyhow::Result<StatusCode> {
        let mut sender = match self.sender.take() {
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
