//! Random faults, one after the other and at once, and what must hold after them.

use super::{SECOND, all_see, net::Net, started};
use hickoryledge::core::{options::Options, time::Span};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const COUNT: usize = 7;

/// How long after the last fault all must be well again.
const RECOVERY: Span = Span::from_secs(30);

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Split(usize),
    Mend(usize),
    Cut(usize, usize),
    Loss(u8),
    Platform(bool),
    Wait(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..COUNT;
    prop_oneof![
        node.clone().prop_map(Fault::Kill),
        node.clone().prop_map(Fault::Restart),
        node.clone().prop_map(Fault::Pause),
        node.clone().prop_map(Fault::Resume),
        (1..COUNT).prop_map(Fault::Split),
        (1..COUNT).prop_map(Fault::Mend),
        (node.clone(), node).prop_map(|(from, to)| Fault::Cut(from, to)),
        (0..50u8).prop_map(Fault::Loss),
        any::<bool>().prop_map(Fault::Platform),
        (100..8_000u64).prop_map(Fault::Wait),
        (100..8_000u64).prop_map(Fault::Wait),
    ]
}

fn restart(net: &mut Net, index: usize) {
    let node = &net.daemons[index];
    let (name, run) = (node.me.name.clone(), node.me.incarnation.0 + 1);
    net.restart(index, name.as_str(), run);
}

fn apply(net: &mut Net, fault: Fault) {
    match fault {
        Fault::Kill(index) => net.kill(index),
        Fault::Restart(index) => restart(net, index),
        Fault::Pause(index) => net.pause(index),
        Fault::Resume(index) if net.daemons[index].is_paused => net.resume(index),
        Fault::Resume(_) => {}
        Fault::Split(at) => net.split(at, true),
        Fault::Mend(at) => net.split(at, false),
        Fault::Cut(from, to) => net.cut(from, to, true),
        Fault::Loss(percent) => net.loss = f64::from(percent) / 100.0,
        Fault::Platform(is_heard) => net.platform(is_heard),
        Fault::Wait(millis) => net.run(Span::from_millis(millis)),
    }
}

/// Ends every fault.
fn mend(net: &mut Net) {
    net.loss = 0.0;
    net.platform(true);
    for from in 0..COUNT {
        (0..COUNT).for_each(|to| net.cut(from, to, false));
    }
    for index in 0..COUNT {
        if !net.daemons[index].is_up {
            restart(net, index);
        } else if net.daemons[index].is_paused {
            net.resume(index);
        }
    }
}

/// Whether all is well: all see all, take work, and are registered.
fn is_well(net: &Net) -> bool {
    let fresh = |node: &super::net::SimDaemon| node.core.members().is_fresh(net.now);
    let registered = |node: &super::net::SimDaemon| {
        let key = format!("/hickoryledge/daemon/{}", node.me.name);
        let run = format!("\"incarnation\":{}", node.me.incarnation.0);
        let entry = net.kv.store.get(&key);
        entry.is_some_and(|entry| entry.value.contains(&run))
    };
    all_see(net, COUNT - 1)
        && net
            .daemons
            .iter()
            .all(|node| fresh(node) && registered(node))
}

#[test]
fn all_is_well_again_after_any_faults() {
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
            let mut net = started(COUNT, seed, Options::default());
            for fault in faults {
                apply(&mut net, fault);
            }
            mend(&mut net);
            let recovered = net.run_until(RECOVERY, is_well);
            prop_assert!(recovered.is_some(), "{}", trouble(&net));
            net.run(SECOND.times(5));
            prop_assert!(is_well(&net), "{}", trouble(&net));
            Ok(())
        })
        .expect("all is well");
}

fn trouble(net: &Net) -> String {
    let line = |node: &super::net::SimDaemon| {
        let live: Vec<String> = node
            .core
            .members()
            .live()
            .map(|(n, _)| n.to_string())
            .collect();
        let fresh = node.core.members().is_fresh(net.now);
        format!("{} fresh {fresh} sees {live:?}", node.me.name)
    };
    net.daemons.iter().map(line).collect::<Vec<_>>().join("\n")
}
