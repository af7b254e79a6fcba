//! Whether a daemon is cut off, or runners are gone or silent.

use hickoryledge::{
    core::time::{Span, Time},
    gateway::{
        reach::{Reach, ReachChange},
        roster::HostKey,
    },
};
use slotmap::SlotMap;

/// Runners beside those that fail.
const OTHERS: usize = 60;

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

fn hosts() -> Vec<HostKey> {
    let mut hosts: SlotMap<HostKey, ()> = SlotMap::with_key();
    (0..6).map(|_| hosts.insert(())).collect()
}

#[test]
fn daemon_is_cut_off_once_three_runners_in_a_row_and_others_fail() {
    let (hosts, mut reach) = (hosts(), Reach::default());
    assert_eq!(reach.failed(hosts[0], OTHERS, at(0)), None);
    assert_eq!(reach.failed(hosts[1], OTHERS, at(150)), None);
    assert!(!reach.is_in_doubt());
    let change = reach.failed(hosts[2], OTHERS, at(300));
    assert_eq!(change, Some(ReachChange::Doubted));
    assert_eq!(reach.failed(hosts[3], OTHERS, at(300)), None, "told once");
    assert!(reach.is_in_doubt() && !reach.is_cut_off());
    assert_eq!(reach.others_failed(at(300)), Some(ReachChange::Lost));
    assert!(!reach.is_in_doubt() && reach.is_cut_off());
    assert_eq!(reach.failed(hosts[3], OTHERS, at(450)), None, "told once");
    let after = Span::from_millis(11_700);
    let change = reach.connected(at(12_000));
    assert_eq!(change, Some(ReachChange::Regained { after }));
    assert!(!reach.is_cut_off());
}

/// A domain loses several runners at once, and nobody connects to another meanwhile.
#[test]
fn crashed_runners_in_a_row_are_no_cut_until_others_fail_too() {
    let (hosts, mut reach) = (hosts(), Reach::default());
    for host in &hosts[..5] {
        reach.failed(*host, OTHERS, at(100));
    }
    assert!(!reach.is_cut_off());
    assert_eq!(reach.connected(at(110)), None);
    assert_eq!(reach.others_failed(at(120)), None, "one has answered");
    assert!(!reach.is_cut_off());
}

/// A runner that is gone or silent fails each connection while others take theirs.
#[test]
fn daemon_is_not_cut_off_while_one_runner_fails() {
    let (hosts, mut reach) = (hosts(), Reach::default());
    for number in 0..20 {
        assert_eq!(reach.failed(hosts[0], OTHERS, at(50 * number)), None);
    }
    assert!(!reach.is_in_doubt() && !reach.is_cut_off());
}

/// A replica of several hosts is lost, and other replicas go on.
#[test]
fn daemon_is_not_cut_off_while_any_runner_takes_connections() {
    let (hosts, mut reach) = (hosts(), Reach::default());
    for number in 0..60 {
        let now = at(20 * number);
        reach.failed(hosts[number as usize % 5], OTHERS, now);
        if number % 2 == 1 {
            assert_eq!(reach.connected(now), None);
        }
    }
}

#[test]
fn old_failures_are_forgotten() {
    let (hosts, mut reach) = (hosts(), Reach::default());
    for (number, host) in hosts.iter().enumerate() {
        reach.failed(*host, OTHERS, at(6_000 * number as u64));
    }
    assert!(!reach.is_in_doubt() && !reach.is_cut_off());
}

#[test]
fn all_of_few_runners_are_enough() {
    let (hosts, mut reach) = (hosts(), Reach::default());
    assert_eq!(reach.failed(hosts[0], 1, at(0)), None);
    let change = reach.failed(hosts[1], 0, at(100));
    assert_eq!(change, Some(ReachChange::Lost));
}

#[test]
fn duty_goes_to_another_daemon_only_after_a_long_cut() {
    let (hosts, mut reach) = (hosts(), Reach::default());
    for host in &hosts {
        reach.failed(*host, OTHERS, at(1_000));
    }
    reach.others_failed(at(1_000));
    assert!(!reach.should_hand_over(at(2_000)), "a moment's loss");
    assert!(reach.should_hand_over(at(2_500)));
    reach.connected(at(2_600));
    assert!(!reach.should_hand_over(at(9_000)));
}
