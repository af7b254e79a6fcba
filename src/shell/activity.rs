//! Activity of one served connection: whether it has a request that isn't answered in full.

use std::{cell::Cell, rc::Rc};

/// Activity of a connection, shared by what serves it.
#[derive(Clone, Debug, Default)]
pub(super) struct Activity(Rc<State>);

#[derive(Debug, Default)]
struct State {
    /// Requests whose response has not been passed to the connection in full.
    requests: Cell<usize>,
    /// True while bytes wait to be written.
    is_writing: Cell<bool>,
}

/// Guard that counts a request as unanswered.
#[derive(Debug)]
pub(super) struct RequestGuard(Activity);

impl Activity {
    /// Counts a request, until the guard is dropped.
    pub(super) fn request_began(&self) -> RequestGuard {
        self.0.requests.set(self.0.requests.get() + 1);
        RequestGuard(self.clone())
    }

    /// Records that bytes wait to be written, or that all have been.
    pub(super) fn set_writing(&self, is_writing: bool) {
        self.0.is_writing.set(is_writing);
    }

    /// Returns true if a request is being served or a response being written.
    pub(super) fn is_busy(&self) -> bool {
        self.0.requests.get() > 0 || self.0.is_writing.get()
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let requests = &self.0.0.requests;
        requests.set(requests.get() - 1);
    }
}
