//! Which daemons an account's callers are sent to.
//!
//! Daemons are ranked for each account by a hash of both names. Every daemon
//! gives the same few, and when a daemon comes or goes only the accounts that
//! it ranks first for move. Among the few, near ones come first and the rest in
//! random order, so that an account's callers spread over them.

use super::super::{
    ctx::Ctx,
    keys::{AccountName, DaemonName, HallName, RegionName},
    output::EntryAddress,
};
use rand::seq::SliceRandom as _;
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

/// A daemon that callers may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The daemon.
    pub daemon: &'a DaemonName,
    /// Its address for callers.
    pub address: SocketAddr,
    /// Its region.
    pub region: &'a RegionName,
    /// Its hall.
    pub hall: &'a HallName,
    /// Whether it has failed to answer of late.
    pub is_suspect: bool,
}

/// The daemons for an account, the best first; at most `count`.
pub fn rank<'a>(
    ctx: &mut Ctx,
    account: &AccountName,
    candidates: Vec<Candidate<'a>>,
    count: usize,
) -> Vec<Candidate<'a>> {
    let mut ranked: Vec<(u64, Candidate)> = candidates
        .into_iter()
        .map(|candidate| (weight(account, candidate.daemon), candidate))
        .collect();
    ranked.sort_by(|(a, left), (b, right)| b.cmp(a).then(left.daemon.cmp(right.daemon)));
    let mut chosen: Vec<Candidate> = ranked.into_iter().map(|(_, c)| c).take(count).collect();
    chosen.shuffle(ctx.rng);
    chosen.sort_by_key(|candidate| {
        let is_far = *candidate.region != ctx.me.region;
        (candidate.is_suspect, is_far)
    });
    chosen
}

/// The entries that a caller gets.
pub fn entries(chosen: &[Candidate<'_>]) -> Vec<EntryAddress> {
    let entries = chosen.iter().map(|candidate| EntryAddress {
        daemon: candidate.daemon.clone(),
        address: candidate.address,
        hall: candidate.hall.clone(),
    });
    entries.collect()
}

fn weight(account: &AccountName, daemon: &DaemonName) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(account.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(daemon.as_str().as_bytes());
    hash.digest()
}
