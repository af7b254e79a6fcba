//! Shares of accounts by the work at all daemons.
//!
//! A daemon adds up the rates of work in digests, with the same decay as its own
//! sample. The sums therefore change slowly when a digest is lost, an aggregator
//! restarts or a daemon reports nothing.

use super::{
    account_work::{
        AccountKey, ServiceKey, ShareKey, WORK_INTERVAL, WORK_TTL_INTERVALS, WorkCounts,
    },
    shares::{SharePart, Shares},
};
use crate::core::time::{Span, Time};
use std::collections::BTreeMap;

/// Fraction of a level by which an account must exceed it to count as above its share: the part of the
/// sums that can change within the two seconds that totals are old at most. All daemons have the same
/// totals, so accounts nearer to the level would all hold back together.
const MIN_EXCESS: f64 = 0.1;

/// Work of accounts at all daemons.
#[derive(Clone, Debug, Default)]
pub struct AccountTotals {
    services: BTreeMap<ServiceKey, Shares>,
    /// How much of the work is within the accounts' shares, by service.
    parts: BTreeMap<ServiceKey, BTreeMap<(u8, AccountKey), SharePart>>,
    /// Time up to which rates have been added.
    added_at: Option<Time>,
    /// Time from which the totals are out of date.
    until: Time,
}

impl AccountTotals {
    /// Adds the work since the last call at these rates, in a second. `interval` is that of the
    /// digests.
    pub fn add(&mut self, rates: &WorkCounts, interval: Span, now: Time) {
        let ttl = interval.max(WORK_INTERVAL).times(WORK_TTL_INTERVALS);
        let elapsed = self.added_at.map(|at| now.since(at));
        // The rates of one moment don't hold for a long gap.
        let elapsed = elapsed.unwrap_or(WORK_INTERVAL).min(ttl);
        for (key, rate) in rates.iter() {
            let shares = self.services.entry(key.service);
            let shares = shares.or_insert_with(|| Shares::new(MIN_EXCESS));
            let work = rate.scaled(elapsed.as_secs_f64());
            shares.add(key.priority, key.account, work, now);
        }
        let services = self.services.iter_mut().map(|(service, shares)| {
            shares.derive_levels();
            (*service, shares.parts())
        });
        self.parts = services.collect();
        self.added_at = Some(now);
        self.until = now + ttl;
    }

    /// Returns how much of an account's requests is within its share, if that is known.
    pub fn part(&self, key: ShareKey, now: Time) -> Option<SharePart> {
        let parts = self.parts.get(&key.service)?;
        let part = parts.get(&(key.priority, key.account))?;
        (now < self.until).then_some(*part)
    }

    /// Returns the shares in the work of a service, if they are current and contain an account.
    pub fn shares(&self, service: ServiceKey, account: AccountKey, now: Time) -> Option<&Shares> {
        let shares = self.services.get(&service)?;
        let is_known = now < self.until && shares.contains(account);
        is_known.then_some(shares)
    }
}
