//! Which daemon issues the permits for a runner.
//!
//! All daemons rank each other by the same hash, so they agree without a
//! message, and the runners' permits are spread over them. Views may differ for
//! a moment: a daemon whose own entry in the store may have lapsed, or has been
//! there for a moment only, therefore issues only a part of the limit.

use crate::{
    core::{
        keys::DaemonName,
        time::{Span, Time},
    },
    gateway::{peers::Peers, roster::RunnerInstance},
};
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

/// Time after which all daemons have read a new entry.
const SETTLE_TIME: Span = Span::from_millis(2_000);

/// Part of a limit that a daemon issues while another one may do so as well.
const UNSETTLED_SHARE: f64 = 0.25;

/// Daemon that issues the permits for a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// This daemon.
    Own,
    /// Another daemon, with its address.
    Peer(SocketAddr),
    /// Nobody can be asked: each of this many daemons has its own part of the limit.
    Divided(usize),
}

/// Returns the daemon that issues the permits for a runner.
pub fn authority(own: &DaemonName, peers: &Peers, runner: &RunnerInstance) -> Authority {
    let reachable = peers
        .daemons()
        .filter_map(|(name, entry)| Some((name, entry.peer?)));
    let chosen = reachable.max_by_key(|(name, _)| (rank(name, runner), *name));
    match chosen {
        Some((name, _)) if name == own => Authority::Own,
        Some((_, address)) => Authority::Peer(address),
        None => Authority::Divided(peers.count().max(1)),
    }
}

fn rank(daemon: &DaemonName, (host, born): &RunnerInstance) -> u64 {
    let mut hasher = Xxh3::with_seed(*born);
    hasher.update(host.as_str().as_bytes());
    hasher.update(daemon.as_str().as_bytes());
    hasher.digest()
}

/// Time during which the store is certain to hold this daemon's entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Registration {
    since: Time,
    until: Time,
}

impl Registration {
    /// Records that the lease of the entry was renewed, at `sent` and until `until`.
    pub fn renew(&mut self, sent: Time, until: Time) {
        if self.until <= sent {
            self.since = sent;
        }
        self.until = until;
    }

    /// Returns the part of a limit that this daemon may issue as its authority.
    pub fn share(&self, now: Time) -> f64 {
        let is_settled = now < self.until && now.since(self.since) >= SETTLE_TIME;
        if is_settled { 1.0 } else { UNSETTLED_SHARE }
    }
}
