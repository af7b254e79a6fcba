//! Graceful stop of a daemon.
//!
//! From the signal on callers are sent to other daemons. Of the requests that still
//! come the daemon takes those that [`Drain`] admits. What was taken has until the
//! exit.

use super::{drain::Drain, lease::LeaseTask, state::GatewayState};
use crate::{
    core::{keys::HostName, time::Span},
    shell::{
        connections::Connections,
        signals::{Signal, Signals},
    },
};
use futures_util::future::join;
use slog::Logger;
use std::{io, time::Duration};

/// End of the grace period in which connections are closed and nothing is taken any more.
const CLOSE_WINDOW: Span = Span::from_millis(700);

/// End of the grace period that is left for the exit itself.
const EXIT_WINDOW: Span = Span::from_millis(100);

/// Waits for a signal that asks for a stop; others are only logged.
///
/// # Errors
///
/// Fails if the signals can't be read.
pub(super) async fn wait_for_signal(signals: &mut Signals, log: &Logger) -> io::Result<()> {
    loop {
        match signals.next().await? {
            Signal::Terminate | Signal::Interrupt => return Ok(()),
            Signal::Hangup => slog::info!(log, "settings apply only after a restart"),
        }
    }
}

/// Serves callers for the rest of the grace period, releases the lease and closes the connections.
pub(super) async fn drain(
    state: &GatewayState,
    signals: Signals,
    lease_task: LeaseTask,
    connections: Connections,
) {
    slog::info!(state.log, "stopping";
        "taken" => state.accepted.get(),
        "open" => state.open.count());
    compio::runtime::spawn(log_signals(signals, state.log.clone())).detach();
    let grace = Span::from_millis(state.settings.grace_ms);
    let serving = Duration::from(grace - CLOSE_WINDOW);
    state.stopping.set(true);
    let drain = Drain::new(grace, CLOSE_WINDOW, state.now());
    state.drain.set(Some(drain));
    let revoked = compio::time::timeout(serving, lease_task.revoke());
    let (revoked, ()) = join(revoked, compio::time::sleep(serving)).await;
    if revoked.is_err() {
        slog::warn!(state.log, "lease not revoked within the grace period");
    }
    let closing = CLOSE_WINDOW - EXIT_WINDOW;
    connections.finish(closing.into()).await;
    log_cut_requests(state);
    slog::info!(state.log, "stopped";
        "taken" => state.accepted.get(),
        "open" => state.open.count());
}

/// Logs the signals that come during the stop, which they don't change.
async fn log_signals(mut signals: Signals, log: Logger) {
    loop {
        match signals.next().await {
            Ok(signal) => {
                slog::info!(log, "signal ignored during the stop"; "signal" => signal.name());
            }
            Err(error) => {
                slog::error!(log, "signals are no longer read"; "cause" => error.to_string());
                return;
            }
        }
    }
}

/// Logs the requests that are cut because the daemon exits.
fn log_cut_requests(state: &GatewayState) {
    let now = state.now();
    for request in state.open.list() {
        slog::warn!(state.log, "request cut by the stop";
            "request" => request.id,
            "host" => request.host.as_ref().map(HostName::as_str),
            "after_ms" => now.since(request.arrived).as_millis());
    }
}
