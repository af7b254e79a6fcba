//! Which members are probed, and when.

use crate::fleet::{Fleet, LARGE, SMALL};
use hickoryledge::{
    core::{
        keys::HostName,
        time::{Span, Time},
    },
    gateway::{
        liveness::{
            GroupProgress, ReportedProgress, is_cut_off, is_probe_due, is_proven_since, proofs,
            recent_progress, select_probes,
        },
        load::Loads,
        roster::HostKey,
    },
};
use slotmap::SlotMap;

/// Returns a fleet in which the larger model's group has just sent data.
fn fleet_with_data() -> (Fleet, Loads) {
    let mut fleet = Fleet::new(1, 11);
    fleet.run_for(Span::from_secs(40));
    let mut loads = Loads::default();
    let head = key(&fleet, &fleet.members(LARGE)[0]);
    loads.stream_started(head, fleet.now);
    loads.data_received(head, fleet.now);
    (fleet, loads)
}

fn key(fleet: &Fleet, name: &HostName) -> HostKey {
    fleet.roster.host_by_name(name).expect("known").0
}

/// A group makes no progress without one of its members, so data of its head proves them all.
#[test]
fn data_of_head_proves_all_members_alive() {
    let (fleet, loads) = fleet_with_data();
    let proofs = proofs(&fleet.roster, &loads, &ReportedProgress::default());
    let is_proven = |name: &HostName| proofs.contains_key(&key(&fleet, name));
    assert!(fleet.members(LARGE).iter().all(is_proven));
    assert!(!fleet.members(SMALL).iter().any(is_proven));
}

/// The holder sees one of many streams: what other daemons report counts like its own data.
#[test]
fn report_of_other_daemon_proves_all_members_alive() {
    let (fleet, loads) = fleet_with_data();
    let now = fleet.now + Span::from_millis(100);
    let report = recent_progress(&fleet.roster, &loads, Span::from_millis(250), now);
    let mut reported = ReportedProgress::default();
    reported.record(&report, now);
    let proofs = proofs(&fleet.roster, &Loads::default(), &reported);
    let members = fleet.members(LARGE);
    let times = members.iter().map(|name| proofs.get(&key(&fleet, name)));
    assert!(times.clone().all(|at| at == Some(&fleet.now)), "{proofs:?}");
}

#[test]
fn old_progress_is_not_reported() {
    let (fleet, loads) = fleet_with_data();
    let now = fleet.now + Span::from_millis(250);
    let report = recent_progress(&fleet.roster, &loads, Span::from_millis(250), now);
    assert_eq!(report, Vec::<GroupProgress>::new());
}

/// Reports may overtake each other.
#[test]
fn earlier_progress_does_not_replace_later() {
    let (fleet, _) = fleet_with_data();
    let epoch = fleet.roster.groups()[0].epoch;
    let mut reported = ReportedProgress::default();
    for age in [10, 200] {
        let age = Span::from_millis(age);
        reported.record(&[GroupProgress { epoch, age }], fleet.now);
    }
    let proofs = proofs(&fleet.roster, &Loads::default(), &reported);
    let at = Time(fleet.now.0 - Span::from_millis(10).0);
    assert!(!proofs.is_empty() && proofs.values().all(|proof| *proof == at));
}

/// A stream that has only started proves nothing: a head accepts requests without its members.
#[test]
fn started_stream_proves_nothing() {
    let (fleet, _) = fleet_with_data();
    let mut loads = Loads::default();
    loads.stream_started(key(&fleet, &fleet.members(LARGE)[0]), fleet.now);
    assert!(proofs(&fleet.roster, &loads, &ReportedProgress::default()).is_empty());
}

/// The members of a group that has lost one are probed as before.
#[test]
fn group_with_unreachable_member_proves_nothing() {
    let (mut fleet, loads) = fleet_with_data();
    let lost = fleet.members(LARGE)[3].clone();
    fleet.power_off(&lost, false);
    fleet.run_for(Span::from_millis(100));
    assert!(proofs(&fleet.roster, &loads, &ReportedProgress::default()).is_empty());
}

/// A loss must be noticed as soon as with probes alone: half a second after the last proof.
#[test]
fn probes_half_a_second_after_last_proof() {
    let at = |millis| Time(0) + Span::from_millis(millis);
    assert!(is_probe_due(None, None, at(0)));
    assert!(!is_probe_due(Some(at(0)), None, at(499)));
    assert!(is_probe_due(Some(at(0)), None, at(500)));
    assert!(!is_probe_due(Some(at(0)), Some(at(600)), at(1_099)));
    assert!(is_probe_due(Some(at(0)), Some(at(600)), at(1_100)));
}

/// A probe also reports how fast a member works, which its group's data doesn't.
#[test]
fn probes_members_that_are_proven_alive_now_and_then() {
    let at = |millis| Time(0) + Span::from_millis(millis);
    assert!(is_probe_due(Some(at(0)), Some(at(1_990)), at(2_000)));
}

/// A new holder of the duty has no connections yet. If it opened hundreds at once, most would time
/// out for want of its own processor time, and the groups of their members would be closed.
/// Guards against the end of a group that works: a member that only the holder of the duty doesn't
/// reach was taken for lost, while data of its head proved that all members work.
#[test]
fn member_whose_group_makes_progress_is_not_lost() {
    let at = |millis| Some(Time::default() + Span::from_millis(millis));
    assert!(is_proven_since(at(1_000), at(1_400)));
    assert!(
        !is_proven_since(at(1_000), at(900)),
        "data of before the probe"
    );
    assert!(!is_proven_since(at(1_000), None));
}

#[test]
fn new_holder_opens_few_connections_at_a_time() {
    let mut hosts = SlotMap::<HostKey, ()>::with_key();
    let keys: Vec<HostKey> = (0..830).map(|_| hosts.insert(())).collect();
    let due = || keys.iter().map(|key| (*key, false));
    assert_eq!(select_probes(due(), 0).len(), 64);
    assert_eq!(select_probes(due(), 60).len(), 4);
    let kept = keys.iter().map(|key| (*key, true));
    assert_eq!(select_probes(kept, 64).len(), 830);
}

#[test]
fn assumes_to_be_cut_off_if_most_members_fail() {
    assert!(is_cut_off(681, 830));
    assert!(!is_cut_off(35, 830));
}
