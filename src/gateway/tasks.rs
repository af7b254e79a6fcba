//! Starts the tasks that a daemon needs for its whole life.

use super::{
    state::GatewayState,
    watch::{self, EntryHandler},
};
use crate::shell::{platform::KeyValueStore, supervisor::Supervisor};
use std::rc::Rc;

/// Tasks of a daemon; each is started again after a panic, with nothing but the shared state.
pub(super) struct Tasks {
    supervisor: Supervisor,
    state: Rc<GatewayState>,
}

impl Tasks {
    /// Creates a starter of tasks that share a state.
    pub(super) fn new(supervisor: Supervisor, state: Rc<GatewayState>) -> Self {
        Self { supervisor, state }
    }

    /// Starts a task.
    pub(super) fn start<S, F>(&self, name: &'static str, start: S)
    where
        S: Fn(Rc<GatewayState>) -> F + 'static,
        F: Future<Output = ()> + 'static,
    {
        let state = self.state.clone();
        let run = move || start(state.clone());
        self.supervisor.spawn(name, run).detach();
    }

    /// Starts to pass the entries under a prefix to a handler.
    pub(super) fn watch<K, H, N>(&self, store: &K, prefix: &'static str, new_handler: N)
    where
        K: KeyValueStore,
        H: EntryHandler + 'static,
        N: Fn(Rc<GatewayState>) -> H + 'static,
    {
        let store = store.clone();
        self.start(prefix, move |state| {
            let handler = new_handler(state.clone());
            watch::watch_prefix(state, store.clone(), prefix, handler)
        });
    }
}
