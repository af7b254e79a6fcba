//! Shares of the retry budget, which all daemons have together.

use super::entries::state;
use hickoryledge::{
    core::keys::{DaemonName, HallName, ServiceName},
    gateway::{peers::DaemonEntry, state::GatewayState},
};
use std::{net::SocketAddr, rc::Rc};

const DAEMONS: u16 = 8;
/// Requests for a small service within the window, at each daemon.
const REQUESTS: usize = 22;

fn name(number: u16) -> DaemonName {
    DaemonName::from(format!("d{number}").as_str())
}

fn service() -> ServiceName {
    ServiceName::from("small")
}

/// Returns the state of a daemon that knows all daemons and has counted its requests.
fn daemon() -> Rc<GatewayState> {
    let state = state();
    for number in 0..DAEMONS {
        let entry = DaemonEntry {
            caller: SocketAddr::from(([10, 0, 0, 1], number)),
            hall: HallName::from("hall"),
            peer: None,
            relay: None,
            processor_percent: 25,
        };
        state.peers.borrow_mut().put(name(number), entry);
    }
    (0..REQUESTS).for_each(|_| state.count_request(&service()));
    state
}

// While the store refuses half of the daemons, the others see these as gone; all go on serving.
#[test]
fn retries_stay_within_budget_while_store_refuses_half_of_the_daemons() {
    let daemons: Vec<_> = (0..DAEMONS).map(|_| daemon()).collect();
    for state in &daemons[..4] {
        for gone in 4..DAEMONS {
            state.peers.borrow_mut().remove(&name(gone), state.now());
        }
    }
    let retries = |state: &Rc<GatewayState>| {
        let taken = (0..1_000).take_while(|_| state.take_retry(&service()));
        taken.count()
    };
    let total: usize = daemons.iter().map(retries).sum();
    let limits = &daemons[0].settings.retry;
    let requests = REQUESTS * usize::from(DAEMONS);
    let allowed = limits.ratio * requests as f64 + limits.slack;
    assert!(
        total as f64 <= allowed,
        "{total} retries, allowed {allowed}"
    );
}
