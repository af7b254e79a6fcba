//! The client of the platform's key-value store.
//!
//! [`KeyValueStore`] is the interface that the daemon needs of such a store;
//! [`Etcd`] implements it over the public etcd API. Every call results in exactly
//! one input: a call unanswered for [`CALL_TIMEOUT`] has failed, though a write
//! may have taken effect. A watch ends with one `WatchEnded` unless it is
//! cancelled.

mod channel;
mod etcd;

pub use etcd::Etcd;

use super::Inbox;
use crate::{
    core::{
        input::{Input, PlatformAnswer, PlatformInput, WatchEvent},
        keys::{Era, PlatformId, Revision},
        output::PlatformCall,
    },
    settings::Settings,
};
use compio::runtime::JoinHandle;
use std::{
    cell::RefCell, collections::HashMap, fmt, future::Future, net::SocketAddr, rc::Rc,
    time::Duration,
};

/// Timeout of one call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A key-value store with compare-and-swap, leases and watches.
pub trait KeyValueStore: Clone + 'static {
    /// Makes a call that has a single answer.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrived; a write may have taken effect nevertheless.
    fn execute(
        &self,
        call: PlatformCall,
    ) -> impl Future<Output = Result<PlatformAnswer, PlatformError>>;

    /// Returns the store's era, as of its latest answer; none for a store that names none.
    fn era(&self) -> Option<Era> {
        None
    }

    /// Sets the time that changes may accumulate before a watch polls for them; ignored by a
    /// store that pushes changes.
    fn set_batch_delay(&self, _delay: Duration) {}

    /// Delivers every change under `prefix`, starting at revision `from`, until the watch ends.
    fn watch<D>(
        &self,
        prefix: String,
        from: Revision,
        deliver: D,
    ) -> impl Future<Output = WatchEnd>
    where
        D: FnMut(Revision, Vec<WatchEvent>);
}

/// Reason for the end of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// The connection failed, or the store ended the watch.
    Broken,
    /// The requested revisions have been compacted.
    Compacted,
}

/// Error of a failed call.
#[derive(Clone, Debug)]
pub struct PlatformError {
    /// Operation that failed.
    pub operation: &'static str,
    /// Address of the store, if a connection was open.
    pub peer: Option<SocketAddr>,
    /// Cause of the failure.
    pub cause: String,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            operation,
            peer,
            cause,
        } = self;
        match peer {
            Some(peer) => write!(f, "{operation} at {peer}: {cause}"),
            None => write!(f, "{operation}: {cause}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// Driver for the platform's key-value store.
pub struct Platform<K = Etcd> {
    inbox: Inbox,
    store: K,
    watches: Rc<RefCell<HashMap<PlatformId, JoinHandle<()>>>>,
}

impl Platform<Etcd> {
    /// Creates a client of the store at the endpoints in the settings.
    pub fn new(inbox: Inbox, settings: &Settings) -> Self {
        Self::with_store(inbox, Etcd::new(settings.platform.clone()))
    }
}

impl<K> Platform<K>
where
    K: KeyValueStore,
{
    /// Creates a client of the given store.
    pub fn with_store(inbox: Inbox, store: K) -> Self {
        Self {
            inbox,
            store,
            watches: Rc::default(),
        }
    }

    /// Makes a call; its answer becomes an input.
    pub fn perform(&self, id: PlatformId, call: PlatformCall) {
        match call {
            PlatformCall::Watch { prefix, from } => self.watch(id, prefix, from),
            PlatformCall::Unwatch { watch } => drop(self.watches.borrow_mut().remove(&watch)),
            call => self.call(id, call),
        }
    }

    fn call(&self, id: PlatformId, call: PlatformCall) {
        let inbox = self.inbox.clone();
        let store = self.store.clone();
        compio::runtime::spawn(async move {
            let answer = store.execute(call).await;
            inbox.send(Input::Platform(match answer {
                Ok(answer) => PlatformInput::Answered { id, answer },
                Err(_) => PlatformInput::Failed { id },
            }));
        })
        .detach();
    }

    fn watch(&self, id: PlatformId, prefix: String, from: Revision) {
        let inbox = self.inbox.clone();
        let store = self.store.clone();
        let watches = self.watches.clone();
        let task = compio::runtime::spawn(async move {
            let deliver = |revision, events| {
                inbox.send(Input::Platform(PlatformInput::Watched {
                    id,
                    revision,
                    events,
                }));
            };
            let end = store.watch(prefix, from, deliver).await;
            let compacted = end == WatchEnd::Compacted;
            inbox.send(Input::Platform(PlatformInput::WatchEnded { id, compacted }));
            if let Some(task) = watches.borrow_mut().remove(&id) {
                task.detach();
            }
        });
        self.watches.borrow_mut().insert(id, task);
    }
}
