//! The mirror of the platform's key space: the view and its last changes.
//!
//! The changes are kept so that a peer that lags can be given just what it
//! lacks; one that lags further gets every entry.

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

/// The most bytes of changes kept.
const MAX_LOG_BYTES: usize = 512 << 10;

/// The view in force, and how it came about.
#[derive(Debug, Default)]
pub(super) struct Mirror {
    /// The view in force.
    pub(super) view: View,
    /// The revision of the last change in the view's complete part.
    pub(super) changed: Revision,
    /// When the platform is known to have held nothing newer.
    pub(super) confirmed: Time,
    log: VecDeque<WatchEvent>,
    log_bytes: usize,
    /// The log holds every change after this revision.
    log_after: Revision,
}

/// Queries.
impl Mirror {
    /// What a peer complete to `after` lacks.
    pub(super) fn since(&self, after: Revision) -> ConfigMessage {
        let complete = self.view.revision();
        if after < self.log_after {
            return ConfigMessage::Snapshot {
                complete,
                changed: self.changed,
                entries: self.view.entries().cloned().collect(),
            };
        }
        let lacking = self.log.iter().filter(|event| revision(event) > after);
        ConfigMessage::Changes {
            after,
            complete: complete.max(after),
            events: lacking.cloned().collect(),
        }
    }
}

/// Commands. Each returns the keys whose records changed.
impl Mirror {
    /// Applies every change up to `complete`, in order.
    pub(super) fn apply(&mut self, events: Vec<WatchEvent>, complete: Revision) -> Vec<Key> {
        let mut changed = Vec::new();
        for event in events {
            let revision = revision(&event);
            if revision > self.view.revision() {
                self.changed = self.changed.max(revision);
                self.remember(event.clone());
            }
            changed.extend(self.view.apply(event));
        }
        self.view.advance(complete);
        changed
    }

    /// Applies a change known before those that precede it.
    pub(super) fn apply_early(&mut self, event: WatchEvent) -> Option<Key> {
        self.view.apply(event)
    }

    /// Takes over every entry as of `complete`; an older list changes nothing.
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

    /// Notes that the platform held nothing newer at a time.
    pub(super) fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(at);
    }

    fn remember(&mut self, event: WatchEvent) {
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

/// The revision of a change.
fn revision(event: &WatchEvent) -> Revision {
    match event {
        WatchEvent::Put(entry) => entry.revision,
        WatchEvent::Deleted { revision, .. } => *revision,
    }
}

/// The bytes that a change takes, about.
fn size(event: &WatchEvent) -> usize {
    match event {
        WatchEvent::Put(entry) => entry.key.len() + entry.value.len(),
        WatchEvent::Deleted { key, .. } => key.len(),
    }
}
