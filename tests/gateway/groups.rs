//! Forming, repairing and closing groups.

use crate::fleet::{Fate, Fleet, LARGE, SMALL, STEP};
use hickoryledge::{
    core::{
        keys::{Epoch, HostName},
        time::{Span, Time},
    },
    gateway::{
        order::{Directive, Order},
        planner::Planner,
    },
};
use proptest::{
    collection::vec,
    prelude::{Just, Strategy, any, prop_oneof},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// Long enough for the first groups and the staging of spares.
const SETTLED: Span = Span::from_secs(40);

fn settled(domains: usize, hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(domains, hosts);
    fleet.run_for(SETTLED);
    fleet.planner.busy = true;
    assert_eq!(fleet.broken, Vec::<String>::new());
    fleet
}

#[test]
fn each_domain_holds_one_group_of_each_model_and_spares() {
    let fleet = settled(6, 11);
    assert_eq!(fleet.serving(LARGE), 6);
    assert_eq!(fleet.serving(SMALL), 6);
    assert_eq!((fleet.spares(LARGE), fleet.spares(SMALL)), (6, 6));
}

#[test]
fn groups_wait_until_no_further_runner_appears() {
    let mut fleet = Fleet::new(1, 3);
    fleet.run_for(Span::from_millis(300));
    for host in 3..11 {
        fleet.add("d0", &format!("d0-h{host}"));
        fleet.run_for(Span::from_millis(200));
    }
    fleet.run_for(SETTLED);
    assert_eq!(
        fleet.serving(LARGE),
        1,
        "the first three hosts went to the smaller model"
    );
}

#[test]
fn groups_wait_for_many_runners_that_appear_one_by_one() {
    let mut fleet = Fleet::new(1, 3);
    for host in 3..27 {
        fleet.add("d0", &format!("d0-h{host}"));
        fleet.run_for(Span::from_millis(200));
    }
    fleet.run_for(SETTLED);
    assert_eq!(
        (fleet.serving(LARGE), fleet.serving(SMALL)),
        (3, 2),
        "hosts that had appeared went to the smaller model"
    );
}

#[test]
fn a_lost_member_is_replaced_by_a_staged_spare_within_three_seconds() {
    let mut fleet = settled(1, 11);
    let member = fleet.members(LARGE)[3].clone();
    fleet.power_off(&member, false);
    fleet.run_for(Span::from_millis(200));
    assert_eq!(fleet.serving(LARGE), 0, "the broken group gets no work");
    fleet.run_for(Span::from_secs(3));
    assert_eq!(fleet.serving(LARGE), 1);
    assert_eq!(fleet.broken, Vec::<String>::new());
}

#[test]
fn a_lost_member_of_either_model_is_replaced_without_a_load() {
    for model in [LARGE, SMALL] {
        let mut fleet = settled(1, 11);
        let member = fleet.members(model)[2].clone();
        fleet.power_off(&member, false);
        fleet.run_for(Span::from_secs(3));
        assert_eq!(fleet.serving(model), 1, "{model} waits for a load");
    }
}

#[test]
fn survivors_of_a_group_are_waited_for_rather_than_weights_loaded() {
    let mut fleet = settled(1, 11);
    fleet.add("d0", "d0-new");
    let member = fleet.members(SMALL)[2].clone();
    fleet.power_off(&member, false);
    fleet.run_for(Span::from_secs(3));
    assert_eq!(fleet.serving(SMALL), 1, "hosts without weights were taken");
}

#[test]
fn a_second_spare_of_a_model_is_staged_anew_for_one_without() {
    let mut fleet = settled(1, 11);
    fleet.add("d0", "d0-new");
    fleet.run_for(Span::from_secs(20));
    assert_eq!((fleet.spares(LARGE), fleet.spares(SMALL)), (2, 1));
    let member = fleet.members(SMALL)[2].clone();
    fleet.power_off(&member, false);
    fleet.run_for(Span::from_secs(20));
    assert_eq!((fleet.spares(LARGE), fleet.spares(SMALL)), (1, 1));
}

#[test]
fn a_dead_head_holds_its_members_until_its_entry_is_gone() {
    let mut fleet = settled(1, 11);
    let head = fleet.members(LARGE)[0].clone();
    fleet.power_off(&head, false);
    fleet.run_for(Span::from_secs(5));
    assert_eq!(fleet.serving(LARGE), 0, "the head may only be out of reach");
    fleet.power_off(&head, true);
    fleet.run_for(Span::from_secs(3));
    assert_eq!(fleet.serving(LARGE), 1);
}

#[test]
fn hosts_staged_for_the_needier_model_wait_for_one_more_host() {
    let mut fleet = settled(1, 9);
    let member = fleet.members(LARGE)[3].clone();
    fleet.power_off(&member, true);
    fleet.run_for(Span::from_secs(4));
    assert_eq!(fleet.serving(SMALL), 1, "no second group is made of them");
    fleet.add("d0", "d0-new");
    fleet.run_for(Span::from_secs(25));
    assert_eq!(fleet.serving(LARGE), 1);
    assert_eq!(fleet.serving(SMALL), 1);
}

#[test]
fn a_leaving_member_closes_its_group_without_cutting_requests() {
    let mut fleet = settled(1, 11);
    let member = fleet.members(SMALL)[1].clone();
    fleet.drain(&member);
    let mut closes = Vec::new();
    fleet.run(fleet.now + Span::from_millis(500), |directive| {
        if let Order::Close { cut, .. } = directive.order {
            closes.push(cut);
        }
        Fate::Prompt
    });
    assert!(!closes.is_empty() && closes.iter().all(|cut| !cut));
}

/// Loses a member, and returns the head that is ordered to open the group formed anew.
fn lose_and_reopen(fleet: &mut Fleet) -> HostName {
    let victim = fleet.members(LARGE)[3].clone();
    fleet.power_off(&victim, true);
    loop {
        let mut opening = None;
        fleet.run(fleet.now + STEP, |directive| {
            if let Order::Open { .. } = directive.order {
                opening = Some(directive.host.clone());
            }
            Fate::Prompt
        });
        if let Some(head) = opening {
            return head;
        }
    }
}

/// Loses a member so long after the order to open its group.
fn lose_while_opening(delay: Span) -> Vec<String> {
    let mut fleet = settled(1, 11);
    let head = lose_and_reopen(&mut fleet);
    fleet.run_for(delay);
    let next = fleet.alive().into_iter().find(|host| {
        let (_, known) = fleet.roster.host_by_name(host).expect("known");
        let member = known.runner.member.as_ref();
        let model = member.and_then(|member| member.model.as_ref());
        model.is_some_and(|model| model.as_str() == LARGE) && *host != head
    });
    fleet.power_off(&next.expect("a member"), true);
    fleet.run_for(Span::from_secs(10));
    fleet.broken
}

/// Lets heads go on with their requests though they are ordered to close.
fn stays_busy(directive: &Directive) -> Fate {
    match directive.order {
        Order::Close { .. } => Fate::Lost,
        _ => Fate::Prompt,
    }
}

#[test]
fn a_head_that_left_holds_its_members_while_it_may_be_busy() {
    let mut fleet = settled(1, 11);
    let head = fleet.members(LARGE)[0].clone();
    fleet.unlist(&head);
    fleet.run(fleet.now + Span::from_secs(2), stays_busy);
    fleet.deafen(&head);
    fleet.run(fleet.now + Span::from_secs(6), stays_busy);
    assert_eq!(fleet.broken, Vec::<String>::new());
}

#[test]
fn a_successor_learns_which_dead_heads_were_not_leaving() {
    let mut fleet = settled(1, 11);
    let head = fleet.members(LARGE)[0].clone();
    fleet.power_off(&head, false);
    fleet.run_for(Span::from_secs(1));
    fleet.hand_to_peer(Epoch(1_000_000));
    fleet.unlist(&head);
    fleet.run_for(Span::from_secs(4));
    assert_eq!(fleet.serving(LARGE), 1);
}

#[test]
fn a_host_that_answers_again_is_not_dead_any_more() {
    let mut fleet = settled(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    let (_, host) = fleet.roster.host_by_name(&head).expect("known");
    let life = (head.clone(), host.runner.born);
    fleet.roster.mark_dead(&[life]);
    fleet.run_for(Span::from_secs(1));
    fleet.unlist(&head);
    fleet.run(fleet.now + Span::from_secs(1), stays_busy);
    fleet.deafen(&head);
    fleet.run(fleet.now + Span::from_secs(6), stays_busy);
    assert_eq!(fleet.broken, Vec::<String>::new());
}

#[test]
fn a_newcomer_holds_the_members_of_a_head_that_it_never_saw() {
    let mut fleet = settled(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.unlist(&head);
    fleet.hand_to_newcomer(Epoch(1_000_000));
    fleet.run_for(Span::from_secs(6));
    assert_eq!(fleet.broken, Vec::<String>::new());
}

#[test]
fn a_newcomer_learns_which_groups_hold_nobody() {
    let mut fleet = settled(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.power_off(&head, true);
    fleet.run(fleet.now + Span::from_secs(1), |_| Fate::Lost);
    fleet.hand_to_newcomer(Epoch(1_000_000));
    fleet.run_for(Span::from_secs(4));
    assert_eq!(fleet.serving(SMALL), 1);
}

#[test]
fn a_newcomer_frees_the_members_of_a_head_that_stays_unseen() {
    let mut fleet = settled(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.power_off(&head, true);
    fleet.hand_to_newcomer(Epoch(1_000_000));
    fleet.run_for(Span::from_secs(15));
    assert_eq!(fleet.serving(SMALL), 1);
}

#[test]
fn a_head_that_left_while_the_store_was_away_holds_its_members() {
    let mut fleet = settled(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.lose_store();
    fleet.run_for(Span::from_secs(6));
    fleet.unlist(&head);
    fleet.regain_store();
    fleet.deafen(&head);
    fleet.run_for(Span::from_secs(6));
    assert_eq!(fleet.broken, Vec::<String>::new());
}

#[test]
fn a_head_that_left_shortly_after_the_stores_return_holds_its_members() {
    let mut fleet = settled(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.lose_store();
    fleet.run_for(Span::from_secs(6));
    fleet.regain_store();
    fleet.run_for(Span::from_millis(500));
    fleet.unlist(&head);
    fleet.deafen(&head);
    fleet.run_for(Span::from_secs(6));
    assert_eq!(fleet.broken, Vec::<String>::new());
}

#[test]
fn a_head_that_crashed_while_the_store_was_away_frees_them_if_its_machine_is_silent() {
    let mut fleet = settled(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.lose_store();
    fleet.run_for(Span::from_secs(6));
    fleet.power_off(&head, true);
    fleet.regain_store();
    fleet.run_for(Span::from_secs(4));
    assert_eq!(fleet.serving(SMALL), 1);
}

#[test]
fn a_head_that_crashed_in_plain_sight_frees_its_members() {
    let mut fleet = settled(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.crash(&head);
    fleet.run_for(Span::from_secs(4));
    assert_eq!(fleet.serving(SMALL), 1);
}

#[test]
fn a_closing_head_is_cut_once_its_time_is_over() {
    let mut fleet = settled(1, 11);
    let member = fleet.members(SMALL)[1].clone();
    fleet.drain(&member);
    let mut cuts = Vec::new();
    fleet.run(
        fleet.now + Span::from_secs(3),
        |directive| match directive.order {
            Order::Close { cut, .. } => {
                cuts.push(cut);
                Fate::Lost
            }
            _ => Fate::Prompt,
        },
    );
    assert_eq!((cuts.first(), cuts.last()), (Some(&false), Some(&true)));
}

#[test]
fn a_slow_member_is_replaced_by_a_staged_spare() {
    let mut fleet = settled(1, 11);
    let slow = fleet.members(LARGE)[2].clone();
    fleet.slow_down(&slow, 5.0);
    fleet.run_for(Span::from_secs(4));
    assert_eq!(fleet.serving(LARGE), 1);
    assert!(!fleet.members(LARGE).contains(&slow));
    assert_eq!(fleet.broken, Vec::<String>::new());
}

#[test]
fn a_slow_member_stays_where_nobody_can_replace_it() {
    let mut fleet = settled(1, 9);
    let slow = fleet.members(LARGE)[2].clone();
    fleet.slow_down(&slow, 5.0);
    fleet.run_for(Span::from_secs(4));
    assert!(fleet.members(LARGE).contains(&slow));
}

#[test]
fn an_opening_group_keeps_its_members_though_one_is_lost() {
    for millis in [0, 100, 200, 300, 400, 500] {
        let broken = lose_while_opening(Span::from_millis(millis));
        assert_eq!(broken, Vec::<String>::new(), "lost after {millis} ms");
    }
}

#[test]
fn an_opening_group_keeps_its_members_while_the_watch_is_silent() {
    let mut fleet = settled(1, 11);
    let head = lose_and_reopen(&mut fleet);
    fleet.is_dark = true;
    let (_, head) = fleet.roster.host_by_name(&head).expect("known");
    let epoch = head.runner.member.as_ref().expect("a member").epoch;
    let member = fleet.roster.hosts().find_map(|(_, host)| {
        let member = host.runner.member.as_ref()?;
        (member.epoch == epoch && member.rank == 3).then(|| host.name.clone())
    });
    fleet.power_off(&member.expect("a member"), true);
    fleet.run_for(Span::from_secs(5));
    assert_eq!(fleet.broken, Vec::<String>::new());
}

#[test]
fn a_successor_goes_on_with_groups_that_stand() {
    let mut fleet = settled(2, 11);
    fleet.planner = Planner::new(Epoch(1_000_000));
    fleet.planner.busy = true;
    let mut orders = Vec::new();
    fleet.run(fleet.now + Span::from_secs(10), |directive| {
        orders.push(directive.clone());
        Fate::Prompt
    });
    assert_eq!(orders, Vec::<Directive>::new());
    assert_eq!(fleet.serving(LARGE), 2);
}

#[test]
fn a_successor_opens_no_group_before_it_has_probed_the_members() {
    let mut fleet = settled(1, 11);
    let member = fleet.members(LARGE)[3].clone();
    fleet.power_off(&member, false);
    fleet.run_for(Span::from_millis(300));
    // The successor doesn't know of the loss until its own probes fail.
    fleet.forget_lost();
    fleet.planner = Planner::new(Epoch(1_000_000));
    fleet.planner.busy = true;
    let mut opened = 0;
    fleet.run(fleet.now + Span::from_millis(1_000), |directive| {
        opened += usize::from(matches!(directive.order, Order::Open { .. }));
        Fate::Prompt
    });
    assert_eq!(opened, 0);
}

#[test]
fn a_successor_lets_a_load_under_way_go_on() {
    let mut fleet = settled(1, 9);
    let member = fleet.members(LARGE)[3].clone();
    fleet.power_off(&member, true);
    fleet.add("d0", "d0-new");
    // The new host loads the weights for sixteen seconds.
    fleet.run_for(Span::from_secs(10));
    fleet.planner = Planner::new(Epoch(1_000_000));
    fleet.planner.busy = true;
    fleet.run_for(Span::from_secs(9));
    assert_eq!(fleet.serving(LARGE), 1, "the load began anew");
    assert_eq!(fleet.broken, Vec::<String>::new());
}

#[test]
fn a_successor_opens_a_group_that_was_left_ready() {
    let mut fleet = Fleet::new(1, 11);
    fleet.run(Time(8_000_000), |directive| match directive.order {
        Order::Open { .. } => Fate::Lost,
        _ => Fate::Prompt,
    });
    assert_eq!(fleet.serving(LARGE), 0);
    fleet.planner = Planner::new(Epoch(1_000_000));
    fleet.run_for(Span::from_secs(20));
    assert_eq!(fleet.serving(LARGE), 1);
    assert_eq!(fleet.broken, Vec::<String>::new());
}

#[test]
fn loads_stay_under_the_weight_stores_limit() {
    let mut fleet = Fleet::new(6, 11);
    fleet.planner.busy = true;
    let mut loads: Vec<Time> = Vec::new();
    for _ in 0..600 {
        let now = fleet.now;
        fleet.run(now + Span::from_millis(100), |directive| {
            if matches!(directive.order, Order::Stage { .. } | Order::Join { .. }) {
                loads.push(now);
            }
            Fate::Prompt
        });
    }
    let most = loads
        .iter()
        .map(|from| {
            let window = loads
                .iter()
                .filter(|at| *at >= from && at.since(*from) < Span::from_secs(5));
            window.count()
        })
        .max();
    assert!(most <= Some(33), "{most:?} loads in five seconds");
}

/// Something that happens to a fleet.
#[derive(Clone, Debug)]
enum Event {
    Kill { host: usize, unlisted: bool },
    Drain { host: usize },
    Add { domain: usize },
    Successor,
    Wait { millis: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (any::<usize>(), any::<bool>())
            .prop_map(|(host, unlisted)| Event::Kill { host, unlisted }),
        1 => any::<usize>().prop_map(|host| Event::Drain { host }),
        2 => (0..2_usize).prop_map(|domain| Event::Add { domain }),
        1 => Just(Event::Successor),
        4 => (50..4_000_u64).prop_map(|millis| Event::Wait { millis }),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Prompt),
        1 => Just(Fate::Lost),
        2 => (100..6_000_u64).prop_map(|millis| Fate::Late(Span::from_millis(millis))),
    ]
}

#[test]
fn no_host_serves_two_groups_whatever_is_lost_or_late() {
    let config = Config {
        cases: 64,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let cases = (vec(event(), 1..25), vec(fate(), 1..40));
    let outcome = runner.run(&cases, |(events, fates)| {
        let mut fleet = Fleet::new(2, 11);
        fleet.run_for(Span::from_secs(12));
        let mut fates = fates.into_iter().cycle();
        for (number, event) in events.into_iter().enumerate() {
            let alive = fleet.alive();
            let pick = |host: usize| -> Option<HostName> {
                (!alive.is_empty()).then(|| alive[host % alive.len()].clone())
            };
            match event {
                Event::Kill { host, unlisted } => {
                    if let Some(host) = pick(host) {
                        fleet.power_off(&host, unlisted);
                    }
                }
                Event::Drain { host } => {
                    if let Some(host) = pick(host) {
                        fleet.drain(&host);
                    }
                }
                Event::Add { domain } => fleet.add(&format!("d{domain}"), &format!("new{number}")),
                Event::Successor => {
                    fleet.planner = Planner::new(Epoch(1_000 * (number as i64 + 100)));
                    fleet.planner.busy = true;
                }
                Event::Wait { millis } => {
                    let until = fleet.now + Span::from_millis(millis);
                    fleet.run(until, |_| fates.next().expect("endless"));
                }
            }
        }
        fleet.run_for(Span::from_secs(5));
        proptest::prop_assert!(fleet.broken.is_empty(), "{:?}", fleet.broken);
        Ok(())
    });
    outcome.unwrap();
}
