//! A pool of idle HTTP/1 connections to runners.

use crate::shell::http::{connect, handshake_http1};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr};

/// Idle connections kept open per address.
const MAX_IDLE_PER_ADDRESS: usize = 8;

/// Request sender of a connection.
pub(super) type Sender = SendRequest<Full<Bytes>>;

/// Idle connections by address.
#[derive(Default)]
pub(super) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Sender>>>,
}

impl Pool {
    /// Returns an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be reached; nothing was sent in this case.
    pub(super) async fn acquire(&self, address: SocketAddr) -> io::Result<Sender> {
        match self.take_idle(address) {
            Some(sender) => Ok(sender),
            None => open_connection(address).await,
        }
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(super) async fn release(&self, address: SocketAddr, mut sender: Sender) {
        if sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let senders = idle.entry(address).or_default();
        if senders.len() < MAX_IDLE_PER_ADDRESS {
            senders.push(sender);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        let sender = senders.pop();
        if senders.is_empty() {
            idle.remove(&address);
        }
        sender
    }
}

/// Opens a connection.
///
/// # Errors
///
/// Fails if the address can't be reached; nothing was sent in this case.
pub(super) async fn open_connection(address: SocketAddr) -> io::Result<Sender> {
    let stream = connect(address).await?;
    let (sender, connection) = handshake_http1(stream).await.map_err(io::Error::other)?;
    connection.detach();
    Ok(sender)
}
