//! Changes under one prefix, as kept for subscribers.

use super::history::History;
use crate::{
    core::{
        input::{PlatformEntry, WatchEvent},
        keys::{Era, Revision},
        time::{Span, Time},
    },
    shell::wakeup::Wakeup,
};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

/// Topics by prefix.
pub type Topics = BTreeMap<&'static str, Rc<Topic>>;

/// Recent changes under one prefix.
#[derive(Debug, Default)]
pub struct Topic {
    history: RefCell<History>,
    /// Era of the revisions.
    era: Cell<Option<Era>>,
    /// Time at which the changes were last known to be current.
    fresh_at: Cell<Time>,
    /// True while this daemon watches the store for them.
    is_watched: Cell<bool>,
    /// Number of store outages that have ended.
    outages: Cell<u32>,
    /// Tasks that wait for the next change.
    pub changed: Wakeup,
}

impl Topic {
    /// Continues with a list of the entries at a revision of an era. Changes of another era, or a
    /// later revision, are forgotten.
    pub fn list(&self, at: Revision, era: Option<Era>, entries: &[PlatformEntry], now: Time) {
        let is_same_era = self.era.replace(era) == era;
        let mut history = self.history.borrow_mut();
        match is_same_era && history.is_started() && at >= history.end() {
            true => history.extend_to_list(at, entries),
            false => history.reset(at, entries),
        }
        drop(history);
        self.renew(now);
        self.changed.wake();
    }

    /// Returns the era of the revisions.
    pub fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// Adds the changes up to a revision, and wakes the waiting tasks if there are any.
    pub fn extend(&self, end: Revision, events: &[WatchEvent], fresh_at: Time) {
        self.history.borrow_mut().extend(end, events);
        self.renew(fresh_at);
        if !events.is_empty() {
            self.changed.wake();
        }
    }

    /// Records whether this daemon watches the store for the changes.
    pub fn set_watched(&self, is_watched: bool) {
        self.is_watched.set(is_watched);
    }

    /// Records that the store answered a call of this daemon.
    pub fn store_answered(&self, now: Time) {
        // For a subscriber this says nothing about the peer that it follows.
        if self.is_watched.get() {
            self.renew(now);
        }
    }

    /// Records that the changes were current at a time.
    fn renew(&self, fresh_at: Time) {
        self.fresh_at.set(self.fresh_at.get().max(fresh_at));
    }

    /// Counts a store outage that has ended.
    pub fn count_outage(&self) {
        self.outages.set(self.outages.get() + 1);
        self.changed.wake();
    }

    /// Returns the number of store outages that have ended.
    pub fn outages(&self) -> u32 {
        self.outages.get()
    }

    /// Returns the time since the changes were last known to be current.
    pub fn age(&self, now: Time) -> Span {
        now.since(self.fresh_at.get())
    }

    /// Returns the revision up to which all changes are known.
    pub fn end(&self) -> Revision {
        self.history.borrow().end()
    }

    /// Returns true once the entries have been listed.
    pub fn is_started(&self) -> bool {
        self.history.borrow().is_started()
    }

    /// Waits until the entries have been listed.
    pub async fn wait_for_list(&self) {
        while !self.is_started() {
            // Fails only once the topic is dropped.
            let _ = self.changed.next().await;
        }
    }

    /// Returns entries in the order of their keys, from the first key after `after` on.
    pub fn page(&self, after: Option<&str>, max_bytes: usize) -> Vec<PlatformEntry> {
        self.history.borrow().page(after, max_bytes)
    }

    /// Returns the changes after a revision of an era; none if some of them are no longer kept.
    pub fn since(&self, after: Revision, era: Option<Era>) -> Option<Vec<WatchEvent>> {
        if era != self.era.get() {
            return None;
        }
        self.history.borrow().since(after)
    }
}
