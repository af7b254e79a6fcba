//! Quarantined parts, as this daemon knows them.

use crate::core::keys::{PromptPart, Revision};
use std::collections::BTreeMap;

/// Time after which a quarantine ends, in seconds: what runs on the runners is replaced nightly.
const QUARANTINE_TIME_S: u64 = 24 * 60 * 60;

crate::record! {
    /// Entry of a quarantined part in the store.
    #[derive(Copy, Eq)]
    pub struct QuarantineEntry {
        /// Start of the quarantine, in Unix seconds.
        pub since_s: u64,
    }
}

/// Entry of a part as the store has it, with its revision.
pub type StoredEntry = (QuarantineEntry, Revision);

/// Set of quarantined parts.
#[derive(Debug, Default)]
pub struct QuarantinedParts {
    /// Entry of each part, unless the store may lack it.
    parts: BTreeMap<PromptPart, Option<StoredEntry>>,
}

impl QuarantinedParts {
    /// Returns true if one of the parts is quarantined.
    pub fn contains_any(&self, parts: &[PromptPart]) -> bool {
        !self.parts.is_empty() && parts.iter().any(|part| self.contains(*part))
    }

    /// Returns true if a part is quarantined.
    pub fn contains(&self, part: PromptPart) -> bool {
        self.parts.contains_key(&part)
    }

    /// Returns the number of quarantined parts.
    pub fn count(&self) -> usize {
        self.parts.len()
    }

    /// Adds a part that the store may lack; returns true if that is news.
    pub fn insert(&mut self, part: PromptPart) -> bool {
        let is_news = !self.contains(part);
        self.parts.entry(part).or_default();
        is_news
    }

    /// Adds a part whose entry the store has; returns true if the part is news.
    pub fn insert_stored(&mut self, part: PromptPart, entry: StoredEntry) -> bool {
        self.parts.insert(part, Some(entry)).is_none()
    }

    /// Removes a part whose entry was deleted; returns true if it was there.
    pub fn remove(&mut self, part: PromptPart) -> bool {
        self.parts.remove(&part).is_some()
    }

    /// Prepares for a full list of the stored entries: a part whose entry it lacks has left
    /// quarantine.
    pub fn forget_stored(&mut self) {
        self.parts.retain(|_, entry| entry.is_none());
    }

    /// Prepares for a list from an older copy of the store: entries that it lacks are to be written
    /// again.
    pub fn distrust_stored(&mut self) {
        self.parts.values_mut().for_each(|entry| *entry = None);
    }

    /// Returns the parts whose entries the store may lack.
    pub fn unstored(&self) -> Vec<PromptPart> {
        let parts = self.parts.iter();
        let unstored = parts.filter(|(_, entry)| entry.is_none());
        unstored.map(|(part, _)| *part).collect()
    }

    /// Returns the parts whose quarantine is over, with the revisions of their entries.
    pub fn expired(&self, now_s: u64) -> Vec<(PromptPart, Revision)> {
        let parts = self.parts.iter();
        parts
            .filter_map(|(part, entry)| {
                let (entry, revision) = (*entry)?;
                let age_s = now_s.saturating_sub(entry.since_s);
                (age_s >= QUARANTINE_TIME_S).then_some((*part, revision))
            })
            .collect()
    }
}
