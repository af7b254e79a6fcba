//! Orders that were sent, and when they may be sent again.
//!
//! An order may be lost, so it is repeated until the runner's report shows its
//! effect. Reports may be late when the daemon has little processor time or is
//! cut off from the store. Repeating at a fixed interval would then take the
//! time that reading the reports needs, so the interval doubles with each
//! repeat, and an order that its runner accepted waits for the longest one.

use super::order::{Directive, Order};
use crate::core::{
    keys::HostName,
    time::{Span, Time},
};
use std::collections::BTreeMap;

/// Interval before the first repeat of an order that had no visible effect.
const MIN_REPEAT_INTERVAL: Span = Span::from_millis(700);

/// Maximum number of times that the interval doubles.
const MAX_REPEAT_DOUBLINGS: u32 = 3;

/// Time after which a sent order is forgotten, longer than the longest interval.
const SENT_TTL: Span = Span::from_secs(12);

/// Orders sent recently.
#[derive(Debug, Default)]
pub(super) struct SentOrders {
    orders: BTreeMap<(HostName, Order), SentOrder>,
}

#[derive(Debug)]
struct SentOrder {
    /// Time of the last send.
    last: Time,
    /// Number of times that the repeat interval has doubled.
    doublings: u32,
}

impl SentOrder {
    fn is_due(&self, now: Time) -> bool {
        now.since(self.last) >= MIN_REPEAT_INTERVAL.times(1 << self.doublings)
    }
}

impl SentOrders {
    /// Forgets orders that were sent long ago.
    pub(super) fn expire(&mut self, now: Time) {
        self.orders
            .retain(|_, sent| now.since(sent.last) < SENT_TTL);
    }

    /// Returns the order to send now, unless it was sent too recently.
    pub(super) fn send(&mut self, host: &HostName, order: Order, now: Time) -> Option<Directive> {
        let key = (host.clone(), order);
        match self.orders.get_mut(&key) {
            Some(sent) if !sent.is_due(now) => return None,
            Some(sent) => {
                sent.last = now;
                sent.doublings = MAX_REPEAT_DOUBLINGS.min(sent.doublings + 1);
            }
            None => {
                let sent = SentOrder {
                    last: now,
                    doublings: 0,
                };
                self.orders.insert(key.clone(), sent);
            }
        }
        let (host, order) = key;
        Some(Directive { host, order })
    }

    /// Records that a runner accepted an order, whose effect it has yet to report.
    pub(super) fn accepted(&mut self, directive: Directive) {
        let key = (directive.host, directive.order);
        if let Some(sent) = self.orders.get_mut(&key) {
            sent.doublings = MAX_REPEAT_DOUBLINGS;
        }
    }
}
