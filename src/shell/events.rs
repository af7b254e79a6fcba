//! The queue of events of one call, bounded by the bytes that it holds.

use super::calls::CallEvent;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::{Stream, stream::FusedStream};
use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

/// Bytes queued for a caller that reads too slowly.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// Sending half of the queue.
#[derive(Debug)]
pub(super) struct EventSender {
    sender: UnboundedSender<CallEvent>,
    queued_bytes: Rc<Cell<usize>>,
}

/// Receiving half of the queue; it ends early if the queue overflows.
#[derive(Debug)]
pub struct EventReceiver {
    receiver: UnboundedReceiver<CallEvent>,
    queued_bytes: Rc<Cell<usize>>,
}

/// Creates an empty queue.
pub(super) fn event_queue() -> (EventSender, EventReceiver) {
    let (sender, receiver) = unbounded();
    let queued_bytes = Rc::new(Cell::new(0));
    let events = EventReceiver {
        receiver,
        queued_bytes: queued_bytes.clone(),
    };
    (
        EventSender {
            sender,
            queued_bytes,
        },
        events,
    )
}

impl EventSender {
    /// Queues an event; returns false if the queue would hold too many bytes.
    pub(super) fn send(&self, event: CallEvent) -> bool {
        let queued_bytes = self.queued_bytes.get() + size(&event);
        if queued_bytes > MAX_QUEUED_BYTES {
            return false;
        }
        self.queued_bytes.set(queued_bytes);
        let _ = self.sender.unbounded_send(event);
        true
    }
}

impl Stream for EventReceiver {
    type Item = CallEvent;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<CallEvent>> {
        let event = ready!(Pin::new(&mut self.receiver).poll_next(cx));
        if let Some(event) = &event {
            self.queued_bytes.set(self.queued_bytes.get() - size(event));
        }
        Poll::Ready(event)
    }
}

impl FusedStream for EventReceiver {
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
