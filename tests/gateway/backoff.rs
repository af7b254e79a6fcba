//! Delays before failed calls to the store are made again.

use hickoryledge::gateway::backoff::Backoff;
use std::time::Duration;

/// In an outage of ten seconds a daemon that retried every 250 ms made 40 calls of each kind.
#[test]
fn few_calls_are_made_in_an_outage() {
    let mut backoff = Backoff::default();
    let mut elapsed = Duration::ZERO;
    let mut calls = 0;
    while elapsed < Duration::from_secs(10) {
        elapsed += backoff.next_delay();
        calls += 1;
    }
    assert!(calls <= 8, "{calls} calls");
}

/// The holder of the duty must renew its lease within 2.6 seconds of the last renewal.
#[test]
fn lease_is_retried_three_times_before_it_ends() {
    let mut backoff = Backoff::default();
    let delays: Duration = (0..3).map(|_| backoff.next_delay()).sum();
    assert!(delays < Duration::from_millis(1_900), "{delays:?}");
}

#[test]
fn success_ends_backoff() {
    let mut backoff = Backoff::default();
    let first = backoff.next_delay();
    for _ in 0..9 {
        backoff.next_delay();
    }
    backoff.reset();
    assert_eq!(backoff.next_delay(), first);
}

/// A daemon counts as caught up three seconds after the store is back, and entries that lapsed have
/// two seconds of these to come back.
#[test]
fn probe_finds_store_within_half_a_second() {
    let mut probe = Backoff::of_probe();
    for _ in 0..20 {
        assert!(probe.next_delay() <= Duration::from_millis(500));
    }
}
