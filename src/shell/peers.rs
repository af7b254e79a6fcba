//! Datagrams and streams between daemons.

use {
    super::{Inbox, calls::Calls},
    crate::{
        core::{ctx::Identity, message::Message, output::Transport},
        settings::Settings,
    },
    compio::net::{TcpListener, UdpSocket},
    std::{io, net::SocketAddr, rc::Rc},
};

/// The two sockets, on one port.
pub struct Sockets {
    datagrams: UdpSocket,
    streams: TcpListener,
}

impl Sockets {
    /// Binds both.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken or not this host's.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let streams = TcpListener::bind(address).await?;
        let datagrams = UdpSocket::bind(streams.local_addr()?).await?;
        Ok(Self { datagrams, streams })
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

/// The way to other daemons.
pub struct Peers {
    _sockets: Sockets,
}

impl Peers {
    /// Serves other daemons until the loop ends.
    pub fn start(
        sockets: Sockets,
        _inbox: Inbox,
        _calls: Rc<Calls>,
        _me: &Identity,
        _settings: &Settings,
    ) -> Self {
        let _ = &sockets.datagrams;
        Self { _sockets: sockets }
    }

    /// Sends a message.
    pub fn perform(&self, _to: SocketAddr, _transport: Transport, _message: Message) {}
}
