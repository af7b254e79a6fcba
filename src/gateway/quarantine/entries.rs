//! What is quarantined, as this daemon knows it.

use super::mark::Mark;
use crate::core::keys::{Fingerprint, PromptPart, Revision};
use std::collections::BTreeMap;

/// Time after which a quarantine ends, in seconds: what runs on the runners is replaced nightly.
const QUARANTINE_TIME_S: u64 = 24 * 60 * 60;

crate::record! {
    /// Entry of a quarantined mark in the store.
    #[derive(Copy, Eq)]
    pub struct QuarantineEntry {
        /// Start of the quarantine, in Unix seconds.
        pub since_s: u64,
    }
}

/// Entry of a mark as the store has it, with its revision.
pub type StoredEntry = (QuarantineEntry, Revision);

/// Set of quarantined marks.
#[derive(Debug, Default)]
pub struct QuarantinedMarks {
    /// Entry of each mark, unless the store may lack it.
    marks: BTreeMap<Mark, Option<StoredEntry>>,
}

impl QuarantinedMarks {
    /// Returns true if a request or one of its prompt's parts is quarantined.
    pub fn contains_any(&self, request: Fingerprint, parts: &[PromptPart]) -> bool {
        !self.marks.is_empty() && Mark::of(request, parts).any(|mark| self.contains(mark))
    }

    /// Returns true if a mark is quarantined.
    pub fn contains(&self, mark: Mark) -> bool {
        self.marks.contains_key(&mark)
    }

    /// Returns the number of quarantined marks.
    pub fn count(&self) -> usize {
        self.marks.len()
    }

    /// Adds a mark that the store may lack; returns true if that was not known.
    pub fn insert(&mut self, mark: Mark) -> bool {
        let is_news = !self.contains(mark);
        self.marks.entry(mark).or_default();
        is_news
    }

    /// Adds a mark whose entry the store has; returns true if the mark was not known.
    pub fn insert_stored(&mut self, mark: Mark, entry: StoredEntry) -> bool {
        self.marks.insert(mark, Some(entry)).is_none()
    }

    /// Removes a mark whose entry was deleted; returns true if it was there.
    pub fn remove(&mut self, mark: Mark) -> bool {
        self.marks.remove(&mark).is_some()
    }

    /// Prepares for a full list of the stored entries: a mark whose entry it lacks has left
    /// quarantine.
    pub fn forget_stored(&mut self) {
        self.marks.retain(|_, entry| entry.is_none());
    }

    /// Prepares for a list from an older copy of the store: entries that it lacks are to be written
    /// again.
    pub fn distrust_stored(&mut self) {
        self.marks.values_mut().for_each(|entry| *entry = None);
    }

    /// Returns the marks whose entries the store may lack.
    pub fn unstored(&self) -> Vec<Mark> {
        let marks = self.marks.iter();
        let unstored = marks.filter(|(_, entry)| entry.is_none());
        unstored.map(|(mark, _)| *mark).collect()
    }

    /// Returns the marks whose quarantine is over, with the revisions of their entries.
    pub fn expired(&self, now_s: u64) -> Vec<(Mark, Revision)> {
        let marks = self.marks.iter();
        marks
            .filter_map(|(mark, entry)| {
                let (entry, revision) = (*entry)?;
                let age_s = now_s.saturating_sub(entry.since_s);
                (age_s >= QUARANTINE_TIME_S).then_some((*mark, revision))
            })
            .collect()
    }
}
