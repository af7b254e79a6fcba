//! Timeouts that don't count stalls of the event loop.
//!
//! A process that is kept waiting on a busy host finds its timers due when it
//! goes on, beside what has arrived meanwhile. A timeout of the clock would then
//! count the daemon's own stall against the other side. A timeout here consists
//! of several steps, each of which begins once the loop runs again, so that a
//! stall takes one step at most, and what has arrived is looked at first.

use futures_util::future::{Either, select};
use std::{pin::pin, time::Duration};

/// Number of steps of a timeout. A stall counts as one step at most; more steps cost more timers, and
/// on a throttled process each may end a scheduling period late.
const STEPS: u32 = 4;

/// Waits for a future until the event loop has run for `timeout`; returns nothing if that passes first.
pub async fn within<F>(timeout: Duration, future: F) -> Option<F::Output>
where
    F: Future,
{
    let mut future = pin!(future);
    for _ in 0..STEPS {
        let step = pin!(compio::time::sleep(timeout / STEPS));
        // Looks at the future first.
        if let Either::Left((output, _)) = select(future.as_mut(), step).await {
            return Some(output);
        }
    }
    None
}
