//! Groups under random faults, with orders that are dropped or delayed.

use crate::fleet::{Delivery, Fleet};
use hickoryledge::{
    core::{
        keys::{Epoch, HostName},
        time::Span,
    },
    gateway::{planner::Planner, roster::Runner},
};
use proptest::{
    collection::vec,
    prelude::{Just, Strategy, any, prop_oneof},
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// An event injected into a fleet.
#[derive(Clone, Debug)]
enum Event {
    PowerOff { host: usize, unlisted: bool },
    Drain { host: usize },
    Add { domain: usize },
    Successor,
    StopStore,
    RecoverStore,
    RollBack { millis: u64 },
    Wait { millis: u64 },
}

/// Interval at which the store's entries are copied.
const COPY_INTERVAL: Span = Span::from_millis(200);

/// Time after a rollback in which the runners write their entries again.
const REENTRY_TIME: Span = Span::from_millis(1_200);

/// Time after a rollback in which nobody holds the duty.
const VACANCY: Span = Span::from_millis(3_000);

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (any::<usize>(), any::<bool>())
            .prop_map(|(host, unlisted)| Event::PowerOff { host, unlisted }),
        1 => any::<usize>().prop_map(|host| Event::Drain { host }),
        2 => (0..2_usize).prop_map(|domain| Event::Add { domain }),
        1 => Just(Event::Successor),
        4 => (50..4_000_u64).prop_map(|millis| Event::Wait { millis }),
    ]
}

/// Returns events in which the holder's view of the runners is out of date for seconds.
fn event_with_outages() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => event(),
        1 => Just(Event::StopStore),
        1 => Just(Event::RecoverStore),
    ]
}

/// Returns events in which the store also comes back from a copy that is up to 10 s old.
fn event_with_rollbacks() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => event(),
        2 => (0..10_000_u64).prop_map(|millis| Event::RollBack { millis }),
    ]
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Immediate),
        1 => Just(Delivery::Dropped),
        2 => (100..6_000_u64).prop_map(|millis| Delivery::Delayed(Span::from_millis(millis))),
    ]
}

/// Plays events, with these deliveries in turn for the orders sent meanwhile.
fn play(fleet: &mut Fleet, events: Vec<Event>, deliveries: Vec<Delivery>) {
    let mut deliveries = deliveries.into_iter().cycle();
    let mut copies = vec![(fleet.now, fleet.entries())];
    for (number, event) in events.into_iter().enumerate() {
        let alive = fleet.alive();
        let pick = |host: usize| -> Option<HostName> {
            (!alive.is_empty()).then(|| alive[host % alive.len()].clone())
        };
        match event {
            Event::PowerOff { host, unlisted } => {
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
                fleet.planner = Planner::new(Epoch(1_000_000 * (number as i64 + 1)));
                fleet.planner.has_traffic = true;
            }
            Event::StopStore => fleet.stop_store(),
            Event::RecoverStore => fleet.recover_store(),
            Event::RollBack { millis } => {
                let before = fleet.now.0.saturating_sub(Span::from_millis(millis).0);
                let kept = copies.partition_point(|(at, _)| at.0 <= before);
                copies.truncate(kept.max(1));
                let (_, copy) = copies.last().expect("the first copy is kept").clone();
                let epoch = Epoch(1_000_000 * (number as i64 + 1));
                roll_back(fleet, copy, epoch, || deliveries.next().expect("endless"));
            }
            Event::Wait { millis } => {
                let until = fleet.now + Span::from_millis(millis);
                while fleet.now < until {
                    let next = until.min(fleet.now + COPY_INTERVAL);
                    fleet.run(next, |_| deliveries.next().expect("endless"));
                    copies.push((fleet.now, fleet.entries()));
                }
            }
        }
    }
}

/// Brings the store back from a copy: its entries are old until the runners write theirs again, and
/// the duty is vacant until earlier leases have ended. Orders that are on their way still arrive.
fn roll_back<F>(fleet: &mut Fleet, copy: Vec<(HostName, Runner)>, epoch: Epoch, mut delivery: F)
where
    F: FnMut() -> Delivery,
{
    // The holder may send orders until it notices.
    fleet.run(fleet.now + COPY_INTERVAL, |_| delivery());
    let listed = fleet.roster.keep_newer(copy);
    fleet.stop_store();
    fleet.roster.store_recovered(fleet.now);
    fleet.roster.replace(listed, fleet.now);
    let vacant_until = fleet.now + VACANCY;
    fleet.run(fleet.now + REENTRY_TIME, |_| Delivery::Dropped);
    fleet.recover_store();
    fleet.run(vacant_until, |_| Delivery::Dropped);
    fleet.planner = Planner::new(epoch);
    fleet.planner.has_traffic = true;
}

/// Plays random cases on new fleets, and fails with the smallest one in which a host serves two
/// groups.
fn check_faults<S, F>(count: u32, cases: &S, seed: u8, new_fleet: F)
where
    S: Strategy<Value = (Vec<Event>, Vec<Delivery>)>,
    F: Fn() -> Fleet,
{
    let config = Config {
        cases: count,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(cases, |(events, deliveries)| {
        let mut fleet = new_fleet();
        fleet.run_for(Span::from_secs(12));
        play(&mut fleet, events, deliveries);
        fleet.run_for(Span::from_secs(5));
        proptest::prop_assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
        Ok(())
    });
    outcome.unwrap();
}

/// Random losses, drains, arrivals and changes of the holder, with orders that are dropped or
/// delayed.
#[test]
fn no_host_serves_two_groups_despite_faults() {
    let cases = (vec(event(), 1..25), vec(delivery(), 1..40));
    check_faults(64, &cases, 7, || Fleet::new(2, 11));
}

/// A large domain has several groups of a model, and a formation takes hosts of more than one that
/// was broken. A late order to open one of those must not let it serve without them.
#[test]
fn no_host_serves_two_groups_in_large_domain() {
    let cases = (vec(event_with_outages(), 1..40), vec(delivery(), 1..40));
    check_faults(256, &cases, 9, || Fleet::new(1, 35));
}

/// A copy may show groups that have been closed since, and hide those that have opened; late orders
/// of the earlier holder still arrive.
#[test]
fn no_host_serves_two_groups_despite_rollbacks_of_store() {
    let cases = (vec(event_with_rollbacks(), 1..30), vec(delivery(), 1..40));
    check_faults(96, &cases, 11, || Fleet::new(2, 11));
}
