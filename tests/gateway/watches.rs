//! Watches of the store's entries, over a store that fails.

use super::entries;
use futures_util::future::{Either, select};
use hickoryledge::{
    core::{
        input::{PlatformAnswer, PlatformEntry, WatchEvent},
        keys::Revision,
        output::PlatformCall,
    },
    gateway::watch::{EntryHandler, watch_prefix},
    shell::platform::{KeyValueStore, PlatformError, WatchEnd},
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
