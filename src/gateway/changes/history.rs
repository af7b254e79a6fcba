//! Recent changes of the entries under a prefix.

use crate::core::{input::WatchEvent, keys::Revision};
use std::collections::VecDeque;

/// Maximum number of changes that are kept.
const MAX_EVENTS: usize = 4_096;

/// Changes in the order of their revisions, without a gap.
#[derive(Debug, Default)]
pub struct History {
    events: VecDeque<WatchEvent>,
    /// Revision after which all changes are kept.
    start: Revision,
    /// Revision up to which all changes are known.
    end: Revision,
}

impl History {
    /// Forgets all changes and continues at a revision.
    pub fn reset(&mut self, at: Revision) {
        self.events.clear();
        self.start = at;
        self.end = at;
    }

    /// Adds the changes up to a revision; known ones are ignored.
    pub fn extend(&mut self, end: Revision, events: &[WatchEvent]) {
        let known = self.end;
        let new = events.iter().filter(|event| event.revision() > known);
        self.events.extend(new.cloned());
        self.end = self.end.max(end);
        while self.events.len() > MAX_EVENTS {
            self.drop_oldest();
        }
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

    /// Drops the oldest change and those of the same revision, which belong together.
    fn drop_oldest(&mut self) {
        let Some(oldest) = self.events.front().map(WatchEvent::revision) else {
            return;
        };
        self.start = oldest;
        while self.events.front().map(WatchEvent::revision) == Some(oldest) {
            self.events.pop_front();
        }
    }
}
