//! Follows the changes that a peer has from the store.

use super::messages::{Changes, Subscribe, Update};
use crate::{
    core::time::{Span, Time},
    gateway::state::GatewayState,
    shell::{
        frames::{read_frame, write_frame},
        http::connect_within,
    },
};
use compio::{net::TcpStream, time::timeout};
use std::{fmt, io, net::SocketAddr, time::Duration};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Age of a peer's last contact with the store from which it is no longer followed; a watcher
/// renews its lease twice in that time.
const MAX_AGE: Span = Span::from_millis(1_600);

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

/// Delivers a peer's changes and the time at which they were current, until it can't be followed
/// any more.
pub async fn follow<D>(
    state: &GatewayState,
    peer: SocketAddr,
    request: Subscribe,
    mut deliver: D,
) -> FollowEnd
where
    D: FnMut(Changes, Time),
{
    let mut stream = match subscribe(peer, request).await {
        Ok(stream) => stream,
        Err(error) => return error.into(),
    };
    let mut fresh_at = state.now();
    loop {
        let age = state.now().since(fresh_at);
        if age >= MAX_AGE {
            return FollowEnd::Stale;
        }
        let wait = Duration::from(MAX_AGE - age);
        let update = match timeout(wait, read_update(&mut stream)).await {
            Ok(Ok(update)) => update,
            Ok(Err(error)) => return error.into(),
            Err(_) => return FollowEnd::Stale,
        };
        match update {
            Update::Compacted => return FollowEnd::Compacted,
            Update::Changes(changes) => {
                let current_at = Time(state.now().0.saturating_sub(changes.age.0));
                fresh_at = fresh_at.max(current_at);
                deliver(changes, current_at);
            }
        }
    }
}

async fn subscribe(peer: SocketAddr, request: Subscribe) -> io::Result<TcpStream> {
    let mut stream = connect_within(peer, CONNECT_TIMEOUT).await?;
    let frame = postcard::to_stdvec(&request).map_err(io::Error::other)?;
    write_frame(&mut stream, frame).await?;
    Ok(stream)
}

async fn read_update(stream: &mut TcpStream) -> io::Result<Update> {
    let frame = read_frame(stream, MAX_MESSAGE_BYTES).await?;
    postcard::from_bytes(&frame).map_err(io::Error::other)
}
