//! Requests to cold heads from all daemons together, in virtual time.

use crate::cold_fleet::{COLD_RATE, Fleet, MAX_IN_SECOND, Policy};
use hickoryledge::core::time::Span;
use rand::Rng as _;

/// Heads of the service.
const HEADS: usize = 18;

/// Requests a second that all heads together take while they are cold.
const CAPACITY: f64 = COLD_RATE * HEADS as f64;

/// Time after which all daemons have read what a head writes, those that follow a peer too.
const ENTRY_LAG: Span = Span::from_millis(2_300);

/// Time that a request may spend on asking: a quarter of the objective, and one late response.
const MAX_ASKING: Span = Span::from_millis(62 + 100);

fn restart_all(fleet: &mut Fleet) {
    (0..fleet.head_count()).for_each(|head| fleet.restart(head));
}

/// Cuts half of the daemons off; they follow no peer.
fn cut_off_half(fleet: &mut Fleet) {
    for index in (0..fleet.daemons.len()).step_by(2) {
        fleet.daemons[index].is_alone = true;
        fleet.cut_off(index);
    }
}

fn assert_kept(fleet: &Fleet, grace: Span, context: &str) {
    let worst = fleet.worst_second(grace);
    assert!(
        worst <= MAX_IN_SECOND,
        "{context}: {worst} requests in a second"
    );
}

// After a mass restart there is no other head to go to: what the heads tolerate must be used.
#[test]
fn cold_rate_is_kept_and_used_when_all_heads_restart() {
    for daemons in [8, 61, 340] {
        for (factor, seconds) in [(0.85, 8), (1.3, 8), (4.0, 4)] {
            let mut fleet = Fleet::new(Policy::Permits, daemons, HEADS, 1);
            fleet.run_for(Span::from_secs(1), CAPACITY * factor);
            restart_all(&mut fleet);
            fleet.run_for(Span::from_secs(3), CAPACITY * factor);
            let since = fleet.now;
            fleet.outcome = Default::default();
            fleet.run_for(Span::from_secs(seconds), CAPACITY * factor);
            let context = format!("{daemons} daemons, {factor} of the capacity");
            assert_kept(&fleet, Span::ZERO, &context);
            let used = fleet.used_share(since);
            let expected = f64::min(factor, 1.0) * 0.93;
            let outcome = &fleet.outcome;
            assert!(used >= expected, "{context}: {used} of the rate is used");
            let longest = outcome.asking(1.0);
            let refused = outcome.refused_share();
            let bound = f64::max(1.0 - 0.9 / factor, 0.04);
            assert!(refused <= bound, "{context}: {refused} are refused");
            assert!(longest <= MAX_ASKING, "{context}: {longest:?} of asking");
        }
    }
}

#[test]
fn cold_rate_is_kept_while_daemons_join_die_and_are_cut_off() {
    for (daemons, seeds) in [(8, 40), (61, 6), (340, 1)] {
        for seed in 0..seeds {
            assert_kept_at_random(daemons, seed, false);
        }
    }
}

/// Guards against several daemons that are cut off and each issue permits as the authority, so that
/// together they exceed the cold rate: each sees the others as they were when it was cut off.
#[test]
fn cold_rate_is_kept_while_daemons_are_cut_off_alone_one_after_the_other() {
    for (daemons, seeds) in [(8, 200), (61, 4)] {
        for seed in 0..seeds {
            assert_kept_at_random(daemons, seed, true);
        }
    }
}

/// Lets daemons join, die and be cut off at random while heads restart; those that are cut off
/// follow no peer if `is_alone`.
fn assert_kept_at_random(daemons: usize, seed: u64, is_alone: bool) {
    let mut fleet = Fleet::new(Policy::Permits, daemons, HEADS, seed);
    let demand = CAPACITY * [0.85, 2.0][seed as usize % 2];
    restart_all(&mut fleet);
    for _ in 0..12 {
        let index = fleet.rng.random_range(0..fleet.daemons.len());
        match fleet.rng.random_range(0..5) {
            0 => fleet.join(),
            1 => fleet.kill(index),
            2 if fleet.daemons[index].cut_off_since.is_none() => {
                fleet.daemons[index].is_alone = is_alone;
                fleet.cut_off(index);
            }
            2 => fleet.reconnect(index),
            3 => restart_all(&mut fleet),
            _ => {}
        }
        let span = Span::from_millis(fleet.rng.random_range(200..3_000));
        fleet.run_for(span, demand);
    }
    let context = format!("{daemons} daemons, seed {seed}, alone: {is_alone}");
    assert_kept(&fleet, Span::ZERO, &context);
}

