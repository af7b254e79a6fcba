//! Chooses among heads by totals that all daemons got at the same time, a while ago.
//!
//! If every daemon chose the head that was least loaded then, all of them would
//! meet there until the next totals. Instead, the requests that all daemons are
//! expected to have started since then are poured over the heads like water: they raise
//! the least loaded ones to a common level. Each daemon draws a head with the
//! probability given by its part of the water, so that all daemons together
//! fill the heads evenly, without a message.

use rand::Rng;

/// Head that takes part of the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Basin {
    /// Cost of a request there before any other is added.
    pub floor: f64,
    /// Cost that each added request adds.
    pub slope: f64,
}

impl Basin {
    /// Returns the number of requests that raise the cost to a level.
    fn volume(&self, level: f64) -> f64 {
        (level - self.floor).max(0.0) / self.slope
    }
}

/// Returns the cost to which this number of requests raises the cheapest basins.
pub fn level(basins: &[Basin], requests: f64) -> f64 {
    let mut low = basins
        .iter()
        .map(|basin| basin.floor)
        .fold(f64::INFINITY, f64::min);
    let slope = basins.iter().map(|basin| basin.slope).fold(0.0, f64::max);
    // One basin alone could take all requests below this level.
    let mut high = low + requests * slope;
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        let volume: f64 = basins.iter().map(|basin| basin.volume(middle)).sum();
        match volume < requests {
            true => low = middle,
            false => high = middle,
        }
    }
    high
}

/// Steps in which the level is found; each halves the error.
const BISECTIONS: usize = 24;

/// Draws one of the basins by its part of the requests; none if there are none.
pub fn draw<R>(basins: &[Basin], requests: f64, rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let level = level(basins, requests);
    let volumes = basins.iter().map(|basin| basin.volume(level));
    let total: f64 = volumes.clone().sum();
    let mut left = rng.random::<f64>() * total;
    let drawn = volumes.enumerate().find(|(_, volume)| {
        left -= volume;
        left < 0.0
    });
    // Rounding may leave a rest after the last basin.
    let cheapest = || {
        let floors = basins.iter().enumerate();
        floors.min_by(|(_, a), (_, b)| a.floor.total_cmp(&b.floor))
    };
    drawn
        .map(|(index, _)| index)
        .or_else(|| cheapest().map(|(index, _)| index))
}
