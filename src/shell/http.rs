//! HTTP on the event loop: listening, serving connections and connecting to peers.

use super::{
    activity::Activity, clean_eof::CleanEof, fair::FairReads, linger::LingeringClose,
    request_body::RequestBody, running_time, stall::WriteTimeout,
};
use bytes::Bytes;
use compio::{
    net::{TcpListener, TcpStream},
    runtime::JoinHandle,
};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderName, Request, Response, header};
use http_body::Body;
use http_body_util::BodyExt as _;
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
    service::{Service, service_fn},
};
use socket2::{SockRef, TcpKeepalive};
use std::{
    future::{Future, pending},
    io,
    net::SocketAddr,
    pin::pin,
    time::Duration,
};

/// Executor that runs futures on the thread of the event loop.
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

/// Time that a caller has to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that the reader of a response may go without reading any of it.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two checks whether a connection has a request, once the connections are closed.
const UNUSED_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time that data sent on an outgoing connection may stay unacknowledged.
///
/// Connections from callers have no such limit: it would also cut slow readers.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a response that are read ahead, and of the longest head that is accepted.
const MAX_READ_BUFFER: usize = 64 << 10;

/// Idle time after which TCP keepalive probes are sent.
const KEEPALIVE_DELAY: Duration = Duration::from_secs(5);

/// Interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Unanswered TCP keepalive probes after which a connection fails.
const MAX_KEEPALIVE_PROBES: u32 = 3;

/// Idle time after which probes are sent on a connection whose silence matters, and their interval.
const SILENCE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a sign of the peer after which a connection whose silence matters fails; two
/// probes go unanswered in it.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Listens on an address; port 0 selects a free port.
///
/// # Errors
///
/// Fails if the address is in use or doesn't belong to this host.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Returns the address that a listener is bound to.
///
/// # Errors
///
/// Fails if the operating system doesn't report it.
pub fn address(listener: &TcpListener) -> io::Result<SocketAddr> {
    listener.local_addr()
}

/// Connects to an address within [`CONNECT_TIMEOUT`].
///
/// # Errors
///
/// Fails if the connection is refused or times out.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    connect_within(address, CONNECT_TIMEOUT).await
}

/// Connects to an address within `timeout`, in which stalls of the event loop hardly count.
///
/// # Errors
///
/// Fails if the connection is refused or times out.
pub async fn connect_within(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = running_time::within(timeout, TcpStream::connect(address))
        .await
        .ok_or(io::ErrorKind::TimedOut)??;
    set_socket_options(&stream)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    Ok(stream)
}

/// Disables Nagle's algorithm and enables TCP keepalive, so that an idle connection to a
/// dead peer fails.
///
/// # Errors
///
/// Fails if the connection is closed.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_DELAY)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Lets a connection fail within two seconds if the peer falls silent, also while it is idle.
///
/// # Errors
///
/// Fails if the connection is closed.
pub fn detect_silence(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(SILENCE_PROBE_INTERVAL)
        .with_interval(SILENCE_PROBE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))
}

/// Limits of one served connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Time that the peer has to send the head of a request.
    pub head_timeout: Duration,
    /// Time that the peer may go without reading any of a response.
    pub stall_timeout: Duration,
    /// Bytes buffered for a head and the start of the body.
    pub max_buffer: usize,
    /// Number of headers in one head.
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
    S: Service<Request<RequestBody>, Response = Response<B>> + 'static,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    serve_http1_until(
        stream,
        service,
        ConnectionLimits::default(),
        pending::<()>(),
    )
    .await;
}

/// Serves HTTP/1 on one accepted connection; after `stop`, only until the current response ends.
///
/// If a response ends before its request has been read, the rest of that is discarded, within bounds.
///
/// A request whose head has arrived only in part is not waited for: its caller might never send the
/// rest.
pub async fn serve_http1_until<S, B, F>(
    stream: TcpStream,
    service: S,
    limits: ConnectionLimits,
    stop: F,
) where
    S: Service<Request<RequestBody>, Response = Response<B>> + 'static,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    F: Future,
{
    if set_socket_options(&stream).is_err() {
        return;
    }
    let activity = Activity::default();
    let stream = WriteTimeout::new(
        FairReads::new(HyperStream::new_plain(stream)),
        limits.stall_timeout,
        activity.clone(),
    );
    let stream = LingeringClose::new(stream, activity.clone());
    let service = service_fn(|request: Request<Incoming>| {
        let guard = activity.request_began();
        let request = request.map(|body| RequestBody::new(body, activity.clone()));
        let response = service.call(request);
        async move {
            let response = response.await?;
            // The body is dropped once all of it has been passed to the connection.
            let keep = move |error| {
                let _ = &guard;
                error
            };
            Ok::<_, S::Error>(response.map(|body| body.map_err(keep)))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_buffer)
        .max_headers(limits.max_headers)
        .serve_connection(stream, service);
    let mut connection = pin!(connection);
    if let Either::Left(_) = select(connection.as_mut(), pin!(stop)).await {
        return;
    }
    connection.as_mut().graceful_shutdown();
    loop {
        let check = pin!(compio::time::sleep(UNUSED_CHECK_INTERVAL));
        let is_closed = matches!(select(connection.as_mut(), check).await, Either::Left(_));
        if is_closed || !activity.is_busy() {
            return;
        }
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

/// Headers that apply to one connection only, or are set again on each.
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

/// Returns true if the body is a stream of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

/// Performs the HTTP/1 handshake on an open connection.
///
/// The returned task drives the connection; dropping it closes the connection.
///
/// # Errors
///
/// Fails if the connection is closed.
pub async fn handshake_http1<B>(
    stream: TcpStream,
) -> hyper::Result<(SendRequest<B>, JoinHandle<()>)>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = FairReads::new(CleanEof::new(HyperStream::new_plain(stream)));
    let (sender, connection) = Builder::new()
        .max_buf_size(MAX_READ_BUFFER)
        .handshake(stream)
        .await?;
    let task = compio::runtime::spawn(async move {
        // Errors of the connection are reported by the sender and the body.
        let _ = connection.await;
    });
    Ok((sender, task))
}

/// Sends one request on a new HTTP/1 connection and returns the response, its body unread.
///
/// # Errors
///
/// Fails if the address can't be reached or no head of a response arrives.
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
