//! Orders to runners while halls are evacuated.

use crate::{
    evacuation::{evacuate, hall, hall_of, lift, new_fleet, serving_fleet},
    fleet::{Delivery, Fleet, LARGE, SMALL, service},
};
use hickoryledge::{
    core::{
        keys::{DomainName, Epoch, HallName, HostName, ModelName},
        time::{Span, Time},
    },
    gateway::{
        contention::Request,
        order::{Directive, Order},
        rank::Rank,
        roster::Host,
    },
};

/// Runs a fleet for some time and returns the orders that are sent.
fn orders(fleet: &mut Fleet, span: Span) -> Vec<Directive> {
    let mut sent = Vec::new();
    fleet.run(fleet.now + span, |directive| {
        sent.push(directive.clone());
        Delivery::Immediate
    });
    sent
}

/// Returns true if an order would have a host load weights or take requests.
fn is_forming(order: &Order) -> bool {
    matches!(
        order,
        Order::Join { .. } | Order::Open { .. } | Order::Stage { .. }
    )
}

/// Returns the memberships of the hosts in a hall.
fn memberships(fleet: &Fleet, name: &str) -> Vec<(HostName, String)> {
    let hosts = fleet.roster.hosts();
    let in_hall = hosts.filter(|(_, host)| host.runner.hall == hall(name));
    let mut memberships: Vec<(HostName, String)> = in_hall
        .map(|(_, host): (_, &Host)| (host.name.clone(), format!("{:?}", host.runner.member)))
        .collect();
    memberships.sort();
    memberships
}

/// Checks that one group of each model serves.
fn assert_both_serve(fleet: &Fleet) {
    let serving = (fleet.serving_count(LARGE), fleet.serving_count(SMALL));
    assert_eq!(serving, (1, 1));
}

/// A hall whose groups were closed would have to form them again after each evacuation.
#[test]
fn groups_of_an_evacuated_hall_stay_and_serve_again_at_once() {
    let mut fleet = serving_fleet(&["a", "b"]);
    let before = memberships(&fleet, "a");
    evacuate(&mut fleet, &["a"]);
    assert_both_serve(&fleet);
    let sent = orders(&mut fleet, Span::from_secs(120));
    let in_hall = sent
        .iter()
        .filter(|directive| hall_of(&fleet, &directive.host) == hall("a"));
    assert_eq!(in_hall.count(), 0);
    assert_eq!(memberships(&fleet, "a"), before);
    lift(&mut fleet, &["a"]);
    assert_eq!(
        (fleet.serving_count(LARGE), fleet.serving_count(SMALL)),
        (2, 2)
    );
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
}

/// Returns the number of groups of each model that serve outside of hall `a` once six hosts were
/// added there. The large model has its only group in hall `a`, the small one has one on either side.
fn groups_elsewhere(is_evacuated: bool) -> (usize, usize) {
    let mut fleet = new_fleet(&["a"]);
    fleet.halls.insert(DomainName::from("d1"), hall("b"));
    (0..3).for_each(|host| fleet.add("d1", &format!("d1-h{host}")));
    fleet.run_for(Span::from_secs(10));
    let serving = |fleet: &Fleet| (fleet.serving_count(LARGE), fleet.serving_count(SMALL));
    assert_eq!(serving(&fleet), (1, 2));
    let engine = fleet.spec.services[0].engine.clone().expect("an engine");
    // The large model's work is 0.6 of the small one's: one group of two for it, or two of three.
    for (model, requests) in [(LARGE, 360), (SMALL, 1_000)] {
        let (service, model, now) = (service(), ModelName::from(model), fleet.now);
        let request = Request {
            service: &service,
            model: &model,
            engine: &engine,
            rank: Rank::default(),
            account: None,
            prompt_tokens: 1_000,
            answer_tokens: 150,
        };
        (0..requests).for_each(|_| fleet.demand.count(&request, now));
    }
    if is_evacuated {
        evacuate(&mut fleet, &["a"]);
    }
    (3..9).for_each(|host| fleet.add("d1", &format!("d1-h{host}")));
    fleet.run_for(Span::from_secs(10));
    evacuate(&mut fleet, &["a"]);
    serving(&fleet)
}

/// As long as the group in the hall counts, hosts elsewhere go to the model that needs them less.
#[test]
fn model_whose_group_is_in_an_evacuated_hall_gets_one_elsewhere() {
    assert_eq!(groups_elsewhere(false), (0, 2));
    assert_eq!(groups_elsewhere(true), (1, 1));
}

