//! Keeps what is quarantined in the store, and the collectors' questions going.

use super::{entries::QuarantineEntry, exchange, mark::Mark};
use crate::{
    core::{
        input::PlatformAnswer,
        output::Expect,
        time::{Span, Time},
    },
    gateway::{adapter::Adapter, handlers::QUARANTINE_PREFIX, lease::Lease, state::GatewayState},
};
use std::{
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Interval at which suspects are judged again.
const JUDGE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the store's entries are compared with what is quarantined.
const STORE_INTERVAL: Span = Span::from_secs(1);

/// Sends reports again, judges the suspects, and keeps the store's entries up to date, for the
/// lifetime of the process.
pub async fn keep<A>(state: Rc<GatewayState>, lease: Rc<Lease<A>>)
where
    A: Adapter,
{
    let mut compared_at = Time::default();
    loop {
        compio::time::sleep(JUDGE_INTERVAL).await;
        exchange::report_restarts(&state);
        exchange::send_reports(&state);
        let is_open = state.quarantine.suspects.borrow().are_open(state.now());
        if is_open {
            exchange::judge(&state);
        }
        let now = state.now();
        if now.since(compared_at) >= STORE_INTERVAL && exchange::is_collector(&state) {
            compared_at = now;
            update_store(&state, &lease).await;
        }
    }
}

/// Writes the entries that the store may lack, and deletes those whose quarantine is over.
async fn update_store<A>(state: &GatewayState, lease: &Lease<A>)
where
    A: Adapter,
{
    let since_s = unix_seconds();
    let unstored = state.quarantine.entries.borrow().unstored();
    for mark in unstored {
        let entry = QuarantineEntry { since_s };
        let written = lease
            .write(&key::<A>(mark), &entry, Expect::Absent, None)
            .await;
        if let Some(PlatformAnswer::Written { revision }) = written {
            let mut entries = state.quarantine.entries.borrow_mut();
            entries.insert_stored(mark, (entry, revision));
        }
    }
    let expired = state.quarantine.entries.borrow().expired(since_s);
    for (mark, revision) in expired {
        // If the store did not answer, the entry is still among the expired ones.
        let _ = lease.delete(key::<A>(mark), revision).await;
    }
}

fn key<A>(mark: Mark) -> String
where
    A: Adapter,
{
    format!("{}{QUARANTINE_PREFIX}{mark}", A::OWN_PREFIX)
}

fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_secs())
}
