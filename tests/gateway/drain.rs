//! Requests that a stopping daemon takes.

use hickoryledge::{
    core::time::{Span, Time},
    gateway::drain::Drain,
};

/// Time of the signal.
const SIGNAL: Time = Time(5_000_000);

const GRACE: Span = Span::from_secs(8);

/// End of the grace period in which connections are closed.
const CLOSING: Span = Span::from_millis(700);

/// Returns true if a request that comes `after_ms` after the signal is taken.
fn is_taken(after_ms: u64, timeout_ms: u64, estimate_ms: u64) -> bool {
    let now = SIGNAL + Span::from_millis(after_ms);
    let deadline = now + Span::from_millis(timeout_ms);
    Drain::new(GRACE, CLOSING, SIGNAL).admits(deadline, Span::from_millis(estimate_ms), now)
}

#[test]
fn takes_request_whose_deadline_passes_before_the_exit() {
    assert!(is_taken(0, 7_300, 60_000));
    assert!(is_taken(6_000, 1_300, 60_000));
    assert!(!is_taken(6_000, 1_301, 100));
}

#[test]
fn takes_likely_request_while_callers_have_the_address() {
    assert!(is_taken(0, 8_000, 1_900));
    assert!(is_taken(2_900, 8_000, 1_700));
    assert!(
        !is_taken(3_000, 8_000, 100),
        "callers had time to learn of the stop"
    );
}

#[test]
fn refuses_request_that_may_run_twice_and_outlast_the_daemon() {
    assert!(is_taken(0, 8_000, 3_150));
    assert!(!is_taken(0, 8_000, 3_151));
    assert!(!is_taken(2_900, 8_000, 1_800));
}
