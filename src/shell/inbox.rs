//! Where drivers put inputs for the loop.

use crate::core::input::Input;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};

/// The way in; cheap to clone.
#[derive(Clone, Debug)]
pub struct Inbox {
    sender: UnboundedSender<Input>,
}

impl Inbox {
    /// A new inbox and the loop's end of it.
    pub fn new() -> (Self, UnboundedReceiver<Input>) {
        let (sender, receiver) = unbounded();
        (Self { sender }, receiver)
    }

    /// Hands an input to the loop; does nothing once the loop has ended.
    pub fn send(&self, input: Input) {
        let _ = self.sender.unbounded_send(input);
    }
}
