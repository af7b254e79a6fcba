//! Other daemons, as known from the gateway's own entries in the store.

use super::roster::RunnerInstance;
use crate::core::{
    keys::{DaemonName, Epoch, Era, HallName, Revision},
    time::{Span, Time},
};
use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

/// Maximum number of addresses in a response to a directory request.
const MAX_ADDRESSES: usize = 64;

/// Time for which a daemon is remembered whose entry has gone: if it is only cut off from the store,
/// it goes on serving. A longer cut is not accounted for.
const DEPARTED_TTL: Span = Span::from_secs(600);

crate::record! {
    /// Entry of a daemon, removed when its lease ends.
    pub struct DaemonEntry {
        /// Address for callers.
        pub caller: SocketAddr,
        /// Hall of the daemon.
        pub hall: HallName,
        /// Address for other daemons, if it has any.
        #[serde(default)]
        pub peer: Option<SocketAddr>,
        /// Address for requests that other daemons pass on, if it takes any.
        #[serde(default)]
        pub relay: Option<SocketAddr>,
        /// Processor time that it may use, in percent of a core.
        #[serde(default)]
        pub processor_percent: u32,
    }

    /// Entry of the daemon that holds the duty to order hosts into groups.
    pub struct Claim {
        /// Name of that daemon.
        pub holder: DaemonName,
    }

    /// Health of runners, as the holder of the duty publishes it.
    #[derive(Default)]
    pub struct RunnerHealth {
        /// Unreachable runners, which no longer answer probes.
        pub lost: Vec<RunnerInstance>,
        /// Unreachable runners that are dead rather than draining.
        #[serde(default)]
        pub dead: Vec<RunnerInstance>,
        /// Groups that no longer hold their members, because their heads are gone for good.
        #[serde(default)]
        pub ended: Vec<Epoch>,
        /// Slow runners with their slowdown factors.
        #[serde(default)]
        pub slow: Vec<(RunnerInstance, f64)>,
        /// Era of the store in which it is published, if the store has eras.
        #[serde(default)]
        pub era: Option<Era>,
    }
}

/// Entry at the key of the claim that can't be read, written by somebody else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableClaim {
    /// Revision of the entry.
    pub revision: Revision,
    /// Holder whose claim it replaced, as far as that was seen.
    pub replaced: Option<DaemonName>,
}

/// Known daemons and the current holder of the duty.
#[derive(Debug, Default)]
pub struct Peers {
    daemons: BTreeMap<DaemonName, DaemonEntry>,
    /// Daemons with an address for others whose entries have gone, and when.
    departed: BTreeMap<DaemonName, Time>,
    /// Time of the first list.
    listed_since: Option<Time>,
    /// Holder of the duty, and the revision of its claim.
    pub claim: Option<(DaemonName, Revision)>,
    /// What is in the place of a claim, if it can't be read; there is no claim then.
    pub unreadable_claim: Option<UnreadableClaim>,
    /// Revision at which a claim was last deleted, as far as that was seen since the last list.
    pub claim_deleted: Revision,
    /// Era of the store in which a holder last published the health of runners.
    pub published_era: Option<Era>,
}

impl Peers {
    /// Adds or replaces a daemon's entry.
    pub fn put(&mut self, name: DaemonName, entry: DaemonEntry) {
        self.departed.remove(&name);
        self.daemons.insert(name, entry);
    }

    /// Removes a daemon's entry.
    pub fn remove(&mut self, name: &DaemonName, now: Time) {
        let recent = now - DEPARTED_TTL;
        self.departed.retain(|_, at| *at >= recent);
        let removed = self.daemons.remove(name);
        if removed.is_some_and(|entry| entry.peer.is_some()) {
            self.departed.insert(name.clone(), now);
        }
    }

    /// Records the holder of the duty.
    pub fn record_claim(&mut self, holder: DaemonName, revision: Revision) {
        self.claim = Some((holder, revision));
        self.unreadable_claim = None;
    }

