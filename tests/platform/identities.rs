//! Another runner answers at an address before its entry has arrived.

use super::{env::TestEnv, runner::Runner};

fn is_lost(env: &TestEnv, head: &Runner) -> bool {
    let health = env.store.value("hickoryledge/lost");
    health.contains(&format!("[[\"{}\",", head.name))
}

/// Guards against TWO and a lost runner: what another runner reports, at the address of a head, was
/// taken for the head's own report.
#[test]
fn report_of_another_run_is_not_taken_for_that_of_the_head() {
    let env = TestEnv::start();
    let head = &env.heads[0];
    head.successor.set_there(true);
    env.eventually("the head is known to be replaced", |env| is_lost(env, head));
    assert!(head.successor.probes() > 0);
    // Only a connection was lost, say.
    head.successor.set_there(false);
    let before = head.requests().len();
    env.eventually("the head serves again", |env| {
        env.stream(&[]);
        head.requests().len() > before
    });
}

/// Guards against TWO: a runner carried out orders that were meant for the one before it.
#[test]
fn order_is_not_carried_out_by_another_runner() {
    let env = TestEnv::start();
    let head = &env.heads[0];
    head.successor.set_there(true);
    // Its entry says that it holds no group, so that it is ordered to join one.
    head.restart();
    env.eventually("the successor has been ordered", |_| {
        head.successor.refusals() + head.successor.orders() > 0
    });
    assert_eq!(head.successor.orders(), 0);
}

/// Guards against a runner that nobody uses: the load and the leaving of another runner, which
/// refuses a request as meant for the one before it, were taken for those of that one.
#[test]
fn refusal_by_another_runner_says_nothing_of_the_expected_one() {
    let env = TestEnv::start();
    let runner = &env.plain_runners[0];
    runner.successor.set_there(true);
    env.eventually("the successor has refused a request", |env| {
        assert_eq!(env.call("GET", "/read/x", &[], "").status, 200);
        runner.successor.refusals() > 0
    });
    runner.successor.set_there(false);
    let before = runner.requests().len();
    env.eventually("the runner serves again", |env| {
        env.call("GET", "/read/x", &[], "");
        runner.requests().len() > before
    });
}
