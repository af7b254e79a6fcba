//! Account limits on the request rate and on open requests, divided among daemons.
//!
//! Discovery sends an account to `entry_count` daemons, so each enforces that
//! fraction of the limits. Callers with outdated entries also reach other
//! daemons until the entries expire; the limits are then exceeded by at most
//! the fractions of those daemons.

use super::super::{
    config::{View, record::Account},
    keys::AccountName,
    time::{Span, Time},
};
use std::collections::HashMap;

/// Token bucket units per request.
const MILLIONTHS_PER_REQUEST: u64 = 1_000_000;

/// Usage of each account's limits.
#[derive(Debug, Default)]
pub(super) struct Limits {
    meters: HashMap<AccountName, Meter>,
}

/// Usage of one account.
#[derive(Debug, Default)]
struct Meter {
    /// Level of the rate limit's token bucket, in millionths of a request.
    balance: u64,
    refilled_at: Option<Time>,
    open: u32,
}

impl Limits {
    /// Admits one request; the error is the delay before retrying.
    ///
    /// # Errors
    ///
    /// Fails if this daemon's fraction of a limit is used up; the request isn't counted then.
    pub(super) fn admit(&mut self, now: Time, account: &Account, daemons: u32) -> Result<(), Span> {
        let meter = self.meters.entry(account.name.clone()).or_default();
        let daemons = u64::from(daemons.max(1));
        if account.open > 0 && u64::from(meter.open) >= u64::from(account.open).div_ceil(daemons) {
            return Err(Span::from_secs(1));
        }
        if account.rate > 0 {
            meter.refill(now, u64::from(account.rate), daemons);
            if meter.balance < MILLIONTHS_PER_REQUEST {
                let missing = MILLIONTHS_PER_REQUEST - meter.balance;
                return Err(Span(missing * daemons / u64::from(account.rate)));
            }
            meter.balance -= MILLIONTHS_PER_REQUEST;
        }
        meter.open += 1;
        Ok(())
    }

    /// Counts an open request whose admission is up to the daemon it is relayed to.
    pub(super) fn add_relayed(&mut self, account: &AccountName) {
        self.meters.entry(account.clone()).or_default().open += 1;
    }

    /// Drops accounts that are no longer configured and have no open request.
    pub(super) fn sweep(&mut self, view: &View) {
        self.meters
            .retain(|name, meter| meter.open > 0 || view.account(name).is_some());
    }

    /// Counts the end of an open request.
    pub(super) fn release(&mut self, account: &AccountName) {
        if let Some(meter) = self.meters.get_mut(account) {
            meter.open = meter.open.saturating_sub(1);
        }
    }
}

impl Meter {
    /// Refills the token bucket for the time since the last refill, up to one second's rate.
    fn refill(&mut self, now: Time, rate: u64, daemons: u64) {
        let capacity = (rate * MILLIONTHS_PER_REQUEST / daemons).max(MILLIONTHS_PER_REQUEST);
        let earned = self.refilled_at.map_or(capacity, |refilled_at| {
            now.since(refilled_at).0 * rate / daemons
        });
        self.balance = (self.balance + earned).min(capacity);
        self.refilled_at = Some(now);
    }
}
