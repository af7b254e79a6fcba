//! Stalls of the daemon's own event loop, which are no fault of the runners.

use compio::{net::TcpListener, runtime::Runtime};
use futures_util::future::{join, pending};
use hickoryledge::shell::{http::connect_within, running_time};
use std::{thread, time::Duration};

/// Timeout of what is waited for.
const TIMEOUT: Duration = Duration::from_millis(100);

/// Stall of the event loop, longer than that timeout.
const STALL: Duration = Duration::from_millis(150);

/// Attempts: a timeout that has passed beside a result used to win by chance.
const ATTEMPTS: usize = 10;

/// Guards against a runner that counts as unreachable because the daemon itself was kept waiting
/// while it connected.
#[test]
fn connection_outlasts_a_stall_of_the_event_loop() {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let address = listener.local_addr().expect("bound");
        for _ in 0..ATTEMPTS {
            let stall = async { thread::sleep(STALL) };
            let (connected, ()) = join(connect_within(address, TIMEOUT), stall).await;
            assert!(connected.is_ok(), "{connected:?}");
        }
    });
}

/// Several steps, each after another stall: none of them counts in full.
#[test]
fn three_stalls_leave_time_of_a_timeout() {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let steps = async {
            for _ in 0..3 {
                thread::sleep(STALL);
                compio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        assert_eq!(running_time::within(TIMEOUT, steps).await, Some(()));
    });
}

#[test]
fn timeout_passes_while_the_event_loop_runs() {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        assert_eq!(running_time::within(TIMEOUT, pending::<()>()).await, None);
    });
}
