//! Options of a run, from environment variables.

use std::{ops::RangeInclusive, str::FromStr, time::Duration};

/// Options of a run.
pub struct Options {
    /// Seeds, from `STOPS_FIRST_SEED` (1), as many as `STOPS_SEEDS` (1).
    pub seeds: RangeInclusive<u64>,
    /// Number of daemons, from `STOPS_DAEMONS` (3).
    pub daemons: usize,
    /// Grace period of a stop, from `STOPS_GRACE_MS` (3000).
    pub grace: Duration,
    /// Number of rounds, each of which stops a daemon, from `STOPS_ROUNDS` (3).
    pub rounds: u32,
    /// Number of runners of the plain service.
    pub plain_runners: usize,
    /// True if each daemon reaches the runners by links of its own, which can be cut.
    pub has_links: bool,
}

impl Options {
    /// Reads the options.
    pub fn from_env() -> Self {
        let first = variable("STOPS_FIRST_SEED", 1);
        let count: u64 = variable("STOPS_SEEDS", 1);
        Self {
            seeds: first..=first + count.max(1) - 1,
            daemons: variable("STOPS_DAEMONS", 3),
            grace: Duration::from_millis(variable("STOPS_GRACE_MS", 3_000)),
            rounds: variable("STOPS_ROUNDS", 3),
            plain_runners: 2,
            has_links: false,
        }
    }
}

fn variable<T>(name: &str, default: T) -> T
where
    T: FromStr,
{
    let Ok(text) = std::env::var(name) else {
        return default;
    };
    let Ok(value) = text.parse() else {
        panic!("{name} is no valid number: {text}");
    };
    value
}
