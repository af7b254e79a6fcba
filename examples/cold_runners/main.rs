//! Compares ways in which daemons can share the cold rate of heads, in virtual time.
//!
//! All heads restart at once. Prints, for each way and number of daemons, the worst
//! second of a cold head as a fraction of what is allowed, the share of the cold rate
//! that is used, the share of the requests that are refused, the time that requests
//! spend on asking, and the datagrams for each request that is sent.

#[expect(dead_code, reason = "the tests use the rest")]
#[path = "../../tests/gateway/cold_fleet.rs"]
mod fleet;

use fleet::{COLD_RATE, Fleet, MAX_IN_SECOND, Outcome, Policy};
use hickoryledge::core::time::Span;

/// Heads of the service.
const HEADS: usize = 18;
/// Seeds of each comparison.
const SEEDS: u64 = 10;
/// Demand as a share of the cold rates of all heads.
const LOADS: [f64; 3] = [0.85, 1.3, 4.0];

/// Figures of one way over all seeds.
#[derive(Default)]
struct Figures {
    worst: f64,
    used: f64,
    refused: f64,
    asking_p50: f64,
    asking_p99: f64,
    datagrams: f64,
}

fn main() {
    let policies = [
        Policy::Permits,
        Policy::EqualShares,
        Policy::FewSenders(4),
        Policy::FewSenders(8),
        Policy::Unlimited,
    ];
    println!(
        "policy, daemons, scene, load: worst second / allowed, used share, refused share, \
         asking p50 and p99 in ms, datagrams a request"
    );
    for policy in policies {
        for count in [8, 61, 195, 340] {
            for load in LOADS {
                print(
                    policy,
                    count,
                    "calm",
                    load,
                    &measure(policy, count, load, false),
                );
            }
            print(
                policy,
                count,
                "half cut off",
                1.3,
                &measure(policy, count, 1.3, true),
            );
        }
    }
}

fn print(policy: Policy, count: usize, scene: &str, load: f64, figures: &Figures) {
    let Figures {
        worst,
        used,
        refused,
        asking_p50,
        asking_p99,
        datagrams,
    } = figures;
    println!(
        "{policy:?}, {count}, {scene}, {load}: {worst:.2}, {used:.2}, {refused:.3}, \
         {asking_p50:.0}, {asking_p99:.0}, {datagrams:.1}"
    );
}

/// Plays all seeds; `cuts` tells whether half of the daemons are cut off from the store, from some
/// seconds before the restart.
fn measure(policy: Policy, count: usize, load: f64, cuts: bool) -> Figures {
    let mut figures = Figures::default();
    let demand = COLD_RATE * HEADS as f64 * load;
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(policy, count, HEADS, seed);
        let cut_off = (0..count).step_by(2).filter(|_| cuts);
        for index in cut_off {
            fleet.daemons[index].is_alone = true;
            fleet.cut_off(index);
        }
        fleet.run_for(Span::from_secs(4), demand);
        (0..HEADS).for_each(|head| fleet.restart(head));
        // Until all daemons know the restarted heads.
        fleet.run_for(Span::from_millis(2_500), demand);
        let since = fleet.now;
        fleet.outcome = Outcome::default();
        fleet.run_for(Span::from_secs(10), demand);
        let outcome = &fleet.outcome;
        let worst = fleet.worst_second(Span::ZERO) as f64 / MAX_IN_SECOND as f64;
        figures.worst = figures.worst.max(worst);
        let part = |value: f64| value / SEEDS as f64;
        figures.used += part(fleet.used_share(since));
        figures.refused += part(outcome.refused_share());
        figures.asking_p50 += part(outcome.asking(0.5).as_secs_f64() * 1e3);
        figures.asking_p99 += part(outcome.asking(0.99).as_secs_f64() * 1e3);
        let sent = outcome.asking.len().max(1);
        figures.datagrams += part(outcome.datagrams as f64 / sent as f64);
    }
    figures
}
