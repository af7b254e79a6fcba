//! Seeded schedule of signals to the daemons and of silences of heads.

use super::options::Options;
use nix::sys::signal::Signal;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};
use std::{ops::Range, time::Duration};

/// Load before the first stop.
const LEAD_TIME: Duration = Duration::from_millis(1_500);

/// Time between the end of one round's grace period and the next round.
const ROUND_GAP: Duration = Duration::from_millis(1_200);

/// Silence of a head, after which its streams have been resumed at another.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Signals beside the SIGTERM of a stop.
#[derive(Clone, Copy, Debug)]
enum Pattern {
    Alone,
    HangupBefore,
    HangupDuring,
    HangupAfter,
    TermTwice,
}

const PATTERNS: [Pattern; 5] = [
    Pattern::Alone,
    Pattern::HangupDuring,
    Pattern::TermTwice,
    Pattern::HangupBefore,
    Pattern::HangupAfter,
];

/// Something that the operator does.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Sends a signal to a daemon.
    Signal { daemon: usize, signal: Signal },
    /// Makes a head silent.
    Silence { head: usize, span: Duration },
}

/// What happens in a run, in order of time.
pub struct Schedule {
    /// Acts with their times since the start of the load.
    pub acts: Vec<(Duration, Act)>,
    /// Time at which the load ends.
    pub end: Duration,
}

impl Schedule {
    /// Creates the schedule of a seed.
    pub fn new(options: &Options, seed: u64) -> Self {
        let mut plan = Plan {
            rng: SmallRng::seed_from_u64(seed),
            grace: options.grace,
            acts: Vec::new(),
        };
        let mut patterns = PATTERNS;
        patterns.shuffle(&mut plan.rng);
        let round_time = options.grace + ROUND_GAP;
        for round in 0..options.rounds {
            let base = LEAD_TIME + round_time * round;
            let pattern = patterns[round as usize % patterns.len()];
            plan.add_round(base, pattern, options.daemons);
        }
        plan.acts.sort_by_key(|(at, _)| *at);
        Self {
            acts: plan.acts,
            end: LEAD_TIME + round_time * options.rounds,
        }
    }
}

struct Plan {
    rng: SmallRng,
    grace: Duration,
    acts: Vec<(Duration, Act)>,
}

impl Plan {
    /// Adds the stop of one daemon and, in half of the rounds, an overlapping one of another.
    fn add_round(&mut self, base: Duration, pattern: Pattern, daemons: usize) {
        let daemon = self.rng.random_range(0..daemons);
        let at = base + self.millis(0..300);
        self.add_stop(daemon, at, pattern);
        if daemons > 2 && self.rng.random() {
            let other = (daemon + self.rng.random_range(1..daemons)) % daemons;
            let delay = self.within_grace(0.1..0.6);
            let pattern = PATTERNS[self.rng.random_range(0..PATTERNS.len())];
            self.add_stop(other, at + delay, pattern);
        }
        let head = self.rng.random_range(0..super::fleet::HEAD_COUNT);
        let silent_at = base + self.within_grace(0.0..0.9);
        self.acts.push((
            silent_at,
            Act::Silence {
                head,
                span: SILENCE,
            },
        ));
    }

    fn add_stop(&mut self, daemon: usize, at: Duration, pattern: Pattern) {
        self.signal(daemon, at, Signal::SIGTERM);
        match pattern {
            Pattern::Alone => {}
            Pattern::HangupBefore => {
                let early = self.millis(1..400);
                self.signal(daemon, at - early, Signal::SIGHUP);
            }
            Pattern::HangupDuring => {
                let late = self.within_grace(0.03..0.7);
                self.signal(daemon, at + late, Signal::SIGHUP);
            }
            Pattern::HangupAfter => {
                let late = self.grace.mul_f64(0.87) + self.millis(0..1_200);
                self.signal(daemon, at + late, Signal::SIGHUP);
            }
            Pattern::TermTwice => {
                let late = self.within_grace(0.03..0.7);
                self.signal(daemon, at + late, Signal::SIGTERM);
            }
        }
    }

    fn signal(&mut self, daemon: usize, at: Duration, signal: Signal) {
        self.acts.push((at, Act::Signal { daemon, signal }));
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// Returns a part of the grace period.
    fn within_grace(&mut self, range: Range<f64>) -> Duration {
        self.grace.mul_f64(self.rng.random_range(range))
    }
}
