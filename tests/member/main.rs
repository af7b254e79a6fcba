//! Membership, discovery, host health and freshness of a few daemons in virtual time.

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

/// Starts `count` daemons, waits until they all know each other, and lets them settle.
fn started(count: usize, seed: u64, options: Options) -> Net {
    let mut net = Net::new(count, seed, options);
    net.start();
    let joined = net.run_until(SECOND.times(20), |net| all_have_live(net, count - 1));
    joined.expect("all daemons know each other");
    net.run(SECOND.times(5));
    net
}

/// Returns true if every running daemon considers `count` others alive.
fn all_have_live(net: &Net, count: usize) -> bool {
    let running = net
        .daemons
        .iter()
        .filter(|daemon| daemon.is_up && !daemon.is_paused);
    let mut seen = running.map(|daemon| daemon.core.members().live().count());
    seen.all(|live| live == count)
}

/// Returns true if a daemon considers the one at `index` alive.
fn has_live(core: &Core, index: usize) -> bool {
    core.members()
        .live()
        .any(|(_, address)| address == peer(index))
}

/// Returns true if any other running daemon considers the one at `index` alive.
fn any_has_live(net: &Net, index: usize) -> bool {
    let others = net.daemons.iter().enumerate();
    let mut others = others.filter(|(other, daemon)| *other != index && daemon.is_up);
    others.any(|(_, daemon)| has_live(&daemon.core, index))
}

/// Daemons know only the addresses of two seeds at first.
#[test]
fn joins_all_daemons_from_two_seeds() {
    for count in [2, 8, 40] {
        let net = started(count, 1, Options::default());
        assert!(all_have_live(&net, count - 1), "{count} daemons");
    }
}

#[test]
fn detects_dead_daemon_everywhere_within_seconds() {
    for count in [8, 40] {
        let mut net = started(count, 2, Options::default());
        net.kill(5);
        let known = net.run_until(SECOND.times(6), |net| !any_has_live(net, 5));
        assert!(known.is_some(), "{count} daemons");
        assert!(
            all_have_live(&net, count - 2),
            "no other daemon is declared dead"
        );
    }
}

/// A daemon that restarts under its name is reached as the new incarnation only.
#[test]
fn new_incarnation_replaces_old_one() {
    let mut net = started(8, 3, Options::default());
    net.kill(5);
    net.restart(5, "d005", 2);
    let known = net.run_until(SECOND.times(4), |net| {
        let others = net
            .daemons
            .iter()
            .filter(|daemon| daemon.me.peer != peer(5));
        let mut members = others.map(|daemon| daemon.core.members());
        members.all(|members| {
            let address = |number| members.address(&"d005".into(), Some(Incarnation(number)));
            address(1).is_none() && address(2) == Some(peer(5))
        })
    });
    assert!(known.is_some());
    net.run(SECOND.times(5));
    assert!(all_have_live(&net, 7));
}

/// A daemon is declared dead when another one takes over its address.
#[test]
fn replaces_daemon_whose_address_is_reused() {
    let mut net = started(8, 4, Options::default());
    net.kill(5);
    net.restart(5, "other", 1);
    let replaced = net.run_until(SECOND.times(6), |net| {
        net.daemons.iter().all(|daemon| {
            let members = daemon.core.members();
            members.address(&"d005".into(), None).is_none()
                && (daemon.me.name.as_str() == "other"
                    || members.address(&"other".into(), None).is_some())
        })
    });
    assert!(replaced.is_some());
}

/// After a pause the acks of others may be missing, which must not count against them.
#[test]
fn paused_daemon_rejoins_without_declaring_others_dead() {
    let mut net = started(8, 5, Options::default());
    net.pause(3);
    net.run_until(SECOND.times(6), |net| !any_has_live(net, 3))
        .expect("the paused daemon is declared dead");
    net.run(SECOND.times(30));
    net.resume(3);
    assert!(!net.daemons[3].core.members().is_fresh(net.now));
    net.run_until(SECOND.times(10), |net| all_have_live(net, 7))
        .expect("all daemons consider it alive again");
    net.run(SECOND.times(5));
    assert!(all_have_live(&net, 7));
}

#[test]
fn packet_loss_causes_no_false_deaths() {
    let mut net = started(8, 6, Options::default());
    net.loss = 0.2;
    for _ in 0..600 {
        net.run(SECOND);
        assert!(all_have_live(&net, 7), "at {:?}", net.now);
    }
}

/// Each side declares the other dead, and must notice the end of the partition.
#[test]
fn rejoins_after_partition_heals() {
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
        net.run_until(SECOND.times(20), |net| all_have_live(net, 8))
            .expect("all daemons know each other again");
    }
}

/// A daemon that can send but not receive suspects all others, and must not have them declared
/// dead.
#[test]
fn daemon_that_receives_nothing_causes_no_deaths() {
    let mut net = started(8, 8, Options::default());
    for other in 1..8 {
        net.cut(other, 0, true);
    }
    for _ in 0..60 {
        net.run(SECOND);
        for index in 1..8 {
            let seen = (1..8).filter(|other| has_live(&net.daemons[index].core, *other));
            assert_eq!(seen.count(), 6);
        }
    }
}

/// Isolates a daemon from the platform and the others; returns true if it then refuses new work.
///
/// While the platform alone is unreachable, all daemons must stay fresh.
fn refuses_when_isolated(options: Options) -> bool {
    let mut net = started(9, 10, options);
    net.set_platform(false);
    for _ in 0..30 {
        net.run(SECOND);
        let mut all = net.daemons.iter().map(|daemon| daemon.core.members());
        assert!(
            all.all(|members| members.is_fresh(net.now)),
            "peers are reachable"
        );
    }
    net.split(1, true);
    let is_stale = |net: &Net| !net.daemons[0].core.members().is_fresh(net.now);
    net.run_until(SECOND.times(10), is_stale);
    let others = &net.daemons[1..];
    assert!(
        others
            .iter()
            .all(|daemon| daemon.core.members().is_fresh(net.now))
    );
    is_stale(&net)
}

#[test]
fn isolated_daemon_refuses_new_work() {
    assert!(refuses_when_isolated(Options::default()));
}

#[test]
fn isolated_daemon_accepts_work_without_freshness_bound() {
    let options = Options {
        without: vec![Mechanism::FreshnessBound],
        ..Options::default()
    };
    assert!(!refuses_when_isolated(options));
}

/// Daemons that reach each other must not call the platform just to stay fresh.
#[test]
fn stays_fresh_with_platform_contact_alone() {
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
        "{calls} calls by 9 daemons that reach each other"
    );
}
