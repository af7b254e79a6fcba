//! Bounds the number of callers' connections and serves each.

use super::serve::{CallerState, respond};
use crate::shell::{
    connections::{self, Connections, StopSignal},
    http::{ConnectionLimits, serve_http1_until},
};
use compio::net::{TcpListener, TcpStream};
use hyper::service::service_fn;
use std::{convert::Infallible, rc::Rc};

/// Connections allowed per open call.
const CONNECTIONS_PER_CALL: usize = 2;
/// Additional connections, for health checks and metrics.
const SPARE_CONNECTIONS: usize = 16;

/// Accepts connections until the stop.
pub(super) fn start(listener: TcpListener, state: Rc<CallerState>) -> Connections {
    let (connections, handle) = Connections::new();
    let serve = move |stream, stop| serve(stream, state.clone(), stop);
    compio::runtime::spawn(connections::accept(listener, handle, serve)).detach();
    connections
}

async fn serve(stream: TcpStream, state: Rc<CallerState>, stop: StopSignal) {
    let max_connections = state.max_calls * CONNECTIONS_PER_CALL + SPARE_CONNECTIONS;
    if state.counters.connections() >= max_connections {
        state.counters.refuse_connection();
        return;
    }
    state.counters.open_connection();
    respond_all(stream, state.clone(), stop).await;
    state.counters.close_connection();
}

async fn respond_all(stream: TcpStream, state: Rc<CallerState>, stop: StopSignal) {
    let limits = ConnectionLimits {
        head_timeout: state.caller_timeout,
        stall_timeout: state.caller_timeout,
        ..ConnectionLimits::default()
    };
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(respond(&state, request).await) }
    });
    serve_http1_until(stream, service, limits, stop).await;
}
