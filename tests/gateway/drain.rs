//! Requests that a stopping daemon takes.

use hickoryledge::{
    core::time::{Span, Time},
    gateway::drain::Drain,
};

/// Time of the signal.
const SIGNAL: Time = Time(5_000_000);

const GRACE: Span = Span::from_secs(8);

/// Processor time of a small host, in cores.
const CORES: f64 = 0.12;

fn drain() -> Drain {
    Drain::new(GRACE, CORES, SIGNAL)
}

/// Returns true if a request that comes `after_ms` after the signal is taken.
fn is_taken(after_ms: u64, timeout_ms: u64, estimate_ms: u64) -> bool {
    let now = SIGNAL + Span::from_millis(after_ms);
    let deadline = now + Span::from_millis(timeout_ms);
    drain().admits(deadline, Span::from_millis(estimate_ms), now)
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

// Small hosts were killed at the end of the grace period: they had 100 ms for the exit, and a
// scheduler that leaves them waiting for as long.
#[test]
fn exit_leaves_small_hosts_more_time_than_large_ones() {
    let margin = |cores: f64| {
        let exits = Drain::new(GRACE, cores, SIGNAL).exits();
        (SIGNAL + GRACE).since(exits).as_millis()
    };
    assert_eq!(margin(0.12), 400);
    assert_eq!(margin(0.5), 210);
    assert_eq!(margin(4.0), 157);
    assert_eq!(margin(0.0), 180, "settings without the cores");
    assert_eq!(margin(0.01), 450, "requests must end before the exit");
}

// A request that is given up is answered, so it needs time between the end of admitted requests
// and the exit.
#[test]
fn requests_end_before_they_are_given_up_and_the_exit_is_forced_last() {
    for cores in [0.0, 0.01, 0.12, 0.5, 8.0] {
        let drain = Drain::new(GRACE, cores, SIGNAL);
        let end = drain.ends();
        assert!(!drain.has_given_up(end - Span::from_millis(1)), "{cores}");
        assert!(drain.has_given_up(drain.exits() - Span::from_millis(200)));
        assert!(end < drain.exits() && drain.exits() < drain.forced());
        assert!(drain.forced() + Span::from_millis(75) < SIGNAL + GRACE);
    }
}

// Callers keep an address for up to three times its time to live, from the last response of a
// daemon that had not heard of the stop.
#[test]
fn unused_daemon_closes_once_callers_have_moved() {
    let ttl = Span::from_millis(500);
    let revoked = SIGNAL + Span::from_millis(20);
    let moved = revoked + Span::from_millis(2_500);
    let before = moved - Span::from_millis(1);
    assert!(!drain().closes(0, Some(revoked), ttl, before));
    assert!(drain().closes(0, Some(revoked), ttl, moved));
    assert!(!drain().closes(1, Some(revoked), ttl, moved));
    assert!(
        !drain().closes(0, None, ttl, moved),
        "other daemons may name it as long as its lease lasts"
    );
    assert!(drain().closes(1, None, ttl, drain().ends()));
}
