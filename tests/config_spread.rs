//! Configuration changes reach all daemons while only a few of them call the platform.

mod fakes;

use fakes::{cluster::TestCluster, kv::Fault};
use hickoryledge::core::{
    config::record::Account, input::OperatorRequest, options::Options, output::OperatorAnswer,
    time::Span,
};
use std::collections::BTreeSet;

const SECOND: Span = Span::from_secs(1);

/// Time within which an accepted change must be in force.
const SPREAD_TIMEOUT: Span = Span::from_secs(5);

const TWO_HALLS: [&str; 12] = ["a", "b", "a", "b", "a", "b", "a", "b", "a", "b", "a", "b"];
const ONE_HALL: [&str; 6] = ["a"; 6];

/// Starts daemons, and waits until they know each other and at most four watch the platform.
fn start_cluster(halls: &[&str]) -> TestCluster {
    let mut cluster = TestCluster::new(halls, &Options::default());
    for daemon in 0..halls.len() {
        cluster.start(daemon);
        cluster.run(Span::from_millis(50));
    }
    let has_few_watchers = |c: &TestCluster| watchers(c).len() <= 4;
    cluster.run(SECOND.times(5));
    assert!(
        cluster.run_until(SECOND.times(20), has_few_watchers),
        "{:?}",
        watchers(&cluster)
    );
    cluster
}

fn watchers(cluster: &TestCluster) -> BTreeSet<usize> {
    cluster.kv.watchers().into_iter().collect()
}

fn non_watchers(cluster: &TestCluster) -> Vec<usize> {
    let watchers = watchers(cluster);
    let all = 0..cluster.cores.len();
    all.filter(|daemon| !watchers.contains(daemon)).collect()
}

fn account(name: &str) -> OperatorRequest {
    OperatorRequest::PutAccount(Account {
        name: name.into(),
        ..Account::default()
    })
}

fn has_account(cluster: &TestCluster, daemon: usize, name: &str) -> bool {
    let view = cluster.cores[daemon].config().view();
    view.account(&name.into()).is_some()
}

/// Makes a change at a daemon; returns true if the given daemons get it before the timeout.
fn change_reaches(cluster: &mut TestCluster, at: usize, name: &str, daemons: &[usize]) -> bool {
    let command = cluster.submit(at, cluster.now.0, account(name));
    let accepted = cluster.run_until(SECOND.times(8), |c| c.answers.contains_key(&command));
    assert!(accepted);
    let answer = &cluster.answers[&command];
    assert!(
        matches!(answer, OperatorAnswer::Accepted { .. }),
        "{answer:?}"
    );
    let name = name.to_owned();
    cluster.run_until(SPREAD_TIMEOUT, |c| {
        daemons.iter().all(|d| has_account(c, *d, &name))
    })
}

fn sync_calls(cluster: &TestCluster) -> u64 {
    ["list", "watch"]
        .iter()
        .filter_map(|kind| cluster.kv.calls.get(kind))
        .sum()
}

#[test]
fn two_daemons_per_hall_watch_and_all_get_changes() {
    let mut cluster = start_cluster(&TWO_HALLS);
    assert_eq!(watchers(&cluster).len(), 4);
    let before = sync_calls(&cluster);
    let all: Vec<usize> = (0..TWO_HALLS.len()).collect();
    for (number, at) in non_watchers(&cluster).into_iter().enumerate() {
        assert!(change_reaches(
            &mut cluster,
            at,
            &format!("c{number}"),
            &all
        ));
    }
    cluster.run(SECOND.times(10));
    assert_eq!(
        sync_calls(&cluster),
        before,
        "daemons other than the watchers called the platform"
    );
}

#[test]
fn changes_spread_faster_than_gossip_interval() {
    let halls: Vec<&str> = TWO_HALLS.iter().cycle().take(36).copied().collect();
    let mut cluster = start_cluster(&halls);
    let all: Vec<usize> = (0..halls.len()).collect();
    for number in 0..20 {
        let name = format!("c{number}");
        let start = cluster.now;
        assert!(change_reaches(&mut cluster, number, &name, &all));
        let elapsed = cluster.now.since(start);
        assert!(elapsed < Span::from_millis(250), "{name} took {elapsed:?}");
        cluster.run(Span::from_millis(300));
    }
}

#[test]
fn paused_watchers_are_replaced() {
    let mut cluster = start_cluster(&ONE_HALL);
    let others = non_watchers(&cluster);
    cluster.paused = watchers(&cluster).into_iter().collect();
    assert!(change_reaches(&mut cluster, others[0], "clerks", &others));
    cluster.resume();
    let all: Vec<usize> = (0..ONE_HALL.len()).collect();
    assert!(change_reaches(&mut cluster, others[0], "drivers", &all));
    assert!(all.iter().all(|d| has_account(&cluster, *d, "clerks")));
}

#[test]
fn one_daemon_with_platform_access_serves_all() {
    let mut cluster = start_cluster(&ONE_HALL);
    let last = non_watchers(&cluster)
        .pop()
        .expect("a daemon without a watch");
    let all: Vec<usize> = (0..ONE_HALL.len()).collect();
    cluster.cut_off = all.iter().copied().filter(|d| *d != last).collect();
    cluster.kv.end_watches();
    cluster.run(SECOND.times(10));
    assert_eq!(cluster.kv.watchers(), [last]);
    let before = cluster.kv.calls["watch"];
    cluster.run(SECOND.times(30));
    assert_eq!(
        cluster.kv.calls["watch"], before,
        "the watch was not stable"
    );
    for name in ["clerks", "drivers"] {
        assert!(change_reaches(&mut cluster, last, name, &all));
        cluster.run(SECOND.times(10));
    }
}

#[test]
fn daemon_started_during_outage_gets_records_from_peers() {
    let mut cluster = TestCluster::new(&["a", "a", "a"], &Options::default());
    cluster.start(0);
    cluster.start(1);
    cluster.run(SECOND.times(5));
    assert!(change_reaches(&mut cluster, 1, "clerks", &[0, 1]));
    cluster.kv.fault = Fault::Outage;
    cluster.run(SECOND.times(30));
    cluster.start(2);
    let soon = Span::from_millis(100);
    assert!(cluster.run_until(soon, |c| has_account(c, 2, "clerks")));
}

#[test]
fn calls_are_limited_during_and_after_outage() {
    let mut cluster = start_cluster(&TWO_HALLS);
    cluster.kv.fault = Fault::Refuses;
    cluster.run(SECOND.times(30));
    let before = sync_calls(&cluster);
    cluster.run(SECOND.times(10));
    let calls = sync_calls(&cluster) - before;
    assert!(calls <= 12 * 10, "{calls} calls in 10 s of outage");
    cluster.kv.fault = Fault::None;
    let before = sync_calls(&cluster);
    let all: Vec<usize> = (0..TWO_HALLS.len()).collect();
    assert!(change_reaches(&mut cluster, 0, "clerks", &all));
    cluster.run(SECOND.times(20));
    let calls = sync_calls(&cluster) - before;
    assert!(calls <= 2 * 12, "{calls} calls after the outage");
    assert_eq!(watchers(&cluster).len(), 4);
}
