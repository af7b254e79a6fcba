//! Watches of the store's entries, over a store that fails.

use super::entries;
use futures_util::future::{Either, select};
use hickoryledge::{
    core::{
        input::{PlatformAnswer, PlatformEntry, WatchEvent},
        keys::Revision,
        output::PlatformCall,
        time::Time,
    },
    gateway::watch::{EntryHandler, watch_prefix},
    shell::{
        platform::{KeyValueStore, PlatformError, WatchEnd},
        wakeup::Wakeup,
    },
};
use std::{cell::Cell, future::pending, pin::pin, rc::Rc, time::Duration};

const PREFIX: &str = "entries/";

/// Failed lists after which the next one comes two seconds later.
const FAILED_LISTS: u32 = 4;

/// Interval at which the number of lists is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Store that fails all calls.
#[derive(Clone, Default)]
struct FailingStore {
    lists: Rc<Cell<u32>>,
}

impl FailingStore {
    async fn await_lists(&self, count: u32) {
        while self.lists.get() < count {
            compio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

impl KeyValueStore for FailingStore {
    async fn execute(&self, _: PlatformCall) -> Result<PlatformAnswer, PlatformError> {
        self.lists.set(self.lists.get() + 1);
        Err(PlatformError {
            operation: "list keys",
            peer: None,
            cause: "the store is away".to_owned(),
        })
    }

    async fn watch<D>(&self, _: String, _: Revision, _: D) -> WatchEnd
    where
        D: FnMut(Revision, Vec<WatchEvent>),
    {
        pending().await
    }
}

/// Handler that ignores all entries.
struct Ignored;

impl EntryHandler for Ignored {
    fn on_list(&self, _: Revision, _: Vec<PlatformEntry>) {}

    fn on_change(&self, _: Vec<WatchEvent>) {}
}

// The lease was renewed, and each prefix waited two seconds more until it asked.
#[test]
fn answer_of_the_store_ends_the_wait_of_a_watch() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let state = entries::state_with(&[PREFIX]);
        let store = FailingStore::default();
        let watch = watch_prefix(state.clone(), store.clone(), PREFIX, Ignored);
        compio::runtime::spawn(watch).detach();
        store.await_lists(FAILED_LISTS).await;
        state.store_answered(None);
        let listed = pin!(store.await_lists(FAILED_LISTS + 1));
        let wait = pin!(compio::time::sleep(Duration::from_secs(1)));
        let first = select(listed, wait).await;
        assert!(matches!(first, Either::Left(_)), "no list after the answer");
    });
}

/// Store that answers, and whose first watch breaks when told to.
#[derive(Clone, Default)]
struct BreakingStore {
    breaks: Rc<Wakeup>,
    watches: Rc<Cell<u32>>,
}

impl KeyValueStore for BreakingStore {
    async fn execute(&self, _: PlatformCall) -> Result<PlatformAnswer, PlatformError> {
        Ok(PlatformAnswer::Entries {
            revision: Revision(1),
            entries: Vec::new(),
        })
    }

    async fn watch<D>(&self, _: String, from: Revision, mut deliver: D) -> WatchEnd
    where
        D: FnMut(Revision, Vec<WatchEvent>),
    {
        self.watches.set(self.watches.get() + 1);
        if self.watches.get() > 1 {
            deliver(from, Vec::new());
            return pending().await;
        }
        // Ends with the test at the latest.
        let _ = self.breaks.next().await;
        WatchEnd::Broken
    }
}

/// Handler that keeps the time up to which changes were seen before the last recovery.
struct Recovery(Rc<Cell<Option<Time>>>);

impl EntryHandler for Recovery {
    fn on_list(&self, _: Revision, _: Vec<PlatformEntry>) {}

    fn on_change(&self, _: Vec<WatchEvent>) {}

    fn on_recovery(&self, seen_until: Time) {
        self.0.set(Some(seen_until));
    }
}

/// After an outage the lease may be renewed before the watch is found to be broken. Entries that
/// lapsed in it must not be taken for gone.
#[test]
fn answer_to_another_call_says_nothing_of_the_changes_of_a_watch() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let state = entries::state_with(&[PREFIX]);
        let store = BreakingStore::default();
        let recovered = Rc::new(Cell::new(None));
        let handler = Recovery(recovered.clone());
        let watch = watch_prefix(state.clone(), store.clone(), PREFIX, handler);
        compio::runtime::spawn(watch).detach();
        while store.watches.get() == 0 {
            compio::time::sleep(CHECK_INTERVAL).await;
        }
        compio::time::sleep(CHECK_INTERVAL).await;
        let regained_at = state.now();
        state.store_answered(None);
        store.breaks.wake();
        while recovered.get().is_none() {
            compio::time::sleep(CHECK_INTERVAL).await;
        }
        assert!(recovered.get() < Some(regained_at));
    });
}
