//! Recovery from random faults, in sequence and overlapping.

use super::{SECOND, all_have_live, net::Net, started};
use hickoryledge::core::{options::Options, time::Span};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const DAEMONS: usize = 7;

/// Time within which the daemons must recover after the last fault.
const RECOVERY_TIMEOUT: Span = Span::from_secs(30);

/// Fault of a daemon, by index, of the network or of the platform, or the time until the next one.
///
/// A split is between the daemons before an index and the others; loss is in percent.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Split(usize),
    Heal(usize),
    Cut(usize, usize),
    Loss(u8),
    Platform(bool),
    Wait(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    let index = 0..DAEMONS;
    prop_oneof![
        index.clone().prop_map(Fault::Kill),
        index.clone().prop_map(Fault::Restart),
        index.clone().prop_map(Fault::Pause),
        index.clone().prop_map(Fault::Resume),
        (1..DAEMONS).prop_map(Fault::Split),
        (1..DAEMONS).prop_map(Fault::Heal),
        (index.clone(), index).prop_map(|(from, to)| Fault::Cut(from, to)),
        (0..50u8).prop_map(Fault::Loss),
        any::<bool>().prop_map(Fault::Platform),
        (100..8_000u64).prop_map(Fault::Wait),
        (100..8_000u64).prop_map(Fault::Wait),
    ]
}

/// Starts the next incarnation of a daemon.
fn restart(net: &mut Net, index: usize) {
    let daemon = &net.daemons[index];
    let (name, incarnation) = (daemon.me.name.clone(), daemon.me.incarnation.0 + 1);
    net.restart(index, name.as_str(), incarnation);
}

fn apply(net: &mut Net, fault: Fault) {
    match fault {
        Fault::Kill(index) => net.kill(index),
        Fault::Restart(index) => restart(net, index),
        Fault::Pause(index) => net.pause(index),
        Fault::Resume(index) if net.daemons[index].is_paused => net.resume(index),
        Fault::Resume(_) => {}
        Fault::Split(at) => net.split(at, true),
        Fault::Heal(at) => net.split(at, false),
        Fault::Cut(from, to) => net.cut(from, to, true),
        Fault::Loss(percent) => net.loss = f64::from(percent) / 100.0,
        Fault::Platform(is_reachable) => net.set_platform(is_reachable),
        Fault::Wait(millis) => net.run(Span::from_millis(millis)),
    }
}

/// Ends every fault.
fn end_faults(net: &mut Net) {
    net.loss = 0.0;
    net.set_platform(true);
    for from in 0..DAEMONS {
        (0..DAEMONS).for_each(|to| net.cut(from, to, false));
    }
    for index in 0..DAEMONS {
        if !net.daemons[index].is_up {
            restart(net, index);
        } else if net.daemons[index].is_paused {
            net.resume(index);
        }
    }
}

/// Returns true if all daemons know each other, are fresh, and are registered.
fn has_recovered(net: &Net) -> bool {
    let fresh = |daemon: &super::net::SimDaemon| daemon.core.members().is_fresh(net.now);
    let registered = |daemon: &super::net::SimDaemon| {
        let key = format!("/hickoryledge/daemon/{}", daemon.me.name);
        let incarnation = format!("\"incarnation\":{}", daemon.me.incarnation.0);
        let entry = net.kv.store.get(&key);
        entry.is_some_and(|entry| entry.value.contains(&incarnation))
    };
    all_have_live(net, DAEMONS - 1)
        && net
            .daemons
            .iter()
            .all(|daemon| fresh(daemon) && registered(daemon))
}

#[test]
fn recovers_from_random_faults() {
    let config = Config {
        cases: 150,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let faults = (any::<u64>(), proptest::collection::vec(fault(), 1..24));
    runner
        .run(&faults, |(seed, faults)| {
            let mut net = started(DAEMONS, seed, Options::default());
            for fault in faults {
                apply(&mut net, fault);
            }
            end_faults(&mut net);
            let recovered = net.run_until(RECOVERY_TIMEOUT, has_recovered);
            prop_assert!(recovered.is_some(), "{}", describe(&net));
            net.run(SECOND.times(5));
            prop_assert!(has_recovered(&net), "{}", describe(&net));
            Ok(())
        })
        .expect("the daemons recover");
}

/// Describes the state of each daemon, for a failure message.
fn describe(net: &Net) -> String {
    let line = |daemon: &super::net::SimDaemon| {
        let live: Vec<String> = daemon
            .core
            .members()
            .live()
            .map(|(n, _)| n.to_string())
            .collect();
        let fresh = daemon.core.members().is_fresh(net.now);
        format!("{}: fresh {fresh}, live {live:?}", daemon.me.name)
    };
    net.daemons.iter().map(line).collect::<Vec<_>>().join("\n")
}
