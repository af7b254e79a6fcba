//! Measures, in virtual time, what the groups serve while hosts are lost, cut off or restarted.
//!
//! Prints, for each family of sizes and pattern, the means over the seeds: work served over work
//! wanted, also for each model and with its least value of a seed; groups in service by model; time
//! from the loss of a group to the next with one of its members; host-seconds in no group; orders,
//! loads, and groups whose requests were cut although all members were alive. The environment variable `SEEDS` takes a number, and
//! `PARALLEL` the loads that the weight store serves at once.

#[expect(dead_code, reason = "the tests use the rest")]
#[path = "../../tests/gateway/fleet.rs"]
mod fleet;
#[path = "../../tests/gateway/loss_fleet.rs"]
mod loss_fleet;

use loss_fleet::{Family, Figures, LARGE_DOMAINS, Pattern, simulate};

/// Weight loads that the weight store serves at once, unless `PARALLEL` says otherwise.
const PARALLEL_LOADS: u32 = 8;

/// Families of sizes: hosts in a domain, in a large and in a small replica. The second wants more
/// groups of the small model.
const FAMILIES: [(&str, Family); 3] = [
    (
        "27/12/6",
        Family {
            parallel: PARALLEL_LOADS,
            ..LARGE_DOMAINS
        },
    ),
    (
        "27, 6+10",
        Family {
            wanted: [6.0, 10.0],
            parallel: PARALLEL_LOADS,
            ..LARGE_DOMAINS
        },
    ),
    (
        "11/6/3",
        Family {
            hosts: 11,
            sizes: [6, 3],
            wanted: [5.0, 5.0],
            load_rate: 5.5,
            parallel: PARALLEL_LOADS,
            losses: [1, 1],
        },
    ),
];

const PATTERNS: [Pattern; 3] = [
    Pattern::Losses,
    Pattern::UnreachableDomain,
    Pattern::Restarts,
];

fn main() {
    let seeds = number("SEEDS", 12);
    let parallel = number("PARALLEL", 8) as u32;
    println!(
        "sizes   pattern     served  least |  large  small | groups      | repair p50 p95: large, small | idle   orders loads cuts violations"
    );
    for (name, family) in FAMILIES {
        for pattern in PATTERNS {
            let runs: Vec<Figures> = (0..seeds)
                .map(|seed| simulate(Family { parallel, ..family }, pattern, seed))
                .collect();
            print(name, pattern, &runs);
        }
    }
}

/// Returns the number in an environment variable, or the usual one.
fn number(variable: &str, usual: u64) -> u64 {
    std::env::var(variable).map_or(usual, |text| text.parse().expect("a number"))
}

fn print(name: &str, pattern: Pattern, runs: &[Figures]) {
    let mean =
        |value: &dyn Fn(&Figures) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
    let least = runs.iter().map(Figures::weighted).fold(1.0, f64::min);
    let repairs = [0, 1].map(|model| {
        let mut times: Vec<f64> = runs
            .iter()
            .flat_map(|run| run.repairs[model].iter().copied())
            .collect();
        times.sort_by(f64::total_cmp);
        format!(
            "{:4.1} {:4.1}",
            quantile(&times, 0.5),
            quantile(&times, 0.95)
        )
    });
    println!(
        "{name:7} {:11} {:6.1} {:6.1} | {:6.1} {:6.1} | {:5.2} {:5.2} | {} | {:6.0} {:6.0} {:5.1} {:4.1} {}",
        format!("{pattern:?}"),
        mean(&|run| run.weighted()) * 100.0,
        least * 100.0,
        mean(&|run| run.fractions()[0]) * 100.0,
        mean(&|run| run.fractions()[1]) * 100.0,
        mean(&|run| run.groups[0]),
        mean(&|run| run.groups[1]),
        repairs.join(", "),
        mean(&|run| run.idle),
        mean(&|run| run.orders as f64),
        mean(&|run| run.loads as f64),
        mean(&|run| run.cuts as f64),
        runs.iter().map(|run| run.violations.len()).sum::<usize>(),
    );
}

/// Returns a quantile of sorted values.
fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let index = (sorted.len() as f64 * fraction) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}
