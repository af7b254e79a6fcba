//! Heads that nobody reaches and whose entries are gone, although they live.

use crate::{
    fleet::{Fleet, LARGE, SMALL},
    groups::settled_fleet,
};
use hickoryledge::core::{keys::HostName, time::Span};
use rand::{SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};

/// Guards against TWO: one silent probe of a head without an entry passed for its death, and its
/// members were ordered into another group while it was open.
#[test]
fn members_of_head_that_is_cut_off_join_no_other_group_before_they_have_left() {
    for model in [LARGE, SMALL] {
        let mut fleet = settled_fleet(1, 11);
        let head = fleet.members(model)[0].clone();
        fleet.cut_off(&head);
        fleet.run_for(Span::from_secs(12));
        assert_eq!(fleet.violations, Vec::<String>::new());
        assert_eq!(fleet.serving_count(model), 1);
        fleet.reconnect(&head);
        fleet.run_for(Span::from_secs(5));
        assert_eq!(fleet.violations, Vec::<String>::new());
    }
}

/// Repair of a head that is really dead may not wait longer than it did: its members leave within
/// a step, and join the spare in the next.
#[test]
fn members_of_silent_head_are_taken_within_two_seconds() {
    for model in [LARGE, SMALL] {
        let mut fleet = settled_fleet(1, 11);
        let head = fleet.members(model)[0].clone();
        fleet.power_off(&head, true);
        fleet.run_for(Span::from_millis(2_800));
        assert_eq!(fleet.serving_count(model), 1, "{model}");
    }
}

/// Guards against streams that are cut: a head that the holder of the duty doesn't reach may still
/// send data to other daemons, and its members must not leave it meanwhile.
#[test]
fn members_of_head_that_sends_data_to_peers_stay() {
    let mut fleet = settled_fleet(1, 11);
    let head = fleet.members(LARGE)[0].clone();
    let epoch = fleet.epoch_of(&head);
    fleet.cut_off(&head);
    for _ in 0..30 {
        fleet.roster.record_progress(epoch, fleet.now);
        fleet.run_for(Span::from_millis(200));
        assert_eq!(fleet.epoch_of(&head), epoch);
        assert_eq!(fleet.count_members(epoch), 6);
    }
    fleet.run_for(Span::from_secs(4));
    assert_eq!(fleet.serving_count(LARGE), 1, "no more data has come");
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// Guards against TWO: a head that was forgotten after a long cut, and is back later than its
/// members, was taken for one that had left.
#[test]
fn members_back_before_their_head_join_no_other_group_before_they_have_left() {
    let mut fleet = settled_fleet(1, 11);
    // The store has been watched since long before the cut.
    fleet.recover_store();
    fleet.run_for(Span::from_secs(20));
    let hosts = fleet.alive();
    let heads = [LARGE, SMALL].map(|model| fleet.members(model)[0].clone());
    hosts.iter().for_each(|host| fleet.cut_off(host));
    fleet.run_for(Span::from_secs(40));
    let members = hosts.iter().filter(|host| !heads.contains(host));
    members.for_each(|host| fleet.reconnect(host));
    fleet.run_for(Span::from_secs(5));
    heads.iter().for_each(|head| fleet.reconnect(head));
    fleet.run_for(Span::from_secs(10));
    assert_eq!(fleet.violations, Vec::<String>::new());
    assert_eq!(
        (fleet.serving_count(LARGE), fleet.serving_count(SMALL)),
        (1, 1)
    );
}

/// Cuts some hosts off, for a while that differs from host to host.
fn cut_some_off(fleet: &mut Fleet, rng: &mut SmallRng) {
    let alive = fleet.alive();
    let cut: Vec<HostName> = alive.choose_multiple(rng, 5).cloned().collect();
    for host in &cut {
        fleet.cut_off(host);
        fleet.run_for(Span::from_millis(300));
    }
    fleet.run_for(Span::from_secs(4));
    for host in &cut {
        fleet.reconnect(host);
        fleet.run_for(Span::from_millis(300));
    }
    fleet.run_for(Span::from_secs(2));
}

/// Runners that are cut off from the store and from the daemons again and again.
#[test]
fn no_host_serves_two_groups_despite_cuts() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = settled_fleet(2, 11);
        for _ in 0..6 {
            cut_some_off(&mut fleet, &mut rng);
        }
        assert_eq!(fleet.violations, Vec::<String>::new(), "seed {seed}");
    }
}
