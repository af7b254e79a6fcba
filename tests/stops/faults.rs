//! Seeded faults of daemons, runners, links and the store, in series and overlapping.

use super::link::Cut;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::time::Duration;

/// Load before the first fault.
const LEAD_TIME: Duration = Duration::from_millis(1_000);

/// Time for which only a request that crashes runners comes again and again.
pub const CRASH_TIME: Duration = Duration::from_millis(6_000);

/// Time from the start of one round of faults to that of the next.
const ROUND_TIME: Duration = Duration::from_millis(7_000);

/// Duration of a cut of one daemon from all runners.
const CUT_TIME: Duration = Duration::from_millis(6_000);

/// Duration of a cut of one daemon from the store.
const STORE_CUT_TIME: Duration = Duration::from_millis(4_000);

/// Time from the start of a cut from the store to the departure of a runner.
const DEPARTURE_DELAY: Duration = Duration::from_millis(300);

/// Time for which a runner that has left still serves; then it comes back.
const ABSENCE: Duration = Duration::from_millis(5_500);

/// Duration of a pause of a daemon's process.
const PAUSE_TIME: Duration = Duration::from_millis(1_200);

/// Duration of an outage of the store.
const OUTAGE_TIME: Duration = Duration::from_millis(2_000);

const CUTS: [Cut; 3] = [Cut::Refused, Cut::NewRefused, Cut::Hanging];

/// Start or end of a fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Cuts a daemon off from all runners.
    Cut { daemon: usize, cut: Cut },
    /// Ends the cut of a daemon.
    Restore { daemon: usize },
    /// Pauses a daemon's process.
    Pause { daemon: usize },
    /// Lets a daemon's process go on.
    Continue { daemon: usize },
    /// Kills a daemon.
    Kill { daemon: usize },
    /// Crashes a head.
    Crash { head: usize },
    /// Starts or ends an outage of the store.
    Outage { is_on: bool },
    /// Cuts a daemon off from the store.
    StoreCut { daemon: usize, cut: Cut },
    /// Ends the cut of a daemon from the store.
    StoreRestore { daemon: usize },
    /// Removes the entry of a plain runner, which still serves.
    Leave { runner: usize },
    /// Writes the entry of a plain runner again.
    Return { runner: usize },
}

/// Returns the faults of a seed with their times since the start of the load, in order.
pub fn of_seed(
    seed: u64,
    daemons: usize,
    heads: usize,
    plain_runners: usize,
    rounds: u32,
) -> Vec<(Duration, Fault)> {
    let mut plan = Plan {
        rng: SmallRng::seed_from_u64(seed),
        faults: Vec::new(),
    };
    for round in 0..rounds {
        let base = LEAD_TIME + CRASH_TIME + ROUND_TIME * round;
        // A daemon that is cut off needs another one that isn't.
        let cut_off = plan.rng.random_range(0..daemons);
        let other = (cut_off + 1) % daemons;
        plan.add_cut(base, cut_off);
        plan.add_disturbance(base, other, heads);
        let far = (cut_off + 2) % daemons;
        plan.add_departure(base, far, plain_runners);
    }
    plan.faults.sort_by_key(|(at, _)| *at);
    plan.faults
}

struct Plan {
    rng: SmallRng,
    faults: Vec<(Duration, Fault)>,
}

impl Plan {
    fn add_cut(&mut self, base: Duration, daemon: usize) {
        let at = base + self.millis(300);
        let cut = CUTS[self.rng.random_range(0..CUTS.len())];
        self.faults.push((at, Fault::Cut { daemon, cut }));
        self.faults.push((at + CUT_TIME, Fault::Restore { daemon }));
    }

    /// Adds a fault of another kind that overlaps the cut.
    fn add_disturbance(&mut self, base: Duration, daemon: usize, heads: usize) {
        let at = base + self.millis(4_000);
        match self.rng.random_range(0..4) {
            0 => {
                self.faults.push((at, Fault::Pause { daemon }));
                self.faults
                    .push((at + PAUSE_TIME, Fault::Continue { daemon }));
            }
            1 => self.faults.push((at, Fault::Kill { daemon })),
            2 => {
                let head = self.rng.random_range(0..heads);
                self.faults.push((at, Fault::Crash { head }));
            }
            _ => {
                let end = at + OUTAGE_TIME;
                self.faults.push((at, Fault::Outage { is_on: true }));
                self.faults.push((end, Fault::Outage { is_on: false }));
            }
        }
    }

    /// Adds the departure of a runner that one daemon can't see in the store.
    fn add_departure(&mut self, base: Duration, daemon: usize, plain_runners: usize) {
        let at = base + self.millis(300);
        let left_at = at + DEPARTURE_DELAY;
        let cut = CUTS[self.rng.random_range(0..CUTS.len())];
        let runner = self.rng.random_range(0..plain_runners);
        self.faults.extend([
            (at, Fault::StoreCut { daemon, cut }),
            (at + STORE_CUT_TIME, Fault::StoreRestore { daemon }),
            (left_at, Fault::Leave { runner }),
            (left_at + ABSENCE, Fault::Return { runner }),
        ]);
    }

    fn millis(&mut self, max: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..max))
    }
}
