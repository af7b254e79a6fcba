//! The HTTP/2 connection to one of the store's endpoints.
//!
//! All calls share the connection. After a failed call it is used only by the
//! calls in flight on it, and the next call connects to the next endpoint.
//! HTTP/2 pings stay disabled: calls and watches have timeouts of their own, and
//! `hyper`'s pings poll a finished timer again on an idle connection, which
//! panics in `cyper_core`'s timers.

use super::super::http::{self, LocalExecutor};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::{future::LocalBoxFuture, lock::Mutex};
use hyper::{body::Incoming, client::conn::http2};
use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    task::{Context, Poll},
};
use tonic::body::Body;
use tower_service::Service;

/// Shared connection to the store that reconnects as needed.
#[derive(Clone)]
pub(super) struct Channel {
    inner: Rc<Inner>,
}

struct Inner {
    endpoints: Vec<SocketAddr>,
    next: Cell<usize>,
    open: RefCell<Option<Connection>>,
    connecting: Mutex<()>,
    last_id: Cell<u64>,
}

/// One open connection.
#[derive(Clone)]
pub(super) struct Connection {
    /// Address of the endpoint.
    pub(super) peer: SocketAddr,
    id: u64,
    sender: http2::SendRequest<Body>,
}

impl Channel {
    /// Creates a channel to any of the endpoints, starting at a random one.
    pub(super) fn new(endpoints: Vec<SocketAddr>) -> Self {
        let first = rand::random::<u32>() as usize % endpoints.len().max(1);
        Self {
            inner: Rc::new(Inner {
                endpoints,
                next: Cell::new(first),
                open: RefCell::default(),
                connecting: Mutex::new(()),
                last_id: Cell::new(0),
            }),
        }
    }

    /// Returns the open connection, or opens one to the first endpoint that answers.
    pub(super) async fn connection(&self) -> io::Result<Connection> {
        if let Some(connection) = self.current() {
            return Ok(connection);
        }
        let _guard = self.inner.connecting.lock().await;
        if let Some(connection) = self.current() {
            return Ok(connection);
        }
        let mut last = io::Error::from(io::ErrorKind::NotFound);
        for _ in 0..self.inner.endpoints.len() {
            match self.connect().await {
                Ok(connection) => {
                    *self.inner.open.borrow_mut() = Some(connection.clone());
                    return Ok(connection);
                }
                Err(error) => last = error,
            }
            self.advance();
        }
        Err(last)
    }

    /// Stops using a connection for new calls and moves on to the next endpoint.
    pub(super) fn discard(&self, connection: &Connection) {
        let mut open = self.inner.open.borrow_mut();
        if open
            .as_ref()
            .is_some_and(|current| current.id == connection.id)
        {
            *open = None;
            self.advance();
        }
    }

    fn current(&self) -> Option<Connection> {
        let open = self.inner.open.borrow();
        open.as_ref().filter(|c| !c.sender.is_closed()).cloned()
    }

    fn advance(&self) {
        self.inner.next.set(self.inner.next.get().wrapping_add(1));
    }

    async fn connect(&self) -> io::Result<Connection> {
        let endpoints = &self.inner.endpoints;
        let peer = endpoints[self.inner.next.get() % endpoints.len()];
        let stream = HyperStream::new_plain(http::connect(peer).await?);
        let (sender, task) = http2::Builder::new(LocalExecutor)
            .timer(CompioTimer)
            .handshake(stream)
            .await
            .map_err(io::Error::other)?;
        compio::runtime::spawn(async move {
            let _ = task.await;
        })
        .detach();
        self.inner.last_id.set(self.inner.last_id.get() + 1);
        Ok(Connection {
            peer,
            id: self.inner.last_id.get(),
            sender,
        })
    }
}

impl Service<::http::Request<Body>> for Connection {
    type Response = ::http::Response<Incoming>;
    type Error = hyper::Error;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.sender.poll_ready(cx)
    }

    fn call(&mut self, request: ::http::Request<Body>) -> Self::Future {
        Box::pin(self.sender.send_request(request))
    }
}
