//! Requests of callers that have arrived and not ended yet.
//!
//! Whatever is left when the daemon exits is cut. It is logged, so that each
//! request has a line that says how it ended.

use crate::core::{keys::HostName, time::Time};
use slotmap::{SlotMap, new_key_type};
use std::{cell::RefCell, rc::Rc};

new_key_type! {
    /// Key of an open request.
    struct RequestKey;
}

/// Request that has not ended yet.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// Identifier that its caller gave it; empty if there is none.
    pub id: String,
    /// Time of arrival.
    pub arrived: Time,
    /// Runner that it was last sent to.
    pub host: Option<HostName>,
}

/// Set of the open requests.
#[derive(Clone, Debug, Default)]
pub struct OpenRequests(Rc<RefCell<SlotMap<RequestKey, OpenRequest>>>);

impl OpenRequests {
    /// Adds a request, until the guard is dropped.
    pub fn insert(&self, id: &str, arrived: Time) -> OpenGuard {
        let request = OpenRequest {
            id: id.to_owned(),
            arrived,
            host: None,
        };
        OpenGuard {
            key: self.0.borrow_mut().insert(request),
            requests: self.clone(),
        }
    }

    /// Returns the number of open requests.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }

    /// Returns the open requests.
    pub fn list(&self) -> Vec<OpenRequest> {
        self.0.borrow().values().cloned().collect()
    }
}

/// Guard that keeps a request among the open ones.
#[derive(Debug)]
pub struct OpenGuard {
    key: RequestKey,
    requests: OpenRequests,
}

impl OpenGuard {
    /// Records the runner that the request is sent to.
    pub fn record_send(&self, host: &HostName) {
        if let Some(request) = self.requests.0.borrow_mut().get_mut(self.key) {
            request.host = Some(host.clone());
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.requests.0.borrow_mut().remove(self.key);
    }
}
