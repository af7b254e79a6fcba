//! Chooses the peer for a request: one that has not failed lately, and has few requests of this
//! daemon.

use crate::{
    core::{
        keys::DaemonName,
        time::{Span, Time},
    },
    gateway::peers::Peers,
};
use rand::{Rng, seq::IndexedRandom};
use std::{collections::BTreeMap, net::SocketAddr};

/// Time for which a peer that declined or was not reached is not asked again.
const AVOID_TIME: Span = Span::from_secs(1);

/// Peer to which a request can be passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayPeer {
    /// Name of the daemon.
    pub name: DaemonName,
    /// Address for requests that other daemons pass on.
    pub address: SocketAddr,
}

/// What this daemon knows of its peers as relays.
#[derive(Debug, Default)]
pub struct RelayPeers {
    /// Time at which each peer last declined or was not reached.
    failed: BTreeMap<DaemonName, Time>,
    /// Requests that each peer has from this daemon.
    in_flight: BTreeMap<DaemonName, u32>,
}

impl RelayPeers {
    /// Chooses the less loaded one of two peers drawn at random, so that daemons that are cut off
    /// together spread their requests.
    pub fn choose<R>(
        &self,
        peers: &Peers,
        own: &DaemonName,
        now: Time,
        rng: &mut R,
    ) -> Option<RelayPeer>
    where
        R: Rng,
    {
        let usable = peers.daemons().filter(|(name, _)| {
            let failed = self.failed.get(*name);
            *name != own && failed.is_none_or(|at| now.since(*at) >= AVOID_TIME)
        });
        let candidates: Vec<RelayPeer> = usable
            .filter_map(|(name, entry)| {
                Some(RelayPeer {
                    name: name.clone(),
                    address: entry.relay?,
                })
            })
            .collect();
        let drawn = candidates.choose_multiple(rng, 2);
        drawn.min_by_key(|peer| self.in_flight(&peer.name)).cloned()
    }

    /// Records that a peer declined a request or was not reached.
    pub fn failed(&mut self, name: DaemonName, now: Time) {
        self.failed.retain(|_, at| now.since(*at) < AVOID_TIME);
        self.failed.insert(name, now);
    }

    /// Counts a request that goes to a peer.
    pub fn started(&mut self, name: &DaemonName) {
        *self.in_flight.entry(name.clone()).or_default() += 1;
    }

    /// Counts a request at a peer as ended.
    pub fn ended(&mut self, name: &DaemonName) {
        let Some(count) = self.in_flight.get_mut(name) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(name);
        }
    }

    fn in_flight(&self, name: &DaemonName) -> u32 {
        self.in_flight.get(name).copied().unwrap_or_default()
    }
}
