//! Datagrams and streams between daemons.
//!
//! A datagram that would be too long travels as a stream. Streams keep one
//! connection to each peer; each message is acknowledged, so that a connection
//! gone silent is found and replaced before the message is given up.

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

/// The longest datagram sent, in bytes.
pub const MAX_DATAGRAM: usize = 1_200;

/// The longest stream message, in bytes.
const MAX_MESSAGE: usize = 8 << 20;

/// Messages that may wait for one peer's connection.
const QUEUE: usize = 256;

/// How long an acknowledgement may take.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections on which a message is tried before it is given up.
const SEND_TRIES: u32 = 2;

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// How long to wait after a socket error, and between looks at what is under way.
const PAUSE: Duration = Duration::from_millis(50);

/// How long the answers to relayed calls may take to be sent at the end.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// The two sockets, on one port.
pub struct Sockets {
    datagrams: std::net::UdpSocket,
    streams: TcpListener,
}

impl Sockets {
    /// Binds both.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken or not this host's.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let mut tries = if address.port() == 0 { BIND_TRIES } else { 1 };
        loop {
            tries -= 1;
            let streams = TcpListener::bind(address).await?;
            let datagrams = std::net::UdpSocket::bind(streams.local_addr()?);
            match datagrams {
                Ok(datagrams) => {
                    datagrams.set_nonblocking(true)?;
                    return Ok(Self { datagrams, streams });
                }
                Err(error) if tries == 0 => return Err(error),
                Err(_) => continue,
            }
        }
    }

    /// The address that both got.
    ///
    /// # Errors
    ///
    /// Fails if the system doesn't tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.streams.local_addr()
    }
}

/// Free ports tried until one is free for both protocols.
const BIND_TRIES: u32 = 16;

/// The way to other daemons.
pub struct Peers {
    datagrams: std::net::UdpSocket,
    links: RefCell<HashMap<SocketAddr, Sender<Vec<u8>>>>,
    site: Rc<Site>,
}

/// What every connection needs.
struct Site {
    inbox: Inbox,
    calls: Rc<Calls>,
    sealer: Sealer,
    opener: RefCell<Opener>,
    peer: SocketAddr,
    max_body: usize,
    relays: Cell<usize>,
}

impl Peers {
    /// Serves other daemons until the loop ends.
    pub fn start(
        sockets: Sockets,
        inbox: Inbox,
        calls: Rc<Calls>,
        me: &Identity,
        settings: &Settings,
    ) -> Self {
        let site = Rc::new(Site {
            inbox,
            calls,
            sealer: Sealer::new(*settings.peer_key.expose(), me.name.clone(), me.incarnation),
            opener: RefCell::new(Opener::new(*settings.peer_key.expose())),
            peer: me.peer,
            max_body: settings.max_body,
            relays: Cell::new(0),
        });
        let Sockets { datagrams, streams } = sockets;
        match datagrams.try_clone().and_then(UdpSocket::from_std) {
            Ok(socket) => compio::runtime::spawn(receive(socket, site.clone())).detach(),
            Err(_) => count("peer_socket_errors_total", "datagram"),
        }
        compio::runtime::spawn(accept(streams, site.clone())).detach();
        Self {
            datagrams,
            links: RefCell::default(),
            site,
        }
    }

    /// Sends a message.
    pub fn perform(&self, to: SocketAddr, transport: Transport, message: Message) {
        let context = envelope::address_context(to);
        if transport == Transport::Datagram {
            let sealer = &self.site.sealer;
            let frame = sealer.seal(Channel::Datagram, &context, &message);
            if frame.len() <= MAX_DATAGRAM {
                self.send_datagram(to, &frame);
                return;
            }
        }
        let body = (self.site.peer, message);
        let frame = self.site.sealer.seal(Channel::Stream, &context, &body);
        self.send_stream(to, frame);
    }

    /// Waits until the answers to relayed calls have been sent, for a while.
    pub async fn finish(&self) {
        let end = Instant::now() + FLUSH_TIMEOUT;
        while self.site.relays.get() > 0 && Instant::now() < end {
            compio::time::sleep(PAUSE).await;
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
        let mut links = self.links.borrow_mut();
        let frame = match links.get_mut(&to) {
            None => frame,
            Some(link) => match link.try_send(frame) {
                Ok(()) => return,
                Err(error) if error.is_full() => {
                    self.site.undelivered(to);
                    return;
                }
                Err(error) => error.into_inner(),
            },
        };
        let (mut link, frames) = channel(QUEUE);
        let _ = link.try_send(frame);
        links.retain(|_, link| !link.is_closed());
        links.insert(to, link);
        compio::runtime::spawn(send_frames(to, frames, self.site.clone())).detach();
    }
}

impl Site {
    fn undelivered(&self, address: SocketAddr) {
        count("peer_send_errors_total", "stream");
        self.inbox
            .send(Input::Peer(PeerInput::Undelivered { address }));
    }

    fn received(&self, header: Header, address: SocketAddr, message: Message) {
        self.inbox.send(Input::Peer(PeerInput::Received {
            from: header.from,
            incarnation: header.incarnation,
            address,
            message,
        }));
    }

