//! Accepts connections, and ends them on a stop.
//!
//! On a stop each connection closes once its current response has been written;
//! those without a request close at once.

use compio::net::{TcpListener, TcpStream};
use futures_channel::{mpsc, oneshot};
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::{Either, Shared, select},
};
use std::{convert::Infallible, pin::pin, time::Duration};

/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Signal that ends listeners and idle connections, once it is sent or dropped.
pub type StopSignal = Shared<oneshot::Receiver<()>>;

/// Handle to all connections of one or more listeners.
pub struct Connections {
    stop: oneshot::Sender<()>,
    all_closed: mpsc::UnboundedReceiver<Infallible>,
}

/// Handle that each listener and connection holds: the stop signal, and a sender that is dropped
/// when it closes.
#[derive(Clone)]
pub struct ConnectionHandle {
    stop: StopSignal,
    open: mpsc::UnboundedSender<Infallible>,
}

impl Connections {
    /// Creates a handle to connections that are yet to be accepted.
    pub fn new() -> (Self, ConnectionHandle) {
        let (stop, stopped) = oneshot::channel();
        let (open, all_closed) = mpsc::unbounded();
        let handle = ConnectionHandle {
            stop: stopped.shared(),
            open,
        };
        (Self { stop, all_closed }, handle)
    }

    /// Closes the listeners, and each connection after its current response; waits until the last
    /// has closed, for `timeout` at most.
    pub async fn finish(mut self, timeout: Duration) {
        // Without a receiver there is no listener or connection left.
        let _ = self.stop.send(());
        let _ = compio::time::timeout(timeout, self.all_closed.next()).await;
    }
}

/// Serves each connection that arrives, until the stop.
pub async fn accept<S, F>(listener: TcpListener, handle: ConnectionHandle, serve: S)
where
    S: Fn(TcpStream, StopSignal) -> F,
    F: Future<Output = ()> + 'static,
{
    loop {
        let next = pin!(listener.accept());
        match select(next, handle.stop.clone()).await {
            Either::Left((Ok((stream, _)), _)) => {
                let served = serve(stream, handle.stop.clone());
                let open = handle.open.clone();
                compio::runtime::spawn(served.map(move |()| drop(open))).detach();
            }
            Either::Left((Err(_), _)) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
            Either::Right(_) => return,
        }
    }
}
