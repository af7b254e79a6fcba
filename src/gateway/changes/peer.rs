//! Connection on which a peer sends what it has from the store.

use super::messages::{Subscribe, Update};
use crate::{
    core::time::Span,
    shell::{
        frames::{read_frame, write_frame},
        http::connect_within,
    },
};
use compio::net::TcpStream;
use std::{fmt, io, net::SocketAddr, time::Duration};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Age of a peer's last contact with the store from which it is no longer followed; a watcher
/// renews its lease twice in that time.
pub(super) const MAX_AGE: Span = Span::from_millis(1_600);

/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Reason for which a peer is no longer followed.
#[derive(Debug)]
pub enum FollowEnd {
    /// It no longer keeps the changes that are needed.
    Compacted,
    /// It is not in contact with the store, or not with this daemon.
    Stale,
    /// The connection failed.
    Failed(io::Error),
}

impl fmt::Display for FollowEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FollowEnd::Compacted => f.write_str("changes no longer kept"),
            FollowEnd::Stale => f.write_str("no recent contact with the store"),
            FollowEnd::Failed(error) => error.fmt(f),
        }
    }
}

impl From<io::Error> for FollowEnd {
    fn from(error: io::Error) -> Self {
        FollowEnd::Failed(error)
    }
}

/// Connects to a peer and sends it a request.
pub(super) async fn subscribe(peer: SocketAddr, request: Subscribe) -> io::Result<TcpStream> {
    let mut stream = connect_within(peer, CONNECT_TIMEOUT).await?;
    let frame = postcard::to_stdvec(&request).map_err(io::Error::other)?;
    write_frame(&mut stream, frame).await?;
    Ok(stream)
}

/// Reads the next message of a peer.
pub(super) async fn read_update(stream: &mut TcpStream) -> io::Result<Update> {
    let frame = read_frame(stream, MAX_MESSAGE_BYTES).await?;
    postcard::from_bytes(&frame).map_err(io::Error::other)
}
