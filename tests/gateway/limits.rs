//! Rate limits of runners, kept by all daemons together, in virtual time.

use crate::limit_fleet::{Fleet, Policy, entry, runner};
use hickoryledge::{
    core::{keys::DaemonName, time::Span},
    gateway::{
        peers::Peers,
        permits::{Authority, authority},
    },
};
use rand::Rng as _;
use std::net::SocketAddr;

#[test]
fn limit_holds_and_is_used_for_any_number_of_daemons() {
    for count in [1, 8, 58, 195, 340] {
        for per_second in [0.5, 3.0, 20.0] {
            let mut fleet = Fleet::new(count, per_second, 1);
            let since = fleet.now;
            fleet.run_for(Span::from_secs(30), per_second * 4.0);
            let context = format!("{count} daemons, {per_second} a second");
            fleet.assert_limit_kept(&context);
            let used = fleet.used_share(since);
            assert!(used >= 0.8, "{context}: {used} of the limit used");
        }
    }
}

// One day of the users showed three times the limit: each of 8 daemons sent as before.
#[test]
fn limit_holds_while_daemons_join_die_and_are_refused_by_store() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(8, [1.0, 3.0, 10.0][seed as usize % 3], seed);
        let demand = fleet.limit.per_second() * 6.0;
        for _ in 0..12 {
            let index = fleet.rng.random_range(0..fleet.daemons.len());
            match fleet.rng.random_range(0..4) {
                0 => fleet.join(),
                1 => fleet.kill(index),
                2 => fleet.daemons[index].is_refused ^= true,
                _ => {}
            }
            let span = Span::from_millis(fleet.rng.random_range(200..4_000));
            fleet.run_for(span, demand);
        }
        fleet.assert_limit_kept(&format!("seed {seed}"));
    }
}

/// Guards against former authorities that go on issuing permits: each is replaced by the next,
/// without learning of it.
#[test]
fn limit_holds_while_each_authority_is_refused_in_turn() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(8, 3.0, seed);
        for _ in 0..5 {
            let authority = fleet.accepted_authority().expect("a daemon");
            fleet.daemons[authority].is_refused = true;
            fleet.run_for(Span::from_secs(6), 12.0);
        }
        fleet.run_for(Span::from_secs(10), 40.0);
        fleet.assert_limit_kept(&format!("seed {seed}"));
    }
}

// Then half of the daemons see the other half as gone, while those go on with an old view.
#[test]
fn limit_holds_while_store_refuses_half_of_the_daemons() {
    for seed in 0..50 {
        for count in [8, 58] {
            let mut fleet = Fleet::new(count, 3.0, seed);
            fleet.run_for(Span::from_secs(4), 30.0);
            for daemon in fleet.daemons.iter_mut().step_by(2) {
                daemon.is_refused = true;
            }
            fleet.run_for(Span::from_secs(12), 30.0);
            for daemon in &mut fleet.daemons {
                daemon.is_refused = false;
            }
            fleet.run_for(Span::from_secs(8), 30.0);
            fleet.assert_limit_kept(&format!("seed {seed}, {count} daemons"));
        }
    }
}

#[test]
fn part_of_the_limit_is_used_while_the_store_is_away() {
    let mut fleet = Fleet::new(8, 4.0, 3);
    fleet
        .daemons
        .iter_mut()
        .for_each(|daemon| daemon.is_refused = true);
    fleet.run_for(Span::from_secs(4), 20.0);
    let since = fleet.now;
    fleet.run_for(Span::from_secs(20), 20.0);
    fleet.assert_limit_kept("store away");
    assert!(fleet.used_share(since) >= 0.2);
}

// Only a response can end a limit, so a runner that takes nothing is tried now and then.
#[test]
fn runner_with_a_limit_of_zero_gets_a_request_every_ten_seconds() {
    let mut fleet = Fleet::new(8, 0.0, 4);
    fleet.run_for(Span::from_secs(60), 50.0);
    fleet.assert_limit_kept("zero");
    assert!((3..=6).contains(&fleet.sent.len()), "{}", fleet.sent.len());
}

#[test]
fn huge_limit_holds_nothing_back() {
    let mut fleet = Fleet::new(8, 1e300, 5);
    fleet.loss = 0.0;
    fleet.run_for(Span::from_secs(5), 100.0);
    assert_eq!(fleet.sent.len(), fleet.requests);
}

// Without addresses for each other, daemons can't ask.
#[test]
fn limit_is_divided_among_daemons_without_addresses() {
    let mut peers = Peers::default();
    for number in 0..4 {
        let mut entry = entry(SocketAddr::from(([10, 0, 0, 1], number)));
        entry.peer = None;
        peers.put(DaemonName::from(format!("d{number}").as_str()), entry);
    }
    let chosen = authority(&DaemonName::from("d1"), &peers, &runner());
    assert_eq!(chosen, Authority::Divided(4));
}

// The checks notice daemons that don't count together: while the store refuses half of them, the
// others take the shares of those as well.
#[test]
fn checks_notice_shares_by_the_number_of_known_daemons() {
    let is_limit_broken = |policy, seed| {
        let mut fleet = Fleet::with_policy(policy, 8, 3.0, seed);
        for (is_refused, seconds) in [(false, 10), (true, 15), (false, 10)] {
            for daemon in fleet.daemons.iter_mut().step_by(2) {
                daemon.is_refused = is_refused;
            }
            fleet.run_for(Span::from_secs(seconds), 12.0);
        }
        fleet.worst_window() as f64 > fleet.allowed()
    };
    let breaks = |policy| (0..50).any(|seed| is_limit_broken(policy, seed));
    assert!(breaks(Policy::EqualShares));
    assert!(breaks(Policy::FewDaemons(4)));
    assert!(!breaks(Policy::Permits));
}
