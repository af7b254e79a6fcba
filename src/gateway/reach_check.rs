//! Finds out whether any runner is reached, by new connections, and records it.

use super::{
    connection::{CONNECT_TIMEOUT, RunnerConnection},
    reach::ReachChange,
    roster::HostKey,
    state::GatewayState,
};
use futures_util::future::select_ok;
use metrics::gauge;
use rand::seq::IteratorRandom as _;
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Interval between two connection attempts while no runner is reached.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Other runners that are tried when several have failed.
const OTHERS: usize = 3;

/// Interval at which a doubt is looked at again.
const DOUBT_INTERVAL: Duration = Duration::from_millis(10);

/// Connects to one runner after the other while none is reached, for the lifetime of the process.
pub async fn look_for_runners(state: Rc<GatewayState>) {
    loop {
        compio::time::sleep(PROBE_INTERVAL).await;
        if !state.is_cut_off() {
            continue;
        }
        let Some(address) = random_runners(&state, 1, |_| true).pop() else {
            continue;
        };
        let opened = RunnerConnection::open(address, CONNECT_TIMEOUT).await;
        if opened.is_ok() {
            state.runner_connected();
        }
    }
}

/// Records that a new connection to a runner failed, and tries others if several have.
pub fn runner_unreached(state: &Rc<GatewayState>, host: HostKey) {
    if state.runner_unreached(host) {
        compio::runtime::spawn(try_others(state.clone())).detach();
    }
}

async fn try_others(state: Rc<GatewayState>) {
    let has_not_failed = |host| !state.reach.borrow().has_failed(host);
    let others = random_runners(&state, OTHERS, has_not_failed);
    let opened = others
        .into_iter()
        .map(|address| Box::pin(RunnerConnection::open(address, CONNECT_TIMEOUT)));
    let opened: Vec<_> = opened.collect();
    if !opened.is_empty() && select_ok(opened).await.is_ok() {
        state.runner_connected();
        return;
    }
    state.other_runners_unreached();
}

/// Returns true if no runner is reached, once that is known.
pub async fn is_surely_cut_off(state: &GatewayState) -> bool {
    while state.reach.borrow().is_in_doubt() {
        compio::time::sleep(DOUBT_INTERVAL).await;
    }
    state.is_cut_off()
}

/// Returns the addresses of some available runners, drawn from those that a condition holds for.
fn random_runners<F>(state: &GatewayState, count: usize, condition: F) -> Vec<SocketAddr>
where
    F: Fn(HostKey) -> bool,
{
    let roster = state.roster.borrow();
    let now = state.now();
    let available = roster
        .hosts()
        .filter(|(key, host)| roster.is_available(host, now) && condition(*key));
    let addresses = available.map(|(_, host)| host.runner.address);
    addresses.choose_multiple(&mut *state.rng.borrow_mut(), count)
}

impl GatewayState {
    /// Records that a runner took a new connection.
    pub fn runner_connected(&self) {
        let change = self.reach.borrow_mut().connected(self.now());
        self.log_reach(change);
    }

    /// Records that a new connection to a runner failed; returns true if others are to be tried.
    pub fn runner_unreached(&self, host: HostKey) -> bool {
        let now = self.now();
        let mut reach = self.reach.borrow_mut();
        let others = {
            let roster = self.roster.borrow();
            let available = roster
                .hosts()
                .filter(|(_, host)| roster.is_available(host, now));
            let others = available.filter(|(key, _)| *key != host && !reach.has_failed(*key));
            others.count()
        };
        let change = reach.failed(host, others, now);
        self.log_reach(change);
        change == Some(ReachChange::Doubted)
    }

    /// Records that new connections to other runners failed too.
    pub fn other_runners_unreached(&self) {
        let change = self.reach.borrow_mut().others_failed(self.now());
        self.log_reach(change);
    }

    /// Returns true if no runner is reached.
    pub fn is_cut_off(&self) -> bool {
        self.reach.borrow().is_cut_off()
    }

    fn log_reach(&self, change: Option<ReachChange>) {
        match change {
            Some(ReachChange::Lost) => {
                slog::warn!(self.log, "no runner is reached");
                gauge!("cut_off").set(1.0);
            }
            Some(ReachChange::Regained { after }) => {
                slog::info!(self.log, "runners are reached again"; "after_ms" => after.as_millis());
                gauge!("cut_off").set(0.0);
            }
            Some(ReachChange::Doubted) => {
                slog::info!(
                    self.log,
                    "several runners are not reached, others are tried"
                );
            }
            None => {}
        }
    }
}
