//! Activity of one served connection: whether it has a request that isn't answered or read in full.

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
    /// True while bytes have arrived that belong to no request that was read to its end.
    has_unread: Cell<bool>,
    /// True once the connection is closing and discards what arrives.
    is_lingering: Cell<bool>,
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

    /// Records that bytes have arrived.
    pub(super) fn bytes_arrived(&self) {
        self.0.has_unread.set(true);
    }

    /// Records that a request has been read to its end.
    pub(super) fn request_read(&self) {
        self.0.has_unread.set(false);
    }

    /// Records that the connection is closing and discards what arrives.
    pub(super) fn set_lingering(&self) {
        self.0.is_lingering.set(true);
    }

    /// Returns true if bytes of a request may be unread.
    pub(super) fn has_unread(&self) -> bool {
        self.0.has_unread.get()
    }

    /// Returns true if a request is being served, a response being written, or the rest of a body
    /// being discarded.
    pub(super) fn is_busy(&self) -> bool {
        let state = &self.0;
        state.requests.get() > 0 || state.is_writing.get() || state.is_lingering.get()
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let requests = &self.0.0.requests;
        requests.set(requests.get() - 1);
    }
}
