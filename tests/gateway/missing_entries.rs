//! Runners whose entries are gone although they are at work: they leave without announcing it, or are
//! cut off from the store.

use crate::{
    fleet::{Delivery, Fleet, LARGE, service},
    groups::settled_fleet,
};
use hickoryledge::{
    core::{
        keys::{Epoch, HostName},
        time::Span,
    },
    gateway::{
        balancer::{Endpoint, has_lost_member},
        order::{Directive, Order},
        spec::{Route, RouteKind, Share},
    },
};

/// Timeout of the route to the heads, longer than the time after which other hosts without an
/// entry are forgotten.
const ROUTE_TIMEOUT: Span = Span::from_secs(45);

/// Returns a fleet with the larger model's head and the epoch of its group.
fn fleet_with_head() -> (Fleet, HostName, Epoch) {
    let mut fleet = settled_fleet(1, 11);
    let share = Share {
        service: service(),
        weight: 1,
    };
    fleet.spec.routes = vec![Route {
        name: "write".to_owned(),
        host: "api".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Stream,
        split: vec![share],
        attempts: 3,
        timeout: ROUTE_TIMEOUT,
        objective: Span::from_millis(250),
        gap: Span::from_millis(100),
        priority: 0,
        public: true,
        resumable: true,
    }];
    let head = fleet.members(LARGE)[0].clone();
    let epoch = fleet.epoch_of(&head);
    (fleet, head, epoch)
}

/// Runs for a time in which the head of a group closes it no sooner than it is cut, as its work goes
/// on; returns true if it was cut. Its streams send data if `has_data`.
fn is_cut(fleet: &mut Fleet, epoch: Epoch, span: Span, has_data: bool) -> bool {
    let mut is_cut = false;
    let end = fleet.now + span;
    while fleet.now < end {
        if has_data {
            fleet.roster.record_progress(epoch, fleet.now);
        }
        let until = fleet.now + Span::from_millis(100);
        fleet.run(until, |directive: &Directive| match directive.order {
            Order::Close { epoch: of, cut, .. } if of == epoch => {
                is_cut |= cut;
                Delivery::Dropped
            }
            _ => Delivery::Immediate,
        });
    }
    is_cut
}

fn assert_kept(fleet: &Fleet, epoch: Epoch) {
    assert_eq!(fleet.count_members(epoch), 6);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// Guards against work that is cut because of a missing entry: it was after 1.8 s, and after 30 s the
/// members of the forgotten head were ordered to leave.
#[test]
fn work_of_head_without_entry_is_not_cut() {
    let (mut fleet, head, epoch) = fleet_with_head();
    fleet.unlist(&head);
    assert!(!is_cut(&mut fleet, epoch, Span::from_secs(40), false));
    assert_kept(&fleet, epoch);
    fleet.run_for(Span::from_secs(20));
    assert_eq!(fleet.serving_count(LARGE), 1, "once its work has ended");
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// No caller waits beyond the timeout of its route: a head that never closes its group must not
/// hold the members for good.
#[test]
fn work_of_head_without_entry_is_cut_after_the_longest_timeout() {
    let (mut fleet, head, epoch) = fleet_with_head();
    fleet.unlist(&head);
    let longer = ROUTE_TIMEOUT + Span::from_secs(1);
    assert!(is_cut(&mut fleet, epoch, longer, false));
}

/// A head that lost a member fails its work in seconds: it must not be waited for.
#[test]
fn work_of_head_without_entry_is_cut_once_a_member_is_lost() {
    let (mut fleet, head, epoch) = fleet_with_head();
    let member = fleet.members(LARGE)[2].clone();
    fleet.unlist(&head);
    assert!(!is_cut(&mut fleet, epoch, Span::from_secs(3), true));
    fleet.power_off(&member, false);
    assert!(is_cut(&mut fleet, epoch, Span::from_millis(300), true));
}

/// A member that leaves without announcing it works on for some seconds after it has stopped listening.
#[test]
fn work_goes_on_while_a_member_without_entry_refuses_connections() {
    let (mut fleet, _, epoch) = fleet_with_head();
    let member = fleet.members(LARGE)[2].clone();
    fleet.unlist(&member);
    assert!(!is_cut(&mut fleet, epoch, Span::from_secs(1), true));
    fleet.stop_listening(&member);
    assert!(!is_cut(&mut fleet, epoch, Span::from_secs(10), false));
    assert!(!is_cut(&mut fleet, epoch, Span::from_secs(30), true));
    assert_kept(&fleet, epoch);
    let stalled = is_cut(&mut fleet, epoch, Span::from_secs(2), false);
    assert!(stalled, "the work has stalled");
}

/// Guards against streams with pauses that move to another runner for a missing entry: daemons that
/// see the group without its head, or its head as out of reach, wait until the streams stall.
#[test]
fn stream_of_head_without_entry_has_lost_no_member() {
    let (mut fleet, head, epoch) = fleet_with_head();
    let (key, host) = fleet.roster.host_by_name(&head).expect("known");
    let endpoint = Endpoint {
        host: key,
        name: head.clone(),
        born: host.runner.born,
        address: host.runner.address,
        epoch: Some(epoch),
    };
    let member = fleet.members(LARGE)[2].clone();
    fleet.unlist(&head);
    is_cut(&mut fleet, epoch, Span::from_secs(1), false);
    fleet.stop_listening(&head);
    is_cut(&mut fleet, epoch, Span::from_secs(1), true);
    assert!(!has_lost_member(&fleet.roster, &endpoint));
    fleet.power_off(&member, false);
    is_cut(&mut fleet, epoch, Span::from_millis(300), true);
    assert!(has_lost_member(&fleet.roster, &endpoint));
    fleet.roster.replace(Vec::new(), fleet.now);
    fleet.roster.expire(fleet.now + Span::from_secs(60));
    assert!(!has_lost_member(&fleet.roster, &endpoint), "forgotten");
}
