//! Requests for permits that wait for a response.

use super::Verdict;
use futures_channel::oneshot;
use std::collections::BTreeMap;

/// Requests by identifier.
#[derive(Debug)]
pub(super) struct Waiting {
    next_id: u64,
    requests: BTreeMap<u64, oneshot::Sender<Verdict>>,
}

impl Default for Waiting {
    fn default() -> Self {
        Self {
            // Late responses to an earlier run of the daemon must not match.
            next_id: rand::random(),
            requests: BTreeMap::new(),
        }
    }
}

impl Waiting {
    /// Adds a request and returns its identifier and the response to come.
    pub(super) fn insert(&mut self) -> (u64, oneshot::Receiver<Verdict>) {
        self.requests.retain(|_, sender| !sender.is_canceled());
        let (sender, receiver) = oneshot::channel();
        let id = self.next_id;
        self.next_id = id.wrapping_add(1);
        self.requests.insert(id, sender);
        (id, receiver)
    }

    /// Passes a response on; one that comes too late is dropped.
    pub(super) fn resolve(&mut self, id: u64, verdict: Verdict) {
        if let Some(sender) = self.requests.remove(&id) {
            // Fails only if the request has just timed out.
            let _ = sender.send(verdict);
        }
    }

    /// Removes a request that no longer waits.
    pub(super) fn remove(&mut self, id: u64) {
        self.requests.remove(&id);
    }
}
