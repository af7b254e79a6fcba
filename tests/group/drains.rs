//! Draining of groups without interrupting running work.

use crate::{
    cluster::{Cluster, spec},
    placement::two_groups,
};
use hickoryledge::core::{
    config::record::GroupSpec,
    options::{Mechanism, Options},
    time::Span,
};

const TIMEOUT: Span = Span::from_secs(120);

#[test]
fn drained_group_finishes_running_work_before_hosts_are_freed() {
    let mut cluster = two_groups(2, 4, &Options::default());
    assert_eq!(cluster.send_work(0, "m", Span::from_secs(20)), 2);
    cluster.put_group(&GroupSpec {
        drained: true,
        ..spec("a", "m", "rack")
    });
    let one_serving = |c: &mut Cluster| (0..2).all(|index| c.serving(index, "m").len() == 1);
    assert!(cluster.run_until(Span::from_secs(1), one_serving));
    cluster.run_for(Span::from_secs(10));
    assert!(cluster.placement("rack").groups.contains_key(&"a".into()));
    let freed = |c: &mut Cluster| !c.placement("rack").groups.contains_key(&"a".into());
    assert!(cluster.run_until(TIMEOUT, freed));
    cluster.run_for(Span::from_secs(5));
    assert_eq!(cluster.interrupted(), 0);
    cluster.put_group(&spec("a", "m", "rack"));
    assert!(cluster.run_until(TIMEOUT, |c| c.serving(0, "m").len() == 2));
}

#[test]
fn hosts_of_deleted_group_are_reused() {
    let mut cluster = two_groups(1, 4, &Options::default());
    cluster.put_group(&spec("c", "m", "rack"));
    cluster.run_for(Span::from_secs(10));
    assert!(!cluster.placement("rack").groups.contains_key(&"c".into()));
    cluster.put_group(&GroupSpec {
        deleted: true,
        ..spec("a", "m", "rack")
    });
    assert!(cluster.run_until(TIMEOUT, |c| c.is_serving("rack", "c")));
}

/// Drains a group while one daemon learns of it 8 seconds late and keeps
/// sending work to runners that don't refuse it. Returns the number of work
/// items interrupted.
fn interrupted_with_late_daemon(options: &Options) -> usize {
    let mut cluster = two_groups(2, 4, options);
    let holder = cluster.holders("rack")[0];
    let late = 1 - holder;
    cluster.daemons[late].config_delay = Span::from_secs(8);
    for runner in cluster.runners.values_mut() {
        runner.respects_drain = false;
    }
    // A third group waits for the hosts, so that they are reused once freed.
    cluster.put_group(&spec("c", "m", "rack"));
    cluster.put_group(&GroupSpec {
        drained: true,
        ..spec("a", "m", "rack")
    });
    for _ in 0..500 {
        cluster.run_for(Span::from_millis(37));
        cluster.send_work(late, "m", Span::from_millis(29));
    }
    assert!(cluster.run_until(TIMEOUT, |c| c.is_serving("rack", "c")));
    cluster.interrupted()
}

#[test]
fn hosts_are_freed_only_after_every_daemon_confirms() {
    assert_eq!(interrupted_with_late_daemon(&Options::default()), 0);
    let without = Options {
        without: vec![Mechanism::DrainAcks],
        ..Options::default()
    };
    assert!(
        interrupted_with_late_daemon(&without) > 0,
        "work is interrupted without acknowledgements"
    );
}
