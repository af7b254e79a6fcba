//! Wakes tasks that wait for the next event of a kind.

use futures_channel::oneshot;
use std::cell::RefCell;

/// Tasks that wait for the next event.
#[derive(Debug, Default)]
pub struct Wakeup {
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Wakeup {
    /// Returns a future that ends at the next event.
    pub fn next(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|sender| !sender.is_canceled());
        waiting.push(sender);
        receiver
    }

    /// Ends the futures that wait.
    pub fn wake(&self) {
        for waiting in self.waiting.take() {
            // A task that no longer waits has nothing to be told.
            let _ = waiting.send(());
        }
    }
}
