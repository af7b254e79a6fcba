//! Gateway that forwards callers' requests to the runners of each route's service.
//!
//! A request is matched to a route and forwarded unchanged. The store holds the
//! only durable state: every daemon copies the configuration and the runners'
//! entries out of it and finds the other daemons in it, and one daemon holds
//! the duty to order hosts into groups. Members report their group themselves;
//! every daemon derives the same groups from their entries.
//!
//! Modules that decide (`routes`, `contact`, `roster`, `group`, `candidacy`, `balancer`,
//! `outlook`, `water_filling`, `admission`, `head_limits`, `caller_timeouts`,
//! `contention`, `rank`, `rank_demand`, `fair_share`, `shares`, `account_work`,
//! `account_totals`, `decay`, `load`, `demand`,
//! `planner`, `startup`, `formation`, `sent_orders`, `openings`, `lifecycle`,
//! `liveness`, `pool`, `staging`, `weight_loads`, `evacuation`, `outages`, `budget`,
//! `backoff`, `notices`, `coldness`, `held_bytes`, `drain`, `reach`,
//! `peer_relay::choice`, the submodules of `load_exchange`, those of `quarantine` that it
//! names) read no clock and do no I/O.
//! The names and formats of a platform are hidden behind [`adapter::Adapter`].

pub mod account_totals;
pub mod account_work;
pub mod adapter;
pub mod admission;
mod announcements;
mod attempt;
pub mod backoff;
pub mod balancer;
pub mod budget;
mod call;
pub mod caller_timeouts;
pub mod candidacy;
pub mod changes;
mod cold_reports;
pub mod coldness;
mod connection;
pub mod contact;
pub mod contention;
mod datagrams;
mod decay;
pub mod demand;
pub mod drain;
mod duty;
pub mod evacuation;
pub mod events;
pub mod fair_share;
pub mod formation;
mod forward;
pub mod group;
pub mod handlers;
pub mod head_limits;
pub mod held_bytes;
mod inquiry;
mod lease;
mod lifecycle;
mod listeners;
pub mod liveness;
pub mod load;
pub mod load_exchange;
pub mod notices;
pub mod open_requests;
mod openings;
pub mod operators;
pub mod order;
mod orders;
pub mod outages;
pub mod outlook;
pub mod peer_relay;
pub mod peers;
pub mod permits;
pub mod planner;
pub mod pool;
mod probe;
mod prober;
mod progress;
pub mod quarantine;
pub mod rank;
pub mod rank_demand;
pub mod reach;
mod reach_check;
pub mod responses;
mod retries;
pub mod roster;
pub mod routes;
pub mod runner;
mod selection;
mod sent_orders;
pub mod settings;
pub mod shares;
pub mod spec;
mod staging;
mod startup;
pub mod state;
pub mod stated;
mod stop;
mod stream;
pub mod watch;
pub mod water_filling;
mod weight_loads;
mod whole_body;

use crate::shell::{connections::Connections, http, metrics, peers::Sockets, signals::Signals};
use adapter::Adapter;
use anyhow::Context as _;
use compio::net::UdpSocket;
use duty::Duty;
use lease::{Lease, LeaseTask};
use settings::Settings;
use slog::Logger;
use state::GatewayState;
use std::rc::Rc;

/// Runs a gateway until it is told to stop and its grace period has passed.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub async fn run<A>(mut settings: Settings, log: Logger) -> anyhow::Result<()>
where
    A: Adapter,
{
    let mut signals = Signals::install().context("install the signal handlers")?;
    metrics::install();
    let listen = &mut settings.listen;
    let callers = http::bind(listen.caller)
        .await
        .context("listen for callers")?;
    let ready = http::bind(listen.ready)
        .await
        .context("listen for readiness probes")?;
    let directory = http::bind(listen.directory)
        .await
        .context("listen for directory requests")?;
    let peers = match listen.peer {
        Some(address) => Some(Sockets::bind(address).await.context("listen for peers")?),
        None => None,
    };
    listen.peer = peers.as_ref().map(Sockets::address).transpose()?;
    let relayed = match listen.relay {
        Some(address) => Some(
            http::bind(address)
                .await
                .context("listen for relayed requests")?,
        ),
        None => None,
    };
    listen.relay = relayed.as_ref().map(http::address).transpose()?;
    listen.caller = http::address(&callers)?;
    listen.ready = http::address(&ready)?;
    listen.directory = http::address(&directory)?;
    slog::info!(log, "listening";
        "daemon" => settings.name.as_str(),
        "caller" => settings.listen.caller.to_string(),
        "ready" => settings.listen.ready.to_string(),
        "directory" => settings.listen.directory.to_string());
    let store = A::store(settings.store);
    let can_evacuate = settings.evacuation_ms.is_some();
    let operator_prefix = match can_evacuate {
        true => A::OPERATOR_PREFIX,
        false => A::SPEC_KEY,
    };
    let prefixes = [operator_prefix, A::RUNNER_PREFIX, A::OWN_PREFIX];
    let state = Rc::new(GatewayState::new(settings, log, &prefixes));
    let (connections, handle) = Connections::new();

    spawn(watch::watch_prefix(
        state.clone(),
        store.clone(),
        operator_prefix,
        operators::OperatorHandler::<A>::new(state.clone()),
    ));
    if can_evacuate {
        spawn(operators::end_kept_evacuations(state.clone()));
    }
    spawn(watch::watch_prefix(
        state.clone(),
        store.clone(),
        A::RUNNER_PREFIX,
        handlers::RunnerHandler::<A>::new(state.clone()),
    ));
    spawn(watch::watch_prefix(
        state.clone(),
        store.clone(),
        A::OWN_PREFIX,
        handlers::PeerHandler::new(state.clone(), A::OWN_PREFIX),
    ));
    if let Some(sockets) = peers {
        let (datagrams, listener) = sockets.into_parts();
        let datagrams = UdpSocket::from_std(datagrams).context("use the datagram socket")?;
        spawn(changes::server::serve(listener, state.clone()));
        spawn(datagrams::send(datagrams.clone(), state.clone()));
        spawn(datagrams::receive(datagrams, state.clone()));
        spawn(progress::report(state.clone()));
        spawn(load_exchange::run(state.clone()));
        spawn(inquiry::ask_while_lost(state.clone()));
    }
    let lease = Rc::new(Lease::<A>::new(state.clone(), store));
    let lease_task = LeaseTask::start(lease.clone());
    spawn(quarantine::keep(state.clone(), lease.clone()));
    spawn(Duty::new(state.clone(), lease).run());
    for listener in [ready, directory] {
        spawn(listeners::serve_queries::<A>(
            listener,
            state.clone(),
            handle.clone(),
        ));
    }
    if let Some(listener) = relayed {
        spawn(listeners::serve_relayed::<A>(
            listener,
            state.clone(),
            handle.clone(),
        ));
    }
    spawn(reach_check::look_for_runners(state.clone()));
    spawn(listeners::serve_callers::<A>(
        callers,
        state.clone(),
        handle,
    ));

    let signalled = stop::wait_for_signal(&mut signals, &state.log)
        .await
        .context("wait for signals")?;
    stop::drain(&state, signalled, signals, lease_task, connections).await;
    Ok(())
}

fn spawn<F>(task: F)
where
    F: Future<Output = ()> + 'static,
{
    compio::runtime::spawn(task).detach();
}
