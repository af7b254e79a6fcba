//! Random sequences of combined faults, at fixed seeds.
//!
//! After each step the cluster checks the placement records and the duties.
//! Work is sent according to the view of every daemon and must find groups
//! complete. Once the faults are over, every wanted group must serve on every
//! daemon.

use crate::{
    cluster::{Cluster, spec},
    fakes::kv::Fault,
    placement::two_groups,
};
use hickoryledge::core::{
    config::{
        Key,
        record::{GroupSpec, Upgrade, UpgradeState},
    },
    input::OrderChecks,
    options::Options,
    time::Span,
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};

const DAEMONS: usize = 3;
const HOSTS: usize = 6;

#[derive(Clone, Debug)]
enum Op {
    Kill(usize),
    Revive(usize),
    Leave(usize),
    Stay(usize),
    Pause(usize, u64),
    Disconnect(usize),
    Heal,
    Outage,
    LoseAnswers(u32),
    DelayConfig(usize, u64),
    HoldOrders,
    ReleaseOrders,
    Drain(bool),
    Upgrade(UpgradeState),
    Work,
    Run(u64),
}

fn planned_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        (0..DAEMONS, 1..20_u64).prop_map(|(daemon, secs)| Op::Pause(daemon, secs)),
        (0..DAEMONS).prop_map(Op::Disconnect),
        Just(Op::Heal),
        Just(Op::Outage),
        (1..4_u32).prop_map(Op::LoseAnswers),
        (0..DAEMONS, 0..6_000_u64).prop_map(|(daemon, millis)| Op::DelayConfig(daemon, millis)),
        any::<bool>().prop_map(Op::Drain),
        prop_oneof![
            Just(UpgradeState::Running),
            Just(UpgradeState::Paused),
            Just(UpgradeState::Aborted),
        ]
        .prop_map(Op::Upgrade),
        (0..HOSTS).prop_map(Op::Leave),
        (0..HOSTS).prop_map(Op::Stay),
        Just(Op::Work),
        Just(Op::Work),
        (10..9_000_u64).prop_map(Op::Run),
        (10..9_000_u64).prop_map(Op::Run),
    ]
}

fn any_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => (0..HOSTS).prop_map(Op::Kill),
        2 => (0..HOSTS).prop_map(Op::Revive),
        1 => Just(Op::HoldOrders),
        1 => Just(Op::ReleaseOrders),
        8 => planned_op(),
    ]
}

fn host_name(host: usize) -> String {
    format!("h{host}")
}

fn drain(cluster: &mut Cluster, drained: bool) {
    cluster.put_group(&GroupSpec {
        drained,
        ..spec("a", "m", "rack")
    });
}

fn upgrade(cluster: &mut Cluster, state: UpgradeState) {
    let record = Upgrade {
        name: "night".into(),
        model: "m".into(),
        to: "v2".into(),
        from: "v1".into(),
        state,
        ..Upgrade::default()
    };
    cluster.put(&Key::Upgrade("night".into()), &record);
}

fn send_work(cluster: &mut Cluster) {
    for daemon in 0..DAEMONS {
        if cluster.daemons[daemon].paused_until <= cluster.now {
            cluster.send_work(daemon, "m", Span::from_secs(3));
        }
    }
}

fn apply(cluster: &mut Cluster, op: &Op) {
    match op {
        Op::Kill(host) => cluster.kill(&host_name(*host)),
        Op::Revive(host) => {
            let listed = cluster
                .hosts
                .contains_key(&host_name(*host).as_str().into());
            if !listed {
                cluster.revive(&host_name(*host), "rack");
            }
        }
        Op::Leave(host) | Op::Stay(host) => {
            let leaving = matches!(op, Op::Leave(_));
            if cluster
                .hosts
                .contains_key(&host_name(*host).as_str().into())
            {
                cluster.set_leaving(&host_name(*host), leaving);
            }
        }
        Op::Pause(daemon, secs) => cluster.pause(*daemon, Span::from_secs(*secs)),
        Op::Disconnect(daemon) => cluster.daemons[*daemon].disconnected = true,
        Op::Heal => heal(cluster),
        Op::Outage => cluster.kv.fault = Fault::Outage,
        Op::LoseAnswers(count) => cluster.kv.answers_to_lose = *count,
        Op::DelayConfig(daemon, millis) => {
            cluster.daemons[*daemon].config_delay = Span::from_millis(*millis)
        }
        Op::HoldOrders => cluster.hold_orders = true,
        Op::ReleaseOrders => cluster.release_orders(),
        Op::Drain(drained) => drain(cluster, *drained),
        Op::Upgrade(state) => upgrade(cluster, *state),
        Op::Work => send_work(cluster),
        Op::Run(millis) => cluster.run_for(Span::from_millis(*millis)),
    }
}

fn heal(cluster: &mut Cluster) {
    cluster.kv.fault = Fault::None;
    for daemon in 0..DAEMONS {
        cluster.daemons[daemon].config_delay = Span::from_millis(5);
        cluster.reconnect(daemon);
    }
}

fn all_serve(cluster: &Cluster) -> bool {
    (0..DAEMONS).all(|daemon| cluster.serving(daemon, "m").len() == 2)
}

fn recover(cluster: &mut Cluster) {
    heal(cluster);
    // Waits for pauses to end; until then, host lists may be delivered out of order.
    cluster.run_for(Span::from_secs(20));
    cluster.kv.answers_to_lose = 0;
    cluster.release_orders();
    for host in 0..HOSTS {
        apply(cluster, &Op::Revive(host));
        apply(cluster, &Op::Stay(host));
    }
    drain(cluster, false);
    let all_served = cluster.run_until(Span::from_secs(900), |c| all_serve(c));
    assert!(all_served, "{:?}", cluster.placement("rack"));
}

fn runner(cases: u32, seed: u64) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..Config::default()
    })
}

fn start(checks: OrderChecks) -> Cluster {
    let mut cluster = two_groups(DAEMONS, HOSTS, &Options::default());
    for runner in cluster.runners.values_mut() {
        runner.checks = checks;
    }
    cluster
}

#[test]
fn invariants_hold_under_combined_faults() {
    let strategy = (vec(any_op(), 5..40), any::<bool>());
    let outcome = runner(24, 1).run(&strategy, |(ops, fenced)| {
        let checks = if fenced {
            OrderChecks::Fenced
        } else {
            OrderChecks::Nothing
        };
        let mut cluster = start(checks);
        for op in &ops {
            apply(&mut cluster, op);
        }
        recover(&mut cluster);
        Ok(())
    });
    assert!(outcome.is_ok(), "{outcome:?}");
}

#[test]
fn planned_moves_interrupt_no_work_under_faults() {
    let strategy = vec(planned_op(), 5..40);
    let outcome = runner(24, 2).run(&strategy, |ops| {
        let mut cluster = start(OrderChecks::Fenced);
        for op in &ops {
            apply(&mut cluster, op);
            assert_eq!(cluster.interrupted(), 0);
        }
        recover(&mut cluster);
        assert_eq!(cluster.interrupted(), 0);
        Ok(())
    });
    assert!(outcome.is_ok(), "{outcome:?}");
}
