//! Runs random requests and faults against a few simulated daemons, and compares
//! what callers saw with what the runners ran. Exits with status 1 if an
//! invariant was violated.

#[path = "../../tests/fakes/mod.rs"]
mod fakes;
#[path = "../../tests/request/fleet.rs"]
mod fleet;
#[path = "../../tests/request/harness.rs"]
#[allow(dead_code)]
mod harness;
#[path = "../../tests/request/plan.rs"]
mod plan;

use argh::FromArgs;
use proptest::{
    strategy::{Strategy as _, ValueTree as _},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::process::ExitCode;

/// Requests per plan.
const PLAN_REQUESTS: usize = 40;

/// Runs random requests under faults.
#[derive(FromArgs)]
struct Args {
    /// minimum number of requests
    #[argh(option, default = "100_000")]
    requests: usize,
    /// seed of the random plans
    #[argh(option, default = "1")]
    seed: u8,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[args.seed; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let plans = plan::plans(PLAN_REQUESTS);
    let mut total = fleet::Outcome::default();
    for number in 0..args.requests.div_ceil(PLAN_REQUESTS) {
        let Ok(tree) = plans.new_tree(&mut runner) else {
            eprintln!("cannot generate plan {number}");
            return ExitCode::FAILURE;
        };
        let outcome = fleet::run(&tree.current(), &[]);
        if !outcome.has_no_violations() {
            println!("plan {number}: {outcome:?}");
        }
        total.add(&outcome);
    }
    println!("{total:?}");
    if total.has_no_violations() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
