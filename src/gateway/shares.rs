//! Shares of the accounts in the work of one service.

use super::{
    account_work::{AccountKey, Work},
    fair_share::FairShare,
};
use crate::core::time::{Span, Time};
use rand::Rng;
use std::collections::BTreeMap;

/// Half-life of the work by which accounts of a rank share: long enough for a daemon to see several
/// requests of each account, and short enough to follow changes of the load.
const SHARE_HALF_LIFE: Span = Span::from_secs(15);

/// Half-life of the work by which an account is found starved, so long that a daemon with few
/// requests also sees several of each account.
const STARVATION_HALF_LIFE: Span = Span::from_secs(60);

/// How much of the requests of one rank is within the accounts' shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharePart {
    /// Fraction of the account's own requests.
    pub own: f64,
    /// Fraction of the requests of all accounts.
    pub all: f64,
}

impl SharePart {
    /// Draws the position of a request among those of its rank, from 0 to 1: those within the shares
    /// come first.
    pub fn draw_position<R>(self, rng: &mut R) -> f64
    where
        R: Rng,
    {
        let position = rng.random::<f64>();
        match rng.random::<f64>() < self.own {
            true => position * self.all,
            false => self.all + position * (1.0 - self.all),
        }
    }

    /// Returns the probability that a drawn position doesn't exceed a bound from 0 to 1.
    pub fn fraction_until(self, bound: f64) -> f64 {
        let within = match self.all > 0.0 {
            true => (bound / self.all).clamp(0.0, 1.0),
            false => 1.0,
        };
        let beyond = match self.all < 1.0 {
            true => ((bound - self.all) / (1.0 - self.all)).clamp(0.0, 1.0),
            false => f64::from(bound >= 1.0),
        };
        self.own * within + (1.0 - self.own) * beyond
    }
}

/// Recent work of the accounts of one service. All models count together, as a daemon sees too few
/// requests for each of them.
#[derive(Clone, Debug)]
pub struct Shares {
    /// Fraction of a level by which an account must exceed it to count as above its share.
    min_excess: f64,
    /// Work by priority.
    ranks: BTreeMap<u8, FairShare>,
    /// Work over all ranks.
    total: FairShare,
    /// The same over a longer time.
    long_term: FairShare,
}

impl Default for Shares {
    fn default() -> Self {
        Self::new(0.0)
    }
}

impl Shares {
    /// Creates empty records in which an account is above its share if it exceeds the level by this
    /// fraction, or by what chance explains.
    pub fn new(min_excess: f64) -> Self {
        Self {
            min_excess,
            ranks: BTreeMap::new(),
            total: FairShare::new(SHARE_HALF_LIFE, min_excess),
            long_term: FairShare::new(STARVATION_HALF_LIFE, min_excess),
        }
    }

    /// Adds work of an account at a priority.
    pub fn add(&mut self, priority: u8, account: AccountKey, work: Work, now: Time) {
        let rank = self.ranks.entry(priority);
        let rank = rank.or_insert_with(|| FairShare::new(SHARE_HALF_LIFE, self.min_excess));
        for share in [rank, &mut self.total, &mut self.long_term] {
            share.add(account, work, now);
        }
    }

    /// Derives the levels from the work that is known now, without waiting for the next decay.
    pub fn derive_levels(&mut self) {
        let ranks = self.ranks.values_mut();
        for share in ranks.chain([&mut self.total, &mut self.long_term]) {
            share.derive_levels();
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

    /// Returns how much of the requests of each account and priority is within the account's share, of
    /// this rank's work or of all work. Late requests don't count, as they come after all others.
    pub fn parts(&self) -> BTreeMap<(u8, AccountKey), SharePart> {
        let ranks = self.ranks.iter();
        ranks
            .flat_map(|(priority, rank)| {
                let parts = self.parts_of(rank).into_iter();
                parts.map(|(account, part)| ((*priority, account), part))
            })
            .collect()
    }

    fn parts_of(&self, rank: &FairShare) -> Vec<(AccountKey, SharePart)> {
        let works = rank.work_by_account().map(|(account, work)| {
            let within = rank.part_within(account);
            let within = within.max(self.total.part_within(account));
            (account, within, work.on_time)
        });
        let works: Vec<(AccountKey, f64, f64)> = works.collect();
        let on_time: f64 = works.iter().map(|(_, _, work)| work).sum();
        let within: f64 = works.iter().map(|(_, part, work)| part * work).sum();
        let parts = works.into_iter().map(|(account, own, _)| {
            let all = within / on_time.max(f64::MIN_POSITIVE);
            (account, SharePart { own, all })
        });
        parts.collect()
    }

    /// Returns true if work of an account is known.
    pub fn contains(&self, account: AccountKey) -> bool {
        self.long_term.contains(account)
    }
}
