//! Connections to runners that are kept open between calls.

use crate::shell::http::{connect, handshake_http1};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr};

/// The most unused connections kept open to one address.
const MAX_IDLE: usize = 8;

/// The sending side of a connection.
pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Unused connections, by address.
#[derive(Default)]
pub(super) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Pool {
    /// A connection kept open, or a new one.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be reached; nothing was sent then.
    pub(super) async fn take(&self, address: SocketAddr) -> io::Result<Sender> {
        match self.take_idle(address) {
            Some(sender) => Ok(sender),
            None => open(address).await,
        }
    }

    /// Keeps a connection whose answer was read whole.
    pub(super) async fn give(&self, address: SocketAddr, mut sender: Sender) {
        if sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(sender);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(|sender| !sender.is_closed());
        let sender = kept.pop();
        if kept.is_empty() {
            idle.remove(&address);
        }
        sender
    }
}

/// Opens a new connection.
///
/// # Errors
///
/// Fails if the address can't be reached; nothing was sent then.
pub(super) async fn open(address: SocketAddr) -> io::Result<Sender> {
    let stream = connect(address).await?;
    let (sender, connection) = handshake_http1(stream).await.map_err(io::Error::other)?;
    connection.detach();
    Ok(sender)
}
