//! Selection of the daemons that an account's callers are directed to.
//!
//! Daemons are ranked per account by rendezvous hashing: every daemon selects
//! the same few, and when a daemon joins or leaves, only the accounts that rank
//! it among their first move. The selected daemons are shuffled to spread an
//! account's callers over them, with those of the local region in front.

use super::super::{
    ctx::Ctx,
    keys::{AccountName, DaemonName, HallName, RegionName},
    output::EntryAddress,
};
use rand::seq::SliceRandom as _;
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

/// Daemon that callers may be directed to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the daemon.
    pub daemon: &'a DaemonName,
    /// Address that it serves callers on.
    pub address: SocketAddr,
    /// Region that it runs in.
    pub region: &'a RegionName,
    /// Hall that it runs in.
    pub hall: &'a HallName,
    /// True if it has left a recent probe unanswered.
    pub is_suspect: bool,
}

/// Returns at most `count` daemons for an account, in the order to try them.
pub fn select<'a>(
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
    let mut selected: Vec<Candidate> = ranked.into_iter().map(|(_, c)| c).take(count).collect();
    selected.shuffle(ctx.rng);
    selected.sort_by_key(|candidate| {
        let is_remote = *candidate.region != ctx.me.region;
        (candidate.is_suspect, is_remote)
    });
    selected
}

/// Converts selected daemons to the entries of a discovery response.
pub fn entries(selected: &[Candidate<'_>]) -> Vec<EntryAddress> {
    let entries = selected.iter().map(|candidate| EntryAddress {
        daemon: candidate.daemon.clone(),
        address: candidate.address,
        hall: candidate.hall.clone(),
    });
    entries.collect()
}

/// Returns the rendezvous hash of an account and a daemon.
fn weight(account: &AccountName, daemon: &DaemonName) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(account.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(daemon.as_str().as_bytes());
    hash.digest()
}
