//! Evacuation of halls: which are evacuated, and where requests go meanwhile.

use crate::fleet::{Fleet, LARGE, STEP_INTERVAL, service};
use hickoryledge::{
    core::{
        keys::{DomainName, HallName, HostName, ModelName},
        time::{Span, Time},
    },
    gateway::{
        admission::{AdmissionClass, Precedence},
        balancer::{ChooseError, Criteria, Endpoint, View, choose, still_serves},
        evacuation::{EvacuationChange, Evacuations, RESTORE_WINDOW},
        head_limits::HeadLimits,
        load::Loads,
        notices::Notices,
        outages::Outages,
    },
};
use rand::{SeedableRng as _, rngs::SmallRng};
use std::collections::BTreeSet;

pub fn hall(name: &str) -> HallName {
    HallName::from(name)
}

fn began(name: &str) -> EvacuationChange {
    EvacuationChange::Began(hall(name))
}

fn ended(name: &str) -> EvacuationChange {
    EvacuationChange::Ended(hall(name))
}

const NOW: Time = Time(1_000_000);

/// A watch whose revision was compacted lists the keys again. Without the end, a hall whose key was
/// deleted meanwhile would never serve again.
#[test]
fn hall_that_a_new_list_lacks_is_no_longer_evacuated() {
    let mut evacuations = Evacuations::default();
    let first = evacuations.replace(vec![hall("a"), hall("b")], NOW);
    assert_eq!(first, [began("a"), began("b")]);
    let second = evacuations.replace(vec![hall("b"), hall("c")], NOW);
    assert_eq!(second, [began("c"), ended("a")]);
    assert!(!evacuations.contains(&hall("a")));
}

/// A daemon that was behind gets a deletion and the next request in one message. Requests would pass
/// between the two, and the hall's runners would count as returned.
#[test]
fn changes_that_arrive_together_count_as_one() {
    let mut evacuations = Evacuations::default();
    evacuations.apply(vec![began("a")]);
    assert_eq!(evacuations.apply(vec![ended("a"), began("a")]), []);
    assert!(evacuations.contains(&hall("a")));
    assert_eq!(evacuations.apply(vec![began("b"), ended("b")]), []);
    assert_eq!(evacuations.apply(vec![ended("a")]), [ended("a")]);
    assert_eq!(evacuations.apply(vec![ended("a")]), []);
}

/// Between the return of the store and the operator's next write, requests would reach the hall.
#[test]
fn evacuation_that_an_older_copy_lacks_is_kept_until_it_is_written_again() {
    let mut evacuations = Evacuations::default();
    evacuations.replace(vec![hall("a"), hall("b")], NOW);
    assert_eq!(evacuations.replace_by_older(vec![hall("b")], NOW), []);
    let shortly = NOW + Span::from_millis(1_500);
    assert_eq!(evacuations.expire(shortly), []);
    // The list may have to be read once more, as its revision is compacted.
    assert_eq!(evacuations.replace(vec![hall("b")], shortly), []);
    assert_eq!(evacuations.apply(vec![began("a")]), []);
    assert_eq!(evacuations.expire(NOW + RESTORE_WINDOW), []);
    assert!(evacuations.contains(&hall("a")));
}

/// The operator may have deleted the key just before, and has no reason to write it again.
#[test]
fn evacuation_that_is_not_written_again_ends() {
    let mut evacuations = Evacuations::default();
    evacuations.replace(vec![hall("a"), hall("b"), hall("c")], NOW);
    evacuations.replace_by_older(vec![hall("b")], NOW);
    assert_eq!(evacuations.apply(vec![ended("c")]), [ended("c")]);
    assert_eq!(evacuations.expire(NOW + RESTORE_WINDOW), [ended("a")]);
    assert_eq!(evacuations.halls(), BTreeSet::from([hall("b")]));
}

/// Each list of the runners looks at it again, and would log it again.
#[test]
fn hall_without_runners_is_reported_once_for_each_evacuation() {
    let mut evacuations = Evacuations::default();
    let empty = || BTreeSet::from([hall("a"), hall("b")]);
    evacuations.apply(vec![began("a")]);
    assert_eq!(evacuations.report_empty(empty()), [hall("a")]);
    assert!(evacuations.report_empty(empty()).is_empty());
    evacuations.apply(vec![ended("a")]);
    evacuations.apply(vec![began("a")]);
    assert_eq!(evacuations.report_empty(empty()), [hall("a")]);
}

/// Returns a fleet of a domain in each of some halls, before it forms groups.
pub fn new_fleet(halls: &[&str]) -> Fleet {
    let mut fleet = Fleet::new(halls.len(), 11);
    for (index, name) in halls.iter().enumerate() {
        let domain = DomainName::from(format!("d{index}"));
        fleet.halls.insert(domain, hall(name));
    }
    fleet
}

