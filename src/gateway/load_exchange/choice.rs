//! Who sums the daemons' reports, and how often they report.
//!
//! There are two aggregators, as a daemon may stop at any time. All daemons
//! compute the same ones from the entries in the store. For a moment after a
//! change their views differ, and some reports are missing from the sums.

use crate::{
    core::{keys::DaemonName, time::Span},
    gateway::peers::Peers,
};
use std::net::SocketAddr;

/// Interval of reports and digests with few daemons.
const MIN_INTERVAL: Span = Span::from_millis(200);

/// Minimum time ahead for which requests are planned by the totals.
const MIN_HORIZON: Span = Span::from_millis(1_000);

/// Digests that an aggregator sends in a second at most, one to each daemon in an interval.
const MAX_DIGESTS_PER_S: u64 = 320;

/// Returns the daemons that sum the reports: those with most processor time that don't hold the
/// duty, as its holder is the busiest daemon; the second in another hall if one there has as much.
pub fn aggregators(peers: &Peers) -> Vec<(DaemonName, SocketAddr)> {
    let holder = peers.claim.as_ref().map(|(name, _)| name);
    let ranked = peers.ranked().into_iter();
    let others = ranked.filter(|(name, _)| Some(*name) != holder);
    let mut reachable = others.filter(|(_, entry)| entry.peer.is_some());
    let Some(first) = reachable.next() else {
        return Vec::new();
    };
    let rest: Vec<_> = reachable.collect();
    let most = rest.first().map(|(_, entry)| entry.processor_percent);
    let elsewhere = rest
        .iter()
        .find(|(_, entry)| entry.hall != first.1.hall && Some(entry.processor_percent) == most);
    let second = elsewhere.or(rest.first()).copied();
    let chosen = [Some(first), second].into_iter().flatten();
    chosen
        .filter_map(|(name, entry)| Some((name.clone(), entry.peer?)))
        .collect()
}

/// Returns the interval of reports and digests.
pub fn interval(daemons: usize) -> Span {
    let micros = daemons as u64 * 1_000_000 / MAX_DIGESTS_PER_S;
    MIN_INTERVAL.max(Span(micros))
}

/// Returns the time ahead for which requests are planned by the totals. A shorter one sends the
/// requests of all daemons to the same few heads, whose prefills then wait for each other; one of
/// less than two intervals makes the heads' load oscillate.
pub fn horizon(interval: Span) -> Span {
    MIN_HORIZON.max(interval.times(2))
}

/// Returns true if the exchange is needed for heads with this number of slots: with fewer daemons,
/// each hears from a head often enough by the responses to its own requests.
pub fn is_needed(daemons: usize, slots: u32) -> bool {
    daemons > slots as usize
}
