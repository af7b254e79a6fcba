//! Bounds the number of requests of other daemons that are served at once.

use std::{cell::Cell, rc::Rc};

/// Maximum number of requests of other daemons at once, so that this daemon's callers are served.
const MAX_RELAYED: u32 = 256;

/// Number of requests of other daemons that are being served.
#[derive(Clone, Debug, Default)]
pub struct RelayedRequests(Rc<Cell<u32>>);

impl RelayedRequests {
    /// Counts a request; returns none if there are too many.
    pub(super) fn start(&self) -> Option<RelayedGuard> {
        let count = self.0.get();
        if count >= MAX_RELAYED {
            return None;
        }
        self.0.set(count + 1);
        Some(RelayedGuard(self.clone()))
    }
}

/// Guard that counts a request of another daemon until it is dropped.
#[derive(Debug)]
pub(in crate::gateway) struct RelayedGuard(RelayedRequests);

impl Drop for RelayedGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}