/// Returns a fleet of a domain in each of some halls, with groups.
pub fn serving_fleet(halls: &[&str]) -> Fleet {
    let mut fleet = new_fleet(halls);
    fleet.run_for(Span::from_secs(60));
    fleet
}

pub fn evacuate(fleet: &mut Fleet, names: &[&str]) {
    let changes = names.iter().map(|name| began(name));
    fleet.roster.evacuations.apply(changes.collect());
}

pub fn lift(fleet: &mut Fleet, names: &[&str]) {
    let changes = names.iter().map(|name| ended(name));
    fleet.roster.evacuations.apply(changes.collect());
}

/// Chooses the head for a request of the large model.
fn choose_head(
    fleet: &Fleet,
    class: AdmissionClass,
    rng: &mut SmallRng,
) -> Result<Endpoint, ChooseError> {
    let (service, model) = (service(), ModelName::from(LARGE));
    let engine = fleet.spec.services[0].engine.as_ref().expect("an engine");
    let criteria = Criteria {
        service: &service,
        model: Some((&model, engine)),
        precedence: Precedence::default(),
        class,
        duration: Span::from_secs(1),
        remaining: Span::from_secs(8),
        hall: &hall("a"),
        tried: &[],
        unlimited: false,
    };
    let view = View {
        limits: &HeadLimits::default(),
        roster: &fleet.roster,
        loads: &Loads::default(),
        notices: &Notices::default(),
    };
    choose(view, criteria, fleet.now, rng)
}

pub fn hall_of(fleet: &Fleet, host: &HostName) -> HallName {
    let (_, host) = fleet.roster.host_by_name(host).expect("known");
    host.runner.hall.clone()
}

/// Requests reached runners of evacuated halls, as nothing read the operators' request: new ones,
/// late ones, and streams that went on elsewhere.
#[test]
fn no_head_of_an_evacuated_hall_is_chosen() {
    let mut fleet = serving_fleet(&["a", "b", "c"]);
    let mut rng = SmallRng::seed_from_u64(1);
    for (evacuated, left) in [(vec!["a"], vec!["b", "c"]), (vec!["b"], vec!["c"])] {
        evacuate(&mut fleet, &evacuated);
        let classes = [
            AdmissionClass::OnTime,
            AdmissionClass::Late,
            AdmissionClass::Resumed,
        ];
        for class in classes.into_iter().cycle().take(60) {
            let chosen = choose_head(&fleet, class, &mut rng).expect("a hall is left");
            let chosen = hall_of(&fleet, &chosen.name);
            assert!(left.contains(&chosen.as_str()), "{class:?} at {chosen}");
        }
    }
}

/// The last hall must not be used for want of others; callers are told at once that nothing ran.
#[test]
fn no_runner_serves_once_the_last_hall_is_evacuated() {
    let mut fleet = serving_fleet(&["a", "b"]);
    let mut rng = SmallRng::seed_from_u64(1);
    evacuate(&mut fleet, &["a", "b"]);
    for class in [AdmissionClass::OnTime, AdmissionClass::Resumed] {
        let refused = choose_head(&fleet, class, &mut rng);
        assert_eq!(refused, Err(ChooseError::NoneServing));
    }
    lift(&mut fleet, &["b"]);
    let chosen = choose_head(&fleet, AdmissionClass::OnTime, &mut rng).expect("served again");
    assert_eq!(hall_of(&fleet, &chosen.name), hall("b"));
}

/// A stream that runs in the hall must not be given up: it would be generated twice.
#[test]
fn response_of_a_head_is_still_expected_during_the_evacuation() {
    let mut fleet = serving_fleet(&["a"]);
    let mut rng = SmallRng::seed_from_u64(1);
    let chosen = choose_head(&fleet, AdmissionClass::OnTime, &mut rng).expect("served");
    evacuate(&mut fleet, &["a"]);
    assert!(still_serves(&fleet.roster, &chosen));
}

/// Only the head of a group gets requests. Without the group, hosts that are in use would idle.
#[test]
fn group_with_a_member_in_the_hall_serves_on() {
    let mut fleet = serving_fleet(&["a"]);
    let member = fleet.members(LARGE)[3].clone();
    let (_, host) = fleet.roster.host_by_name(&member).expect("known");
    let mut runner = host.runner.clone();
    runner.hall = hall("b");
    fleet.roster.put(member, runner);
    evacuate(&mut fleet, &["b"]);
    assert_eq!(fleet.serving_count(LARGE), 1);
}

/// The time of an evacuation would pass for that of a repair.
#[test]
fn evacuation_counts_as_no_outage() {
    let mut fleet = serving_fleet(&["a", "b"]);
    let mut outages = Outages::default();
    outages.update(&fleet.roster, fleet.now);
    evacuate(&mut fleet, &["a"]);
    assert_eq!(outages.update(&fleet.roster, fleet.now), []);
    fleet.run_for(STEP_INTERVAL);
    lift(&mut fleet, &["a"]);
    assert_eq!(outages.update(&fleet.roster, fleet.now), []);
}
