//! Asks other daemons whether the store answers them, while it doesn't answer this one.

use super::{datagrams::Datagram, state::GatewayState};
use futures_util::future::select;
use metrics::gauge;
use rand::seq::IteratorRandom as _;
use std::{pin::pin, rc::Rc, time::Duration};

/// Interval at which peers are asked while the store doesn't answer.
const INTERVAL: Duration = Duration::from_millis(300);

/// Peers that are asked at a time, besides the one that is followed.
const PEERS: usize = 3;

/// Asks peers while the store doesn't answer, for the lifetime of the process.
pub(super) async fn ask_while_lost(state: Rc<GatewayState>) {
    let mut was_lost = false;
    loop {
        let interval = pin!(compio::time::sleep(INTERVAL));
        select(state.contact_changed.next(), interval).await;
        let is_lost = state.contact.borrow().is_lost(state.now());
        gauge!("store_contact").set(f64::from(!is_lost));
        // Once more after the store is back: was it away for all, or only for this daemon?
        if is_lost || was_lost {
            ask(&state);
        }
        was_lost = is_lost;
    }
}

/// Asks some peers.
fn ask(state: &GatewayState) {
    let followed = state.contact.borrow().followed();
    let others = {
        let peers = state.peers.borrow();
        let others = peers
            .daemons()
            .filter(|(name, _)| **name != state.settings.name)
            .filter_map(|(_, entry)| entry.peer);
        others.choose_multiple(&mut *state.rng.borrow_mut(), PEERS)
    };
    for address in followed.into_iter().chain(others) {
        state.outbox.send(address, Datagram::ContactRequest);
    }
}
