//! Asks other daemons whether the store answers them, while it doesn't answer this one.

use super::{changes::source, datagrams::Datagram, state::GatewayState};
use futures_util::future::select;
use metrics::gauge;
use rand::seq::IteratorRandom as _;
use std::{collections::BTreeSet, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

/// Interval at which peers are asked while the store doesn't answer.
const INTERVAL: Duration = Duration::from_millis(300);

/// Peers that should watch the store of which so many are asked at a time.
const WATCHERS: usize = 3;

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

/// Asks the peer that is followed, some that should watch the store, and one of all: the others may
/// all be cut off, and their subscribers then watch the store themselves.
fn ask(state: &GatewayState) {
    let followed = state.contact.borrow().followed();
    let peers = state.peers.borrow();
    let mut rng = state.rng.borrow_mut();
    let own = state.settings.listen.peer;
    let watchers = source::watcher_addresses(&peers).into_iter();
    let watchers = watchers.filter(|address| Some(*address) != own);
    let watchers = watchers.choose_multiple(&mut *rng, WATCHERS);
    let all = peers.daemons().filter_map(|(_, entry)| entry.peer);
    let any = all
        .filter(|address| Some(*address) != own)
        .choose(&mut *rng);
    let asked: BTreeSet<SocketAddr> = followed.into_iter().chain(watchers).chain(any).collect();
    for address in asked {
        state.outbox.send(address, Datagram::ContactRequest);
    }
}
