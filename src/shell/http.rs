//! HTTP over the loop: listening, serving connections, and connecting out.

use super::stall::Guarded;
use bytes::Bytes;
use compio::{
    net::{TcpListener, TcpStream},
    runtime::JoinHandle,
};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderName, Request, Response, header};
use http_body::Body;
use hyper::{
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
    service::Service,
};
use socket2::{SockRef, TcpKeepalive};
use std::{
    future::{Future, pending},
    io,
    net::SocketAddr,
    pin::pin,
    time::Duration,
};

/// Runs futures on the loop's own thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalExecutor;

impl<F> hyper::rt::Executor<F> for LocalExecutor
where
    F: Future + 'static,
{
    fn execute(&self, future: F) {
        compio::runtime::spawn(async move {
            future.await;
        })
        .detach();
    }
}

/// How long a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a reader of an answer may take nothing of it.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// How long what was sent to a server may go unacknowledged.
///
/// Callers have no such limit: it would also cut those that read slowly.
const PEER_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a connection is idle before its peer is probed.
const PROBE_IDLE: Duration = Duration::from_secs(5);

/// The time between two probes of an idle connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Probes in a row that may go unanswered.
const PROBES: u32 = 3;

/// How long a connection attempt may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Listens on an address; port 0 takes any free one.
///
/// # Errors
///
/// Fails if the address is taken or not this host's.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// The address that a listener got.
///
/// # Errors
///
/// Fails if the system doesn't tell.
pub fn address(listener: &TcpListener) -> io::Result<SocketAddr> {
    listener.local_addr()
}

/// Connects to an address, giving up after [`CONNECT_TIMEOUT`].
///
/// # Errors
///
/// Fails if the address doesn't answer in time.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    connect_within(address, CONNECT_TIMEOUT).await
}

/// Connects to an address, giving up after `timeout`.
///
/// # Errors
///
/// Fails if the address doesn't answer in time.
pub async fn connect_within(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = compio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(PEER_TIMEOUT))?;
    Ok(stream)
}

/// Has a connection send at once, and fail while it is idle once its peer has gone without a word.
///
/// # Errors
///
/// Fails if the connection has ended.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_IDLE)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// What a connection may take.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// How long the sending of a head may last.
    pub head_timeout: Duration,
    /// How long an answer's reading may make no progress.
    pub stall_timeout: Duration,
    /// The bytes that a head and the start of the body may take.
    pub max_buffer: usize,
    /// How many headers a head may have.
    pub max_headers: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head_timeout: HEAD_TIMEOUT,
            stall_timeout: STALL_TIMEOUT,
            max_buffer: 64 << 10,
            max_headers: 64,
        }
    }
}

/// Serves HTTP/1 on one accepted connection until it ends.
pub async fn serve_http1<S, B>(stream: TcpStream, service: S)
where
    S: Service<Request<Incoming>, Response = Response<B>> + 'static,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    serve_http1_until(stream, service, ConnectionLimits::default(), pending()).await;
}

/// Serves HTTP/1 on one accepted connection; after `stop`, only to the end of the answer under way.
pub async fn serve_http1_until<S, B, F>(
    stream: TcpStream,
    service: S,
    limits: ConnectionLimits,
    stop: F,
) where
    S: Service<Request<Incoming>, Response = Response<B>> + 'static,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    F: Future<Output = ()>,
{
    if set_socket_options(&stream).is_err() {
        return;
    }
    let stream = Guarded::new(HyperStream::new_plain(stream), limits.stall_timeout);
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_buffer)
        .max_headers(limits.max_headers)
        .serve_connection(stream, service);
    let mut connection = pin!(connection);
    if let Either::Right(_) = select(connection.as_mut(), pin!(stop)).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Serves HTTP/2 on one accepted connection until it ends.
pub async fn serve_http2<S, B>(stream: TcpStream, service: S)
where
    S: Service<Request<Incoming>, Response = Response<B>> + 'static,
    S::Future: 'static,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if set_socket_options(&stream).is_err() {
        return;
    }
    let _ = hyper::server::conn::http2::Builder::new(LocalExecutor)
        .timer(CompioTimer)
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
}

/// Headers that concern one connection, or are set anew on each.
pub const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Whether a body is a series of events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

/// Begins HTTP/1 on an open connection; the task drives it, and dropping that closes it.
///
/// # Errors
///
/// Fails if the connection has ended.
pub async fn handshake_http1<B>(
    stream: TcpStream,
) -> hyper::Result<(SendRequest<B>, JoinHandle<()>)>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (sender, connection) = handshake(HyperStream::new_plain(stream)).await?;
    let driver = compio::runtime::spawn(async move {
        // The sender and the body report a connection's fault.
        let _ = connection.await;
    });
    Ok((sender, driver))
}

/// Sends one request on a new HTTP/1 connection and returns the head; the body follows.
///
/// # Errors
///
/// Fails if the address can't be reached or the answer's head doesn't come.
pub async fn send_once<B>(
    address: SocketAddr,
    request: Request<B>,
) -> anyhow::Result<Response<Incoming>>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = connect(address).await?;
    let (mut sender, connection) = handshake_http1(stream).await?;
    connection.detach();
    Ok(sender.send_request(request).await?)
}
