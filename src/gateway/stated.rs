//! Values that runners state of themselves.

crate::record! {
    /// Number of requests a second that a runner takes from all daemons together.
    #[derive(Copy, PartialOrd)]
    #[serde(transparent)]
    pub struct RateLimit(f64);

    /// Value that an entry or a response may state.
    #[derive(Copy, Eq, Default)]
    pub enum Stated<T> {
        /// It isn't stated.
        #[default]
        Absent,
        /// It is stated.
        Value(T),
        /// What is stated can't be understood, and is ignored.
        Invalid,
    }
}

impl RateLimit {
    /// Creates a limit; none if it is negative or not a finite number.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self(per_second))
    }

    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl<T> Stated<T> {
    /// Creates the statement of a value that was understood, or not.
    pub fn from_valid(value: Option<T>) -> Self {
        value.map_or(Self::Invalid, Self::Value)
    }
}
