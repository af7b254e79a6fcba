//! What runners say of themselves.

use crate::fleet::{Fleet, LARGE};
use hickoryledge::{
    core::time::{Span, Time},
    gateway::{
        notices::{LimitChange, Notices, RateLimit},
        roster::{HostKey, Roster, Runner},
    },
};
use slotmap::SlotMap;
use std::{collections::BTreeSet, fs, path::Path};

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
    assert_eq!(notices.record_limit(host, None, at(1)), None);
    let named = LimitChange {
        before: None,
        after: Some(limit(3.0)),
    };
    assert_eq!(
        notices.record_limit(host, Some(limit(3.0)), at(2)),
        Some(named)
    );
    assert_eq!(notices.record_limit(host, Some(limit(3.0)), at(3)), None);
    assert_eq!(notices.rate_limit(host), Some(limit(3.0)));
    assert!(notices.record_limit(host, None, at(4)).is_some());
    assert_eq!(notices.rate_limit(host), None);
}

// Daemons tell each other of notices, which may arrive late.
#[test]
fn older_notice_does_not_replace_newer_one() {
    let mut hosts: SlotMap<HostKey, ()> = SlotMap::with_key();
    let host = hosts.insert(());
    let mut notices = Notices::default();
    notices.record_limit(host, Some(limit(3.0)), at(5));
    assert_eq!(notices.record_limit(host, None, at(4)), None);
    assert_eq!(notices.rate_limit(host), Some(limit(3.0)));
}

#[test]
fn restarted_runner_has_said_nothing() {
    let mut hosts: SlotMap<HostKey, ()> = SlotMap::with_key();
    let host = hosts.insert(());
    let mut notices = Notices::default();
    notices.record_limit(host, Some(limit(3.0)), at(1));
    hosts.remove(host);
    let restarted = hosts.insert(());
    assert_eq!(notices.rate_limit(restarted), None);
}

#[test]
fn pause_holds_until_its_end_and_is_not_shortened() {
    let mut hosts: SlotMap<HostKey, ()> = SlotMap::with_key();
    let host = hosts.insert(());
    let mut notices = Notices::default();
    notices.record_pause(host, at(10));
    notices.record_pause(host, at(5));
    assert!(notices.is_paused(host, at(9)));
    assert_eq!(notices.wait(host, at(4)), Span::from_secs(6));
    assert!(!notices.is_paused(host, at(10)));
    assert_eq!(notices.wait(host, at(10)), Span::ZERO);
}

// A limit that ends must not end a pause.
#[test]
fn pause_outlasts_change_of_rate_limit() {
    let mut hosts: SlotMap<HostKey, ()> = SlotMap::with_key();
    let host = hosts.insert(());
    let mut notices = Notices::default();
    notices.record_limit(host, Some(limit(1.0)), at(1));
    notices.hold_back(host, at(3));
    notices.record_pause(host, at(10));
    notices.record_limit(host, None, at(2));
    assert_eq!(notices.wait(host, at(2)), Span::from_secs(8));
}

// The store may be away, or come back from an older copy, while a runner leaves.
#[test]
fn leaving_runner_stays_unusable_although_its_entry_is_ready() {
    let mut fleet = Fleet::new(1, 11);
    fleet.run_for(Span::from_secs(12));
    let name = fleet.alive()[0].clone();
    let (key, host) = fleet.roster.host_by_name(&name).expect("known");
    let mut runner = host.runner.clone();
    assert!(fleet.roster.mark_leaving(key));
    assert!(!fleet.roster.mark_leaving(key), "only the first is news");
    fleet.roster.put(name.clone(), runner.clone());
    fleet
        .roster
        .replace(vec![(name.clone(), runner.clone())], fleet.now);
    let is_usable = |fleet: &Fleet| {
        let (_, host) = fleet.roster.host_by_name(&name).expect("known");
        fleet.roster.is_usable(host, fleet.now)
    };
    assert!(!is_usable(&fleet));
    runner.born += 1;
    fleet.roster.put(name.clone(), runner);
    assert!(is_usable(&fleet), "a restarted runner has said nothing");
}

// After a rollback of the store its entries are older than what the daemons know.
#[test]
fn newer_reports_are_kept_over_an_older_copy() {
    let mut fleet = Fleet::new(1, 11);
    fleet.run_for(Span::from_secs(12));
    let name = fleet.alive()[0].clone();
    let (_, host) = fleet.roster.host_by_name(&name).expect("known");
    let report = Runner {
        orders: 5,
        draining: false,
        ..host.runner.clone()
    };
    let kept_over = |known: &Runner, listed: &Runner| {
        let mut roster = Roster::default();
        roster.put(name.clone(), known.clone());
        let kept = roster.keep_newer(vec![(name.clone(), listed.clone())]);
        kept[0].1 == *known
    };
    let with = |change: fn(&mut Runner)| {
        let mut other = report.clone();
        change(&mut other);
        other
    };
    assert!(kept_over(&report, &with(|other| other.orders = 4)));
    assert!(kept_over(&report, &with(|other| other.born -= 1)));
    assert!(kept_over(&with(|known| known.draining = true), &report));
    assert!(!kept_over(&report, &with(|other| other.orders = 6)));
    assert!(!kept_over(&report, &with(|other| other.draining = true)));
}

#[test]
fn group_of_leaving_member_is_replaced_like_that_of_a_draining_one() {
    let mut fleet = Fleet::new(1, 11);
    fleet.run_for(Span::from_secs(40));
    fleet.planner.has_traffic = true;
    let member = fleet.members(LARGE)[3].clone();
    let (key, _) = fleet.roster.host_by_name(&member).expect("known");
    fleet.roster.mark_leaving(key);
    fleet.run_for(Span::from_secs(4));
    assert_eq!(fleet.serving_count(LARGE), 1);
    assert!(!fleet.members(LARGE).contains(&member));
    assert_eq!(fleet.violations, Vec::<String>::new());
}

// Each place from which a request goes out must ask whether the runner wants it.
#[test]
fn requests_go_out_only_with_a_permit_and_after_the_last_check() {
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/gateway");
    let read = |name: &str| fs::read_to_string(sources.join(name)).expect("a source file");
    let files = fs::read_dir(&sources).expect("sources");
    let names = files.map(|file| file.expect("a file").file_name());
    let sending: BTreeSet<String> = names
        .filter_map(|name| name.into_string().ok())
        .filter(|name| name.ends_with(".rs"))
        .filter(|name| read(name).contains("connection.send("))
        .collect();
    let expected = ["attempt.rs", "orders.rs", "probe.rs"].map(str::to_owned);
    assert_eq!(sending, BTreeSet::from(expected), "a new place that sends");
    let attempt = read("attempt.rs");
    assert!(attempt.contains("permit: Permit"));
    let check = attempt.find("if !wants_requests(").expect("a check");
    let send = attempt.find("connection.send(").expect("a send");
    assert!(check < send);
}
