//! Random sequences of faults over one to three daemons.

use super::{fleet, plan::plans};
use hickoryledge::core::options::Mechanism;
use proptest::{
    strategy::{Strategy as _, ValueTree as _},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// Runs of the property, each of [`REQUESTS`].
const CASES: u32 = 60;

/// Requests in one run.
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

#[test]
fn what_callers_see_is_true_whatever_fails() {
    let result = runner(1).run(&plans(REQUESTS), |plan| {
        let outcome = fleet::run(&plan, &[]);
        proptest::prop_assert!(outcome.has_no_violations(), "{:?}", outcome);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn the_same_plan_gives_the_same_outcome() {
    let mut runner = runner(2);
    let tree = plans(REQUESTS).new_tree(&mut runner).expect("a plan");
    let plan = tree.current();
    assert_eq!(fleet::run(&plan, &[]), fleet::run(&plan, &[]));
}

/// Everything that came of many plans with a mechanism taken out.
fn outcome(without: Mechanism) -> fleet::Outcome {
    let mut runner = runner(3);
    let mut sum = fleet::Outcome::default();
    for _ in 0..CASES {
        let tree = plans(REQUESTS).new_tree(&mut runner).expect("a plan");
        sum.add(&fleet::run(&tree.current(), &[without]));
    }
    sum
}

#[test]
fn each_mechanism_is_needed() {
    assert!(outcome(Mechanism::RefusalTruth).false_refusals > 0);
    assert!(outcome(Mechanism::SingleStart).duplicate_runs > 0);
    assert!(outcome(Mechanism::AnswerMatching).wrong_text > 0);
}
