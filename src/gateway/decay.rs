//! Exponential decay of observed quantities.

use crate::core::time::Span;

/// Returns the factor by which a quantity with this half-life decays.
pub fn factor(elapsed: Span, half_life: Span) -> f64 {
    let halves = elapsed.as_secs_f64() / half_life.as_secs_f64();
    0.5_f64.powf(halves)
}

/// Returns the rate, in units a second, whose decayed sum settles at `sum`.
pub fn rate(sum: f64, half_life: Span) -> f64 {
    sum * std::f64::consts::LN_2 / half_life.as_secs_f64()
}
