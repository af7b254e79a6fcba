//! Max-min fairness between accounts, by recent work.
//!
//! The work that was admitted is what the accounts can have together. It is
//! divided so that none gets more than it asks for, and no account that gets
//! less than another could have more. All accounts weigh the same. An account
//! that was admitted more than this level is above its share.

use super::{
    account_work::{AccountKey, Work},
    decay,
};
use crate::core::time::{Span, Time};
use std::collections::BTreeMap;

/// Interval at which work decays and the level is derived anew.
const REFRESH_INTERVAL: Span = Span::from_millis(200);

/// Work of an account, in seconds of a replica, below which it is forgotten.
const MIN_WORK_SECS: f64 = 1e-3;

/// Fraction of what all accounts get below which an account is starved, with a margin above the quarter
/// that each account must get.
const STARVED_FRACTION: f64 = 0.3;

/// Number of requests that an account should have been admitted by now before it can count as starved:
/// by chance, one account in 20 is admitted none of three.
const MIN_EXPECTED_REQUESTS: f64 = 3.0;

/// Fraction of the work asked for that is admitted without contention; the rest may be under way.
const UNCONTENDED_FRACTION: f64 = 0.97;

/// Recent work of accounts.
#[derive(Clone, Debug)]
pub struct FairShare {
    /// Half-life of the weight of work.
    half_life: Span,
    /// Fraction of the level by which an account must exceed it to count as above its share.
    min_excess: f64,
    /// Work by account; requests without an account share one entry.
    accounts: BTreeMap<AccountKey, Work>,
    /// Decayed number of requests.
    requests: f64,
    /// Work up to which an account is at most at its share; none without contention.
    level: Option<f64>,
    /// The same by the requests that could be on time.
    on_time_level: Option<f64>,
    /// Time of the last decay.
    updated: Time,
}

impl FairShare {
    /// Creates an empty record in which work has this half-life, and an account is above its share if
    /// it exceeds the level by this fraction.
    pub fn new(half_life: Span, min_excess: f64) -> Self {
        Self {
            half_life,
            min_excess,
            accounts: BTreeMap::new(),
            requests: 0.0,
            level: None,
            on_time_level: None,
            updated: Time::default(),
        }
    }

    /// Adds work of an account.
    pub fn add(&mut self, account: AccountKey, work: Work, now: Time) {
        self.refresh(now);
        self.requests += work.requests;
        *self.accounts.entry(account).or_default() += work;
    }

    /// Decays the work and derives the level, if that is due.
    pub fn refresh(&mut self, now: Time) {
        let elapsed = now.since(self.updated);
        if elapsed < REFRESH_INTERVAL {
            return;
        }
        self.updated = now;
        let factor = decay::factor(elapsed, self.half_life);
        self.requests *= factor;
        for work in self.accounts.values_mut() {
            *work = work.scaled(factor);
        }
        self.accounts
            .retain(|_, work| work.requested >= MIN_WORK_SECS);
        self.derive_levels();
    }

    /// Derives the levels from the work that is known now.
    pub fn derive_levels(&mut self) {
        self.level = self.find_level(|work| work.requested);
        self.on_time_level = self.find_level(|work| work.on_time);
    }
}

impl FairShare {
    /// Returns the fraction of the work asked for that is that of other accounts, if an account is
    /// above its share.
    pub fn others_if_above(&self, account: AccountKey) -> Option<f64> {
        let level = self.level?;
        let own = self.accounts.get(&account)?;
        let requested = self.total(|work| work.requested);
        // In a small sample an account may be above the level by a few requests by chance.
        let tolerance = (level * requested / self.requests.max(1.0)).sqrt();
        let is_above = own.admitted > level + tolerance.max(level * self.min_excess);
        is_above.then(|| 1.0 - own.requested / requested)
    }

    /// Returns true if an account gets far less of what it asks for than all accounts together.
    pub fn is_starved(&self, account: AccountKey) -> bool {
        let Some(own) = self.accounts.get(&account) else {
            return false;
        };
        let requested = self.total(|work| work.requested);
        let expected = own.requested / requested * self.total(|work| work.admitted);
        let mean_work = requested / self.requests.max(1.0);
        let is_known = expected >= mean_work * MIN_EXPECTED_REQUESTS;
        is_known && own.admitted < expected * STARVED_FRACTION
    }

    /// Returns the fraction of an account's requests that could be on time that is within its share; 1
    /// without contention.
    pub fn part_within(&self, account: AccountKey) -> f64 {
        let own = self.accounts.get(&account);
        match (own, self.on_time_level) {
            (Some(own), Some(level)) if own.on_time > level => level / own.on_time,
            _ => 1.0,
        }
    }

    /// Returns the recent work of each account.
    pub fn work_by_account(&self) -> impl Iterator<Item = (AccountKey, Work)> {
        self.accounts
            .iter()
            .map(|(account, work)| (*account, *work))
    }

    /// Returns true if work of an account is known.
    pub fn contains(&self, account: AccountKey) -> bool {
        self.accounts.contains_key(&account)
    }

    fn find_level<F>(&self, demand: F) -> Option<f64>
    where
        F: Fn(&Work) -> f64,
    {
        let admitted = self.total(|work| work.admitted);
        if admitted >= self.total(&demand) * UNCONTENDED_FRACTION {
            return None;
        }
        let demands = self.accounts.values().map(demand);
        max_min_level(demands.collect(), admitted)
    }

    fn total<F>(&self, of: F) -> f64
    where
        F: Fn(&Work) -> f64,
    {
        self.accounts.values().map(of).sum()
    }
}

/// Returns the level at which demands cut to it add up to `capacity`; none if capacity suffices for
/// all.
pub fn max_min_level(mut demands: Vec<f64>, capacity: f64) -> Option<f64> {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, demand) in demands.iter().enumerate() {
        let level = left / (demands.len() - index) as f64;
        if *demand > level {
            return Some(level);
        }
        left -= demand;
    }
    None
}
