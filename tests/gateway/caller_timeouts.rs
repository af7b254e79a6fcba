//! Time that callers have spent on earlier attempts, by the timeouts that they send.

use hickoryledge::{core::time::Span, gateway::caller_timeouts::CallerTimeouts};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

const ROUTE: &str = "route";

/// Returns the timeouts after requests of callers who wait for 5.1 to 6 s.
fn varied() -> (CallerTimeouts, SmallRng) {
    let mut timeouts = CallerTimeouts::default();
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..200 {
        timeouts.time_spent(ROUTE, Span::from_millis(rng.random_range(5_100..6_000)));
    }
    (timeouts, rng)
}

/// Callers who are willing to wait for less than others were taken for late ones, and got only the
/// slots that are left to these.
#[test]
fn callers_with_different_timeouts_are_not_taken_for_repeated_attempts() {
    let (mut timeouts, mut rng) = varied();
    let objective = Span::from_millis(300);
    let late = (0..1_000).filter(|_| {
        let timeout = Span::from_millis(rng.random_range(5_100..6_000));
        timeouts.time_spent(ROUTE, timeout) > objective
    });
    assert_eq!(late.count(), 0);
}

/// A caller that comes back after a refusal has less time left than any that comes first.
#[test]
fn repeated_attempt_counts_time_spent() {
    let (mut timeouts, _) = varied();
    let spent = timeouts.time_spent(ROUTE, Span::from_millis(4_000));
    assert!(spent > Span::from_millis(1_000), "{spent:?}");
}

/// With equal timeouts a shorter one is a repeated attempt's.
#[test]
fn equal_timeouts_show_time_spent_in_full() {
    let mut timeouts = CallerTimeouts::default();
    for _ in 0..20 {
        assert_eq!(
            timeouts.time_spent(ROUTE, Span::from_millis(8_000)),
            Span::ZERO
        );
    }
    let spent = timeouts.time_spent(ROUTE, Span::from_millis(6_500));
    assert_eq!(spent, Span::from_millis(1_500));
}

/// The first requests of a route prove nothing.
#[test]
fn first_requests_of_a_route_have_spent_no_time() {
    let mut timeouts = CallerTimeouts::default();
    timeouts.time_spent(ROUTE, Span::from_millis(8_000));
    let spent = timeouts.time_spent(ROUTE, Span::from_millis(1_000));
    assert_eq!(spent, Span::ZERO);
}
