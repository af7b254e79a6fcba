//! Follows the store's entries under a prefix.
//!
//! A list is followed by a watch that starts at the list's revision. An
//! interrupted watch resumes at the revision that it had reached; if the store
//! has compacted that revision away, the list is read again.

use super::{lease::RETRY_DELAY, state::GatewayState};
use crate::{
    core::{
        input::{PlatformAnswer, PlatformEntry, WatchEvent},
        keys::Revision,
        output::PlatformCall,
    },
    shell::platform::{KeyValueStore, WatchEnd},
};
use std::{cell::Cell, rc::Rc};

/// Receiver of the entries under a prefix.
pub trait EntryHandler {
    /// Replaces everything known by a full list of the entries.
    fn on_list(&self, entries: Vec<PlatformEntry>);

    /// Applies changes, in order.
    fn on_change(&self, events: Vec<WatchEvent>);

    /// Notes that the store answers again after an outage.
    fn on_recovery(&self) {}
}

/// Passes all entries under a prefix to a handler, for the lifetime of the process.
pub async fn watch_prefix<K, H>(state: Rc<GatewayState>, store: K, prefix: &'static str, handler: H)
where
    K: KeyValueStore,
    H: EntryHandler,
{
    let mut health = StoreHealth::new(&state, prefix);
    loop {
        let list = PlatformCall::List {
            prefix: prefix.to_owned(),
        };
        let (revision, entries) = match store.execute(list).await {
            Ok(PlatformAnswer::Entries { revision, entries }) => (revision, entries),
            Ok(_) => unreachable!("a list call returns entries"),
            Err(error) => {
                health.record_failure(&error.to_string());
                compio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        if health.record_success() {
            handler.on_recovery();
        }
        handler.on_list(entries);
        watch(&store, prefix, revision, &handler, &mut health).await;
    }
}

/// Watches from a revision on, until a new list is needed.
async fn watch<K, H>(
    store: &K,
    prefix: &'static str,
    listed: Revision,
    handler: &H,
    health: &mut StoreHealth<'_>,
) where
    K: KeyValueStore,
    H: EntryHandler,
{
    let seen = Cell::new(listed);
    loop {
        let from = Revision(seen.get().0 + 1);
        let deliver = |revision: Revision, events: Vec<WatchEvent>| {
            seen.set(seen.get().max(revision));
            if health.record_success() {
                handler.on_recovery();
            }
            if !events.is_empty() {
                handler.on_change(events);
            }
        };
        match store.watch(prefix.to_owned(), from, deliver).await {
            WatchEnd::Compacted => return,
            WatchEnd::Broken => health.record_failure("watch interrupted"),
        }
        compio::time::sleep(RETRY_DELAY).await;
    }
}

/// Reachability of the store; each change is logged once.
struct StoreHealth<'a> {
    state: &'a GatewayState,
    prefix: &'static str,
    is_down: bool,
}

impl<'a> StoreHealth<'a> {
    fn new(state: &'a GatewayState, prefix: &'static str) -> Self {
        Self {
            state,
            prefix,
            is_down: false,
        }
    }

    fn record_failure(&mut self, cause: &str) {
        if !self.is_down {
            slog::warn!(self.state.log, "store unreachable";
                "prefix" => self.prefix, "cause" => cause);
        }
        self.is_down = true;
    }

    /// Returns true if this is the first success after a failure.
    fn record_success(&mut self) -> bool {
        if self.is_down {
            slog::info!(self.state.log, "store reachable again"; "prefix" => self.prefix);
        }
        std::mem::take(&mut self.is_down)
    }
}
