//! Queue of inputs from the drivers to the event loop.

use crate::core::input::Input;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};

/// Sending half of the input queue; cheap to clone.
#[derive(Clone, Debug)]
pub struct Inbox {
    sender: UnboundedSender<Input>,
}

impl Inbox {
    /// Creates an inbox and the receiver that the loop reads from.
    pub fn new() -> (Self, UnboundedReceiver<Input>) {
        let (sender, receiver) = unbounded();
        (Self { sender }, receiver)
    }

    /// Queues an input for the loop; does nothing once the loop has ended.
    pub fn send(&self, input: Input) {
        let _ = self.sender.unbounded_send(input);
    }
}
