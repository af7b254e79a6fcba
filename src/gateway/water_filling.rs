//! Chooses among heads by totals that all daemons got at the same time, a while ago.
//!
//! If every daemon chose the head that was least loaded then, all of them would
//! meet there until the next totals. Water-filling distributes the requests that
//! all daemons are expected to start so that the least loaded heads reach a
//! common cost, the level. Each daemon draws a head with the probability given
//! by its part of these requests, so that all daemons together fill the heads
//! evenly, without a message.

use rand::Rng;

/// Steps in which the level is found; each halves the error.
const BISECTIONS: usize = 24;

/// Cost of requests at a head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeadCost {
    /// Cost of a request there before any other is added.
    pub base: f64,
    /// Cost that each added request adds.
    pub per_request: f64,
}

impl HeadCost {
    /// Returns the number of requests that raise the cost to a level.
    fn requests_below(&self, level: f64) -> f64 {
        (level - self.base).max(0.0) / self.per_request
    }
}

/// Returns the cost to which this number of requests raises the cheapest heads.
pub fn level(heads: &[HeadCost], requests: f64) -> f64 {
    let mut low = heads
        .iter()
        .map(|head| head.base)
        .fold(f64::INFINITY, f64::min);
    let per_request = heads
        .iter()
        .map(|head| head.per_request)
        .fold(0.0, f64::max);
    // One head alone could take all requests below this level.
    let mut high = low + requests * per_request;
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        let taken: f64 = heads.iter().map(|head| head.requests_below(middle)).sum();
        match taken < requests {
            true => low = middle,
            false => high = middle,
        }
    }
    high
}

/// Draws one of the heads by its part of the requests; none if there are none.
pub fn draw<R>(heads: &[HeadCost], requests: f64, rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let level = level(heads, requests);
    let parts = heads.iter().map(|head| head.requests_below(level));
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
