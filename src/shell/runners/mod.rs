//! The HTTP client for runners.
//!
//! Each output becomes a task on the event loop: an attempt at a call
//! (`attempt`), or an order or a query (`control`). Connections are pooled
//! (`pool`); streamed responses are decoded event by event (`sse`).

mod attempt;
mod control;
mod pool;
pub mod sse;

use super::{Inbox, calls::Calls, held_bytes::HeldBytes, relay::RelayClient};
use crate::{
    core::{
        ctx::Identity,
        input::{Input, RunnerInput},
        keys::{AttemptId, DaemonName},
        output::{Route, RunnerOutput},
    },
    settings::Settings,
};
use attempt::AttemptCall;
use futures_channel::oneshot;
use futures_util::{FutureExt as _, select_biased};
use pool::Pool;
use std::{cell::RefCell, collections::HashMap, future::Future, net::SocketAddr, rc::Rc};

/// Driver for requests to runners and the attempts in flight.
pub struct Runners {
    shared: Rc<Shared>,
}

struct Shared {
    inbox: Inbox,
    calls: Rc<Calls>,
    relay_client: RelayClient,
    daemon: DaemonName,
    pool: Pool,
    /// Bytes of responses that are held until they are whole.
    held_bytes: HeldBytes,
    in_flight: RefCell<HashMap<AttemptId, InFlight>>,
}

/// State of the runner when the task of an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptEnd {
    /// The runner isn't running the attempt.
    Ended,
    /// The runner may still run the attempt; a cancel follows.
    MaybeRunning,
}

/// An attempt in flight; dropping it stops its task.
struct InFlight {
    _stop: oneshot::Sender<()>,
    /// Address of the engine to notify of a cancel; `None` if the runner has no cancel request.
    engine: Option<SocketAddr>,
}

impl Shared {
    fn send(&self, input: RunnerInput) {
        self.inbox.send(Input::Runner(input));
    }
}

impl Runners {
    /// Creates the driver, without connections.
    pub fn new(inbox: Inbox, calls: Rc<Calls>, identity: &Identity, settings: &Settings) -> Self {
        let relay_client = RelayClient::new(inbox.clone(), calls.clone(), identity, settings);
        Self {
            shared: Rc::new(Shared {
                inbox,
                calls,
                relay_client,
                daemon: identity.name.clone(),
                pool: Pool::default(),
                held_bytes: HeldBytes::default(),
                in_flight: RefCell::default(),
            }),
        }
    }

    /// Carries out an output of the core for a runner.
    pub fn perform(&self, output: RunnerOutput) {
        let shared = self.shared.clone();
        match output {
            RunnerOutput::Attempt {
                attempt,
                call,
                route: Route::Daemon { address, .. },
                ..
            } => {
                let relay_client = shared.relay_client.clone();
                self.run(attempt, None, async move {
                    relay_client.relay(attempt, call, address).await;
                    AttemptEnd::Ended
                });
            }
            RunnerOutput::Attempt {
                attempt,
                call,
                route,
                fresh,
                resume_at,
            } => {
                let engine = match &route {
                    Route::Group { address, .. } => Some(*address),
                    _ => None,
                };
                let call = AttemptCall {
                    attempt,
                    call,
                    route,
                    fresh,
                    resume_at,
                };
                self.run(attempt, engine, attempt::run(shared, call));
            }
            RunnerOutput::Cancel { attempt } => self.cancel(attempt),
            RunnerOutput::Order {
                order,
                host,
                address,
                action,
                fence,
                timeout,
            } => {
                let order = control::OrderCall {
                    order,
                    host,
                    address,
                    action,
                    fence,
                    timeout: timeout.into(),
                };
                spawn(control::order(shared, order));
            }
            RunnerOutput::ReadHolding { host, address } => {
                spawn(control::read_holding(shared, host, address));
            }
            RunnerOutput::ReadLoad { host, address } => {
                spawn(control::read_load(shared, host, address));
            }
            RunnerOutput::ReadCache {
                host,
                address,
                from,
            } => spawn(control::read_cache(shared, host, address, from)),
        }
    }

    /// Runs an attempt until it ends or is cancelled.
    fn run<F>(&self, attempt: AttemptId, engine: Option<SocketAddr>, future: F)
    where
        F: Future<Output = AttemptEnd> + 'static,
    {
        let (stop, stopped) = oneshot::channel();
        let in_flight = InFlight {
            _stop: stop,
            engine,
        };
        self.shared
            .in_flight
            .borrow_mut()
            .insert(attempt, in_flight);
        let shared = self.shared.clone();
        spawn(async move {
            let end = select_biased! {
                _ = stopped.fuse() => AttemptEnd::Ended,
                end = future.fuse() => end,
            };
            if end == AttemptEnd::Ended {
                shared.in_flight.borrow_mut().remove(&attempt);
            }
        });
    }

    /// Stops the task of an attempt and sends a cancel to the engine.
    fn cancel(&self, attempt: AttemptId) {
        self.shared.calls.discard_head(attempt);
        let in_flight = self.shared.in_flight.borrow_mut().remove(&attempt);
        if let Some(address) = in_flight.and_then(|attempt| attempt.engine) {
            spawn(control::cancel(self.shared.clone(), attempt, address));
        }
    }
}

fn spawn<F>(future: F)
where
    F: Future<Output = ()> + 'static,
{
    compio::runtime::spawn(future).detach();
}
