//! Restarts of tasks that panic, in virtual time.

use hickoryledge::{
    core::time::{Span, Time},
    shell::supervisor::RestartLimit,
};

/// Guards against a process that restarts a broken task for ever, and against one that ends for
/// panics that are minutes apart.
#[test]
fn restarts_are_limited_per_minute() {
    let mut limit = RestartLimit::default();
    let mut restarts_in = |minute: u64, interval: Span| {
        let start = Time(0) + Span::from_secs(60 * minute);
        let times = (0..10).map(|number| start + interval.times(number));
        times.filter(|now| limit.try_restart(*now)).count()
    };
    assert_eq!(restarts_in(0, Span::from_millis(200)), 4);
    assert_eq!(restarts_in(1, Span::from_secs(1)), 4, "a minute later");
    assert_eq!(restarts_in(3, Span::from_secs(15)), 10, "four a minute");
}