/// Evacuates a hall some time after the start of a fleet, for 90 seconds.
fn check_formations(has_traffic: bool, begin: Span) {
    let mut fleet = new_fleet(&["a", "b"]);
    fleet.planner.has_traffic = has_traffic;
    fleet.run_for(begin);
    evacuate(&mut fleet, &["a"]);
    let sent = orders(&mut fleet, Span::from_secs(90));
    let wrong = sent.iter().find(|directive| {
        hall_of(&fleet, &directive.host) == hall("a") && is_forming(&directive.order)
    });
    assert_eq!(wrong, None, "evacuated after {begin:?}");
    let serving = |fleet: &Fleet| (fleet.serving_count(LARGE), fleet.serving_count(SMALL));
    assert_eq!(serving(&fleet), (1, 1), "evacuated after {begin:?}");
    lift(&mut fleet, &["a"]);
    fleet.run_for(Span::from_secs(90));
    assert_eq!(serving(&fleet), (2, 2), "evacuated after {begin:?}");
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
}

/// Orders to a hall that is evacuated while its groups form would have it load weights and open. It is
/// tried at each moment: before the first order, while members load, and once they are ready.
#[test]
fn formations_wait_for_the_end_of_the_evacuation() {
    // Before the first request members load as they join, and groups are open after 3 seconds.
    for tenths in (1..32).step_by(2) {
        check_formations(false, Span::from_millis(100 * tenths));
    }
    // Later weights are staged first, a few at a time, and all groups are open after 82 seconds.
    for seconds in (1..90).step_by(4) {
        check_formations(true, Span::from_secs(seconds));
    }
}

/// An evacuation that is lifted while a group forms must not cost the formation.
#[test]
fn formation_goes_on_after_a_short_evacuation() {
    let mut fleet = new_fleet(&["a"]);
    fleet.run_for(Span::from_millis(1_500));
    let before = memberships(&fleet, "a");
    assert!(before.iter().any(|(_, member)| member.contains("Joining")));
    evacuate(&mut fleet, &["a"]);
    fleet.run_for(Span::from_secs(5));
    lift(&mut fleet, &["a"]);
    fleet.run_for(Span::from_secs(1));
    assert_both_serve(&fleet);
}

/// An order to join that got lost is repeated, which must wait for the end of the evacuation.
#[test]
fn lost_order_to_join_is_not_repeated_meanwhile() {
    let mut fleet = new_fleet(&["a"]);
    fleet.run(Time(1_500_000), |directive| match directive.order {
        Order::Join { .. } => Delivery::Dropped,
        _ => Delivery::Immediate,
    });
    evacuate(&mut fleet, &["a"]);
    let sent = orders(&mut fleet, Span::from_secs(10));
    assert!(!sent.iter().any(|directive| is_forming(&directive.order)));
    lift(&mut fleet, &["a"]);
    fleet.run_for(Span::from_secs(5));
    assert_both_serve(&fleet);
}

/// The holder of the duty may fail midway: its successor, which knows only entries and evacuations,
/// must neither order the hall's hosts nor take its groups for lost.
#[test]
fn successor_of_the_holder_leaves_the_hall_alone() {
    let mut fleet = serving_fleet(&["a", "b"]);
    evacuate(&mut fleet, &["a"]);
    let before = memberships(&fleet, "a");
    let evacuated: Vec<HallName> = fleet.roster.evacuations.halls().into_iter().collect();
    fleet.hand_over_to_new_daemon(Epoch(1_000_000));
    let now = fleet.now;
    fleet.roster.evacuations.replace(evacuated, now);
    let sent = orders(&mut fleet, Span::from_secs(60));
    let in_hall = sent
        .iter()
        .filter(|directive| hall_of(&fleet, &directive.host) == hall("a"));
    assert_eq!(in_hall.count(), 0);
    assert_eq!(memberships(&fleet, "a"), before);
    lift(&mut fleet, &["a"]);
    assert_eq!(
        (fleet.serving_count(LARGE), fleet.serving_count(SMALL)),
        (2, 2)
    );
}

/// A group that loses a member in the hall must be closed as elsewhere: its head can't serve.
#[test]
fn broken_group_of_an_evacuated_hall_is_closed_and_formed_after_it() {
    let mut fleet = serving_fleet(&["a"]);
    let member = fleet.members(LARGE)[2].clone();
    evacuate(&mut fleet, &["a"]);
    fleet.crash(&member);
    let sent = orders(&mut fleet, Span::from_secs(30));
    assert!(
        sent.iter()
            .any(|directive| matches!(directive.order, Order::Close { .. }))
    );
    assert!(!sent.iter().any(|directive| is_forming(&directive.order)));
    lift(&mut fleet, &["a"]);
    assert_eq!(fleet.serving_count(LARGE), 0);
    fleet.run_for(Span::from_secs(60));
    assert_eq!(fleet.serving_count(LARGE), 1);
}
