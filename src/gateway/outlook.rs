//! What the totals of all daemons' requests tell about the next moment at the heads of a model.
//!
//! Totals are some hundred milliseconds old, and all daemons have the same ones. A
//! daemon that sent to every head that looks free would overload it together
//! with all others. It therefore compares the room at all heads with the requests
//! that all daemons expect within a horizon of several intervals, and admits its share only.

use super::{admission::Precedence, load::Loads, roster::HostKey, shares::SharePart};
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

    /// Returns the positions that a request may have among the expected ones, of which those up to
    /// the room at the heads are admitted. More urgent requests come before it, and less urgent ones
    /// after it. Within a rank, requests within their account's share come first.
    pub fn positions(&self, precedence: Precedence) -> Positions {
        let Precedence {
            ahead, own, share, ..
        } = precedence;
        Positions {
            arrivals: self.arrivals,
            ahead,
            own: Some(own),
            share,
        }
    }

    /// Returns the position of a request that is admitted only if there is room for all expected ones.
    pub fn last_position(&self) -> Positions {
        Positions {
            arrivals: self.arrivals,
            ahead: 1.0,
            own: None,
            share: None,
        }
    }
}

/// Positions that a request may have among the expected ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Positions {
    /// Number of expected requests.
    arrivals: f64,
    /// Fraction of them that comes before all these positions.
    ahead: f64,
    /// Fraction that these positions cover; none if there is only one, which isn't drawn.
    own: Option<f64>,
    /// How these positions are divided between requests within their account's share and others; none
    /// if all are equally likely.
    share: Option<SharePart>,
}

impl Positions {
    /// Draws one of the positions.
    pub fn draw<R>(&self, rng: &mut R) -> f64
    where
        R: Rng,
    {
        let within = match (self.own, self.share) {
            (None, _) => 0.0,
            (Some(own), None) => own * rng.random::<f64>(),
            (Some(own), Some(share)) => own * share.draw_position(rng),
        };
        self.arrivals * (self.ahead + within)
    }

    /// Returns the probability that a drawn position doesn't exceed a bound.
    pub fn fraction_until(&self, bound: f64) -> f64 {
        let lowest = self.arrivals * self.ahead;
        let width = self.arrivals * self.own.unwrap_or_default();
        if width <= 0.0 {
            return f64::from(lowest <= bound);
        }
        let within = ((bound - lowest) / width).clamp(0.0, 1.0);
        self.share
            .map_or(within, |share| share.fraction_until(within))
    }
}
