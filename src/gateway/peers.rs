//! The other daemons, from their leased entries in the store.

use super::roster::RunnerInstance;
use crate::core::keys::{DaemonName, Epoch, HallName, Revision};
use std::{collections::BTreeMap, net::SocketAddr};

/// The most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

crate::record! {
    /// A daemon's entry; it goes when its lease ends.
    pub struct Presence {
        /// Where it takes requests.
        pub caller: SocketAddr,
        /// Its hall.
        pub hall: HallName,
    }

    /// The entry of the daemon that orders groups.
    pub struct Claim {
        /// The daemon.
        pub holder: DaemonName,
    }

    /// What the holder of the duty found out by its probes.
    #[derive(Default)]
    pub struct Verdict {
        /// Runners that answer no more.
        pub lost: Vec<RunnerInstance>,
        /// Those of them that are dead rather than leaving.
        #[serde(default)]
        pub dead: Vec<RunnerInstance>,
        /// Groups whose heads are gone for good: their members are free.
        #[serde(default)]
        pub ended: Vec<Epoch>,
        /// Runners that are slow, and how many times slower they work.
        #[serde(default)]
        pub slow: Vec<(RunnerInstance, f64)>,
    }
}

/// What is known of the other daemons.
#[derive(Debug, Default)]
pub struct Peers {
    present: BTreeMap<DaemonName, Presence>,
    /// Who orders groups, and since which revision.
    pub claim: Option<(DaemonName, Revision)>,
}

impl Peers {
    /// Takes in a daemon's entry.
    pub fn put(&mut self, name: DaemonName, presence: Presence) {
        self.present.insert(name, presence);
    }

    /// Takes in that an entry is gone.
    pub fn remove(&mut self, name: &DaemonName) {
        self.present.remove(name);
    }

    /// Forgets everything, before a new list.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// The number of daemons present.
    pub fn count(&self) -> usize {
        self.present.len()
    }

    /// The addresses for callers; `own` is this daemon's, unless it is leaving.
    pub fn addresses(&self, me: &DaemonName, own: Option<SocketAddr>) -> Vec<SocketAddr> {
        let others = self
            .present
            .iter()
            .filter(|(name, _)| *name != me)
            .map(|(_, presence)| presence.caller);
        own.into_iter().chain(others).take(MAX_ADDRESSES).collect()
    }
}
