//! In-memory key-value store with revisions, leases and a history.
//!
//! It does no I/O and is given the time. Both the simulated platform and the
//! fake store of the decision logic's tests are based on it.

use hickoryledge::core::{
    input::{PlatformEntry, WatchEvent},
    keys::{LeaseId, Revision},
    output::Expect,
    time::{Span, Time},
};
use std::collections::BTreeMap;

/// Key-value store.
#[derive(Debug)]
pub struct Store {
    revision: i64,
    compacted: i64,
    entries: BTreeMap<String, PlatformEntry>,
    history: Vec<WatchEvent>,
    leases: BTreeMap<LeaseId, (Span, Time)>,
    last_lease: i64,
}

/// Default revision of an empty store.
const FIRST_REVISION: i64 = 1;

impl Default for Store {
    fn default() -> Self {
        Self::empty_at(Revision(FIRST_REVISION))
    }
}

impl Store {
    /// Creates an empty store at a revision.
    pub fn empty_at(revision: Revision) -> Self {
        Self {
            revision: revision.0,
            compacted: 0,
            entries: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
        }
    }
}

/// Outcome of a write or delete.
#[derive(Debug, PartialEq)]
pub enum WriteOutcome {
    /// It took effect at this revision.
    Done(Revision),
    /// The key was not as expected; its current entry.
    Conflict(Option<PlatformEntry>),
    /// The lease to attach the key to doesn't exist.
    NoLease,
}

/// Queries.
impl Store {
    /// Returns the revision of the last write.
    pub fn revision(&self) -> Revision {
        Revision(self.revision)
    }

    /// Returns the revision up to which the history was compacted.
    pub fn compacted(&self) -> Revision {
        Revision(self.compacted)
    }

    /// Returns the entries with a prefix, sorted by key.
    pub fn list(&self, prefix: &str) -> Vec<PlatformEntry> {
        let from = self.entries.range(prefix.to_owned()..);
        from.take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: &str) -> Option<PlatformEntry> {
        self.entries.get(key).cloned()
    }

    /// Returns the changes with a prefix from a revision on; `None` if they were compacted.
    pub fn since(&self, prefix: &str, from: Revision) -> Option<Vec<WatchEvent>> {
        if from.0 <= self.compacted {
            return None;
        }
        let matches = |event: &&WatchEvent| {
            let (key, revision) = key_and_revision(event);
            revision >= from && key.starts_with(prefix)
        };
        Some(self.history.iter().filter(matches).cloned().collect())
    }
}

/// Commands.
impl Store {
    /// Writes a key if it is as expected.
    pub fn put(
        &mut self,
        key: &str,
        value: &str,
        expect: Option<Expect>,
        lease: Option<LeaseId>,
    ) -> WriteOutcome {
        if !self.is_expected(key, expect) {
            return WriteOutcome::Conflict(self.get(key));
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return WriteOutcome::NoLease;
        }
        self.revision += 1;
        let entry = PlatformEntry {
            key: key.to_owned(),
            value: value.to_owned(),
            revision: self.revision(),
            lease,
        };
        self.history.push(WatchEvent::Put(entry.clone()));
        self.entries.insert(key.to_owned(), entry);
        WriteOutcome::Done(self.revision())
    }

    /// Deletes a key if it is as expected.
    pub fn delete(&mut self, key: &str, expect: Option<Expect>) -> WriteOutcome {
        if !self.is_expected(key, expect) {
            return WriteOutcome::Conflict(self.get(key));
        }
        self.remove(&[key.to_owned()]);
        WriteOutcome::Done(self.revision())
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Time, ttl: Span) -> LeaseId {
        self.last_lease += 1;
        let lease = LeaseId(self.last_lease);
        self.leases.insert(lease, (ttl, now + ttl));
        lease
    }

    /// Renews a lease and returns its time to live; zero if it doesn't exist.
    pub fn keep_alive(&mut self, now: Time, lease: LeaseId) -> Span {
        let Some((ttl, expiry)) = self.leases.get_mut(&lease) else {
            return Span::ZERO;
        };
        *expiry = now + *ttl;
        *ttl
    }

    /// Revokes a lease and deletes its keys; returns false if it doesn't exist.
    pub fn revoke(&mut self, lease: LeaseId) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let is_attached = |entry: &&PlatformEntry| entry.lease == Some(lease);
        let keys: Vec<String> = self
            .entries
            .values()
            .filter(is_attached)
            .map(|e| e.key.clone())
            .collect();
        self.remove(&keys);
        existed
    }

    /// Revokes the expired leases.
    pub fn expire(&mut self, now: Time) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, (_, expiry))| *expiry <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.revoke(lease);
        }
    }

    /// Compacts the whole history.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    fn is_expected(&self, key: &str, expect: Option<Expect>) -> bool {
        let current = self.entries.get(key).map(|entry| entry.revision);
        match expect {
            None => true,
            Some(Expect::Absent) => current.is_none(),
            Some(Expect::At(revision)) => current == Some(revision),
        }
    }

    /// Deletes keys, all at one revision.
    fn remove(&mut self, keys: &[String]) {
        let existing: Vec<&String> = keys
            .iter()
            .filter(|key| self.entries.contains_key(*key))
            .collect();
        if existing.is_empty() {
            return;
        }
        self.revision += 1;
        for key in existing {
            self.entries.remove(key);
            self.history.push(WatchEvent::Deleted {
                key: key.clone(),
                revision: Revision(self.revision),
            });
        }
    }
}

/// Returns the key and the revision of a change.
pub fn key_and_revision(event: &WatchEvent) -> (&str, Revision) {
    match event {
        WatchEvent::Put(entry) => (&entry.key, entry.revision),
        WatchEvent::Deleted { key, revision } => (key, *revision),
    }
}
