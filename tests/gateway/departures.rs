//! Runners whose entries are gone: lapsed in an outage of the store, or left.

use hickoryledge::{
    core::{
        keys::{HallName, HostName, ServiceName},
        time::{Span, Time},
    },
    gateway::{
        roster::{HostKey, ProbeFailure, REENTRY_WINDOW, Roster, Runner},
        stated::Stated,
    },
};

const NAME: &str = "p1";

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

fn runner() -> Runner {
    Runner {
        service: ServiceName::from("plain"),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: HallName::from("hall"),
        domain: None,
        slots: 6,
        draining: false,
        born: 1,
        orders: 0,
        cold_left: Stated::Absent,
        staged: Vec::new(),
        member: None,
    }
}

/// Returns a roster of one listed runner.
fn roster() -> Roster {
    let mut roster = Roster::default();
    roster.replace(vec![(HostName::from(NAME), runner())], at(0));
    roster
}

/// Returns the key of the runner.
fn key(roster: &Roster) -> HostKey {
    let (key, _) = roster.host_by_name(&HostName::from(NAME)).expect("known");
    key
}

fn is_usable(roster: &Roster, now: Time) -> bool {
    let (_, host) = roster.host_by_name(&HostName::from(NAME)).expect("known");
    roster.is_usable(host, now)
}

/// A runner need not say that it leaves: its entry is removed, and it serves on for some seconds.
#[test]
fn store_failure_does_not_bring_back_runner_that_left() {
    let mut roster = roster();
    roster.mark_unlisted(&HostName::from(NAME), at(1_000));
    assert!(!is_usable(&roster, at(1_000)));
    roster.store_recovered(at(11_000));
    assert!(!is_usable(&roster, at(11_000)));
    roster.replace(Vec::new(), at(11_000));
    assert!(!is_usable(&roster, at(11_500)));
}

#[test]
fn repeated_store_failures_do_not_prolong_use_of_lapsed_entry() {
    let mut roster = roster();
    roster.store_recovered(at(5_000));
    roster.replace(Vec::new(), at(5_000));
    assert!(is_usable(&roster, at(6_900)));
    for failure in 0..6 {
        let recovered = at(6_500 + 1_500 * failure);
        roster.store_recovered(recovered);
        roster.replace(Vec::new(), recovered);
    }
    assert!(!is_usable(&roster, at(5_000) + REENTRY_WINDOW));
}

#[test]
fn runner_whose_entry_lapsed_is_used_until_it_may_be_back() {
    let mut roster = roster();
    roster.store_recovered(at(5_000));
    roster.mark_unlisted(&HostName::from(NAME), at(5_100));
    assert!(is_usable(&roster, at(5_100)));
    assert!(!is_usable(&roster, at(5_000) + REENTRY_WINDOW));
    roster.put(HostName::from(NAME), runner());
    assert!(is_usable(&roster, at(9_000)));
}

/// A new holder of the duty may list the entries before its watch has noticed that the store is
/// back.
#[test]
fn entry_that_lapsed_before_the_recovery_is_noticed_may_come_back() {
    let mut roster = roster();
    roster.store_lost(at(5_000));
    roster.replace(Vec::new(), at(8_000));
    roster.store_recovered(at(8_500));
    assert!(is_usable(&roster, at(8_500)));
    assert!(!is_usable(&roster, at(8_500) + REENTRY_WINDOW));
}

/// The store comes back from a copy in which the runner is still listed; the runner doesn't write
/// again.
#[test]
fn older_copy_does_not_bring_back_runner_that_left() {
    let mut roster = roster();
    let name = HostName::from(NAME);
    roster.mark_unlisted(&name, at(1_000));
    roster.store_recovered(at(4_000));
    roster.replace_by_older(vec![(name.clone(), runner())], at(4_000));
    assert!(!is_usable(&roster, at(4_000)));
    assert!(!is_usable(&roster, at(9_000)));
    roster.put(name, runner());
    assert!(is_usable(&roster, at(9_000)));
}

#[test]
fn older_copy_lists_runners_that_never_left() {
    let mut roster = roster();
    roster.store_recovered(at(4_000));
    roster.replace_by_older(vec![(HostName::from(NAME), runner())], at(4_000));
    assert!(is_usable(&roster, at(4_000)));
}

/// A runner that was cut off from the store may have written again just before the list.
#[test]
fn runner_that_stays_listed_after_older_copy_is_used_again() {
    let mut roster = roster();
    let name = HostName::from(NAME);
    roster.mark_unlisted(&name, at(1_000));
    roster.replace_by_older(vec![(name, runner())], at(4_000));
    assert!(!is_usable(&roster, at(33_000)));
    roster.expire(at(34_001));
    assert!(is_usable(&roster, at(34_001)));
}

/// A head that drained while the store was away no longer listens, and still runs requests. Whoever
/// takes the duty lists the entries before its watch has noticed that the store is back.
#[test]
fn runner_that_left_in_outage_is_not_dead_before_the_recovery_is_noticed() {
    let mut roster = roster();
    let name = HostName::from(NAME);
    roster.probe_answered(key(&roster), None, at(20_000));
    roster.store_lost(at(21_000));
    roster.probe_answered(key(&roster), None, at(22_000));
    roster.replace(Vec::new(), at(29_000));
    roster.probe_failed(key(&roster), ProbeFailure::Refused);
    let is_dead = |roster: &Roster| {
        let (_, host) = roster.host_by_name(&name).expect("known");
        roster.is_dead(host)
    };
    assert!(!is_dead(&roster));
    roster.store_recovered(at(30_000));
    assert!(!is_dead(&roster));
}

#[test]
fn runner_that_crashed_under_an_uninterrupted_watch_is_dead() {
    let mut roster = roster();
    let name = HostName::from(NAME);
    roster.probe_answered(key(&roster), None, at(20_000));
    roster.probe_failed(key(&roster), ProbeFailure::Refused);
    let (_, host) = roster.host_by_name(&name).expect("known");
    assert!(roster.is_dead(host));
}

/// Guards against the end of a group that works: a runner that resets a connection, being full, or
/// responds without its report, was taken for one that had crashed.
#[test]
fn runner_that_responds_without_report_is_not_dead() {
    let mut roster = roster();
    roster.probe_answered(key(&roster), None, at(20_000));
    roster.probe_failed(key(&roster), ProbeFailure::Faulty);
    let (_, host) = roster.host_by_name(&HostName::from(NAME)).expect("known");
    assert!(!roster.is_dead(host));
}
