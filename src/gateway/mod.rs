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
//! `backoff`, `notices`, `coldness`, `drain`, `reach`,
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
pub mod explain;
pub mod fair_share;
pub mod formation;
mod forward;
pub mod group;
pub mod handlers;
pub mod head_limits;
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
pub mod operator_token;
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
mod tasks;
pub mod watch;
pub mod water_filling;
mod weight_loads;

use crate::shell::{
    connections::Connections, http, metrics, peers::Sockets, signals::Signals,
    supervisor::Supervisor,
};
use adapter::Adapter;
use anyhow::Context as _;
use compio::net::UdpSocket;
use duty::Duty;
use lease::{Lease, LeaseTask};
use listeners::Audience;
use settings::Settings;
use slog::Logger;
use state::GatewayState;
use std::rc::Rc;
use stop::StopCause;
use tasks::Tasks;

/// Runs a gateway until it is told to stop and its grace period has passed.
///
/// # Errors
///
/// Fails if an address can't be bound, or if a task panics after too many restarts.
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

    let (supervisor, failed) = Supervisor::new(state.log.clone(), state.clock);
    let tasks = Tasks::new(supervisor.clone(), state.clone());
    tasks.watch(
        &store,
        operator_prefix,
        operators::OperatorHandler::<A>::new,
    );
    if can_evacuate {
        tasks.start("evacuations", operators::end_kept_evacuations);
    }
    tasks.watch(&store, A::RUNNER_PREFIX, handlers::RunnerHandler::<A>::new);
    tasks.watch(&store, A::OWN_PREFIX, |state| {
        handlers::PeerHandler::new(state, A::OWN_PREFIX)
    });
    if let Some(sockets) = peers {
        let (datagrams, listener) = sockets.into_parts();
        let datagrams = UdpSocket::from_std(datagrams).context("use the datagram socket")?;
        tasks.start("subscriptions", move |state| {
            changes::server::serve(listener.clone(), state)
        });
        let socket = datagrams.clone();
        tasks.start("sent datagrams", move |state| {
            datagrams::send(socket.clone(), state)
        });
        tasks.start("received datagrams", move |state| {
            datagrams::receive(datagrams.clone(), state)
        });
        tasks.start("progress", progress::report);
        tasks.start("load exchange", load_exchange::run);
        tasks.start("inquiry", inquiry::ask_while_lost);
    }
    let lease = Rc::new(Lease::<A>::new(state.clone(), store));
    let lease_task = LeaseTask::start(lease.clone(), &supervisor);
    let kept = lease.clone();
    tasks.start("quarantine", move |state| {
        quarantine::keeper::keep(state, kept.clone())
    });
    tasks.start("duty", move |state| Duty::new(state, lease.clone()).run());
    for (listener, audience) in [(ready, Audience::Operators), (directory, Audience::Callers)] {
        let handle = handle.clone();
        tasks.start("queries", move |state| {
            listeners::serve_queries::<A>(listener.clone(), state, handle.clone(), audience)
        });
    }
    if let Some(listener) = relayed {
        let handle = handle.clone();
        tasks.start("relayed requests", move |state| {
            listeners::serve_relayed::<A>(listener.clone(), state, handle.clone())
        });
    }
    tasks.start("reach check", reach_check::look_for_runners);
    tasks.start("callers", move |state| {
        listeners::serve_callers::<A>(callers.clone(), state, handle.clone())
    });

    let cause = stop::wait(&mut signals, failed, &state.log)
        .await
        .context("wait for signals")?;
    stop::drain(&state, &cause, signals, lease_task, connections).await;
    match cause {
        StopCause::Signal { .. } => Ok(()),
        StopCause::Failure { failure, .. } => Err(failure.into()),
    }
}
