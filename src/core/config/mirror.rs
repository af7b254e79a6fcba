//! Mirror of the platform's key space: the view and a log of its last changes.
//!
//! From the log, a daemon that lags gets only the changes that it lacks; one
//! whose revision is no longer covered by the log gets a snapshot of all entries.

use super::{
    ConfigMessage,
    view::{Key, View},
};
use crate::core::{
    input::{PlatformEntry, WatchEvent},
    keys::Revision,
    time::Time,
};
use std::collections::VecDeque;

/// Maximum size of the logged changes, in bytes.
const MAX_LOG_BYTES: usize = 512 << 10;

/// View in force, with a log of the changes that led to it.
#[derive(Debug, Default)]
pub(super) struct Mirror {
    /// View in force.
    pub(super) view: View,
    /// Revision of the last change up to which the view is complete.
    pub(super) changed: Revision,
    /// Last time at which the platform is known to have held nothing newer.
    pub(super) confirmed: Time,
    log: VecDeque<WatchEvent>,
    log_bytes: usize,
    /// Revision after which the log is complete.
    log_after: Revision,
}

/// Queries.
impl Mirror {
    /// Returns the changes that a daemon complete to `after` lacks, or a snapshot.
    pub(super) fn changes_since(&self, after: Revision) -> ConfigMessage {
        let complete = self.view.revision();
        if after < self.log_after {
            return ConfigMessage::Snapshot {
                complete,
                changed: self.changed,
                entries: self.view.entries().cloned().collect(),
            };
        }
        let missing = self.log.iter().filter(|event| revision(event) > after);
        ConfigMessage::Changes {
            after,
            complete: complete.max(after),
            events: missing.cloned().collect(),
        }
    }
}

/// Commands. Each returns the keys whose records changed.
impl Mirror {
    /// Applies all changes up to `complete`, in order.
    pub(super) fn apply(&mut self, events: Vec<WatchEvent>, complete: Revision) -> Vec<Key> {
        let mut changed = Vec::new();
        for event in events {
            let revision = revision(&event);
            if revision > self.view.revision() {
                self.changed = self.changed.max(revision);
                self.append_to_log(event.clone());
            }
            changed.extend(self.view.apply(event));
        }
        self.view.advance(complete);
        changed
    }

    /// Applies a change that is known before the changes that precede it.
    pub(super) fn apply_early(&mut self, event: WatchEvent) -> Option<Key> {
        self.view.apply(event)
    }

    /// Replaces all entries by those read at `complete`, unless the view is newer.
    pub(super) fn replace(
        &mut self,
        entries: Vec<PlatformEntry>,
        complete: Revision,
        changed: Revision,
    ) -> Vec<Key> {
        if complete > self.view.revision() {
            self.changed = changed;
            self.log.clear();
            self.log_bytes = 0;
            self.log_after = complete;
        }
        self.view.replace(entries, complete)
    }

    /// Records that the platform held nothing newer at the given time.
    pub(super) fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(at);
    }

    fn append_to_log(&mut self, event: WatchEvent) {
        self.log_bytes += size(&event);
        self.log.push_back(event);
        while self.log_bytes > MAX_LOG_BYTES
            && let Some(oldest) = self.log.pop_front()
        {
            self.log_bytes -= size(&oldest);
            self.log_after = revision(&oldest);
        }
    }
}

/// Returns the revision of a change.
fn revision(event: &WatchEvent) -> Revision {
    match event {
        WatchEvent::Put(entry) => entry.revision,
        WatchEvent::Deleted { revision, .. } => *revision,
    }
}

/// Returns the approximate size of a change, in bytes.
fn size(event: &WatchEvent) -> usize {
    match event {
        WatchEvent::Put(entry) => entry.key.len() + entry.value.len(),
        WatchEvent::Deleted { key, .. } => key.len(),
    }
}