    /// Records that the claim can't be read as of a revision; returns true if that was not known.
    pub fn record_unreadable(&mut self, revision: Revision) -> bool {
        if self.claim_revision() >= Some(revision) {
            return false;
        }
        let holder = self.claim.take().map(|(holder, _)| holder);
        let before = self.unreadable_claim.take();
        let replaced = holder.or_else(|| before?.replaced);
        self.unreadable_claim = Some(UnreadableClaim { revision, replaced });
        true
    }

    /// Records that the claim was deleted at a revision.
    pub fn record_deletion(&mut self, revision: Revision) {
        self.claim_deleted = revision;
        if self.claim_revision() < Some(revision) {
            self.forget_claim();
        }
    }

    /// Forgets the claim, which is gone or of an earlier era.
    pub fn forget_claim(&mut self) {
        self.claim = None;
        self.unreadable_claim = None;
    }

    /// Returns the revision of the entry at the key of the claim, whether it can be read or not.
    pub fn claim_revision(&self) -> Option<Revision> {
        let claim = self.claim.as_ref().map(|(_, revision)| *revision);
        claim.or_else(|| Some(self.unreadable_claim.as_ref()?.revision))
    }

    /// Returns true if a daemon's claim of a revision no longer stands: it was deleted, replaced by
    /// another daemon's, or overwritten by what can't be read.
    pub fn has_lost_claim(&self, own: &DaemonName, revision: Revision) -> bool {
        let is_other = |(holder, at): &(DaemonName, Revision)| holder != own && *at > revision;
        let is_overwritten = |claim: &UnreadableClaim| claim.revision > revision;
        self.claim_deleted > revision
            || self.claim.as_ref().is_some_and(is_other)
            || self.unreadable_claim.as_ref().is_some_and(is_overwritten)
    }

    /// Removes all daemons and the claim, before a new list is applied.
    pub fn clear(&mut self, now: Time) {
        let names: Vec<DaemonName> = self.daemons.keys().cloned().collect();
        names.iter().for_each(|name| self.remove(name, now));
        *self = Self {
            departed: std::mem::take(&mut self.departed),
            listed_since: self.listed_since.or(Some(now)),
            ..Self::default()
        };
    }

    /// Returns the daemons whose entries have gone and not come back, as remembered at a time.
    pub fn departed(&self, time: Time) -> impl Iterator<Item = &DaemonName> {
        let recent = time - DEPARTED_TTL;
        let departed = self.departed.iter().filter(move |(_, at)| **at >= recent);
        departed.map(|(name, _)| name)
    }

    /// Returns the time for which changes of the other daemons had been seen at a time.
    pub fn observed_for(&self, time: Time) -> Span {
        self.listed_since
            .map_or(Span::ZERO, |since| time.since(since))
    }

    /// Returns the daemons with an entry.
    pub fn daemons(&self) -> impl Iterator<Item = (&DaemonName, &DaemonEntry)> {
        self.daemons.iter()
    }

    /// Returns true if a daemon has an entry.
    pub fn contains(&self, name: &DaemonName) -> bool {
        self.daemons.contains_key(name)
    }

    /// Returns the daemons with an entry, those with most processor time first.
    pub fn ranked(&self) -> Vec<(&DaemonName, &DaemonEntry)> {
        let mut ranked: Vec<_> = self.daemons.iter().collect();
        ranked.sort_by_key(|(name, entry)| (Reverse(entry.processor_percent), *name));
        ranked
    }

    /// Returns the address of the duty's holder for other daemons.
    pub fn holder_address(&self) -> Option<SocketAddr> {
        let (holder, _) = self.claim.as_ref()?;
        self.daemons.get(holder)?.peer
    }

    /// Returns the number of daemons with an entry.
    pub fn count(&self) -> usize {
        self.daemons.len()
    }

    /// Returns the addresses for callers: `own_address`, which is absent while this daemon can't
    /// serve, and then those of the daemons other than `own_name`.
    pub fn addresses(
        &self,
        own_name: &DaemonName,
        own_address: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let others = self
            .daemons
            .iter()
            .filter(|(name, _)| *name != own_name)
            .map(|(_, entry)| entry.caller);
        own_address
            .into_iter()
            .chain(others)
            .take(MAX_ADDRESSES)
            .collect()
    }
}