/// Guards against former authorities that go on issuing permits: each is replaced by the next,
/// without learning of it.
#[test]
fn cold_rate_is_kept_while_each_authority_is_cut_off_alone_in_turn() {
    for (daemons, seeds) in [(8, 20), (61, 2)] {
        for seed in 0..seeds {
            let mut fleet = Fleet::new(Policy::Permits, daemons, HEADS, seed);
            for _ in 0..5 {
                let authority = fleet.informed_authority(0).expect("an authority");
                fleet.daemons[authority].is_alone = true;
                fleet.cut_off(authority);
                fleet.run_for(Span::from_secs(6), CAPACITY * 0.1);
            }
            restart_all(&mut fleet);
            fleet.run_for(Span::from_secs(8), CAPACITY * 3.0);
            let context = format!("{daemons} daemons, seed {seed}");
            assert_kept(&fleet, Span::ZERO, &context);
        }
    }
}

// Those that are cut off see the others as they were, and the others see them as gone.
#[test]
fn cold_rate_is_kept_while_half_of_the_daemons_are_cut_off() {
    for (daemons, seeds) in [(8, 10), (61, 3), (340, 1)] {
        for seed in 0..seeds {
            let mut fleet = Fleet::new(Policy::Permits, daemons, HEADS, seed);
            fleet.run_for(Span::from_secs(1), CAPACITY);
            cut_off_half(&mut fleet);
            let before = Span::from_millis(fleet.rng.random_range(0..5_000));
            fleet.run_for(before, CAPACITY * 0.5);
            restart_all(&mut fleet);
            fleet.run_for(Span::from_secs(8), CAPACITY * 1.5);
            (0..daemons).for_each(|index| fleet.reconnect(index));
            fleet.run_for(Span::from_secs(6), CAPACITY * 1.5);
            assert_kept(
                &fleet,
                Span::ZERO,
                &format!("{daemons} daemons, seed {seed}"),
            );
        }
    }
}

// Its entry says so only when it is written next, and daemons read it at different times.
#[test]
fn cold_rate_is_kept_when_serving_heads_become_cold() {
    for (daemons, seeds) in [(8, 6), (61, 3), (340, 1)] {
        for seed in 0..seeds {
            for (factor, grace) in [(0.85, Span::ZERO), (3.0, ENTRY_LAG)] {
                let mut fleet = Fleet::new(Policy::Permits, daemons, HEADS, seed);
                fleet.run_for(Span::from_secs(3), CAPACITY * factor);
                let heads = 0..fleet.head_count();
                heads.step_by(2).for_each(|head| fleet.become_cold(head));
                fleet.run_for(Span::from_secs(6), CAPACITY * factor);
                let context = format!("{daemons} daemons, seed {seed}, {factor}");
                assert_kept(&fleet, grace, &context);
            }
        }
    }
}

// While the store is away no daemon is certain to be the only authority.
#[test]
fn part_of_the_cold_rate_is_used_while_the_store_is_away() {
    let mut fleet = Fleet::new(Policy::Permits, 61, HEADS, 3);
    for index in 0..61 {
        fleet.daemons[index].is_alone = true;
        fleet.cut_off(index);
    }
    fleet.run_for(Span::from_secs(4), CAPACITY * 0.5);
    restart_all(&mut fleet);
    fleet.run_for(Span::from_secs(2), CAPACITY);
    let since = fleet.now;
    fleet.run_for(Span::from_secs(8), CAPACITY);
    assert_kept(&fleet, Span::ZERO, "store away");
    assert!(fleet.used_share(since) >= 0.2);
}

// The checks notice daemons that don't count together.
#[test]
fn checks_notice_daemons_that_do_not_count_together() {
    let worst = |policy, daemons| {
        let mut fleet = Fleet::new(policy, daemons, HEADS, 5);
        cut_off_half(&mut fleet);
        fleet.run_for(Span::from_secs(4), CAPACITY * 0.5);
        restart_all(&mut fleet);
        fleet.run_for(Span::from_secs(8), CAPACITY * 4.0);
        fleet.worst_second(Span::ZERO)
    };
    assert!(worst(Policy::Unlimited, 61) > MAX_IN_SECOND);
    assert!(worst(Policy::EqualShares, 61) > MAX_IN_SECOND);
    assert!(worst(Policy::FewSenders(4), 8) > MAX_IN_SECOND);
    assert!(worst(Policy::Permits, 61) <= MAX_IN_SECOND);
}
