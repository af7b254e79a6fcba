//! Messages between daemons, as datagrams or over TCP streams.
//!
//! A message that is too long for a datagram is sent on a stream. There is one
//! stream connection to each peer. Each message on it is acknowledged, so that a
//! dead connection is detected and replaced before the message is dropped.

use super::{
    Inbox,
    calls::Calls,
    frames::{read_frame, write_frame},
    http::{connect, set_socket_options},
    relay,
};
use crate::{
    core::{
        ctx::Identity,
        input::{Input, PeerInput},
        message::Message,
        output::Transport,
    },
    settings::Settings,
    wire::envelope::{self, Channel, FrameError, Header, Opener, Sealer},
};
use compio::{
    BufResult,
    net::{TcpListener, TcpStream, UdpSocket},
    time::timeout,
};
use futures_channel::mpsc::{Receiver, Sender, channel};
use futures_util::StreamExt as _;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Bytes of the longest datagram that is sent.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Bytes of the longest message on a stream.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Frames queued for the stream to one peer.
const MAX_QUEUED_FRAMES: usize = 256;

/// Timeout of an acknowledgement.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Attempts to send a frame, each on a new connection after the first, before it is dropped.
const MAX_SEND_ATTEMPTS: u32 = 2;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay after a socket error, and between checks for open relayed calls.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for the responses to relayed calls to be sent on a stop.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Sockets for datagrams and streams, on the same port.
pub struct Sockets {
    datagrams: std::net::UdpSocket,
    streams: TcpListener,
}

impl Sockets {
    /// Binds both sockets.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or doesn't belong to this host.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let mut attempts_left = if address.port() == 0 {
            MAX_BIND_ATTEMPTS
        } else {
            1
        };
        loop {
            attempts_left -= 1;
            let streams = TcpListener::bind(address).await?;
            let datagrams = std::net::UdpSocket::bind(streams.local_addr()?);
            match datagrams {
                Ok(datagrams) => {
                    datagrams.set_nonblocking(true)?;
                    return Ok(Self { datagrams, streams });
                }
                Err(error) if attempts_left == 0 => return Err(error),
                Err(_) => continue,
            }
        }
    }

    /// Returns the socket for datagrams and the listener for streams.
    pub fn into_parts(self) -> (std::net::UdpSocket, TcpListener) {
        (self.datagrams, self.streams)
    }

    /// Returns the address that both sockets are bound to.
    ///
    /// # Errors
    ///
    /// Fails if the operating system doesn't report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.streams.local_addr()
    }
}

/// Attempts to find a port that is free for both protocols.
const MAX_BIND_ATTEMPTS: u32 = 16;

/// Driver for messages to and from other daemons.
pub struct Peers {
    datagrams: std::net::UdpSocket,
    queues: RefCell<HashMap<SocketAddr, Sender<Vec<u8>>>>,
    state: Rc<PeerState>,
}

/// State shared by all connections of peers.
struct PeerState {
    inbox: Inbox,
    calls: Rc<Calls>,
    sealer: Sealer,
    opener: RefCell<Opener>,
    address: SocketAddr,
    max_body: usize,
    open_relays: Cell<usize>,
}

impl Peers {
    /// Starts serving other daemons until the event loop ends.
    pub fn start(
        sockets: Sockets,
        inbox: Inbox,
        calls: Rc<Calls>,
        identity: &Identity,
        settings: &Settings,
    ) -> Self {
        let state = Rc::new(PeerState {
            inbox,
            calls,
            sealer: Sealer::new(
                *settings.peer_key.expose(),
                identity.name.clone(),
                identity.incarnation,
            ),
            opener: RefCell::new(Opener::new(*settings.peer_key.expose())),
            address: identity.peer,
            max_body: settings.max_body,
            open_relays: Cell::new(0),
        });
        let Sockets { datagrams, streams } = sockets;
        match datagrams.try_clone().and_then(UdpSocket::from_std) {
            Ok(socket) => compio::runtime::spawn(receive(socket, state.clone())).detach(),
            Err(_) => count("peer_socket_errors_total", "datagram"),
        }
        compio::runtime::spawn(accept(streams, state.clone())).detach();
        Self {
            datagrams,
            queues: RefCell::default(),
            state,
        }
    }

