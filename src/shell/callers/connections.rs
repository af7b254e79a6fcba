//! Accepts callers' connections, bounds their number and ends them on a stop.

use super::serve::{CallerState, respond};
use crate::shell::http::{ConnectionLimits, serve_http1_until};
use compio::net::{TcpListener, TcpStream};
use futures_channel::{mpsc, oneshot};
use futures_util::{
    FutureExt as _, StreamExt as _,
    future::{Either, Shared, select},
};
use hyper::service::service_fn;
use std::{convert::Infallible, pin::pin, rc::Rc, time::Duration};

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Connections allowed per open call.
const CONNECTIONS_PER_CALL: usize = 2;
/// Additional connections, for health checks and metrics.
const SPARE_CONNECTIONS: usize = 16;
/// Time for the last responses to be written on a stop.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Handle to all connections of callers.
pub struct Connections {
    stop: oneshot::Sender<()>,
    all_closed: mpsc::UnboundedReceiver<Infallible>,
}

/// Handle that each connection holds: the stop signal, and a sender that is dropped when it
/// closes.
#[derive(Clone)]
struct ConnectionHandle {
    stop: Shared<oneshot::Receiver<()>>,
    open: mpsc::UnboundedSender<Infallible>,
}

impl Connections {
    /// Accepts connections until the stop.
    pub(super) fn start(listener: TcpListener, state: Rc<CallerState>) -> Self {
        let (stop, stopped) = oneshot::channel();
        let (open, all_closed) = mpsc::unbounded();
        let handle = ConnectionHandle {
            stop: stopped.shared(),
            open,
        };
        compio::runtime::spawn(accept(listener, state, handle)).detach();
        Self { stop, all_closed }
    }

    /// Closes each connection after its current response and waits for the last to close.
    pub async fn finish(mut self) {
        let _ = self.stop.send(());
        let _ = compio::time::timeout(FLUSH_TIMEOUT, self.all_closed.next()).await;
    }
}

async fn accept(listener: TcpListener, state: Rc<CallerState>, handle: ConnectionHandle) {
    let max_connections = state.max_calls * CONNECTIONS_PER_CALL + SPARE_CONNECTIONS;
    loop {
        let next = pin!(listener.accept());
        let stream = match select(next, handle.stop.clone()).await {
            Either::Left((Ok((stream, _)), _)) => stream,
            Either::Left((Err(_), _)) => {
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
            Either::Right(_) => return,
        };
        if state.counters.connections() >= max_connections {
            state.counters.refuse_connection();
            continue;
        }
        let (state, handle) = (state.clone(), handle.clone());
        compio::runtime::spawn(async move {
            state.counters.open_connection();
            serve(stream, state.clone(), handle).await;
            state.counters.close_connection();
        })
        .detach();
    }
}

async fn serve(stream: TcpStream, state: Rc<CallerState>, handle: ConnectionHandle) {
    let limits = ConnectionLimits {
        head_timeout: state.caller_timeout,
        stall_timeout: state.caller_timeout,
        ..ConnectionLimits::default()
    };
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(respond(&state, request).await) }
    });
    let stop = handle.stop.map(|_| ());
    serve_http1_until(stream, service, limits, stop).await;
    drop(handle.open);
}
