//! Choice of the source of changes: the store, or a peer that watches it.
//!
//! The daemons of a hall are ranked by their processors, so that all of them
//! agree on the watchers without a message, and machines with little processor
//! time don't serve the others.

use crate::{
    core::{
        keys::{DaemonName, HallName},
        time::{Span, Time},
    },
    gateway::peers::{DaemonEntry, Peers},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use xxhash_rust::xxh3::xxh3_64;

/// Number of daemons of a hall that watch the store.
const WATCHERS_PER_HALL: usize = 2;

/// Number of daemons from which a hall has subscribers; in a smaller one they would save little.
const MIN_HALL_DAEMONS: usize = 4;

/// Number of daemons from which one that starts lists the entries from a peer: the lists of so many
/// at once would overload the store.
const MIN_LIST_DAEMONS: usize = 64;

/// Time for which a peer that failed is not subscribed to again.
const AVOID_TIMEOUT: Span = Span::from_secs(5);

/// Source of the store's changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// A peer that watches the store.
    Peer {
        /// Name of the peer.
        name: DaemonName,
        /// Address for subscribers.
        address: SocketAddr,
    },
}

/// Peers that failed as a source, with the time at which they did.
#[derive(Debug, Default)]
pub struct AvoidedPeers(BTreeMap<DaemonName, Time>);

impl AvoidedPeers {
    /// Records that a peer failed as a source.
    pub fn insert(&mut self, name: DaemonName, now: Time) {
        self.0.insert(name, now);
    }

    fn contains(&self, name: &DaemonName, now: Time) -> bool {
        let failed = self.0.get(name);
        failed.is_some_and(|at| now.since(*at) < AVOID_TIMEOUT)
    }
}

/// Chooses the source for a daemon that doesn't hold the duty.
pub fn choose(
    own: &DaemonName,
    hall: &HallName,
    peers: &Peers,
    avoided: &AvoidedPeers,
    now: Time,
) -> Source {
    let watchers = watchers(hall, peers);
    let is_watcher = watchers.iter().any(|(name, _)| *name == own);
    // Before its own entry has arrived, a daemon doesn't know its rank.
    if watchers.is_empty() || is_watcher || !peers.contains(own) {
        return Source::Store;
    }
    let usable = in_turn(own, &watchers).filter(|(name, _)| !avoided.contains(name, now));
    let mut sources = usable.filter_map(|(name, entry)| {
        Some(Source::Peer {
            name: (*name).clone(),
            address: entry.peer?,
        })
    });
    sources.next().unwrap_or(Source::Store)
}

/// Returns the addresses of the peers that a daemon without entries may list them from; none if it
/// is to list them from the store.
pub fn list_sources(own: &DaemonName, hall: &HallName, peers: &Peers) -> Vec<SocketAddr> {
    let watchers = watchers(hall, peers);
    let is_watcher = watchers.iter().any(|(name, _)| *name == own);
    if is_watcher || peers.daemons().count() < MIN_LIST_DAEMONS {
        return Vec::new();
    }
    in_turn(own, &watchers)
        .filter_map(|(_, entry)| entry.peer)
        .collect()
}

/// Returns the daemon at an address as a source, if it is known.
pub fn peer_at(peers: &Peers, address: SocketAddr) -> Option<Source> {
    let mut daemons = peers.daemons();
    let (name, _) = daemons.find(|(_, entry)| entry.peer == Some(address))?;
    Some(Source::Peer {
        name: name.clone(),
        address,
    })
}

/// Returns the watchers in the order in which a daemon tries them. Each daemon starts elsewhere, so
/// that the watchers have about as many subscribers.
fn in_turn<'a, T>(own: &DaemonName, watchers: &'a [T]) -> impl Iterator<Item = &'a T> {
    let offset = xxh3_64(own.as_str().as_bytes()) as usize % watchers.len().max(1);
    watchers.iter().cycle().skip(offset).take(watchers.len())
}

/// Returns the daemons of a hall that watch the store; none if all of them do.
fn watchers<'a>(hall: &HallName, peers: &'a Peers) -> Vec<(&'a DaemonName, &'a DaemonEntry)> {
    let mut ranked = peers.ranked();
    ranked.retain(|(_, entry)| entry.hall == *hall);
    if ranked.len() < MIN_HALL_DAEMONS {
        return Vec::new();
    }
    ranked.truncate(WATCHERS_PER_HALL);
    ranked
}

/// Returns the addresses of the daemons that watch the store for others, or in a small hall for
/// themselves.
pub fn watcher_addresses(peers: &Peers) -> Vec<SocketAddr> {
    let halls: BTreeSet<&HallName> = peers.daemons().map(|(_, entry)| &entry.hall).collect();
    let mut addresses = Vec::new();
    for hall in halls {
        let watching = watchers(hall, peers);
        let own_hall = peers.daemons().filter(|(_, entry)| entry.hall == *hall);
        match watching.is_empty() {
            true => addresses.extend(own_hall.filter_map(|(_, entry)| entry.peer)),
            false => addresses.extend(watching.iter().filter_map(|(_, entry)| entry.peer)),
        }
    }
    addresses
}

/// Returns the number of daemons that watch the store.
pub fn watcher_count(peers: &Peers) -> usize {
    let mut halls: BTreeMap<&HallName, usize> = BTreeMap::new();
    for (_, entry) in peers.daemons() {
        *halls.entry(&entry.hall).or_default() += 1;
    }
    let watchers = halls.into_values().map(|daemons| match daemons {
        MIN_HALL_DAEMONS.. => WATCHERS_PER_HALL,
        _ => daemons,
    });
    watchers.sum()
}
