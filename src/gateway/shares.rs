//! Shares of the accounts in the work of one service.

use super::{
    account_work::{AccountKey, Work},
    fair_share::FairShare,
};
use crate::core::time::{Span, Time};
use std::collections::BTreeMap;

/// Half-life of the work by which accounts of a rank share; a daemon with seven requests a second
/// then counts about 150, a few for each of dozens of accounts.
const SHARE_HALF_LIFE: Span = Span::from_secs(15);

/// Half-life of the work by which an account is found starved, over which even a daemon with two
/// requests a second sees a few of each account.
const STARVATION_HALF_LIFE: Span = Span::from_secs(60);

/// Recent work of the accounts of one service. All models count together, as a daemon sees too few
/// requests for each of them.
#[derive(Clone, Debug)]
pub struct Shares {
    /// Work by priority.
    ranks: BTreeMap<u8, FairShare>,
    /// Work over all ranks.
    total: FairShare,
    /// The same over a longer time.
    long_term: FairShare,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            ranks: BTreeMap::new(),
            total: FairShare::new(SHARE_HALF_LIFE),
            long_term: FairShare::new(STARVATION_HALF_LIFE),
        }
    }
}

impl Shares {
    /// Adds work of an account at a priority.
    pub fn add(&mut self, priority: u8, account: AccountKey, work: Work, now: Time) {
        let rank = self.ranks.entry(priority);
        let rank = rank.or_insert_with(|| FairShare::new(SHARE_HALF_LIFE));
        for share in [rank, &mut self.total, &mut self.long_term] {
            share.add(account, work, now);
        }
    }
}

impl Shares {
    /// Returns the fraction of a rank's work that other accounts ask for, if an account is above its
    /// share of this rank's work and of all work. One that sends all its requests at one rank has
    /// more than its share of that rank alone.
    pub fn others_if_above(&self, priority: u8, account: AccountKey) -> Option<f64> {
        self.total.others_if_above(account)?;
        self.ranks.get(&priority)?.others_if_above(account)
    }

    /// Returns true if an account gets far less of what it asks for than all accounts together.
    pub fn is_starved(&self, account: AccountKey) -> bool {
        self.long_term.is_starved(account)
    }

    /// Returns true if work of an account is known.
    pub fn contains(&self, account: AccountKey) -> bool {
        self.long_term.contains(account)
    }
}
