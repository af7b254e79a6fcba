//! The event loop of the daemon and its I/O drivers.
//!
//! Everything runs on one thread. The drivers (callers, runners, platform,
//! peers, operators, host list) put inputs into the [`Inbox`]. The loop passes
//! each input to the core and each output to the driver that carries it out.

mod activity;
pub mod callers;
pub mod calls;
mod clean_eof;
pub mod connections;
mod events;
pub mod exit;
mod fair;
pub mod frames;
pub mod held_bytes;
pub mod host_list;
pub mod http;
pub mod inbox;
pub mod interim;
mod linger;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod relay;
pub mod request_body;
pub mod runners;
pub mod running_time;
pub mod signals;
mod stall;
pub mod supervisor;
pub mod wakeup;
pub mod whole_body;

use crate::{
    core::{
        Core,
        ctx::Identity,
        input::Input,
        keys::Incarnation,
        output::{Event, Level, Output},
        time::Time,
    },
    replay::{DaemonHeader, Recorder},
    report::Monitor,
    settings::Settings,
    timers::Timers,
};
use anyhow::Context as _;
use calls::Calls;
use futures_util::{FutureExt as _, StreamExt as _, future::Fuse, select_biased};
use inbox::Inbox;
use rustix::time::ClockId;
use signals::{Signal, Signals};
use slog::Logger;
use std::{
    cell::RefCell,
    path::Path,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The core, shared with drivers that answer read-only queries.
pub type SharedCore = Rc<RefCell<Core>>;

/// Time for the last responses to be written on a stop.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Monotonic clock of the core; it keeps running while the host is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { started: uptime() }
    }

    /// Returns the time since the clock was started.
    pub fn now(self) -> Time {
        Time(uptime().saturating_sub(self.started).as_micros() as u64)
    }
}

