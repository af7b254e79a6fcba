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

/// Fraction of what all accounts get below which an account is starved; a quarter is a fault.
const STARVED_FRACTION: f64 = 0.3;

/// Requests that an account should have been admitted by now from which it can be told that it is
/// starved. By chance, none of three is admitted to one account in 20.
const MIN_EXPECTED_REQUESTS: f64 = 3.0;

/// Fraction of the work asked for that is admitted without contention; the rest may be under way.
const UNCONTENDED_FRACTION: f64 = 0.97;

/// Recent work of accounts.
#[derive(Clone, Debug)]
pub struct FairShare {
    /// Half-life of the weight of work.
    half_life: Span,
    /// Work by account; requests without an account share one entry.
    accounts: BTreeMap<AccountKey, Work>,
    /// Decayed number of requests.
    requests: f64,
    /// Work up to which an account is at most at its share; none without contention.
    level: Option<f64>,
    /// Time of the last decay.
    updated: Time,
}

impl FairShare {
    /// Creates an empty record in which work has this half-life.
    pub fn new(half_life: Span) -> Self {
        Self {
            half_life,
            accounts: BTreeMap::new(),
            requests: 0.0,
            level: None,
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
        self.level = self.find_level();
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
        let is_above = own.admitted > level + tolerance;
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

    /// Returns true if work of an account is known.
    pub fn contains(&self, account: AccountKey) -> bool {
        self.accounts.contains_key(&account)
    }

    fn find_level(&self) -> Option<f64> {
        let admitted = self.total(|work| work.admitted);
        if admitted >= self.total(|work| work.requested) * UNCONTENDED_FRACTION {
            return None;
        }
        let demands = self.accounts.values().map(|work| work.requested);
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
