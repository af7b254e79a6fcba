//! Budgets over a sliding window: retries and weight loads.

use hickoryledge::{
    core::time::{Span, Time},
    gateway::budget::{LoadBudget, PeakCount, RetryBudget},
};

const WINDOW: Span = Span::from_secs(10);

#[test]
fn retries_are_limited_to_ratio_plus_slack() {
    let mut budget = RetryBudget::new(0.2, WINDOW);
    for _ in 0..50 {
        budget.record_request(Time(0));
    }
    let taken = (0..100).filter(|_| budget.try_take(3.0, Time(1))).count();
    assert_eq!(taken, 13);
}

#[test]
fn retries_are_available_again_after_window() {
    let mut budget = RetryBudget::new(0.0, WINDOW);
    assert!(budget.try_take(1.0, Time(0)));
    assert!(!budget.try_take(1.0, Time(WINDOW.0)));
    assert!(budget.try_take(1.0, Time(WINDOW.0 + 1)));
}

#[test]
fn weight_loads_are_taken_all_or_none() {
    let mut budget = LoadBudget::new(WINDOW);
    assert!(budget.try_take(20, 27, Time(0)));
    assert!(!budget.try_take(8, 27, Time(1)));
    assert!(budget.try_take(7, 27, Time(1)));
}

#[test]
fn largest_count_of_daemons_is_remembered_for_a_minute() {
    let mut count = PeakCount::default();
    let at = |seconds| Time::default() + Span::from_secs(seconds);
    assert_eq!(count.record(8, at(1)), 8);
    assert_eq!(count.record(4, at(30)), 8);
    assert_eq!(count.record(4, at(61)), 8);
    assert_eq!(count.record(9, at(62)), 9);
    assert_eq!(count.record(4, at(125)), 9);
    assert_eq!(count.record(4, at(190)), 4);
}
