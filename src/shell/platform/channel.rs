//! One HTTP/2 connection to any of the service's addresses.
//!
//! The connection is shared by all calls. One that has failed a call is left
//! to what still runs on it, and the next call connects to the next address.
//! HTTP/2 pings stay off: calls and watches have timeouts of their own, and
//! `hyper`'s pings poll a finished timer again on an idle connection, which
//! `cyper_core`'s timers answer with a panic.

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

/// A way to the service, reconnecting as needed.
#[derive(Clone)]
pub(super) struct Channel {
    inner: Rc<Inner>,
}

struct Inner {
    endpoints: Vec<SocketAddr>,
    next: Cell<usize>,
    open: RefCell<Option<Link>>,
    connecting: Mutex<()>,
    links: Cell<u64>,
}

/// One open connection.
#[derive(Clone)]
pub(super) struct Link {
    /// The address reached.
    pub(super) peer: SocketAddr,
    number: u64,
    sender: http2::SendRequest<Body>,
}

impl Channel {
    /// A channel to any of these addresses, beginning with a random one.
    pub(super) fn new(endpoints: Vec<SocketAddr>) -> Self {
        let first = rand::random::<u32>() as usize % endpoints.len().max(1);
        Self {
            inner: Rc::new(Inner {
                endpoints,
                next: Cell::new(first),
                open: RefCell::default(),
                connecting: Mutex::new(()),
                links: Cell::new(0),
            }),
        }
    }

    /// The open connection, or a new one to the first address that answers.
    pub(super) async fn link(&self) -> io::Result<Link> {
        if let Some(link) = self.current() {
            return Ok(link);
        }
        let _alone = self.inner.connecting.lock().await;
        if let Some(link) = self.current() {
            return Ok(link);
        }
        let mut last = io::Error::from(io::ErrorKind::NotFound);
        for _ in 0..self.inner.endpoints.len() {
            match self.connect().await {
                Ok(link) => {
                    *self.inner.open.borrow_mut() = Some(link.clone());
                    return Ok(link);
                }
                Err(error) => last = error,
            }
            self.advance();
        }
        Err(last)
    }

    /// Stops using a connection for new calls, and goes on to the next address.
    pub(super) fn abandon(&self, link: &Link) {
        let mut open = self.inner.open.borrow_mut();
        if open.as_ref().is_some_and(|held| held.number == link.number) {
            *open = None;
            self.advance();
        }
    }

    fn current(&self) -> Option<Link> {
        let open = self.inner.open.borrow();
        open.as_ref().filter(|l| !l.sender.is_closed()).cloned()
    }

    fn advance(&self) {
        self.inner.next.set(self.inner.next.get().wrapping_add(1));
    }

    async fn connect(&self) -> io::Result<Link> {
        let endpoints = &self.inner.endpoints;
        let peer = endpoints[self.inner.next.get() % endpoints.len()];
        let stream = HyperStream::new_plain(http::connect(peer).await?);
        let (sender, connection) = http2::Builder::new(LocalExecutor)
            .timer(CompioTimer)
            .handshake(stream)
            .await
            .map_err(io::Error::other)?;
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        self.inner.links.set(self.inner.links.get() + 1);
        Ok(Link {
            peer,
            number: self.inner.links.get(),
            sender,
        })
    }
}

impl Service<::http::Request<Body>> for Link {
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
