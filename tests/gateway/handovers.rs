//! Groups while the duty changes hands: what a successor knows, and leaves undisturbed.

use crate::{
    fleet::{Delivery, Fleet, LARGE, SMALL, STEP_INTERVAL},
    groups::settled_fleet,
};
use hickoryledge::{
    core::{
        keys::Epoch,
        time::{Span, Time},
    },
    gateway::{
        order::{Directive, Order},
        planner::Planner,
    },
};

/// A successor that has not probed a dead head would consider it draining, and hold its
/// members for as long as a drain may take.
#[test]
fn successor_learns_dead_heads_from_predecessor() {
    let mut fleet = settled_fleet(1, 11);
    let head = fleet.members(LARGE)[0].clone();
    fleet.power_off(&head, false);
    fleet.run_for(Span::from_secs(1));
    fleet.hand_over_to_peer(Epoch(1_000_000));
    fleet.unlist(&head);
    fleet.run_for(Span::from_secs(4));
    assert_eq!(fleet.serving_count(LARGE), 1);
}

/// A head that left before the daemon started is missing from its list, but may still run
/// requests.
#[test]
fn new_daemon_holds_members_of_unseen_head() {
    let mut fleet = settled_fleet(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.unlist(&head);
    fleet.hand_over_to_new_daemon(Epoch(1_000_000));
    fleet.run_for(Span::from_secs(6));
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// Without the released groups that the predecessor published, the new daemon would wait for the
/// unseen head.
#[test]
fn new_daemon_learns_released_groups_from_predecessor() {
    let mut fleet = settled_fleet(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.power_off(&head, true);
    fleet.run(fleet.now + Span::from_secs(1), |_| Delivery::Dropped);
    fleet.hand_over_to_new_daemon(Epoch(1_000_000));
    fleet.run_for(Span::from_secs(4));
    assert_eq!(fleet.serving_count(SMALL), 1);
}

/// An unseen head must not hold its members forever.
#[test]
fn new_daemon_frees_members_of_head_unseen_for_long() {
    let mut fleet = settled_fleet(1, 11);
    let head = fleet.members(SMALL)[0].clone();
    fleet.power_off(&head, true);
    fleet.hand_over_to_new_daemon(Epoch(1_000_000));
    fleet.run_for(Span::from_secs(15));
    assert_eq!(fleet.serving_count(SMALL), 1);
}

/// A change of the holder must not disturb serving groups.
#[test]
fn successor_keeps_serving_groups() {
    let mut fleet = settled_fleet(2, 11);
    fleet.planner = Planner::new(Epoch(1_000_000));
    fleet.planner.has_traffic = true;
    let mut orders = Vec::new();
    fleet.run(fleet.now + Span::from_secs(10), |directive| {
        orders.push(directive.clone());
        Delivery::Immediate
    });
    assert_eq!(orders, Vec::<Directive>::new());
    assert_eq!(fleet.serving_count(LARGE), 2);
}

/// A successor that opened a group left ready by its predecessor at once could open one with a
/// dead member.
#[test]
fn successor_probes_members_before_opening_group() {
    let mut fleet = settled_fleet(1, 11);
    let member = fleet.members(LARGE)[3].clone();
    fleet.power_off(&member, false);
    fleet.run_for(Span::from_millis(300));
    // The successor learns of the loss only when its own probes fail.
    fleet.clear_unreachable();
    fleet.planner = Planner::new(Epoch(1_000_000));
    fleet.planner.has_traffic = true;
    let mut opened = 0;
    fleet.run(fleet.now + Span::from_millis(1_000), |directive| {
        opened += usize::from(matches!(directive.order, Order::Open { .. }));
        Delivery::Immediate
    });
    assert_eq!(opened, 0);
}

/// A successor that formed the group anew would start its load from the beginning.
#[test]
fn successor_lets_running_load_finish() {
    let mut fleet = settled_fleet(1, 9);
    let member = fleet.members(LARGE)[3].clone();
    fleet.power_off(&member, true);
    fleet.add("d0", "d0-new");
    // The load of the weights on the new host takes 16 seconds.
    fleet.run_for(Span::from_secs(10));
    fleet.planner = Planner::new(Epoch(1_000_000));
    fleet.planner.has_traffic = true;
    fleet.run_for(Span::from_secs(9));
    assert_eq!(fleet.serving_count(LARGE), 1, "the load was started again");
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// The predecessor's order to open may have been lost.
#[test]
fn successor_opens_ready_group() {
    let mut fleet = Fleet::new(1, 11);
    fleet.run(Time(8_000_000), |directive| match directive.order {
        Order::Open { .. } => Delivery::Dropped,
        _ => Delivery::Immediate,
    });
    assert_eq!(fleet.serving_count(LARGE), 0);
    fleet.planner = Planner::new(Epoch(1_000_000));
    fleet.run_for(Span::from_secs(20));
    assert_eq!(fleet.serving_count(LARGE), 1);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// Returns the largest number of loads that start within five seconds, in a fleet without weights
/// whose duty changes hands at each of the times.
fn most_loads_in_window(handovers: &[u64]) -> usize {
    let mut fleet = Fleet::new(6, 11);
    fleet.planner.has_traffic = true;
    let mut loads: Vec<Time> = Vec::new();
    for step in 0..600 {
        if let Some(index) = handovers.iter().position(|second| second * 10 == step) {
            fleet.hand_over_to_peer(Epoch(1_000 * (index as i64 + 1)));
            fleet.planner.has_traffic = true;
        }
        let now = fleet.now;
        fleet.run(now + Span::from_millis(100), |directive| {
            if matches!(directive.order, Order::Stage { .. } | Order::Join { .. }) {
                loads.push(now);
            }
            Delivery::Immediate
        });
    }
    let most = loads.iter().map(|from| {
        let window = loads
            .iter()
            .filter(|at| *at >= from && at.since(*from) < Span::from_secs(5));
        window.count()
    });
    most.max().unwrap_or_default()
}

/// The weight store limits the loads that start in a window.
#[test]
fn stays_under_load_limit_of_weight_store() {
    let most = most_loads_in_window(&[]);
    assert!(most <= 33, "{most} loads in five seconds");
}

/// A new holder of the duty doesn't know which loads the earlier one has started.
#[test]
fn stays_under_load_limit_while_duty_changes_hands() {
    for handovers in [&[1_u64][..], &[2, 4], &[10, 12, 14, 16], &[3, 5, 7, 9, 11]] {
        let most = most_loads_in_window(handovers);
        assert!(most <= 33, "{handovers:?}: {most} loads in five seconds");
    }
}

/// A daemon that has just started can't know whether an earlier holder's order to open a group is
/// still on its way, and so orders the head to leave. The group is without a head then, but none is
/// out of its sight.
#[test]
fn new_daemon_repairs_group_without_delay() {
    let mut fleet = settled_fleet(1, 11);
    fleet.hand_over_to_new_daemon(Epoch(1_000_000));
    fleet.run_for(Span::from_secs(1));
    let member = fleet.members(LARGE)[3].clone();
    fleet.power_off(&member, false);
    // The head's report arrives before its response to the order.
    fleet.run(
        fleet.now + Span::from_secs(4),
        |directive| match directive.order {
            Order::Leave { .. } => Delivery::Delayed(STEP_INTERVAL),
            _ => Delivery::Immediate,
        },
    );
    assert_eq!(fleet.serving_count(LARGE), 1);
    assert_eq!(fleet.violations, Vec::<String>::new());
}
