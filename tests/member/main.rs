//! Membership, discovery, host health and freshness, decided by cores in virtual time.

mod discovery;
#[path = "../fakes/mod.rs"]
mod fakes;
mod faults;
mod hosts;
mod net;
mod registry;
#[path = "../group/runner.rs"]
mod runner;

use hickoryledge::core::{
    Core,
    keys::Incarnation,
    options::{Mechanism, Options},
    time::Span,
};
use net::{Net, peer};

const SECOND: Span = Span::from_secs(1);

fn started(count: usize, seed: u64, options: Options) -> Net {
    let mut net = Net::new(count, seed, options);
    net.start();
    let joined = net.run_until(SECOND.times(20), |net| all_see(net, count - 1));
    joined.expect("all find each other");
    net.run(SECOND.times(5));
    net
}

/// Whether every running daemon thinks so many others alive.
fn all_see(net: &Net, count: usize) -> bool {
    let running = net
        .daemons
        .iter()
        .filter(|node| node.is_up && !node.is_paused);
    let mut seen = running.map(|node| node.core.members().live().count());
    seen.all(|live| live == count)
}

fn sees(core: &Core, index: usize) -> bool {
    core.members()
        .live()
        .any(|(_, address)| address == peer(index))
}

/// Whether any running daemon but `index` thinks it alive.
fn is_seen(net: &Net, index: usize) -> bool {
    let others = net.daemons.iter().enumerate();
    let mut others = others.filter(|(other, node)| *other != index && node.is_up);
    others.any(|(_, node)| sees(&node.core, index))
}

#[test]
fn daemons_find_each_other_from_two_seeds() {
    for count in [2, 8, 40] {
        let net = started(count, 1, Options::default());
        assert!(all_see(&net, count - 1), "{count} daemons");
    }
}

#[test]
fn a_dead_daemon_is_known_dead_everywhere_in_seconds() {
    for count in [8, 40] {
        let mut net = started(count, 2, Options::default());
        net.kill(5);
        let known = net.run_until(SECOND.times(6), |net| !is_seen(net, 5));
        assert!(known.is_some(), "{count} daemons");
        assert!(all_see(&net, count - 2), "no other is thought dead");
    }
}

#[test]
fn a_new_run_replaces_the_old_one_at_once() {
    let mut net = started(8, 3, Options::default());
    net.kill(5);
    net.restart(5, "d005", 2);
    let known = net.run_until(SECOND.times(4), |net| {
        let others = net.daemons.iter().filter(|node| node.me.peer != peer(5));
        let mut members = others.map(|node| node.core.members());
        members.all(|members| {
            let address = |run| members.address(&"d005".into(), Some(Incarnation(run)));
            address(1).is_none() && address(2) == Some(peer(5))
        })
    });
    assert!(known.is_some());
    net.run(SECOND.times(5));
    assert!(all_see(&net, 7));
}

#[test]
fn another_daemon_at_the_same_address_ends_the_first() {
    let mut net = started(8, 4, Options::default());
    net.kill(5);
    net.restart(5, "other", 1);
    let replaced = net.run_until(SECOND.times(6), |net| {
        net.daemons.iter().all(|node| {
            let members = node.core.members();
            members.address(&"d005".into(), None).is_none()
                && (node.me.name.as_str() == "other"
                    || members.address(&"other".into(), None).is_some())
        })
    });
    assert!(replaced.is_some());
}

#[test]
fn a_paused_daemon_comes_back_and_blames_nobody() {
    let mut net = started(8, 5, Options::default());
    net.pause(3);
    net.run_until(SECOND.times(6), |net| !is_seen(net, 3))
        .expect("a paused daemon is taken for dead");
    net.run(SECOND.times(30));
    net.resume(3);
    assert!(!net.daemons[3].core.members().is_fresh(net.now));
    net.run_until(SECOND.times(10), |net| all_see(net, 7))
        .expect("it is alive again for all");
    net.run(SECOND.times(5));
    assert!(all_see(&net, 7));
}

#[test]
fn loss_alone_kills_nobody() {
    let mut net = started(8, 6, Options::default());
    net.loss = 0.2;
    for _ in 0..600 {
        net.run(SECOND);
        assert!(all_see(&net, 7), "at {:?}", net.now);
    }
}

#[test]
fn sides_of_a_partition_find_each_other_again() {
    let mut net = started(9, 7, Options::default());
    for round in 0..2 {
        net.split(3, true);
        net.run(SECOND.times(20));
        assert_eq!(
            net.daemons[0].core.members().live().count(),
            2,
            "round {round}"
        );
        assert_eq!(
            net.daemons[8].core.members().live().count(),
            5,
            "round {round}"
        );
        net.split(3, false);
        net.run_until(SECOND.times(20), |net| all_see(net, 8))
            .expect("all know each other again");
    }
}

/// A daemon that can send but not hear must not talk the others into deaths.
#[test]
fn a_deaf_daemon_kills_nobody() {
    let mut net = started(8, 8, Options::default());
    for other in 1..8 {
        net.cut(other, 0, true);
    }
    for _ in 0..60 {
        net.run(SECOND);
        for index in 1..8 {
            let seen = (1..8).filter(|other| sees(&net.daemons[index].core, *other));
            assert_eq!(seen.count(), 6);
        }
    }
}

/// A daemon cut off from the platform and the others; whether it then refuses new work.
fn cut_off_refuses(options: Options) -> bool {
    let mut net = started(9, 10, options);
    net.platform(false);
    for _ in 0..30 {
        net.run(SECOND);
        let mut all = net.daemons.iter().map(|node| node.core.members());
        assert!(
            all.all(|members| members.is_fresh(net.now)),
            "peers are heard"
        );
    }
    net.split(1, true);
    let is_stale = |net: &Net| !net.daemons[0].core.members().is_fresh(net.now);
    net.run_until(SECOND.times(10), is_stale);
    let others = &net.daemons[1..];
    assert!(
        others
            .iter()
            .all(|node| node.core.members().is_fresh(net.now))
    );
    is_stale(&net)
}

#[test]
fn a_daemon_that_hears_nobody_refuses_new_work() {
    assert!(cut_off_refuses(Options::default()));
}

#[test]
fn without_the_freshness_bound_a_cut_off_daemon_goes_on() {
    let options = Options {
        without: vec![Mechanism::FreshnessBound],
        ..Options::default()
    };
    assert!(!cut_off_refuses(options));
}

#[test]
fn hearing_the_platform_alone_keeps_a_daemon_fresh() {
    let mut net = started(9, 11, Options::default());
    net.split(1, true);
    for _ in 0..30 {
        net.run(SECOND);
        assert!(net.daemons[0].core.members().is_fresh(net.now));
    }
    net.split(1, false);
    net.run(SECOND.times(20));
    let calls = net.registry_calls;
    net.run(SECOND.times(60));
    let calls = net.registry_calls - calls;
    assert!(
        calls <= 9 * 4,
        "{calls} calls by 9 daemons that hear each other"
    );
}
