//! A daemon that serves an operators' configuration of routes.
//!
//! Callers' requests are matched to a route and passed on, unchanged, to the
//! runners of its service. The store is the only thing that lasts: daemons
//! copy the configuration and the runners' entries out of it, find each other
//! in it, and one of them holds the duty to order hosts into groups. What a
//! group is, its members say themselves; every daemon derives the same groups
//! from their entries.
//!
//! Decisions (`routes`, `roster`, `placement`, `admission`, `load`, `planner`,
//! `formation`, `pool`, `budget`) read no clock and do no I/O. The names and formats of a platform
//! stand behind [`adapter::Adapter`].

pub mod adapter;
pub mod admission;
pub mod answer;
mod attempt;
pub mod budget;
mod call;
pub mod demand;
mod discovery;
mod duty;
pub mod events;
mod exchange;
mod feed;
pub mod formation;
mod forward;
mod lease;
mod lifecycle;
mod listeners;
pub mod load;
pub mod order;
mod orders;
pub mod outages;
pub mod peers;
pub mod placement;
pub mod planner;
pub mod pool;
mod prober;
pub mod roster;
pub mod routes;
pub mod settings;
mod sinks;
pub mod spec;
mod staging;
mod state;
mod stream;
mod weight_loads;

use crate::{
    core::time::Span,
    shell::{http, metrics},
};
use adapter::Adapter;
use anyhow::Context as _;
use duty::Duty;
use futures_channel::oneshot;
use futures_util::{
    FutureExt as _,
    future::{Either, join, select},
};
use lease::Lease;
use settings::Settings;
use slog::Logger;
use state::Site;
use std::{pin::pin, rc::Rc, time::Duration};

/// The signal that asks for a graceful stop.
const TERMINATE: i32 = 15;
/// The signal that says that settings have changed.
const HANGUP: i32 = 1;
/// The part of the grace period left for answers to be written out.
const LAST_WORDS: Duration = Duration::from_millis(700);

/// Runs a gateway until it is told to stop and its grace period is over.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub async fn run<A>(mut settings: Settings, log: Logger) -> anyhow::Result<()>
where
    A: Adapter,
{
    metrics::install();
    let listen = &mut settings.listen;
    let callers = http::bind(listen.caller)
        .await
        .context("listen for callers")?;
    let ready = http::bind(listen.ready)
        .await
        .context("listen for readiness")?;
    let directory = http::bind(listen.directory)
        .await
        .context("listen for questions")?;
    listen.caller = http::address(&callers)?;
    listen.ready = http::address(&ready)?;
    listen.directory = http::address(&directory)?;
    slog::info!(log, "listening";
        "daemon" => settings.name.as_str(),
        "caller" => settings.listen.caller.to_string(),
        "ready" => settings.listen.ready.to_string(),
        "directory" => settings.listen.directory.to_string());
    let store = A::store(settings.store);
    let site = Rc::new(Site::new(settings, log));
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = stopped.shared();

    start(feed::follow(
        site.clone(),
        store.clone(),
        A::SPEC_KEY,
        sinks::SpecSink::<A>::new(site.clone()),
    ));
    start(feed::follow(
        site.clone(),
        store.clone(),
        A::RUNNER_PREFIX,
        sinks::RunnerSink::<A>::new(site.clone()),
    ));
    start(feed::follow(
        site.clone(),
        store.clone(),
        A::OWN_PREFIX,
        sinks::PeerSink::new(site.clone(), A::OWN_PREFIX),
    ));
    let lease = Rc::new(Lease::<A>::new(site.clone(), store));
    let kept = compio::runtime::spawn(lease.clone().keep());
    start(Duty::new(site.clone(), lease).run());
    start(listeners::questions::<A>(
        ready,
        site.clone(),
        stopped.clone(),
    ));
    start(listeners::questions::<A>(
        directory,
        site.clone(),
        stopped.clone(),
    ));
    start(listeners::callers::<A>(
        callers,
        site.clone(),
        stopped.clone(),
    ));

    wait_for_stop(&site).await;
    slog::info!(site.log, "stopping"; "taken" => site.taken.get());
    site.stopping.set(true);
    let grace = Duration::from_millis(site.settings.grace_ms).saturating_sub(LAST_WORDS);
    let left = Span::from_millis(grace.as_millis() as u64);
    site.ends.set(Some(site.now() + left));
    let ended = compio::time::timeout(grace, kept);
    // Work in hand has the whole grace period, and so have late callers while there is time.
    let (ended, ()) = join(ended, compio::time::sleep(grace)).await;
    if ended.is_err() {
        slog::warn!(site.log, "lease not ended in time");
    }
    let _ = stop.send(());
    compio::time::sleep(LAST_WORDS / 2).await;
    slog::info!(site.log, "stopped"; "taken" => site.taken.get());
    Ok(())
}

fn start<F>(task: F)
where
    F: Future<Output = ()> + 'static,
{
    compio::runtime::spawn(task).detach();
}

/// Waits for the signal to stop; other signals are only logged.
async fn wait_for_stop(site: &Site) {
    loop {
        let terminate = pin!(compio::signal::unix::signal(TERMINATE));
        let hangup = pin!(compio::signal::unix::signal(HANGUP));
        match select(terminate, hangup).await {
            Either::Left(_) => return,
            Either::Right(_) => slog::info!(site.log, "settings reread at the next start"),
        }
    }
}