    /// Sends a message to another daemon.
    pub fn perform(&self, to: SocketAddr, transport: Transport, message: Message) {
        let context = envelope::address_context(to);
        if transport == Transport::Datagram {
            let sealer = &self.state.sealer;
            let frame = sealer.seal(Channel::Datagram, &context, &message);
            if frame.len() <= MAX_DATAGRAM_BYTES {
                self.send_datagram(to, &frame);
                return;
            }
        }
        let body = (self.state.address, message);
        let frame = self.state.sealer.seal(Channel::Stream, &context, &body);
        self.send_stream(to, frame);
    }

    /// Waits until the responses to relayed calls have been sent, at most `FLUSH_TIMEOUT`.
    pub async fn finish(&self) {
        let end = Instant::now() + FLUSH_TIMEOUT;
        while self.state.open_relays.get() > 0 && Instant::now() < end {
            compio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn send_datagram(&self, to: SocketAddr, frame: &[u8]) {
        match self.datagrams.send_to(frame, to) {
            Ok(_) => {
                metrics::counter!("peer_datagrams_sent_total").increment(1);
                metrics::counter!("peer_bytes_sent_total").increment(frame.len() as u64);
            }
            Err(_) => count("peer_send_errors_total", "datagram"),
        }
    }

    fn send_stream(&self, to: SocketAddr, frame: Vec<u8>) {
        let mut queues = self.queues.borrow_mut();
        let frame = match queues.get_mut(&to) {
            None => frame,
            Some(queue) => match queue.try_send(frame) {
                Ok(()) => return,
                Err(error) if error.is_full() => {
                    self.state.report_undelivered(to);
                    return;
                }
                Err(error) => error.into_inner(),
            },
        };
        let (mut queue, frames) = channel(MAX_QUEUED_FRAMES);
        let _ = queue.try_send(frame);
        queues.retain(|_, queue| !queue.is_closed());
        queues.insert(to, queue);
        compio::runtime::spawn(send_frames(to, frames, self.state.clone())).detach();
    }
}

impl PeerState {
    fn report_undelivered(&self, address: SocketAddr) {
        count("peer_send_errors_total", "stream");
        self.inbox
            .send(Input::Peer(PeerInput::Undelivered { address }));
    }

    fn report_received(&self, header: Header, address: SocketAddr, message: Message) {
        self.inbox.send(Input::Peer(PeerInput::Received {
            from: header.from,
            incarnation: header.incarnation,
            address,
            message,
        }));
    }

    fn open_datagram(&self, from: SocketAddr, frame: &[u8]) -> Result<(), FrameError> {
        let context = envelope::address_context(self.address);
        let mut opener = self.opener.borrow_mut();
        let verified = opener.open(&context, frame)?;
        if verified.header.channel != Channel::Datagram {
            return Err(FrameError::Malformed);
        }
        let message = verified.decode()?;
        self.report_received(verified.header, from, message);
        Ok(())
    }
}

async fn receive(socket: UdpSocket, state: Rc<PeerState>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES + 1);
    loop {
        buffer.clear();
        let BufResult(result, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        let Ok((length, from)) = result else {
            compio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        metrics::counter!("peer_bytes_received_total").increment(length as u64);
        if let Err(error) = state.open_datagram(from, &buffer[..length]) {
            count("peer_frames_rejected_total", error.as_str());
        }
    }
}

/// Sends the frames queued for one peer, until a send fails or the queue is idle.
async fn send_frames(to: SocketAddr, mut frames: Receiver<Vec<u8>>, state: Rc<PeerState>) {
    let mut stream = None;
    while let Ok(Some(frame)) = timeout(IDLE_TIMEOUT, frames.next()).await {
        if deliver(&mut stream, to, &frame, &state).await.is_ok() {
            continue;
        }
        state.report_undelivered(to);
        frames.close();
        while frames.next().await.is_some() {
            state.report_undelivered(to);
        }
        return;
    }
    frames.close();
    while let Some(frame) = frames.next().await {
        if deliver(&mut stream, to, &frame, &state).await.is_err() {
            state.report_undelivered(to);
        }
    }
}

/// Sends one frame on the open connection, and retries on a new one if that fails.
async fn deliver(
    connection: &mut Option<TcpStream>,
    to: SocketAddr,
    frame: &[u8],
    state: &PeerState,
) -> io::Result<()> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let stream = match connection {
            Some(stream) => stream,
            None => connection.insert(connect(to).await?),
        };
        let result = exchange(stream, frame, state).await;
        if result.is_ok() {
            return result;
        }
        *connection = None;
        if attempts == MAX_SEND_ATTEMPTS {
            return result;
        }
    }
}

async fn exchange(stream: &mut TcpStream, frame: &[u8], state: &PeerState) -> io::Result<()> {
    let context = envelope::frame_tag(frame).unwrap_or_default();
    let answer = timeout(ACK_TIMEOUT, async {
        write_frame(stream, frame.to_vec()).await?;
        read_frame(stream, MAX_DATAGRAM_BYTES).await
    })
    .await
    .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    metrics::counter!("peer_bytes_sent_total").increment(frame.len() as u64);
    let opener = state.opener.borrow();
    opener
        .open_answer(&context, 0, &answer)
        .map_err(io::Error::other)?;
    Ok(())
}

async fn accept(listener: TcpListener, state: Rc<PeerState>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            compio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        if set_socket_options(&stream).is_err() {
            continue;
        }
        compio::runtime::spawn(serve(stream, state.clone())).detach();
    }
}

