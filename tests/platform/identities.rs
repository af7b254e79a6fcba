//! Another runner answers at an address before its entry has arrived.

use super::env::TestEnv;

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
