//! Time as the decision logic sees it: given with each event, never read from a clock.

use std::ops::{Add, Sub};

crate::key! {
    /// Point in time, in microseconds since the start of the daemon's clock.
    #[serde(transparent)]
    pub struct Time(pub u64);

    /// Duration in microseconds.
    #[serde(transparent)]
    pub struct Span(pub u64);
}

impl Time {
    /// Returns the time passed since `earlier`, or zero if that lies in the future.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// Zero duration.
    pub const ZERO: Span = Span(0);

    /// Creates a span of whole milliseconds, or the longest one.
    pub const fn from_millis(millis: u64) -> Span {
        Span(millis.saturating_mul(1_000))
    }

    /// Creates a span of whole seconds, or the longest one.
    pub const fn from_secs(secs: u64) -> Span {
        Span(secs.saturating_mul(1_000_000))
    }

    /// Returns the span in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the span multiplied by a fractional factor.
    pub fn scaled(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }

    /// Returns the span multiplied by a factor.
    pub const fn times(self, factor: u64) -> Span {
        Span(self.0.saturating_mul(factor))
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    /// Stops at the start of the clock.
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;

    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl From<Span> for std::time::Duration {
    fn from(span: Span) -> Self {
        std::time::Duration::from_micros(span.0)
    }
}
