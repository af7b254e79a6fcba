//! What runners say of themselves.

use hickoryledge::{
    core::time::{Span, Time},
    gateway::{
        notices::{LimitChange, Notices, RateLimit},
        roster::HostKey,
    },
};
use slotmap::SlotMap;

fn limit(per_second: f64) -> RateLimit {
    RateLimit::new(per_second).expect("valid")
}

fn at(seconds: u64) -> Time {
    Time::default() + Span::from_secs(seconds)
}

#[test]
fn rate_limit_is_a_finite_number_from_zero() {
    assert_eq!(RateLimit::new(0.0).map(RateLimit::per_second), Some(0.0));
    assert_eq!(RateLimit::new(0.25).map(RateLimit::per_second), Some(0.25));
    assert!(RateLimit::new(1e300).is_some());
    assert_eq!(RateLimit::new(-0.5), None);
    assert_eq!(RateLimit::new(f64::NAN), None);
    assert_eq!(RateLimit::new(f64::INFINITY), None);
}

#[test]
fn notice_holds_until_a_later_response_lacks_it() {
    let mut hosts: SlotMap<HostKey, ()> = SlotMap::with_key();
    let host = hosts.insert(());
    let mut notices = Notices::default();
    assert_eq!(notices.record(host, None, at(1)), None);
    let named = LimitChange {
        before: None,
        after: Some(limit(3.0)),
    };
    assert_eq!(notices.record(host, Some(limit(3.0)), at(2)), Some(named));
    assert_eq!(notices.record(host, Some(limit(3.0)), at(3)), None);
    assert_eq!(notices.rate_limit(host), Some(limit(3.0)));
    assert!(notices.record(host, None, at(4)).is_some());
    assert_eq!(notices.rate_limit(host), None);
}

// Daemons tell each other of notices, which may arrive late.
#[test]
fn older_notice_does_not_replace_newer_one() {
    let mut hosts: SlotMap<HostKey, ()> = SlotMap::with_key();
    let host = hosts.insert(());
    let mut notices = Notices::default();
    notices.record(host, Some(limit(3.0)), at(5));
    assert_eq!(notices.record(host, None, at(4)), None);
    assert_eq!(notices.rate_limit(host), Some(limit(3.0)));
}

#[test]
fn restarted_runner_has_said_nothing() {
    let mut hosts: SlotMap<HostKey, ()> = SlotMap::with_key();
    let host = hosts.insert(());
    let mut notices = Notices::default();
    notices.record(host, Some(limit(3.0)), at(1));
    hosts.remove(host);
    let restarted = hosts.insert(());
    assert_eq!(notices.rate_limit(restarted), None);
}
