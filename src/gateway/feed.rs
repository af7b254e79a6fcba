//! Keeps a copy of the store's keys under a prefix.
//!
//! A copy begins with a list and goes on with a watch from the list's
//! revision. A watch that broke goes on where it stopped; once its revisions
//! are gone, the list is read again.

use super::{lease::RETRY_DELAY, state::GatewayState};
use crate::{
    core::{
        input::{PlatformAnswer, PlatformEntry, WatchEvent},
        keys::Revision,
        output::PlatformCall,
    },
    shell::platform::{KeyValue, WatchEnd},
};
use std::{cell::Cell, rc::Rc};

/// Takes in what is under a prefix.
pub trait Sink {
    /// Everything that is there.
    fn listed(&self, entries: Vec<PlatformEntry>);

    /// Changes, in order.
    fn changed(&self, events: Vec<WatchEvent>);

    /// The store answers again after an outage.
    fn regained(&self) {}
}

/// Copies everything under a prefix, for as long as the process lives.
pub async fn follow<K, S>(site: Rc<GatewayState>, store: K, prefix: &'static str, sink: S)
where
    K: KeyValue,
    S: Sink,
{
    let mut link = Link::new(&site, prefix);
    loop {
        let list = PlatformCall::List {
            prefix: prefix.to_owned(),
        };
        let (revision, entries) = match store.ask(list).await {
            Ok(PlatformAnswer::Entries { revision, entries }) => (revision, entries),
            Ok(_) => unreachable!("a list is answered with entries"),
            Err(error) => {
                link.failed(&error.to_string());
                compio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        if link.answered() {
            sink.regained();
        }
        sink.listed(entries);
        watch(&store, prefix, revision, &sink, &mut link).await;
    }
}

/// Watches from a revision on, until a new list is needed.
async fn watch<K, S>(
    store: &K,
    prefix: &'static str,
    listed: Revision,
    sink: &S,
    link: &mut Link<'_>,
) where
    K: KeyValue,
    S: Sink,
{
    let seen = Cell::new(listed);
    loop {
        let from = Revision(seen.get().0 + 1);
        let deliver = |revision: Revision, events: Vec<WatchEvent>| {
            seen.set(seen.get().max(revision));
            if link.answered() {
                sink.regained();
            }
            if !events.is_empty() {
                sink.changed(events);
            }
        };
        match store.watch(prefix.to_owned(), from, deliver).await {
            WatchEnd::Compacted => return,
            WatchEnd::Broken => link.failed("the watch broke"),
        }
        compio::time::sleep(RETRY_DELAY).await;
    }
}

/// Whether the store answers; each change is logged once.
struct Link<'a> {
    site: &'a GatewayState,
    prefix: &'static str,
    is_down: bool,
}

impl<'a> Link<'a> {
    fn new(site: &'a GatewayState, prefix: &'static str) -> Self {
        Self {
            site,
            prefix,
            is_down: false,
        }
    }

    fn failed(&mut self, cause: &str) {
        if !self.is_down {
            slog::warn!(self.site.log, "store lost"; "prefix" => self.prefix, "cause" => cause);
        }
        self.is_down = true;
    }

    /// True if this is the first answer after a failure.
    fn answered(&mut self) -> bool {
        if self.is_down {
            slog::info!(self.site.log, "store regained"; "prefix" => self.prefix);
        }
        std::mem::take(&mut self.is_down)
    }
}
