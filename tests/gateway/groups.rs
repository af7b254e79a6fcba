//! Forming, repairing and closing groups.

use crate::fleet::{Delivery, Fleet, LARGE, SMALL, STEP_INTERVAL};
use hickoryledge::{
    core::{keys::HostName, time::Span},
    gateway::order::{Directive, Order},
};
use rand::{SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use std::collections::BTreeMap;

/// Time in which the first groups are formed and the spares staged.
const SETTLE_TIME: Span = Span::from_secs(40);

/// Returns a fleet with its first groups and spares.
pub fn settled_fleet(domains: usize, hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(domains, hosts);
    fleet.run_for(SETTLE_TIME);
    fleet.planner.has_traffic = true;
    assert_eq!(fleet.violations, Vec::<String>::new());
    fleet
}

/// A domain must not stack groups of one model while the other has none, nor use up its spares.
#[test]
fn forms_one_group_of_each_model_and_spares_in_each_domain() {
    let fleet = settled_fleet(6, 11);
    assert_eq!(fleet.serving_count(LARGE), 6);
    assert_eq!(fleet.serving_count(SMALL), 6);
    assert_eq!((fleet.spare_count(LARGE), fleet.spare_count(SMALL)), (6, 6));
}

/// If a group were formed of the first three hosts, they would go to the smaller model and leave
/// too few for the larger one.
#[test]
fn waits_until_no_new_runner_registers() {
    let mut fleet = Fleet::new(1, 3);
    fleet.run_for(Span::from_millis(300));
    for host in 3..11 {
        fleet.add("d0", &format!("d0-h{host}"));
        fleet.run_for(Span::from_millis(200));
    }
    fleet.run_for(SETTLE_TIME);
    assert_eq!(
        fleet.serving_count(LARGE),
        1,
        "the first three hosts went to the smaller model"
    );
}

/// Many runners that start together register over several seconds. Groups formed meanwhile would
/// go to the smaller model.
#[test]
fn waits_for_runners_that_register_one_by_one() {
    let mut fleet = Fleet::new(1, 3);
    for host in 3..27 {
        fleet.add("d0", &format!("d0-h{host}"));
        fleet.run_for(Span::from_millis(200));
    }
    fleet.run_for(SETTLE_TIME);
    assert_eq!(
        (fleet.serving_count(LARGE), fleet.serving_count(SMALL)),
        (3, 2),
        "hosts that had appeared went to the smaller model"
    );
}

/// A load takes many seconds, so the new group must take the spare.
#[test]
fn replaces_lost_member_by_spare_within_three_seconds() {
    let mut fleet = settled_fleet(1, 11);
    let member = fleet.members(LARGE)[3].clone();
    fleet.power_off(&member, false);
    fleet.run_for(Span::from_millis(200));
    assert_eq!(
        fleet.serving_count(LARGE),
        0,
        "a group with a lost member serves"
    );
    fleet.run_for(Span::from_secs(3));
    assert_eq!(fleet.serving_count(LARGE), 1);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// Each model needs a spare of its own: a load takes more than ten seconds.
#[test]
fn replaces_lost_member_of_each_model_without_load() {
    for model in [LARGE, SMALL] {
        let mut fleet = settled_fleet(1, 11);
        let member = fleet.members(model)[2].clone();
        fleet.power_off(&member, false);
        fleet.run_for(Span::from_secs(3));
        assert_eq!(fleet.serving_count(model), 1, "{model} waits for a load");
    }
}

/// The survivors are free only once their group is closed. A group formed at once would take hosts
/// without weights.
#[test]
fn waits_for_survivors_rather_than_loading_weights() {
    let mut fleet = settled_fleet(1, 11);
    fleet.add("d0", "d0-new");
    let member = fleet.members(SMALL)[2].clone();
    fleet.power_off(&member, false);
    fleet.run_for(Span::from_secs(3));
    assert_eq!(
        fleet.serving_count(SMALL),
        1,
        "hosts without weights were taken"
    );
}

/// A second spare of one model is worth less than the first spare of another.
#[test]
fn restages_second_spare_for_model_without_one() {
    let mut fleet = settled_fleet(1, 11);
    fleet.add("d0", "d0-new");
    fleet.run_for(Span::from_secs(20));
    assert_eq!((fleet.spare_count(LARGE), fleet.spare_count(SMALL)), (2, 1));
    let member = fleet.members(SMALL)[2].clone();
    fleet.power_off(&member, false);
    fleet.run_for(Span::from_secs(20));
    assert_eq!((fleet.spare_count(LARGE), fleet.spare_count(SMALL)), (1, 1));
}

/// A head that responds to no probes may still serve, out of reach of this daemon. Its members must
/// not join another group before its entry is removed.
#[test]
fn unreachable_head_holds_members_until_unlisted() {
    let mut fleet = settled_fleet(1, 11);
    let head = fleet.members(LARGE)[0].clone();
    fleet.power_off(&head, false);
    fleet.run_for(Span::from_secs(5));
    assert_eq!(
        fleet.serving_count(LARGE),
        0,
        "the members of an unreachable head were taken"
    );
    fleet.power_off(&head, true);
    fleet.run_for(Span::from_secs(3));
    assert_eq!(fleet.serving_count(LARGE), 1);
}

/// With one host missing for the larger model, its staged hosts must not go to a second group of
/// the smaller one.
#[test]
fn keeps_staged_hosts_for_needier_model() {
    let mut fleet = settled_fleet(1, 9);
    let member = fleet.members(LARGE)[3].clone();
    fleet.power_off(&member, true);
    fleet.run_for(Span::from_secs(4));
    assert_eq!(
        fleet.serving_count(SMALL),
        1,
        "a second group took the staged hosts"
    );
    fleet.add("d0", "d0-new");
    fleet.run_for(Span::from_secs(25));
    assert_eq!(fleet.serving_count(LARGE), 1);
    assert_eq!(fleet.serving_count(SMALL), 1);
}

/// An announced departure leaves time for running requests to finish.
#[test]
fn draining_member_closes_group_without_cut() {
    let mut fleet = settled_fleet(1, 11);
    let member = fleet.members(SMALL)[1].clone();
    fleet.drain(&member);
    let mut closes = Vec::new();
    fleet.run(fleet.now + Span::from_millis(500), |directive| {
        if let Order::Close { cut, .. } = directive.order {
            closes.push(cut);
        }
        Delivery::Immediate
    });
    assert!(!closes.is_empty() && closes.iter().all(|cut| !cut));
}

/// Powers off a member, and returns the head that is ordered to open the new group.
fn lose_member_and_reopen(fleet: &mut Fleet) -> HostName {
    let victim = fleet.members(LARGE)[3].clone();
    fleet.power_off(&victim, true);
    loop {
        let mut opening = None;
        fleet.run(fleet.now + STEP_INTERVAL, |directive| {
            if let Order::Open { .. } = directive.order {
                opening = Some(directive.host.clone());
            }
            Delivery::Immediate
        });
        if let Some(head) = opening {
            return head;
        }
    }
}

/// Powers off a member this long after the order to open its group; returns the violations.
fn lose_member_while_opening(delay: Span) -> Vec<String> {
    let mut fleet = settled_fleet(1, 11);
    let head = lose_member_and_reopen(&mut fleet);
    fleet.run_for(delay);
    let next = fleet.alive().into_iter().find(|host| {
        let (_, known) = fleet.roster.host_by_name(host).expect("known");
        let member = known.runner.member.as_ref();
        let model = member.and_then(|member| member.model.as_ref());
        model.is_some_and(|model| model.as_str() == LARGE) && *host != head
    });
    fleet.power_off(&next.expect("a member"), true);
    fleet.run_for(Span::from_secs(10));
    fleet.violations
}

/// Drops orders to close, so that heads keep running their requests.
fn drop_closes(directive: &Directive) -> Delivery {
    match directive.order {
        Order::Close { .. } => Delivery::Dropped,
        _ => Delivery::Immediate,
    }
}

/// A head that leaves may refuse connections while it still runs requests. Its members must not be
/// taken as free.
#[test]
fn draining_head_that_stopped_listening_holds_members() {
    let mut fleet = settled_fleet(1, 11);
    let head = fleet.members(LARGE)[0].clone();
    fleet.unlist(&head);
    fleet.run(fleet.now + Span::from_secs(2), drop_closes);
    fleet.stop_listening(&head);
    fleet.run(fleet.now + Span::from_secs(6), drop_closes);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// A host that was reported dead but responds must count as draining when it leaves later.
#[test]
fn answer_to_probe_clears_dead_mark() {
    let mut fleet = settled_fleet(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    let (_, host) = fleet.roster.host_by_name(&head).expect("known");
    let instance = (head.clone(), host.runner.born);
    fleet.roster.mark_dead(&[instance]);
    fleet.run_for(Span::from_secs(1));
    fleet.unlist(&head);
    fleet.run(fleet.now + Span::from_secs(1), drop_closes);
    fleet.stop_listening(&head);
    fleet.run(fleet.now + Span::from_secs(6), drop_closes);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// While the store is unavailable a head can't announce that it leaves, so its refusal of
/// connections doesn't prove a crash.
#[test]
fn head_that_left_during_store_outage_holds_members() {
    let mut fleet = settled_fleet(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.stop_store();
    fleet.run_for(Span::from_secs(6));
    fleet.unlist(&head);
    fleet.recover_store();
    fleet.stop_listening(&head);
    fleet.run_for(Span::from_secs(6));
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// Entries may be stale for a while after a store outage, so they don't prove either that a head
/// was not leaving.
#[test]
fn head_that_left_shortly_after_store_outage_holds_members() {
    let mut fleet = settled_fleet(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.stop_store();
    fleet.run_for(Span::from_secs(6));
    fleet.recover_store();
    fleet.run_for(Span::from_millis(500));
    fleet.unlist(&head);
    fleet.stop_listening(&head);
    fleet.run_for(Span::from_secs(6));
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// A host that doesn't respond at all is down, whatever was announced.
#[test]
fn silent_head_after_store_outage_frees_members() {
    let mut fleet = settled_fleet(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.stop_store();
    fleet.run_for(Span::from_secs(6));
    fleet.power_off(&head, true);
    fleet.recover_store();
    fleet.run_for(Span::from_secs(4));
    assert_eq!(fleet.serving_count(SMALL), 1);
}

/// A healthy head that suddenly refuses connections has crashed, and runs no requests.
#[test]
fn crashed_head_frees_members() {
    let mut fleet = settled_fleet(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.crash(&head);
    fleet.run_for(Span::from_secs(4));
    assert_eq!(fleet.serving_count(SMALL), 1);
}

/// A head that doesn't finish its requests must not block the repair of its group.
#[test]
fn cuts_closing_head_after_timeout() {
    let mut fleet = settled_fleet(1, 11);
    let member = fleet.members(SMALL)[1].clone();
    fleet.drain(&member);
    let mut cuts = Vec::new();
    fleet.run(
        fleet.now + Span::from_secs(3),
        |directive| match directive.order {
            Order::Close { cut, .. } => {
                cuts.push(cut);
                Delivery::Dropped
            }
            _ => Delivery::Immediate,
        },
    );
    assert_eq!((cuts.first(), cuts.last()), (Some(&false), Some(&true)));
}

/// One slow member slows down its whole group.
#[test]
fn replaces_slow_member_by_spare() {
    let mut fleet = settled_fleet(1, 11);
    let slow = fleet.members(LARGE)[2].clone();
    fleet.slow_down(&slow, 5.0);
    fleet.run_for(Span::from_secs(4));
    assert_eq!(fleet.serving_count(LARGE), 1);
    assert!(!fleet.members(LARGE).contains(&slow));
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// A slow group is better than none.
#[test]
fn keeps_slow_member_without_spare() {
    let mut fleet = settled_fleet(1, 9);
    let slow = fleet.members(LARGE)[2].clone();
    fleet.slow_down(&slow, 5.0);
    fleet.run_for(Span::from_secs(4));
    assert!(fleet.members(LARGE).contains(&slow));
}

/// After the order to open, a head may serve although it hasn't reported so. If a member is lost
/// then, the others must not join another group at once.
#[test]
fn opening_group_holds_members_after_loss() {
    for millis in [0, 100, 200, 300, 400, 500] {
        let violations = lose_member_while_opening(Span::from_millis(millis));
        assert_eq!(violations, Vec::<String>::new(), "lost after {millis} ms");
    }
}

/// While no entries arrive, the report of an opened head is late by seconds. Its members must not
/// join another group meanwhile.
#[test]
fn opening_group_holds_members_while_watch_is_silent() {
    let mut fleet = settled_fleet(1, 11);
    let head = lose_member_and_reopen(&mut fleet);
    fleet.is_store_down = true;
    let (_, head) = fleet.roster.host_by_name(&head).expect("known");
    let epoch = head.runner.member.as_ref().expect("a member").epoch;
    let member = fleet.roster.hosts().find_map(|(_, host)| {
        let member = host.runner.member.as_ref()?;
        (member.epoch == epoch && member.rank == 3).then(|| host.name.clone())
    });
    fleet.power_off(&member.expect("a member"), true);
    fleet.run_for(Span::from_secs(5));
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// Returns the largest number of joins that one host is sent while its reports don't arrive.
fn count_joins_without_reports(span: Span, delivery: Delivery) -> usize {
    let mut fleet = Fleet::new(2, 11);
    fleet.run_for(Span::from_millis(300));
    fleet.is_store_down = true;
    let mut joins: BTreeMap<HostName, usize> = BTreeMap::new();
    fleet.run(fleet.now + span, |directive| {
        if matches!(directive.order, Order::Join { .. }) {
            *joins.entry(directive.host.clone()).or_default() += 1;
        }
        delivery
    });
    joins.into_values().max().unwrap_or_default()
}

/// A holder that is short of processor time reads reports late. If it repeated its orders at a
/// fixed rate meanwhile, it would never get to read them.
#[test]
fn repeats_unanswered_orders_less_and_less_often() {
    let joins = count_joins_without_reports(Span::from_secs(12), Delivery::Dropped);
    assert!((3..=6).contains(&joins), "{joins} joins to one host");
}

/// An order that its runner accepted is in effect although no report has arrived.
#[test]
fn rarely_repeats_accepted_orders() {
    let joins = count_joins_without_reports(Span::from_secs(12), Delivery::Immediate);
    assert!((1..=3).contains(&joins), "{joins} joins to one host");
}

/// The first repeat of a lost order must not wait: a group is down meanwhile.
#[test]
fn repeats_lost_order_within_a_second() {
    let joins = count_joins_without_reports(Span::from_millis(2_000), Delivery::Dropped);
    assert!(joins >= 2, "{joins} joins to one host");
}

/// Loses and adds hosts at a steady rate and returns the mean numbers of serving groups.
fn serve_under_loss(fleet: &mut Fleet, losses: usize, interval: Span, rounds: usize) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(3);
    let (mut large, mut small) = (0, 0);
    for round in 0..rounds {
        for loss in 0..losses {
            let alive = fleet.alive();
            let host = alive.choose(&mut rng).expect("hosts are left").clone();
            fleet.power_off(&host, true);
            let domain = fleet.domain_of(&host);
            fleet.add(domain.as_str(), &format!("new-{round}-{loss}"));
        }
        fleet.run_for(interval);
        large += fleet.serving_count(LARGE);
        small += fleet.serving_count(SMALL);
    }
    (large as f64 / rounds as f64, small as f64 / rounds as f64)
}

/// One host in twelve is lost every three seconds, and an empty one comes in its place, which loads
/// weights for 12 to 16 seconds. About half of the hosts are thus without weights at any time; each
/// model keeps its part of the others.
#[test]
fn keeps_groups_of_each_model_under_steady_loss() {
    let mut fleet = settled_fleet(2, 36);
    let engine = fleet.spec.services[0].engine.as_mut().expect("an engine");
    engine.load_parallel = 40;
    engine.load_rate = 20.0;
    let before = (fleet.serving_count(LARGE), fleet.serving_count(SMALL));
    let (large, small) = serve_under_loss(&mut fleet, 6, Span::from_secs(3), 20);
    let kept = (large / before.0 as f64, small / before.1 as f64);
    assert!(
        kept.0 >= 0.4 && kept.1 >= 0.4,
        "kept {kept:?} of the groups"
    );
    assert_eq!(fleet.violations, Vec::<String>::new());
}
