//! Graceful stop of a daemon.
//!
//! From the signal on callers are sent to other daemons. Of the requests that still
//! come the daemon takes those that [`Drain`] admits. What was taken has until the
//! exit.

use super::{drain::Drain, lease::LeaseTask, state::GatewayState};
use crate::{
    core::{
        keys::HostName,
        time::{Span, Time},
    },
    shell::{
        connections::Connections,
        exit,
        signals::{Signal, Signals},
    },
};
use slog::Logger;
use std::{
    cell::Cell,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

/// Maximum delay after which a daemon without open requests notices that it may leave.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time before connections are closed in which requests are read that arrived while the process
/// waited for a processor.
const LAST_READ: Duration = Duration::from_millis(20);

/// Waits for a signal that asks for a stop, and returns when it came; others are only logged.
///
/// # Errors
///
/// Fails if the signals can't be read.
pub(super) async fn wait_for_signal(signals: &mut Signals, log: &Logger) -> io::Result<Instant> {
    loop {
        let received = signals.next().await?;
        match received.signal {
            Signal::Terminate | Signal::Interrupt => return Ok(received.at),
            Signal::Hangup => slog::info!(log, "settings apply only after a restart"),
        }
    }
}

/// Serves callers for the rest of the grace period, or until they have moved to other daemons;
/// releases the lease and closes the connections.
pub(super) async fn drain(
    state: &Rc<GatewayState>,
    signalled: Instant,
    signals: Signals,
    lease_task: LeaseTask,
    connections: Connections,
) {
    state.stopping.set(true);
    let delay = signalled.elapsed();
    slog::info!(state.log, "stopping";
        "taken" => state.accepted.get(),
        "open" => state.open.count(),
        "noticed_after_ms" => delay.as_millis() as u64);
    compio::runtime::spawn(log_signals(signals, state.log.clone())).detach();
    let grace = Span::from_millis(state.settings.grace_ms);
    let signalled = state.now() - Span(delay.as_micros() as u64);
    let drain = Drain::new(grace, state.settings.cores, signalled);
    state.drain.set(Some(drain));
    exit::force_after(time_until(drain.forced(), state), state.log.clone());
    let revoked = Rc::new(Cell::new(None));
    compio::runtime::spawn(revoke(lease_task, state.clone(), revoked.clone())).detach();
    let ttl = Span::from_millis(state.settings.entries_ms);
    while !drain.closes(state.open.count(), revoked.get(), ttl, state.now()) {
        let left = time_until(drain.ends(), state);
        compio::time::sleep(left.min(CHECK_INTERVAL)).await;
    }
    compio::time::sleep(LAST_READ).await;
    if revoked.get().is_none() {
        slog::warn!(state.log, "lease not revoked within the grace period");
    }
    connections.finish(time_until(drain.exits(), state)).await;
    log_cut_requests(state);
    slog::info!(state.log, "stopped";
        "taken" => state.accepted.get(),
        "open" => state.open.count());
}

/// Revokes the lease, and records when that was done.
async fn revoke(lease: LeaseTask, state: Rc<GatewayState>, revoked: Rc<Cell<Option<Time>>>) {
    if lease.revoke().await {
        revoked.set(Some(state.now()));
    }
}

/// Returns the time that is left until `time`.
fn time_until(time: Time, state: &GatewayState) -> Duration {
    time.since(state.now()).into()
}

/// Logs the signals that come during the stop, which they don't change.
async fn log_signals(mut signals: Signals, log: Logger) {
    loop {
        match signals.next().await {
            Ok(received) => {
                let signal = received.signal.name();
                slog::info!(log, "signal ignored during the stop"; "signal" => signal);
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
