//! The client of the platform's key-value service.
//!
//! [`KeyValueStore`] is all that the system needs of such a service; [`Etcd`]
//! speaks the published etcd calls. Every call gets exactly one input back: a
//! call unanswered for [`CALL_TIMEOUT`] has failed, though a write may have
//! taken effect. A watch ends with one `WatchEnded` unless it is taken back.

mod channel;
mod etcd;

pub use etcd::Etcd;

use super::Inbox;
use crate::{
    core::{
        input::{Input, PlatformAnswer, PlatformInput, WatchEvent},
        keys::{PlatformId, Revision},
        output::PlatformCall,
    },
    settings::Settings,
};
use compio::runtime::JoinHandle;
use std::{
    cell::RefCell, collections::HashMap, fmt, future::Future, net::SocketAddr, rc::Rc,
    time::Duration,
};

/// How long a call may go unanswered.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A key-value service with compare-and-swap, leases and watches.
pub trait KeyValueStore: Clone + 'static {
    /// Makes a call that has one answer.
    ///
    /// # Errors
    ///
    /// Fails if no answer came; a write may have taken effect all the same.
    fn execute(
        &self,
        call: PlatformCall,
    ) -> impl Future<Output = Result<PlatformAnswer, PlatformError>>;

    /// Says how long changes may set_batch_delay before a watch asks for them; a service that pushes has no use for it.
    fn set_batch_delay(&self, _time: Duration) {}

    /// Delivers every change under `prefix` from a revision on, until the watch ends.
    fn watch<D>(
        &self,
        prefix: String,
        from: Revision,
        deliver: D,
    ) -> impl Future<Output = WatchEnd>
    where
        D: FnMut(Revision, Vec<WatchEvent>);
}

/// Why a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// The connection or the service ended it.
    Broken,
    /// The revisions asked for are gone.
    Compacted,
}

/// A call that failed.
#[derive(Clone, Debug)]
pub struct PlatformError {
    /// What was being done.
    pub step: &'static str,
    /// The service's address, if one was reached.
    pub peer: Option<SocketAddr>,
    /// What went wrong.
    pub cause: String,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { step, peer, cause } = self;
        match peer {
            Some(peer) => write!(f, "{step} at {peer}: {cause}"),
            None => write!(f, "{step}: {cause}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// The client.
pub struct Platform<K = Etcd> {
    inbox: Inbox,
    service: K,
    watches: Rc<RefCell<HashMap<PlatformId, JoinHandle<()>>>>,
}

impl Platform<Etcd> {
    /// A client of the service that the settings name.
    pub fn new(inbox: Inbox, settings: &Settings) -> Self {
        Self::with_store(inbox, Etcd::new(settings.platform.clone()))
    }
}

impl<K> Platform<K>
where
    K: KeyValueStore,
{
    /// A client over a given service.
    pub fn with_store(inbox: Inbox, service: K) -> Self {
        Self {
            inbox,
            service,
            watches: Rc::default(),
        }
    }

    /// Makes a call; its answer comes back as an input.
    pub fn perform(&self, id: PlatformId, call: PlatformCall) {
        match call {
            PlatformCall::Watch { prefix, from } => self.watch(id, prefix, from),
            PlatformCall::Unwatch { watch } => drop(self.watches.borrow_mut().remove(&watch)),
            call => self.call(id, call),
        }
    }

    fn call(&self, id: PlatformId, call: PlatformCall) {
        let inbox = self.inbox.clone();
        let service = self.service.clone();
        compio::runtime::spawn(async move {
            let answer = service.execute(call).await;
            inbox.send(Input::Platform(match answer {
                Ok(answer) => PlatformInput::Answered { id, answer },
                Err(_) => PlatformInput::Failed { id },
            }));
        })
        .detach();
    }

    fn watch(&self, id: PlatformId, prefix: String, from: Revision) {
        let inbox = self.inbox.clone();
        let service = self.service.clone();
        let watches = self.watches.clone();
        let task = compio::runtime::spawn(async move {
            let deliver = |revision, events| {
                inbox.send(Input::Platform(PlatformInput::Watched {
                    id,
                    revision,
                    events,
                }));
            };
            let end = service.watch(prefix, from, deliver).await;
            let compacted = end == WatchEnd::Compacted;
            inbox.send(Input::Platform(PlatformInput::WatchEnded { id, compacted }));
            if let Some(task) = watches.borrow_mut().remove(&id) {
                task.detach();
            }
        });
        self.watches.borrow_mut().insert(id, task);
    }
}
