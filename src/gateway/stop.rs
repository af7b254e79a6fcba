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
        supervisor::TaskFailure,
    },
};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use slog::Logger;
use std::{
    cell::Cell,
    io,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

/// Maximum delay after which a daemon without open requests notices that it may leave.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time before connections are closed in which requests are read that arrived while the process
/// waited for a processor.
const LAST_READ: Duration = Duration::from_millis(20);

/// Exit code of a stop that was forced after a task had failed.
const FAILURE_CODE: i32 = 1;

/// Cause of a stop.
#[derive(Clone, Copy, Debug)]
pub(super) enum StopCause {
    /// A signal asked for it.
    Signal {
        /// Time at which the signal came.
        at: Instant,
    },
    /// A task that the daemon needs has failed.
    Failure {
        /// Time at which that was noticed.
        at: Instant,
        /// The task.
        failure: TaskFailure,
    },
}

impl StopCause {
    /// Returns when the stop began.
    fn at(&self) -> Instant {
        match self {
            StopCause::Signal { at } | StopCause::Failure { at, .. } => *at,
        }
    }

    fn exit_code(&self) -> i32 {
        match self {
            StopCause::Signal { .. } => 0,
            StopCause::Failure { .. } => FAILURE_CODE,
        }
    }
}

/// Waits for a signal that asks for a stop, or for a task to fail.
///
/// # Errors
///
/// Fails if the signals can't be read.
pub(super) async fn wait(
    signals: &mut Signals,
    failed: oneshot::Receiver<TaskFailure>,
    log: &Logger,
) -> io::Result<StopCause> {
    let signalled = pin!(wait_for_signal(signals, log));
    match select(signalled, failed).await {
        Either::Left((at, _)) => Ok(StopCause::Signal { at: at? }),
        Either::Right((Ok(failure), _)) => Ok(StopCause::Failure {
            at: Instant::now(),
            failure,
        }),
        // Without a supervisor no task can fail any more.
        Either::Right((Err(_), signalled)) => Ok(StopCause::Signal {
            at: signalled.await?,
        }),
    }
}

/// Waits for a signal that asks for a stop, and returns when it came; others are only logged.
async fn wait_for_signal(signals: &mut Signals, log: &Logger) -> io::Result<Instant> {
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
    cause: &StopCause,
    signals: Signals,
    lease_task: LeaseTask,
    connections: Connections,
) {
    state.stopping.set(true);
    let delay = cause.at().elapsed();
    slog::info!(state.log, "stopping";
        "taken" => state.accepted.get(),
        "open" => state.open.count(),
        "noticed_after_ms" => delay.as_millis() as u64);
    compio::runtime::spawn(log_signals(signals, state.log.clone())).detach();
    let grace = Span::from_millis(state.settings.grace_ms);
    let began = state.now() - Span(delay.as_micros() as u64);
    let drain = Drain::new(grace, state.settings.cores, began);
    state.drain.set(Some(drain));
    let forced = time_until(drain.forced(), state);
    exit::force_after(forced, cause.exit_code(), state.log.clone());
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
