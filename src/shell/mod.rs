//! The loop: bytes become inputs, outputs become bytes.
//!
//! Everything runs on one thread. Drivers (callers, runners, platform, peers,
//! operators, host list) put inputs into the [`Inbox`]; the loop hands them to
//! the decision logic and each output to the driver that carries it out.

pub mod callers;
pub mod calls;
mod events;
pub mod frames;
pub mod host_list;
pub mod http;
pub mod inbox;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod relay;
pub mod runners;
mod stall;

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
use futures_util::{FutureExt as _, StreamExt as _, select_biased};
use inbox::Inbox;
use rustix::time::ClockId;
use slog::Logger;
use std::{
    cell::RefCell,
    path::Path,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The decision logic, shared with drivers that answer queries.
pub type SharedCore = Rc<RefCell<Core>>;

/// Measures the decision logic's time, including that of a suspended machine.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Duration,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self { began: uptime() }
    }

    /// The time now.
    pub fn now(self) -> Time {
        Time(uptime().saturating_sub(self.began).as_micros() as u64)
    }
}

/// The time since the machine started, suspended or not.
fn uptime() -> Duration {
    let time = rustix::time::clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// The drivers that carry out outputs.
struct Drivers {
    calls: Rc<Calls>,
    runners: runners::Runners,
    platform: platform::Platform,
    peers: peers::Peers,
    operators: operators::Operators,
}

/// Runs a daemon until it is told to stop and its work has ended.
///
/// # Errors
///
/// Fails if an address can't be bound, or the recording can't be written; later
/// faults of others are counted and outlived.
pub async fn run(settings: Settings, record: Option<&Path>, log: Logger) -> anyhow::Result<()> {
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
    let me = identity(&settings, http::address(&caller)?, sockets.address()?);
    slog::info!(log, "listening";
        "daemon" => me.name.as_str(),
        "caller" => me.caller.to_string(),
        "peer" => me.peer.to_string(),
        "operator" => http::address(&operator)?.to_string());

    let seed = rand::random();
    let core: SharedCore = Rc::new(RefCell::new(Core::new(
        me.clone(),
        settings.options.clone(),
        seed,
    )));
    let monitor = Arc::new(Monitor::new(settings.objectives.clone()));
    let mut recorder = match record {
        Some(path) => Some(begin_recording(path, &me, seed, &settings)?),
        None => None,
    };
    let connections = callers::start(caller, calls.clone(), core.clone(), clock, &settings);
    host_list::start(inbox.clone(), settings.host_list);
    let drivers = Drivers {
        runners: runners::Runners::new(inbox.clone(), calls.clone(), &me, &settings),
        platform: platform::Platform::new(inbox.clone(), &settings),
        peers: peers::Peers::start(sockets, inbox.clone(), calls.clone(), &me, &settings),
        operators: operators::Operators::start(operator, inbox.clone(), monitor.clone(), &settings),
        calls,
    };
    stop_on_signal(inbox.clone());
    inbox.send(Input::Start);

    let mut timers = Timers::default();
    let mut out = Vec::new();
    loop {
        let input = match timers.pop_due(clock.now()) {
            Some(timer) => Input::Timer(timer),
            None => select_biased! {
                input = inputs.next() => match input {
                    Some(input) => input,
                    None => return Ok(()),
                },
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
        core.borrow_mut().step(now, input, &mut out);
        monitor.record_outputs(now, &core.borrow(), &out);
        for output in out.drain(..) {
            if perform(output, &drivers, &mut timers, &log) {
                connections.finish().await;
                drivers.peers.finish().await;
                if let Some(recorder) = &mut recorder {
                    recorder.flush().context("write the recording")?;
                }
                return Ok(());
            }
        }
    }
}

/// Carries out one output; true if it asks for the exit.
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
        Output::Log(event) => write_event(log, &event),
        Output::Exit => return true,
    }
    false
}

/// Begins a recording of this run.
fn begin_recording(
    path: &Path,
    me: &Identity,
    seed: u64,
    settings: &Settings,
) -> anyhow::Result<Recorder> {
    let header = DaemonHeader {
        identity: me.clone(),
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

fn write_event(log: &Logger, event: &Event) {
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

/// Who this daemon is in this run.
fn identity(
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

fn stop_on_signal(inbox: Inbox) {
    compio::runtime::spawn(async move {
        let terminate = compio::signal::unix::signal(TERMINATE);
        let interrupt = compio::signal::ctrl_c();
        futures_util::future::select(std::pin::pin!(terminate), std::pin::pin!(interrupt)).await;
        inbox.send(Input::Stop);
    })
    .detach();
}

/// The signal that asks for a graceful stop.
const TERMINATE: i32 = 15;
