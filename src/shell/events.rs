//! The queue of one call's events, bounded by the bytes that wait in it.

use super::calls::CallEvent;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::{Stream, stream::FusedStream};
use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

/// The bytes that may wait for a caller who reads too slowly.
const MAX_WAITING_BYTES: usize = 1 << 20;

/// The end that events are put into.
#[derive(Debug)]
pub(super) struct EventSender {
    sender: UnboundedSender<CallEvent>,
    waiting: Rc<Cell<usize>>,
}

/// The end that events are taken from; it ends early if too many bytes wait.
#[derive(Debug)]
pub struct Events {
    receiver: UnboundedReceiver<CallEvent>,
    waiting: Rc<Cell<usize>>,
}

/// An empty queue.
pub(super) fn queue() -> (EventSender, Events) {
    let (sender, receiver) = unbounded();
    let waiting = Rc::new(Cell::new(0));
    let events = Events {
        receiver,
        waiting: waiting.clone(),
    };
    (EventSender { sender, waiting }, events)
}

impl EventSender {
    /// Puts an event in; false if too many bytes would wait.
    pub(super) fn send(&self, event: CallEvent) -> bool {
        let waiting = self.waiting.get() + size(&event);
        if waiting > MAX_WAITING_BYTES {
            return false;
        }
        self.waiting.set(waiting);
        let _ = self.sender.unbounded_send(event);
        true
    }
}

impl Stream for Events {
    type Item = CallEvent;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<CallEvent>> {
        let event = ready!(Pin::new(&mut self.receiver).poll_next(cx));
        if let Some(event) = &event {
            self.waiting.set(self.waiting.get() - size(event));
        }
        Poll::Ready(event)
    }
}

impl FusedStream for Events {
    fn is_terminated(&self) -> bool {
        self.receiver.is_terminated()
    }
}

fn size(event: &CallEvent) -> usize {
    match event {
        CallEvent::Data { bytes, .. } => bytes.len(),
        CallEvent::Begin(_) | CallEvent::End(_) | CallEvent::Entries { .. } => 0,
    }
}
