//! Chooses among heads by totals that all daemons got at the same time, a while ago.
//!
//! If every daemon chose the head that was least loaded then, all of them would
//! send their requests there until the next totals. Instead, the requests that all daemons are
//! expected to send are divided by water-filling: they raise the cost of the cheapest
//! heads to a common level. Each daemon draws a head with the probability given by
//! its part of these requests, so that all daemons together load the heads evenly,
//! without a message.

use rand::Rng;

/// Cost of a head by the number of requests that are added there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeadCost {
    /// Cost before any request is added.
    pub base: f64,
    /// Cost of each added request.
    pub per_request: f64,
}

impl HeadCost {
    /// Returns the number of added requests that raise the cost to a level.
    fn requests_to(&self, level: f64) -> f64 {
        (level - self.base).max(0.0) / self.per_request
    }
}

/// Returns the cost to which this number of requests raises the cheapest heads.
pub fn level(heads: &[HeadCost], requests: f64) -> f64 {
    let mut low = heads
        .iter()
        .map(|head| head.base)
        .fold(f64::INFINITY, f64::min);
    let max_per_request = heads
        .iter()
        .map(|head| head.per_request)
        .fold(0.0, f64::max);
    // One head alone could take all requests below this level.
    let mut high = low + requests * max_per_request;
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        let taken: f64 = heads.iter().map(|head| head.requests_to(middle)).sum();
        match taken < requests {
            true => low = middle,
            false => high = middle,
        }
    }
    high
}

/// Steps in which the level is found; each halves the error.
const BISECTIONS: usize = 24;

/// Draws the index of a head by its part of the requests; none without heads.
pub fn draw<R>(heads: &[HeadCost], requests: f64, rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let level = level(heads, requests);
    let parts = heads.iter().map(|head| head.requests_to(level));
    let total: f64 = parts.clone().sum();
    let mut left = rng.random::<f64>() * total;
    let drawn = parts.enumerate().find(|(_, part)| {
        left -= part;
        left < 0.0
    });
    // Rounding may leave a rest after the last head.
    let cheapest = || {
        let indexed = heads.iter().enumerate();
        indexed.min_by(|(_, a), (_, b)| a.base.total_cmp(&b.base))
    };
    drawn
        .map(|(index, _)| index)
        .or_else(|| cheapest().map(|(index, _)| index))
}
