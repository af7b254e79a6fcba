//! The calls open on this daemon: their bodies, and where their answers go.
//!
//! A call comes from a caller over HTTP or from another daemon that relays
//! it; both get the same events.

use super::{
    Inbox,
    events::{EventSender, Events, queue},
};
use crate::core::{
    input::{CallInput, CallRequest, Input, Ticket},
    keys::{AttemptId, CallId, KeyHash, ModelName},
    output::{CallOutput, Ending, EntryAddress},
    time::Span,
};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

/// What is sent on to a runner or a peer.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// The path at the runner, with its query.
    pub path: String,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The body, whole.
    pub body: Bytes,
    /// What the decision logic was told; a peer is told the same.
    pub request: CallRequest,
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// Headers to pass on.
    pub headers: HeaderMap,
}

/// What happens to an open call's answer.
#[derive(Debug)]
pub enum CallEvent {
    /// It begins.
    Begin(ResponseHead),
    /// Part of it; the offset counts tokens in the whole answer.
    Data {
        /// The position of the first token.
        offset: u32,
        /// How many tokens there are.
        tokens: u32,
        /// The bytes.
        bytes: Bytes,
    },
    /// Its one end.
    End(Ending),
    /// The daemons to use.
    Entries {
        /// The daemons, best first.
        entries: Vec<EntryAddress>,
        /// How long the answer may be kept.
        ttl: Span,
        /// A ticket for one non-idempotent request.
        ticket: Option<Ticket>,
    },
}

/// An open call, from the side that asked; dropping it gives the call up.
#[derive(Debug)]
pub struct OpenCall {
    /// Its identifier.
    pub call: CallId,
    /// What happens to its answer.
    pub events: Events,
    calls: Rc<Calls>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.calls.close(self.call);
    }
}

#[derive(Debug)]
struct Entry {
    body: Option<Rc<ForwardedRequest>>,
    sender: EventSender,
}

/// Every call open on this daemon.
#[derive(Debug)]
pub struct Calls {
    inbox: Inbox,
    last: Cell<u64>,
    stopping: Cell<bool>,
    open: RefCell<HashMap<CallId, Entry>>,
    heads: RefCell<HashMap<AttemptId, ResponseHead>>,
}

impl Calls {
    /// No calls yet.
    pub fn new(inbox: Inbox) -> Self {
        Self {
            inbox,
            last: Cell::new(0),
            stopping: Cell::new(false),
            open: RefCell::default(),
            heads: RefCell::default(),
        }
    }

    /// Opens a call and tells the decision logic.
    pub fn open(self: &Rc<Self>, body: ForwardedRequest) -> OpenCall {
        let request = body.request.clone();
        let open = self.register(Some(Rc::new(body)));
        self.inbox.send(Input::Call(CallInput::Arrived {
            call: open.call,
            request,
        }));
        open
    }

    /// Opens the question which daemons to use.
    pub fn open_entries(
        self: &Rc<Self>,
        credential: KeyHash,
        model: Option<ModelName>,
    ) -> OpenCall {
        let open = self.register(None);
        self.inbox.send(Input::Call(CallInput::Entries {
            call: open.call,
            credential,
            model,
        }));
        open
    }

    /// The body of an open call.
    pub fn forwarded(&self, call: CallId) -> Option<Rc<ForwardedRequest>> {
        self.open.borrow().get(&call)?.body.clone()
    }

    /// Keeps the head of an attempt's answer until the decision logic wants it.
    pub fn store_head(&self, attempt: AttemptId, head: ResponseHead) {
        self.heads.borrow_mut().insert(attempt, head);
    }

    /// Forgets the head of an attempt's answer.
    pub fn discard_head(&self, attempt: AttemptId) {
        self.heads.borrow_mut().remove(&attempt);
    }

    /// How many calls are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Notes that the graceful stop has begun.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Whether the graceful stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Carries out an output for a caller.
    pub fn perform(&self, output: CallOutput) {
        match output {
            CallOutput::Begin { call, attempt } => {
                if let Some(head) = self.heads.borrow_mut().remove(&attempt) {
                    self.send(call, CallEvent::Begin(head));
                }
            }
            CallOutput::Deliver {
                call,
                offset,
                tokens,
                payload,
            } => {
                self.send(
                    call,
                    CallEvent::Data {
                        offset,
                        tokens,
                        bytes: payload.0,
                    },
                );
            }
            CallOutput::End { call, ending } => self.end(call, CallEvent::End(ending)),
            CallOutput::Entries {
                call,
                entries,
                ttl,
                ticket,
            } => {
                self.end(
                    call,
                    CallEvent::Entries {
                        entries,
                        ttl,
                        ticket,
                    },
                );
            }
        }
    }

    fn register(self: &Rc<Self>, body: Option<Rc<ForwardedRequest>>) -> OpenCall {
        let call = CallId(self.last.get() + 1);
        self.last.set(call.0);
        let (sender, events) = queue();
        self.open.borrow_mut().insert(call, Entry { body, sender });
        OpenCall {
            call,
            events,
            calls: self.clone(),
        }
    }

    /// Passes an event on; a caller who reads too slowly for it loses the call.
    fn send(&self, call: CallId, event: CallEvent) {
        let open = self.open.borrow();
        let keeps_up = open.get(&call).is_none_or(|entry| entry.sender.send(event));
        drop(open);
        if !keeps_up {
            self.close(call);
        }
    }

    fn end(&self, call: CallId, event: CallEvent) {
        if let Some(entry) = self.open.borrow_mut().remove(&call) {
            entry.sender.send(event);
        }
    }

    fn close(&self, call: CallId) {
        let was_open = self.open.borrow_mut().remove(&call).is_some();
        if was_open {
            self.inbox.send(Input::Call(CallInput::Gone { call }));
        }
    }
}
