//! Limits of heads that follow the requests that begin late.

use hickoryledge::{
    core::{
        keys::ModelName,
        time::{Span, Time},
    },
    gateway::{
        admission::{AdmissionClass, max_expected},
        head_limits::{HeadLimits, StartRates},
    },
};

/// Interval of the totals that tell how many requests begin late.
const INTERVAL: Span = Span::from_millis(200);

fn model() -> ModelName {
    ModelName::from("model")
}

/// Returns the limit after a time in which this fraction of 20 requests a second begins late.
fn after(limits: &mut HeadLimits, from: Time, span: Span, late: f64) -> (Time, f64) {
    let mut now = from;
    while now < from + span {
        now = now + INTERVAL;
        let rates = StartRates {
            per_s: 20.0,
            late_per_s: 20.0 * late,
        };
        limits.observe(&model(), rates, now);
    }
    (now, limits.fraction(&model()))
}

/// Long prompts make requests late long before the slots are in use; with a limit of all slots most
/// of those that were admitted in a burst began late.
#[test]
fn limit_falls_within_two_seconds_while_most_requests_begin_late() {
    let mut limits = HeadLimits::default();
    let before = limits.fraction(&model());
    let (_, fraction) = after(&mut limits, Time(0), Span::from_secs(2), 0.8);
    assert!(fraction < 0.75 * before, "{fraction}");
    assert!(max_expected(48, fraction, AdmissionClass::OnTime) < 36.0);
}

/// Lateness that load isn't the cause of, such as slow heads, must not make requests be refused
/// while most slots are free.
#[test]
fn limit_keeps_a_minimum() {
    let mut limits = HeadLimits::default();
    let (_, fraction) = after(&mut limits, Time(0), Span::from_secs(60), 1.0);
    assert!(fraction >= 0.5, "{fraction}");
}

/// After a burst all slots are used again.
#[test]
fn limit_recovers_once_requests_begin_in_time() {
    let mut limits = HeadLimits::default();
    let full = limits.fraction(&model());
    let (now, _) = after(&mut limits, Time(0), Span::from_secs(3), 0.9);
    let (_, fraction) = after(&mut limits, now, Span::from_secs(4), 0.02);
    assert_eq!(fraction, full);
}

/// A few late requests of a model that hardly anybody asks for say nothing of its load.
#[test]
fn few_requests_do_not_change_the_limit() {
    let mut limits = HeadLimits::default();
    let full = limits.fraction(&model());
    let rates = StartRates {
        per_s: 1.0,
        late_per_s: 1.0,
    };
    (1..50).for_each(|step| limits.observe(&model(), rates, Time(0) + INTERVAL.times(step)));
    assert_eq!(limits.fraction(&model()), full);
}

/// A daemon that was paused must not apply the whole pause to one observation.
#[test]
fn pause_counts_as_one_short_interval() {
    let mut limits = HeadLimits::default();
    let rates = StartRates {
        per_s: 20.0,
        late_per_s: 20.0,
    };
    limits.observe(&model(), rates, Time(0));
    let before = limits.fraction(&model());
    limits.observe(&model(), rates, Time(0) + Span::from_secs(30));
    assert!(limits.fraction(&model()) > before - 0.3);
}
