//! Compares ways in which daemons can share a runner's rate limit, in virtual time.
//!
//! Prints, for each way and number of daemons, the worst window as a fraction of
//! what is allowed, the share of the limit that is used while demand is four
//! times as high, and the datagrams for each request that is sent.

#[expect(dead_code, reason = "the tests use the rest")]
#[path = "../../tests/gateway/limit_fleet.rs"]
mod fleet;

use fleet::{Fleet, Policy};
use hickoryledge::core::time::Span;

/// Limit of the runner, in requests a second.
const LIMIT: f64 = 3.0;
/// Demand for the runner, in requests a second.
const DEMAND: f64 = 4.0 * LIMIT;
/// Seeds of each comparison.
const SEEDS: u64 = 50;

/// Figures of one way over all seeds.
#[derive(Default)]
struct Figures {
    worst: f64,
    used: f64,
    datagrams: f64,
}

fn main() {
    let policies = [
        Policy::Permits,
        Policy::EqualShares,
        Policy::FewDaemons(1),
        Policy::FewDaemons(4),
    ];
    println!("policy, daemons, scene: worst window / allowed, used share, datagrams a request");
    for policy in policies {
        for count in [8, 58, 195, 340] {
            print(policy, count, "calm", &measure(policy, count, false));
            print(policy, count, "half refused", &measure(policy, count, true));
        }
    }
}

fn print(policy: Policy, count: usize, scene: &str, figures: &Figures) {
    let Figures {
        worst,
        used,
        datagrams,
    } = figures;
    println!("{policy:?}, {count}, {scene}: {worst:.2}, {used:.2}, {datagrams:.1}");
}

/// Plays all seeds; `refuses` tells whether the store refuses half of the daemons for a while.
fn measure(policy: Policy, count: usize, refuses: bool) -> Figures {
    let mut figures = Figures::default();
    for seed in 0..SEEDS {
        let mut fleet = Fleet::with_policy(policy, count, LIMIT, seed);
        let since = fleet.now;
        fleet.run_for(Span::from_secs(10), DEMAND);
        set_refused(&mut fleet, refuses);
        fleet.run_for(Span::from_secs(15), DEMAND);
        set_refused(&mut fleet, false);
        fleet.run_for(Span::from_secs(10), DEMAND);
        figures.worst = figures
            .worst
            .max(fleet.worst_window() as f64 / fleet.allowed());
        figures.used += fleet.used_share(since) / SEEDS as f64;
        let sent = fleet.sent.len().max(1) as f64;
        figures.datagrams += fleet.datagrams as f64 / sent / SEEDS as f64;
    }
    figures
}

fn set_refused(fleet: &mut Fleet, is_refused: bool) {
    for daemon in fleet.daemons.iter_mut().step_by(2) {
        daemon.is_refused = is_refused;
    }
}
