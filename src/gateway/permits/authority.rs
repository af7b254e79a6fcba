//! Which daemon issues the permits for a runner.
//!
//! All daemons rank each other by the same hash, so they agree without a
//! message, and the runners' permits are spread over them. Views may differ for
//! a moment: a daemon whose own entry in the store may have lapsed, or has been
//! there for a moment only, therefore issues only a part of the limit.
//!
//! Daemons that are cut off one after the other may each be the first in their
//! own view. One that is cut off later has seen the earlier ones go, and leaves
//! to them what they may issue: the parts add up to less than a third of the
//! limit, however many daemons are cut off.

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
pub(super) const SETTLE_TIME: Span = Span::from_millis(2_000);

/// Fractions of a limit that a daemon issues while its entry in the store is not settled, indexed by
/// the number of departed daemons that may still issue permits for the same runner. With two or more
/// it issues none, since each issuer adds at least one permit, whatever its fraction.
const UNSETTLED_SHARES: [f64; 2] = [1.0 / 4.0, 1.0 / 16.0];

/// Time for which a daemon must have known the others' entries before it is sure which of them have
/// gone; until then it assumes that one more has.
const MIN_OBSERVATION_TIME: Span = Span::from_secs(60);

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

    /// Returns true if all daemons know this one's entry, and none takes its place.
    fn is_settled(&self, now: Time) -> bool {
        now < self.until && now.since(self.since) >= SETTLE_TIME
    }

    /// Returns the part of a limit that this daemon may issue as the authority for a runner.
    pub fn share(
        &self,
        own: &DaemonName,
        peers: &Peers,
        runner: &RunnerInstance,
        now: Time,
    ) -> f64 {
        if self.is_settled(now) {
            return 1.0;
        }
        // Departures since the own entry may have lapsed are not seen reliably.
        let seen_until = now.min(self.until);
        let is_new = peers.observed_for(seen_until) < MIN_OBSERVATION_TIME;
        let unseen = usize::from(is_new);
        let others = unseen + count_predecessors(own, peers, runner, seen_until);
        UNSETTLED_SHARES.get(others).copied().unwrap_or(0.0)
    }
}

/// Returns the number of departed daemons that rank before this one for a runner, and may still issue
/// permits for it.
fn count_predecessors(
    own: &DaemonName,
    peers: &Peers,
    runner: &RunnerInstance,
    seen_until: Time,
) -> usize {
    let own_rank = (rank(own, runner), own);
    let departed = peers.departed(seen_until);
    let before = departed.filter(|name| (rank(name, runner), *name) > own_rank);
    before.count()
}
