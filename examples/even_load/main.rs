//! Compares ways to spread requests over the heads of a model, in virtual time.
//!
//! Prints, for each way, number of daemons and load: the share of requests that begin on time, are
//! late, refused, refused and served later, refused although a head was free, and declined by a
//! head; the heads' standard deviation and maximum over mean; quantiles of the time to the first
//! event; and bytes a second of a daemon and of an aggregator.
//!
//! Arguments name the ways that are compared. The environment variables `DAEMONS`, `LOADS` and
//! `HEADS` take numbers, `SEEDS` the number of runs of each (3), `FAULT` names what fails (see
//! `with_fault`). `LARGEST` is the fraction of the requests that one of 24 accounts has; the last two
//! columns are the fractions of its requests and of the others' that begin on time.
//! `ACCOUNTS=exchanged` lets daemons exchange the work of accounts.

#[path = "../../tests/gateway/engine_heads.rs"]
mod engine_heads;
#[expect(dead_code, reason = "the tests use the rest")]
#[path = "../../tests/gateway/load_fleet.rs"]
mod fleet;

use fleet::{Figures, LoadFleet, Policy, Scene};
use hickoryledge::core::time::Span;

fn main() {
    let base = Scene {
        heads: numbers("HEADS", "13")[0] as usize,
        swing: 0.0,
        largest: numbers("LARGEST", "0")[0],
        exchanges_work: std::env::var("ACCOUNTS").is_ok_and(|value| value == "exchanged"),
        length: Span::from_secs(30),
        ..Scene::default()
    };
    let policies = [
        Policy::Oracle,
        Policy::OracleTwo,
        Policy::Responses,
        Policy::Exchange,
        Policy::TwoChoices,
        Policy::FreeSlots,
        Policy::LeastLoaded,
        Policy::ScaledSends,
        Policy::EqualShares,
    ];
    println!(
        "policy daemons load | on time, late, refused, of these served later, wrongly, declined | dev max/mean | p50 p95 p99 | B/s daemon aggregator | on time: large small"
    );
    let only: Vec<String> = std::env::args().skip(1).collect();
    for daemons in numbers("DAEMONS", "8,61,195,340") {
        let daemons = daemons as usize;
        for load in numbers("LOADS", "0.6,0.9,1.1,1.5") {
            for policy in policies {
                let name = format!("{policy:?}");
                if !only.is_empty() && !only.contains(&name) {
                    continue;
                }
                let scene = with_fault(Scene {
                    daemons,
                    load,
                    ..base
                });
                print(&format!("{name} {daemons} {load}"), scene, policy);
            }
        }
    }
}

/// Returns a scene with the fault that an environment variable names.
fn with_fault(scene: Scene) -> Scene {
    let at = Some(Span::from_secs(10));
    let mut scene = scene;
    match std::env::var("FAULT").unwrap_or_default().as_str() {
        "" => {}
        "swing" => scene.swing = 0.55,
        "losses" => scene.replace_every = Some(Span::from_secs(3)),
        "aggregator lost" => scene.aggregator_lost = at,
        "aggregators paused" => scene.aggregators_paused = at,
        "aggregator restarts" => scene.aggregator_restarts = at,
        "datagrams lost" => scene.loss = 0.1,
        "silent" => scene.silent = 0.2,
        "returns" => scene.returns = true,
        "slow" => scene.slow = Some(1.6),
        other => panic!("unknown fault: {other}"),
    }
    scene
}

/// Returns the numbers in an environment variable.
fn numbers(name: &str, default: &str) -> Vec<f64> {
    let text = std::env::var(name).unwrap_or(default.to_owned());
    let numbers = text.split(',').map(|number| number.parse());
    numbers.map(|number| number.expect("a number")).collect()
}

fn print(label: &str, scene: Scene, policy: Policy) {
    let seeds = numbers("SEEDS", "3")[0] as u64;
    let runs: Vec<Figures> = (0..seeds)
        .map(|seed| LoadFleet::new(policy, scene, seed).run())
        .collect();
    let sum = |value: fn(&Figures) -> f64| runs.iter().map(value).sum::<f64>();
    let mean = |value: fn(&Figures) -> f64| sum(value) / runs.len() as f64;
    let arrived = sum(|figures| figures.arrived as f64);
    let share = |value: fn(&Figures) -> f64| sum(value) / arrived;
    let (large, large_on_time) = (
        sum(|figures| figures.large_arrived as f64),
        sum(|figures| figures.large_on_time as f64),
    );
    let on_time = sum(|figures| figures.on_time as f64);
    println!(
        "{label} | {:.3} {:.3} {:.3} {:.3} {:.3} {:.3} | {:.1} {:.2} | {:.0} {:.0} {:.0} | {:.0} {:.0} | {:.3} {:.3}",
        share(|figures| figures.on_time as f64),
        share(|figures| figures.late as f64),
        share(|figures| figures.refused as f64),
        share(|figures| figures.served_after_return as f64),
        share(|figures| figures.refused_wrongly as f64),
        share(|figures| figures.declined as f64),
        mean(|figures| figures.deviation),
        mean(|figures| figures.max_over_mean),
        mean(|figures| figures.p50),
        mean(|figures| figures.p95),
        mean(|figures| figures.p99),
        mean(|figures| figures.daemon_bytes),
        mean(|figures| figures.aggregator_bytes),
        large_on_time / large.max(1.0),
        (on_time - large_on_time) / (arrived - large),
    );
}
