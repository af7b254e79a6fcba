//! Follows the changes that a peer has from the store.

use super::{
    messages::{Changes, Subscribe, Update},
    peer::{FollowEnd, MAX_AGE, read_update, subscribe},
};
use crate::{core::time::Time, gateway::state::GatewayState};
use compio::time::timeout;
use std::{net::SocketAddr, time::Duration};

/// Delivers a peer's changes and the time at which they were current, until it can't be followed
/// any more.
pub async fn follow<D>(
    state: &GatewayState,
    peer: SocketAddr,
    request: Subscribe,
    mut deliver: D,
) -> FollowEnd
where
    D: FnMut(Changes, Time),
{
    let mut stream = match subscribe(peer, request).await {
        Ok(stream) => stream,
        Err(error) => return error.into(),
    };
    let mut fresh_at = state.now();
    loop {
        let age = state.now().since(fresh_at);
        if age >= MAX_AGE {
            return FollowEnd::Stale;
        }
        let wait = Duration::from(MAX_AGE - age);
        let update = match timeout(wait, read_update(&mut stream)).await {
            Ok(Ok(update)) => update,
            Ok(Err(error)) => return error.into(),
            Err(_) => return FollowEnd::Stale,
        };
        match update {
            Update::Compacted | Update::ListPage(_) => return FollowEnd::Compacted,
            Update::Changes(changes) => {
                let current_at = Time(state.now().0.saturating_sub(changes.age.0));
                fresh_at = fresh_at.max(current_at);
                deliver(changes, current_at);
            }
        }
    }
}
