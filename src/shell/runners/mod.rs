//! The HTTP side towards runners.
//!
//! Each output becomes a task on the loop's thread: an attempt at a call
//! (`attempt`), an order, or a question (`control`). Connections are kept open
//! and used again (`pool`); answers that stream are read event by event (`sse`).

mod attempt;
mod control;
mod pool;
pub mod sse;

use super::{Inbox, calls::Calls, relay::RelayClient};
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

/// Connections to runners, and the attempts on them.
pub struct Runners {
    shared: Rc<Shared>,
}

struct Shared {
    inbox: Inbox,
    calls: Rc<Calls>,
    relays: RelayClient,
    me: DaemonName,
    pool: Pool,
    running: RefCell<HashMap<AttemptId, Running>>,
}

/// What is known of the other side when an attempt's task ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptEnd {
    /// It is not running the attempt any more.
    Known,
    /// It may still run it; a cancel follows.
    Unknown,
}

/// An attempt under way; dropping it stops the task.
struct Running {
    _stop: oneshot::Sender<()>,
    /// Where to say that it is to be stopped, if that is known there.
    engine: Option<SocketAddr>,
}

impl Shared {
    fn send(&self, input: RunnerInput) {
        self.inbox.send(Input::Runner(input));
    }
}

impl Runners {
    /// No connections yet.
    pub fn new(inbox: Inbox, calls: Rc<Calls>, me: &Identity, settings: &Settings) -> Self {
        let relays = RelayClient::new(inbox.clone(), calls.clone(), me, settings);
        Self {
            shared: Rc::new(Shared {
                inbox,
                calls,
                relays,
                me: me.name.clone(),
                pool: Pool::default(),
                running: RefCell::default(),
            }),
        }
    }

    /// Carries out an output for a runner.
    pub fn perform(&self, output: RunnerOutput) {
        let shared = self.shared.clone();
        match output {
            RunnerOutput::Attempt {
                attempt,
                call,
                route: Route::Daemon { address, .. },
                ..
            } => {
                let relays = shared.relays.clone();
                self.run(attempt, None, async move {
                    relays.relay(attempt, call, address).await;
                    AttemptEnd::Known
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
        let running = Running {
            _stop: stop,
            engine,
        };
        self.shared.running.borrow_mut().insert(attempt, running);
        let shared = self.shared.clone();
        spawn(async move {
            let end = select_biased! {
                _ = stopped.fuse() => AttemptEnd::Known,
                end = future.fuse() => end,
            };
            if end == AttemptEnd::Known {
                shared.running.borrow_mut().remove(&attempt);
            }
        });
    }

    /// Stops an attempt here, and tells the engine.
    fn cancel(&self, attempt: AttemptId) {
        self.shared.calls.discard_head(attempt);
        let running = self.shared.running.borrow_mut().remove(&attempt);
        if let Some(address) = running.and_then(|running| running.engine) {
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
