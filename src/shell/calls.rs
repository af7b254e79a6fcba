//! The calls that are open on this daemon: their requests, and the queues of
//! their responses.
//!
//! A call arrives from a caller over HTTP or from another daemon that relays
//! it; both receive the same events.

use super::{
    Inbox,
    events::{EventReceiver, EventSender, event_queue},
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

/// The HTTP request of a call, as it is forwarded to a runner or another daemon.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Request method.
    pub method: Method,
    /// Path and query at the runner.
    pub path: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Description of the request that the core receives, here or on the daemon it is relayed to.
    pub request: CallRequest,
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: StatusCode,
    /// Headers to forward.
    pub headers: HeaderMap,
}

/// An event of the response to an open call.
#[derive(Debug)]
pub enum CallEvent {
    /// The response begins.
    Begin(ResponseHead),
    /// Part of the body.
    Data {
        /// Position of its first token in the whole response.
        offset: u32,
        /// Number of tokens.
        tokens: u32,
        /// Bytes of the part.
        bytes: Bytes,
    },
    /// The response has ended; comes once.
    End(Ending),
    /// Response to a query for the daemons that the caller may use.
    Entries {
        /// Daemons, best first.
        entries: Vec<EntryAddress>,
        /// Time for which the caller may cache the response.
        ttl: Span,
        /// Ticket for one non-idempotent request.
        ticket: Option<Ticket>,
    },
}

/// Handle of an open call for the side that opened it; dropping it cancels the call.
#[derive(Debug)]
pub struct OpenCall {
    /// Identifier of the call.
    pub id: CallId,
    /// Events of its response.
    pub events: EventReceiver,
    calls: Rc<Calls>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.calls.close(self.id);
    }
}

#[derive(Debug)]
struct CallEntry {
    forwarded: Option<Rc<ForwardedRequest>>,
    sender: EventSender,
}

/// All calls that are open on this daemon.
#[derive(Debug)]
pub struct Calls {
    inbox: Inbox,
    last_id: Cell<u64>,
    stopping: Cell<bool>,
    open: RefCell<HashMap<CallId, CallEntry>>,
    heads: RefCell<HashMap<AttemptId, ResponseHead>>,
}

impl Calls {
    /// Creates an empty set of calls.
    pub fn new(inbox: Inbox) -> Self {
        Self {
            inbox,
            last_id: Cell::new(0),
            stopping: Cell::new(false),
            open: RefCell::default(),
            heads: RefCell::default(),
        }
    }

    /// Opens a call and reports its arrival to the core.
    pub fn open(self: &Rc<Self>, forwarded: ForwardedRequest) -> OpenCall {
        let request = forwarded.request.clone();
        let call = self.register(Some(Rc::new(forwarded)));
        self.inbox.send(Input::Call(CallInput::Arrived {
            call: call.id,
            request,
        }));
        call
    }

    /// Opens a query for the daemons that a caller may use.
    pub fn open_entries(
        self: &Rc<Self>,
        credential: KeyHash,
        model: Option<ModelName>,
    ) -> OpenCall {
        let call = self.register(None);
        self.inbox.send(Input::Call(CallInput::Entries {
            call: call.id,
            credential,
            model,
        }));
        call
    }

    /// Returns the request of an open call.
    pub fn forwarded(&self, call: CallId) -> Option<Rc<ForwardedRequest>> {
        self.open.borrow().get(&call)?.forwarded.clone()
    }

    /// Stores the head of an attempt's response until the core starts the call's response.
    pub fn store_head(&self, attempt: AttemptId, head: ResponseHead) {
        self.heads.borrow_mut().insert(attempt, head);
    }

    /// Discards the head of an attempt's response.
    pub fn discard_head(&self, attempt: AttemptId) {
        self.heads.borrow_mut().remove(&attempt);
    }

    /// Returns the number of open calls.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Marks the daemon as stopping.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Returns true once the graceful stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Carries out an output of the core for a caller.
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

    fn register(self: &Rc<Self>, forwarded: Option<Rc<ForwardedRequest>>) -> OpenCall {
        let call = CallId(self.last_id.get() + 1);
        self.last_id.set(call.0);
        let (sender, events) = event_queue();
        self.open
            .borrow_mut()
            .insert(call, CallEntry { forwarded, sender });
        OpenCall {
            id: call,
            events,
            calls: self.clone(),
        }
    }

    /// Queues an event; closes the call if the caller reads too slowly.
    fn send(&self, call: CallId, event: CallEvent) {
        let open = self.open.borrow();
        let queued = open.get(&call).is_none_or(|entry| entry.sender.send(event));
        drop(open);
        if !queued {
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
