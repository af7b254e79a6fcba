//! Lists the entries under a prefix from a peer.

use super::{
    messages::{ListPage, Subscribe, Update},
    peer::{FollowEnd, MAX_AGE, read_update, subscribe},
};
use crate::core::{
    input::PlatformEntry,
    keys::{Era, Revision},
    time::Span,
};
use compio::{net::TcpStream, time::timeout};
use std::{io, net::SocketAddr, time::Duration};

/// Timeout of each page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Entries as a peer has them.
#[derive(Debug)]
pub struct PeerList {
    /// Revision after which changes are to be followed.
    pub at: Revision,
    /// Era of the revision.
    pub era: Option<Era>,
    /// Entries, in the order of their keys.
    pub entries: Vec<PlatformEntry>,
    /// Time since the store last proved to be in contact with the peer.
    pub age: Span,
}

/// Lists the entries under a prefix from a peer that is in contact with the store.
///
/// # Errors
///
/// Fails if the connection fails, or if the peer has no current list.
pub async fn fetch(peer: SocketAddr, prefix: &str) -> Result<PeerList, FollowEnd> {
    let request = Subscribe {
        prefix: prefix.to_owned(),
        after: Revision::default(),
        era: None,
    };
    let mut stream = subscribe(peer, request).await?;
    let (first, entries) = read_page(&mut stream).await?;
    let mut list = PeerList {
        at: first.at,
        era: first.era,
        entries,
        age: first.age,
    };
    let mut is_last = list.entries.is_empty();
    while !is_last {
        let (page, entries) = read_page(&mut stream).await?;
        is_last = entries.is_empty();
        list.entries.extend(entries);
        list.age = page.age;
    }
    match list.age < MAX_AGE {
        true => Ok(list),
        false => Err(FollowEnd::Stale),
    }
}

async fn read_page(stream: &mut TcpStream) -> Result<(ListPage, Vec<PlatformEntry>), FollowEnd> {
    let update = timeout(PAGE_TIMEOUT, read_update(stream)).await;
    match update.map_err(|_| FollowEnd::Stale)?? {
        Update::ListPage(page) => {
            let entries = page.entries.unpack().map_err(io::Error::other)?;
            Ok((page, entries))
        }
        // A peer of an earlier version has no lists for others.
        Update::Changes(_) | Update::Compacted => Err(FollowEnd::Compacted),
    }
}
