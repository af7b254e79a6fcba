//! Property tests with random requests and faults on one to three daemons.

use super::{fleet, plan::plans};
use hickoryledge::core::options::Mechanism;
use proptest::{
    strategy::{Strategy as _, ValueTree as _},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// Number of plans per property, each of [`REQUESTS`].
const CASES: u32 = 60;

/// Number of requests in one plan.
const REQUESTS: usize = 25;

fn runner(seed: u8) -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Whatever fails, refusals are true, responses are complete and unmixed, each call ends once
/// and each non-idempotent request runs at most once.
#[test]
fn invariants_hold_under_random_faults() {
    let result = runner(1).run(&plans(REQUESTS), |plan| {
        let outcome = fleet::run(&plan, &[]);
        proptest::prop_assert!(outcome.has_no_violations(), "{:?}", outcome);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// The simulation and the core must be deterministic, or failures could not be reproduced.
#[test]
fn same_plan_gives_same_outcome() {
    let mut runner = runner(2);
    let tree = plans(REQUESTS)
        .new_tree(&mut runner)
        .expect("plan is generated");
    let plan = tree.current();
    assert_eq!(fleet::run(&plan, &[]), fleet::run(&plan, &[]));
}

/// Returns the sum of the outcomes of many plans without a mechanism.
fn outcome(without: Mechanism) -> fleet::Outcome {
    let mut runner = runner(3);
    let mut sum = fleet::Outcome::default();
    for _ in 0..CASES {
        let tree = plans(REQUESTS)
            .new_tree(&mut runner)
            .expect("plan is generated");
        sum.add(&fleet::run(&tree.current(), &[without]));
    }
    sum
}

/// Guards against plans too weak to detect violations: without the mechanism there must be some.
#[test]
fn each_mechanism_prevents_violations() {
    assert!(outcome(Mechanism::RefusalTruth).false_refusals > 0);
    assert!(outcome(Mechanism::SingleStart).duplicate_runs > 0);
    assert!(outcome(Mechanism::AnswerMatching).wrong_text > 0);
}
