//! Limits of accounts, each daemon holding its part.
//!
//! Discovery sends an account to `entry_count` daemons, so each takes that
//! part of its rate and open requests. Callers with old entries reach others
//! for as long as they keep them: the bound is then exceeded by at most the
//! share of those others.

use super::super::{
    config::{View, record::Account},
    keys::AccountName,
    time::{Span, Time},
};
use std::collections::HashMap;

/// Millionths of a request in one.
const ONE_REQUEST: u64 = 1_000_000;

/// What accounts have used of their limits.
#[derive(Debug, Default)]
pub(super) struct Limits {
    meters: HashMap<AccountName, Meter>,
}

#[derive(Debug, Default)]
struct Meter {
    /// Millionths of a request that may come now.
    balance: u64,
    at: Option<Time>,
    open: u32,
}

impl Limits {
    /// Takes one request in; the error says when to ask again.
    ///
    /// # Errors
    ///
    /// Fails if this daemon's part of a limit is used up; nothing is counted then.
    pub(super) fn admit(&mut self, now: Time, account: &Account, parts: u32) -> Result<(), Span> {
        let meter = self.meters.entry(account.name.clone()).or_default();
        let parts = u64::from(parts.max(1));
        if account.open > 0 && u64::from(meter.open) >= u64::from(account.open).div_ceil(parts) {
            return Err(Span::from_secs(1));
        }
        if account.rate > 0 {
            meter.refill(now, u64::from(account.rate), parts);
            if meter.balance < ONE_REQUEST {
                let missing = ONE_REQUEST - meter.balance;
                return Err(Span(missing * parts / u64::from(account.rate)));
            }
            meter.balance -= ONE_REQUEST;
        }
        meter.open += 1;
        Ok(())
    }

    /// Counts a request that another daemon admits.
    pub(super) fn add(&mut self, account: &AccountName) {
        self.meters.entry(account.clone()).or_default().open += 1;
    }

    /// Forgets accounts that are gone and have nothing open.
    pub(super) fn sweep(&mut self, view: &View) {
        self.meters
            .retain(|name, meter| meter.open > 0 || view.account(name).is_some());
    }

    /// Notes that a request taken in has ended.
    pub(super) fn ended(&mut self, account: &AccountName) {
        if let Some(meter) = self.meters.get_mut(account) {
            meter.open = meter.open.saturating_sub(1);
        }
    }
}

impl Meter {
    /// Adds what the time since the last request allows, up to one second's worth.
    fn refill(&mut self, now: Time, rate: u64, parts: u64) {
        let most = (rate * ONE_REQUEST / parts).max(ONE_REQUEST);
        let passed = self.at.map_or(most, |at| now.since(at).0 * rate / parts);
        self.balance = (self.balance + passed).min(most);
        self.at = Some(now);
    }
}