/// Serves one accepted connection until it ends, is idle or sends an invalid frame.
async fn serve(mut stream: TcpStream, state: Rc<PeerState>) {
    let max_bytes = MAX_MESSAGE_BYTES.max(state.max_body + relay::MAX_HEAD_BYTES);
    while let Ok(Ok(frame)) = timeout(IDLE_TIMEOUT * 2, read_frame(&mut stream, max_bytes)).await {
        metrics::counter!("peer_bytes_received_total").increment(frame.len() as u64);
        match open_frame(&frame, &state) {
            Ok(StreamFrame::Message) => {}
            Ok(StreamFrame::Relay(request, context)) => {
                state.open_relays.update(|open| open + 1);
                let calls = state.calls.clone();
                relay::serve(stream, request, context, calls, &state.sealer).await;
                state.open_relays.update(|open| open - 1);
                return;
            }
            Err(error) => {
                count("peer_frames_rejected_total", error.as_str());
                if error != FrameError::Replayed {
                    return;
                }
            }
        }
        let context = envelope::frame_tag(&frame).unwrap_or_default();
        let ack = state
            .sealer
            .seal_with_sequence(Channel::Answer, 0, &context, &());
        if write_frame(&mut stream, ack).await.is_err() {
            return;
        }
    }
}

/// Content of a frame that arrived on a stream.
enum StreamFrame {
    Message,
    Relay(Box<relay::RelayRequest>, envelope::Tag),
}

fn open_frame(frame: &[u8], state: &PeerState) -> Result<StreamFrame, FrameError> {
    let context = envelope::address_context(state.address);
    let mut opener = state.opener.borrow_mut();
    let verified = opener.open(&context, frame)?;
    match verified.header.channel {
        Channel::Stream => {
            let (address, message) = verified.decode()?;
            state.report_received(verified.header, address, message);
            Ok(StreamFrame::Message)
        }
        Channel::Relay => {
            let mut relay: relay::RelayRequest = verified.decode()?;
            relay.request.relayed_by = Some(verified.header.from.clone());
            Ok(StreamFrame::Relay(Box::new(relay), verified.tag))
        }
        Channel::Datagram | Channel::Answer => Err(FrameError::Malformed),
    }
}

fn count(name: &'static str, reason: &'static str) {
    metrics::counter!(name, "reason" => reason).increment(1);
}
