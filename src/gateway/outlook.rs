//! What the totals of all daemons' requests tell about the next moment at the heads of a model.
//!
//! Totals are some hundred milliseconds old, and all daemons have the same ones. A
//! daemon that sent to every head that looks free would overload it together
//! with all others. It therefore compares the room at all heads with the requests
//! that all daemons expect within a horizon of several intervals, and admits its share only.

use super::{admission::Precedence, load::Loads, roster::HostKey};
use crate::core::time::Time;
use rand::Rng;

/// Requests that are expected at some heads within the horizon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// Requests that callers are expected to send, to all daemons; without late ones that are
    /// refused.
    pub arrivals: f64,
    /// Requests that are expected to end at a head, as a mean of the heads.
    pub ends_each: f64,
}

impl Outlook {
    /// Returns the outlook for some heads; none without current totals of at least one.
    pub fn new<I>(loads: &Loads, heads: I, now: Time) -> Option<Self>
    where
        I: IntoIterator<Item = HostKey>,
    {
        let mut outlook = Self::default();
        let mut ends = 0.0;
        let mut known = 0;
        for head in heads {
            // A head that has just opened isn't in the totals yet.
            let Some(total) = loads.total(head, now) else {
                continue;
            };
            let horizon = total.horizon.as_secs_f64();
            outlook.arrivals += (total.load.starts_per_s + total.load.refusals_per_s) * horizon;
            ends += total.load.ends_per_s * horizon;
            known += 1;
        }
        outlook.ends_each = ends / f64::from(known.max(1));
        (known > 0).then_some(outlook)
    }

    /// Returns the number of requests for which a head has room within the horizon, if it may hold
    /// `limit` at its end; negative if there are too many already.
    pub fn room(&self, limit: f64, in_flight: u32) -> f64 {
        limit - f64::from(in_flight) + self.ends_each
    }

    /// Draws the position of a request among the expected ones, of which those up to the room at the
    /// heads are admitted. More urgent requests come before it, and less urgent ones after it. Within
    /// a rank, requests within their account's share come first.
    pub fn draw_position<R>(&self, precedence: Precedence, rng: &mut R) -> f64
    where
        R: Rng,
    {
        let Precedence {
            ahead, own, share, ..
        } = precedence;
        let within_rank = match share {
            Some(share) => share.draw_position(rng),
            None => rng.random(),
        };
        self.arrivals * (ahead + own * within_rank)
    }

    /// Returns the position of a request that is admitted only if there is room for all expected ones.
    pub fn last_position(&self) -> f64 {
        self.arrivals
    }
}
