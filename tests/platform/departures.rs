//! Runners that leave without announcing it: the platform removes their entries, and they serve on.

use super::env::TestEnv;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time for which the store fails.
const FAILURE: Duration = Duration::from_millis(600);

/// Time in which the daemon has noticed that the store is back, and has waited for missing entries.
const AFTERMATH: Duration = Duration::from_millis(4_500);

#[test]
fn store_failure_does_not_bring_back_runner_that_left() {
    let env = TestEnv::start();
    let read = || env.call("GET", "/read/x", &[], "").status;
    let left = &env.plain_runners[0];
    env.store.delete("servers/p1");
    env.eventually("the daemon knows that the runner has left", |_| {
        let before = left.requests().len();
        (0..20).all(|_| read() == 200) && left.requests().len() == before
    });
    let before = left.requests().len();
    env.store.set_failing(true);
    thread::sleep(FAILURE);
    env.store.set_failing(false);
    let end = Instant::now() + AFTERMATH;
    while Instant::now() < end {
        assert_eq!(read(), 200);
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(left.requests().len(), before);
}
