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

/// Returns the requests that each head takes of this number.
fn parts(heads: &[HeadCost], requests: f64) -> impl Iterator<Item = f64> + Clone {
    let level = level(heads, requests);
    heads.iter().map(move |head| head.requests_below(level))
}

/// Returns the probability of each head to be drawn.
pub fn probabilities(heads: &[HeadCost], requests: f64) -> Vec<f64> {
    let parts = parts(heads, requests);
    let total: f64 = parts.clone().sum();
    if total.is_finite() && total > 0.0 {
        return parts.map(|part| part / total).collect();
    }
    let cheapest = cheapest(heads);
    let indices = 0..heads.len();
    indices
        .map(|index| f64::from(cheapest == Some(index)))
        .collect()
}

/// Draws one of the heads by its part of the requests; none if there are none.
pub fn draw<R>(heads: &[HeadCost], requests: f64, rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let parts = parts(heads, requests);
    let total: f64 = parts.clone().sum();
    let mut left = rng.random::<f64>() * total;
    let drawn = parts.enumerate().find(|(_, part)| {
        left -= part;
        left < 0.0
    });
    // Rounding may leave a rest after the last head.
    drawn.map(|(index, _)| index).or_else(|| cheapest(heads))
}

fn cheapest(heads: &[HeadCost]) -> Option<usize> {
    let indexed = heads.iter().enumerate();
    let cheapest = indexed.min_by(|(_, a), (_, b)| a.base.total_cmp(&b.base));
    cheapest.map(|(index, _)| index)
}
