//! Answers at an address where another runner was known before.

use crate::{
    entries,
    fleet::{Fleet, LARGE, SMALL},
    groups::settled_fleet,
};
use hickoryledge::{
    core::{
        input::{PlatformEntry, WatchEvent},
        keys::{HostName, Revision},
        time::Span,
    },
    gateway::{handlers::RunnerHandler, state::GatewayState, watch::EntryHandler as _},
    platform::Platform,
};

/// Time for which the runners of the domain are gone; their entries lapse meanwhile.
const UNREACHABLE_TIME: Span = Span::from_secs(6);

/// Time from one restart of the domain to the next crash.
const UP_TIME: Span = Span::from_secs(20);

/// Crashes a whole domain and starts its runners again, with new names at the old addresses, until
/// hosts of earlier rounds have been forgotten.
fn restart_domain_again_and_again(fleet: &mut Fleet) {
    for round in 0..5 {
        let alive = fleet.alive();
        for host in &alive {
            fleet.power_off(host, true);
        }
        fleet.run_for(UNREACHABLE_TIME);
        for (number, host) in alive.iter().enumerate() {
            fleet.restart(host, &format!("r{round}-{}", (number * 7 + round) % 11));
            fleet.run_for(Span::from_millis(100));
        }
        fleet.run_for(UP_TIME);
    }
}

/// Guards against TWO: the answer of a new runner was taken for that of the earlier one at its
/// address, which then stood in the new runner's place in its group, and the new one looked free.
#[test]
fn new_runner_at_old_address_is_not_taken_for_earlier_one() {
    for hides_starts in [false, true] {
        let mut fleet = Fleet::new(1, 11);
        fleet.hides_starts = hides_starts;
        fleet.run_for(Span::from_secs(40));
        fleet.planner.has_traffic = true;
        restart_domain_again_and_again(&mut fleet);
        assert_eq!(fleet.violations, Vec::<String>::new());
        assert_eq!(
            (fleet.serving_count(LARGE), fleet.serving_count(SMALL)),
            (1, 1)
        );
    }
}

/// An address belongs to one runner at a time, so a new one there proves that the earlier one has
/// ended: its members need not wait for its entry to lapse.
#[test]
fn new_runner_at_address_of_head_frees_members() {
    let mut fleet = settled_fleet(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.power_off(&head, false);
    fleet.run_for(Span::from_millis(500));
    fleet.restart(&head, "d0-again");
    fleet.run_for(Span::from_secs(3));
    assert!(
        fleet.roster.host_by_name(&head).is_none(),
        "two runners at one address"
    );
    let again = HostName::from("d0-again");
    assert!(fleet.roster.host_by_name(&again).is_some());
    assert_eq!(fleet.serving_count(SMALL), 1);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// Returns the entry of a runner at one address, without its start if that is none.
fn entry(name: &str, revision: i64, born: Option<u64>) -> PlatformEntry {
    let born = born.map_or(String::new(), |born| format!(r#","born":{born}"#));
    let value = format!(
        r#"{{"Service":"s","Address":"10.0.0.9:80","Zone":"hall","Slots":26,"State":"ready"{born}}}"#
    );
    PlatformEntry {
        key: format!("servers/{name}"),
        value,
        revision: Revision(revision),
        lease: None,
    }
}

fn known(state: &GatewayState) -> Vec<String> {
    let roster = state.roster.borrow();
    let names = roster
        .hosts()
        .map(|(_, host)| host.name.as_str().to_owned());
    names.collect()
}

/// The entry of a crashed runner stays for seconds; listed beside that of the new runner at its
/// address, it must not stand for it, whatever the order of their names.
#[test]
fn last_entry_written_for_an_address_names_its_runner() {
    for (former, latest) in [("a", "b"), ("b", "a")] {
        let state = entries::state();
        let handler = RunnerHandler::<Platform>::new(state.clone());
        let mut listed = vec![entry(former, 5, None), entry(latest, 7, None)];
        listed.sort_by(|one, other| one.key.cmp(&other.key));
        handler.on_list(Revision(8), listed.clone());
        assert_eq!(known(&state), [latest]);
        let key = state
            .roster
            .borrow()
            .host_by_name(&HostName::from(latest))
            .map(|(key, _)| key);
        handler.on_list(Revision(9), listed);
        assert!(
            state.roster.borrow().host(key.expect("known")).is_some(),
            "taken for another run"
        );
        handler.on_change(vec![WatchEvent::Put(entry(former, 10, None))]);
        assert_eq!(known(&state), [former]);
    }
}

/// An entry without a start comes from another writer if the runner at its address tells its own;
/// and a late entry of an earlier run must not replace a later one.
#[test]
fn entry_of_earlier_run_does_not_take_address() {
    for born in [None, Some(6)] {
        let state = entries::state();
        let handler = RunnerHandler::<Platform>::new(state.clone());
        handler.on_list(Revision(5), vec![entry("a", 5, Some(7))]);
        handler.on_change(vec![WatchEvent::Put(entry("b", 6, born))]);
        assert_eq!(known(&state), ["a"]);
        let listed = vec![entry("a", 5, Some(7)), entry("b", 6, born)];
        handler.on_list(Revision(8), listed.clone());
        assert_eq!(known(&state), ["a"]);
        let state = entries::state();
        RunnerHandler::<Platform>::new(state.clone()).on_list(Revision(8), listed);
        assert_eq!(known(&state), ["a"], "a new daemon");
    }
}

/// Guards against a group without a head: an entry that another writer left, without a start, was
/// taken for a new run of its host, and what was known of the runner was dropped.
#[test]
fn entry_without_start_is_no_new_run() {
    let state = entries::state();
    let handler = RunnerHandler::<Platform>::new(state.clone());
    handler.on_list(Revision(5), vec![entry("a", 5, Some(7))]);
    let host = || {
        let roster = state.roster.borrow();
        let (key, host) = roster.host_by_name(&HostName::from("a")).expect("known");
        (key, host.runner.born, host.unlisted_since.is_some())
    };
    let (key, _, _) = host();
    handler.on_change(vec![WatchEvent::Put(entry("a", 6, None))]);
    assert_eq!(host(), (key, 7, true), "it names no runner to use");
    handler.on_change(vec![WatchEvent::Put(entry("a", 7, Some(7)))]);
    assert_eq!(host(), (key, 7, false));
}

/// Runners that don't tell their starts are told apart by their names: another one at the address
/// is a later run, which shows that the earlier one has ended.
#[test]
fn other_runner_at_address_is_a_later_run() {
    for (born, later) in [(None, None), (Some(7), Some(8))] {
        let state = entries::state();
        let handler = RunnerHandler::<Platform>::new(state.clone());
        handler.on_list(Revision(5), vec![entry("a", 5, born)]);
        let (_, host) = {
            let roster = state.roster.borrow();
            let (key, host) = roster.host_by_name(&HostName::from("a")).expect("known");
            (key, host.clone())
        };
        let has_restarted = || {
            let roster = state.roster.borrow();
            roster.has_restarted(&host.instance(), host.runner.address)
        };
        assert!(!has_restarted());
        handler.on_change(vec![WatchEvent::Put(entry("b", 6, later))]);
        assert!(has_restarted());
    }
}
