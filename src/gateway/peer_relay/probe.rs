//! Looks for a runner that takes connections while none is reached.

use crate::gateway::{
    connection::{CONNECT_TIMEOUT, RunnerConnection},
    state::GatewayState,
};
use rand::seq::IteratorRandom as _;
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Interval between two connection attempts.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Connects to one runner after the other while none is reached, for the lifetime of the process.
pub async fn look_for_runners(state: Rc<GatewayState>) {
    loop {
        compio::time::sleep(PROBE_INTERVAL).await;
        if !state.is_cut_off() {
            continue;
        }
        let Some(address) = random_runner(&state) else {
            continue;
        };
        let opened = RunnerConnection::open(address, CONNECT_TIMEOUT).await;
        if opened.is_ok() {
            state.runner_connected();
        }
    }
}

fn random_runner(state: &GatewayState) -> Option<SocketAddr> {
    let roster = state.roster.borrow();
    let now = state.now();
    let usable = roster
        .hosts()
        .filter(|(_, host)| roster.is_usable(host, now));
    let addresses = usable.map(|(_, host)| host.runner.address);
    addresses.choose(&mut *state.rng.borrow_mut())
}