    fn take_datagram(&self, from: SocketAddr, frame: &[u8]) -> Result<(), FrameError> {
        let context = envelope::address_context(self.peer);
        let mut opener = self.opener.borrow_mut();
        let verified = opener.open(&context, frame)?;
        if verified.header.channel != Channel::Datagram {
            return Err(FrameError::Malformed);
        }
        let message = verified.decode()?;
        self.received(verified.header, from, message);
        Ok(())
    }
}

async fn receive(socket: UdpSocket, site: Rc<Site>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM + 1);
    loop {
        buffer.clear();
        let BufResult(result, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        let Ok((length, from)) = result else {
            compio::time::sleep(PAUSE).await;
            continue;
        };
        metrics::counter!("peer_bytes_received_total").increment(length as u64);
        if let Err(reject) = site.take_datagram(from, &buffer[..length]) {
            count("peer_frames_rejected_total", reject.as_str());
        }
    }
}

/// Sends what is queued for one peer, until it fails or falls idle.
async fn send_frames(to: SocketAddr, mut frames: Receiver<Vec<u8>>, site: Rc<Site>) {
    let mut stream = None;
    while let Ok(Some(frame)) = timeout(IDLE_TIMEOUT, frames.next()).await {
        if deliver(&mut stream, to, &frame, &site).await.is_ok() {
            continue;
        }
        site.undelivered(to);
        frames.close();
        while frames.next().await.is_some() {
            site.undelivered(to);
        }
        return;
    }
    frames.close();
    while let Some(frame) = frames.next().await {
        if deliver(&mut stream, to, &frame, &site).await.is_err() {
            site.undelivered(to);
        }
    }
}

/// Sends one frame on the kept connection, and again on a new one if that fails.
async fn deliver(
    kept: &mut Option<TcpStream>,
    to: SocketAddr,
    frame: &[u8],
    site: &Site,
) -> io::Result<()> {
    let mut tries = 0;
    loop {
        tries += 1;
        let stream = match kept {
            Some(stream) => stream,
            None => kept.insert(connect(to).await?),
        };
        let result = exchange(stream, frame, site).await;
        if result.is_ok() {
            return result;
        }
        *kept = None;
        if tries == SEND_TRIES {
            return result;
        }
    }
}

async fn exchange(stream: &mut TcpStream, frame: &[u8], site: &Site) -> io::Result<()> {
    let context = envelope::frame_tag(frame).unwrap_or_default();
    let answer = timeout(ACK_TIMEOUT, async {
        write_frame(stream, frame.to_vec()).await?;
        read_frame(stream, MAX_DATAGRAM).await
    })
    .await
    .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    metrics::counter!("peer_bytes_sent_total").increment(frame.len() as u64);
    let opener = site.opener.borrow();
    opener
        .open_answer(&context, 0, &answer)
        .map_err(io::Error::other)?;
    Ok(())
}

async fn accept(listener: TcpListener, site: Rc<Site>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            compio::time::sleep(PAUSE).await;
            continue;
        };
        if set_socket_options(&stream).is_err() {
            continue;
        }
        compio::runtime::spawn(serve(stream, site.clone())).detach();
    }
}

/// Serves one accepted connection until it ends, falls idle or sends nonsense.
async fn serve(mut stream: TcpStream, site: Rc<Site>) {
    let max = MAX_MESSAGE.max(site.max_body + relay::MAX_HEAD_BYTES);
    while let Ok(Ok(frame)) = timeout(IDLE_TIMEOUT * 2, read_frame(&mut stream, max)).await {
        metrics::counter!("peer_bytes_received_total").increment(frame.len() as u64);
        match take_frame(&frame, &site) {
            Ok(Taken::Message) => {}
            Ok(Taken::Relay(relayed, context)) => {
                site.relays.update(|open| open + 1);
                let calls = site.calls.clone();
                relay::serve(stream, relayed, context, calls, &site.sealer).await;
                site.relays.update(|open| open - 1);
                return;
            }
            Err(reject) => {
                count("peer_frames_rejected_total", reject.as_str());
                if reject != FrameError::Replayed {
                    return;
                }
            }
        }
        let context = envelope::frame_tag(&frame).unwrap_or_default();
        let ack = site
            .sealer
            .seal_with_sequence(Channel::Answer, 0, &context, &());
        if write_frame(&mut stream, ack).await.is_err() {
            return;
        }
    }
}

/// What a stream's frame held.
enum Taken {
    Message,
    Relay(Box<relay::RelayRequest>, envelope::Tag),
}

fn take_frame(frame: &[u8], site: &Site) -> Result<Taken, FrameError> {
    let context = envelope::address_context(site.peer);
    let mut opener = site.opener.borrow_mut();
    let verified = opener.open(&context, frame)?;
    match verified.header.channel {
        Channel::Stream => {
            let (address, message) = verified.decode()?;
            site.received(verified.header, address, message);
            Ok(Taken::Message)
        }
        Channel::Relay => {
            let mut relayed: relay::RelayRequest = verified.decode()?;
            relayed.request.relayed_by = Some(verified.header.from.clone());
            Ok(Taken::Relay(Box::new(relayed), verified.tag))
        }
        Channel::Datagram | Channel::Answer => Err(FrameError::Malformed),
    }
}

fn count(name: &'static str, reason: &'static str) {
    metrics::counter!(name, "reason" => reason).increment(1);
}
