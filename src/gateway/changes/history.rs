//! Entries under a prefix, and their recent changes.

use crate::core::{
    input::{PlatformEntry, WatchEvent},
    keys::Revision,
};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Bound,
};

/// Maximum number of changes that are kept.
const MAX_EVENTS: usize = 4_096;

/// Maximum size of the changes that are kept, in bytes: all of them fit into one message.
const MAX_BYTES: usize = 6 << 20;

/// Changes in the order of their revisions, without a gap.
#[derive(Debug, Default)]
pub struct History {
    events: VecDeque<WatchEvent>,
    /// Size of all changes, in bytes.
    bytes: usize,
    /// Last write of each key that has an entry.
    entries: BTreeMap<String, PlatformEntry>,
    /// Revision after which all changes are kept.
    start: Revision,
    /// Revision up to which all changes are known.
    end: Revision,
}

impl History {
    /// Forgets all changes and continues with a list of the entries at a revision.
    pub fn reset(&mut self, at: Revision, entries: &[PlatformEntry]) {
        self.events.clear();
        self.bytes = 0;
        let by_key = entries
            .iter()
            .map(|entry| (entry.key.clone(), entry.clone()));
        self.entries = by_key.collect();
        self.start = at;
        self.end = at;
    }

    /// Adds the changes that lead to a list of the entries at a revision, because the store no
    /// longer has them. Whoever follows gets the last one of each key.
    pub fn extend_to_list(&mut self, at: Revision, entries: &[PlatformEntry]) {
        let listed: BTreeSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let gone = self.entries.keys().filter(|key| !listed.contains(&***key));
        let gone = gone.map(|key| WatchEvent::Deleted {
            revision: at,
            key: key.clone(),
        });
        // The pages of a list are read one after the other: what is newer than the first one is
        // also among the changes that follow.
        let written = entries.iter().filter(|entry| entry.revision <= at);
        let written = written.cloned().map(WatchEvent::Put);
        let mut events: Vec<WatchEvent> = gone.chain(written).collect();
        events.sort_by_key(WatchEvent::revision);
        self.extend(at, &events);
    }

    /// Adds the changes up to a revision; known ones are ignored.
    pub fn extend(&mut self, end: Revision, events: &[WatchEvent]) {
        let known = self.end;
        let new = events.iter().filter(|event| event.revision() > known);
        for event in new {
            match event {
                WatchEvent::Put(entry) => self.entries.insert(entry.key.clone(), entry.clone()),
                WatchEvent::Deleted { key, .. } => self.entries.remove(key),
            };
            self.bytes += size(event);
            self.events.push_back(event.clone());
        }
        self.end = self.end.max(end);
        while self.events.len() > MAX_EVENTS || self.bytes > MAX_BYTES {
            self.drop_oldest();
        }
    }

    /// Returns true once there was a list.
    pub fn is_started(&self) -> bool {
        self.end > Revision::default()
    }

    /// Returns the revision up to which all changes are known.
    pub fn end(&self) -> Revision {
        self.end
    }

    /// Returns the changes after a revision; none if some of them are no longer kept.
    pub fn since(&self, after: Revision) -> Option<Vec<WatchEvent>> {
        if after < self.start {
            return None;
        }
        let first = self
            .events
            .partition_point(|event| event.revision() <= after);
        Some(self.events.range(first..).cloned().collect())
    }

    /// Returns entries in the order of their keys, from the first key after `after` on: at least one,
    /// and as many as are smaller than `max_bytes` together. It is empty after the last one.
    pub fn page(&self, after: Option<&str>, max_bytes: usize) -> Vec<PlatformEntry> {
        let mut page = Vec::new();
        let mut bytes = 0;
        for entry in self.entries_after(after) {
            bytes += entry_size(entry);
            if bytes > max_bytes && !page.is_empty() {
                break;
            }
            page.push(entry.clone());
        }
        page
    }

    fn entries_after(&self, key: Option<&str>) -> impl Iterator<Item = &PlatformEntry> {
        let from = key.map_or(Bound::Unbounded, Bound::Excluded);
        let range = self.entries.range::<str, _>((from, Bound::Unbounded));
        range.map(|(_, entry)| entry)
    }

    /// Drops the oldest change and those of the same revision, which belong together.
    fn drop_oldest(&mut self) {
        let Some(oldest) = self.events.front().map(WatchEvent::revision) else {
            return;
        };
        self.start = oldest;
        while let Some(event) = self.events.pop_front_if(|event| event.revision() == oldest) {
            self.bytes -= size(&event);
        }
    }
}

/// Returns the size of a change, in bytes.
fn size(event: &WatchEvent) -> usize {
    match event {
        WatchEvent::Put(entry) => entry_size(entry),
        WatchEvent::Deleted { key, .. } => key.len(),
    }
}

/// Returns the size of an entry, in bytes.
fn entry_size(entry: &PlatformEntry) -> usize {
    entry.key.len() + entry.value.len()
}
