//! Hands random requests and faults to a few daemons, and holds what callers
//! saw against what ran. Ends with 1 if anything that must hold did not.

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

/// Requests in one plan.
const REQUESTS: usize = 40;

/// Runs random faulted requests.
#[derive(FromArgs)]
struct Args {
    /// how many requests
    #[argh(option, default = "100_000")]
    requests: usize,
    /// what the plans are drawn from
    #[argh(option, default = "1")]
    seed: u8,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[args.seed; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let plans = plan::plans(REQUESTS);
    let mut sum = fleet::Outcome::default();
    for number in 0..args.requests.div_ceil(REQUESTS) {
        let Ok(tree) = plans.new_tree(&mut runner) else {
            eprintln!("no plan {number}");
            return ExitCode::FAILURE;
        };
        let outcome = fleet::run(&tree.current(), &[]);
        if !outcome.has_no_violations() {
            println!("plan {number}: {outcome:?}");
        }
        sum.add(&outcome);
    }
    println!("{sum:?}");
    if sum.has_no_violations() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