/// Returns the time since the host booted, including time spent suspended.
fn uptime() -> Duration {
    let time = rustix::time::clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Drivers that carry out the outputs of the core.
struct Drivers {
    calls: Rc<Calls>,
    runners: runners::Runners,
    platform: platform::Platform,
    peers: peers::Peers,
    operators: operators::Operators,
}

/// Runs a daemon until its graceful stop is complete.
///
/// # Errors
///
/// Fails if an address can't be bound or the recording can't be written. Later
/// faults of other processes are counted and don't end the daemon.
pub async fn run(settings: Settings, record: Option<&Path>, log: Logger) -> anyhow::Result<()> {
    let signals = Signals::install().context("install the signal handlers")?;
    metrics::install();
    let clock = Clock::start();
    let (inbox, mut inputs) = Inbox::new();
    let calls = Rc::new(Calls::new(inbox.clone()));
    let caller = http::bind(settings.listen.caller)
        .await
        .context("listen for callers")?;
    let operator = http::bind(settings.listen.operator)
        .await
        .context("listen for operators")?;
    let sockets = peers::Sockets::bind(settings.listen.peer)
        .await
        .context("listen for daemons")?;
    let identity = new_identity(&settings, http::address(&caller)?, sockets.address()?);
    slog::info!(log, "listening";
        "daemon" => identity.name.as_str(),
        "caller" => identity.caller.to_string(),
        "peer" => identity.peer.to_string(),
        "operator" => http::address(&operator)?.to_string());

    let seed = rand::random();
    let core: SharedCore = Rc::new(RefCell::new(Core::new(
        identity.clone(),
        settings.options.clone(),
        seed,
    )));
    let monitor = Arc::new(Monitor::new(settings.objectives.clone()));
    let mut recorder = match record {
        Some(path) => Some(start_recording(path, &identity, seed, &settings)?),
        None => None,
    };
    let connections = callers::start(caller, calls.clone(), core.clone(), clock, &settings);
    host_list::start(inbox.clone(), settings.host_list);
    let drivers = Drivers {
        runners: runners::Runners::new(inbox.clone(), calls.clone(), &identity, &settings),
        platform: platform::Platform::new(inbox.clone(), &settings),
        peers: peers::Peers::start(sockets, inbox.clone(), calls.clone(), &identity, &settings),
        operators: operators::Operators::start(operator, inbox.clone(), monitor.clone(), &settings),
        calls,
    };
    compio::runtime::spawn(handle_signals(signals, inbox.clone(), log.clone())).detach();
    inbox.send(Input::Start);

    let mut timers = Timers::default();
    let mut outputs = Vec::new();
    let mut connections = Some(connections);
    // Requests that are still being read are answered until the last connection has closed.
    let mut closing = pin!(Fuse::terminated());
    loop {
        let input = match timers.pop_due(clock.now()) {
            Some(timer) => Input::Timer(timer),
            None => select_biased! {
                input = inputs.next() => match input {
                    Some(input) => input,
                    None => return Ok(()),
                },
                () = closing => break,
                () = sleep_until(timers.next_due(), clock).fuse() => continue,
            },
        };
        if let Input::Stop = input {
            drivers.calls.stop();
        }
        let now = clock.now();
        if let Some(recorder) = &mut recorder {
            recorder
                .record_input(now, &input)
                .context("write the recording")?;
        }
        monitor.record_input(now, &core.borrow(), &input);
        core.borrow_mut().step(now, input, &mut outputs);
        monitor.record_outputs(now, &core.borrow(), &outputs);
        for output in outputs.drain(..) {
            let is_done = perform(output, &drivers, &mut timers, &log);
            if let Some(connections) = connections.take_if(|_| is_done) {
                closing.set(connections.finish(FLUSH_TIMEOUT).fuse());
            }
        }
    }
    drivers.peers.finish().await;
    if let Some(recorder) = &mut recorder {
        recorder.flush().context("write the recording")?;
    }
    Ok(())
}

/// Carries out one output; returns true once the daemon has nothing left to do but to exit.
fn perform(output: Output, drivers: &Drivers, timers: &mut Timers, log: &Logger) -> bool {
    match output {
        Output::SetTimer { timer, at } => timers.set(timer, at),
        Output::Call(output) => drivers.calls.perform(output),
        Output::Runner(output) => drivers.runners.perform(output),
        Output::Platform { id, call } => drivers.platform.perform(id, call),
        Output::Peer {
            to,
            transport,
            message,
        } => drivers.peers.perform(to, transport, message),
        Output::Operator { command, answer } => drivers.operators.perform(command, answer),
        Output::Log(event) => log_event(log, &event),
        Output::Exit => return true,
    }
    false
}

/// Creates the recording and writes its header.
fn start_recording(
    path: &Path,
    identity: &Identity,
    seed: u64,
    settings: &Settings,
) -> anyhow::Result<Recorder> {
    let header = DaemonHeader {
        identity: identity.clone(),
        seed,
        options: settings.options.clone(),
    };
    Recorder::create(path, header).with_context(|| format!("record to {}", path.display()))
}

async fn sleep_until(at: Option<Time>, clock: Clock) {
    match at {
        Some(at) => compio::time::sleep(at.since(clock.now()).into()).await,
        None => std::future::pending().await,
    }
}

fn log_event(log: &Logger, event: &Event) {
    let Event {
        level,
        kind,
        subject,
        detail,
    } = event;
    match level {
        Level::Info => slog::info!(log, "{}", kind; "subject" => subject, "detail" => detail),
        Level::Warning => slog::warn!(log, "{}", kind; "subject" => subject, "detail" => detail),
        Level::Error => slog::error!(log, "{}", kind; "subject" => subject, "detail" => detail),
    }
}

/// Builds the identity of this run; the time in microseconds is its incarnation.
fn new_identity(
    settings: &Settings,
    caller: std::net::SocketAddr,
    peer: std::net::SocketAddr,
) -> Identity {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Identity {
        name: settings.name.clone(),
        incarnation: Incarnation(since_epoch.as_micros() as u64),
        region: settings.region.clone(),
        hall: settings.hall.clone(),
        caller,
        peer,
        seeds: settings.peers.clone(),
        secret: rand::random(),
    }
}

/// Starts the graceful stop on the first signal that asks for it; all others are only logged.
async fn handle_signals(mut signals: Signals, inbox: Inbox, log: Logger) {
    let mut is_stopping = false;
    loop {
        let signal = match signals.next().await {
            Ok(received) => received.signal,
            Err(error) => {
                slog::error!(log, "signals are no longer read"; "cause" => error.to_string());
                return;
            }
        };
        let asks_stop = signal != Signal::Hangup;
        slog::info!(log, "signal received"; "signal" => signal.name(), "stopping" => is_stopping);
        if asks_stop && !is_stopping {
            is_stopping = true;
            inbox.send(Input::Stop);
        }
    }
}
