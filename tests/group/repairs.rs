//! Repair of groups when hosts die, flap or change their domain, or a whole domain fails.

use crate::{
    cluster::{Cluster, host_entry, model, spec},
    placement::two_groups,
};
use hickoryledge::core::{
    config::{
        Key,
        record::{PlacedGroup, Placement, Stage},
    },
    input::OrderChecks,
    keys::{Epoch, HostName},
    options::{Mechanism, Options},
    time::Span,
};
use std::collections::BTreeMap;

const TIMEOUT: Span = Span::from_secs(120);

fn hosts_of(cluster: &Cluster, group: &str) -> Vec<HostName> {
    let placement = cluster.placement("rack");
    placement.groups[&group.into()].hosts.clone()
}

#[test]
fn dead_host_is_replaced_by_a_spare() {
    let mut cluster = two_groups(1, 5, &Options::default());
    let before = cluster.serving(0, "m");
    let lost = hosts_of(&cluster, "a")[0].clone();
    cluster.kill(lost.as_str());
    assert!(cluster.run_until(TIMEOUT, |c| c.serving(0, "m").len() == 1));
    assert!(cluster.run_until(TIMEOUT, |c| c.serving(0, "m").len() == 2));
    let placed = cluster.placement("rack").groups[&"a".into()].clone();
    assert!(!placed.hosts.contains(&lost));
    assert!(before.iter().all(|(_, epoch)| *epoch < placed.epoch));
}

/// Returns true if a group stays in service although one of its hosts is dead.
fn serves_with_a_dead_host(options: &Options) -> bool {
    let mut cluster = two_groups(1, 4, options);
    let lost = hosts_of(&cluster, "a")[1].clone();
    cluster.kill(lost.as_str());
    cluster.run_for(Span::from_secs(10));
    cluster.serving(0, "m").len() == 2
}

#[test]
fn incomplete_group_is_out_of_service() {
    assert!(!serves_with_a_dead_host(&Options::default()));
    let without = Options {
        without: vec![Mechanism::CompleteGroups],
        ..Options::default()
    };
    assert!(
        serves_with_a_dead_host(&without),
        "an incomplete group serves without the mechanism"
    );
}

#[test]
fn two_broken_groups_are_merged() {
    let options = Options {
        downtime_cost: 0.3,
        ..Options::default()
    };
    let mut cluster = two_groups(1, 4, &options);
    cluster.kill(hosts_of(&cluster, "a")[0].clone().as_str());
    cluster.kill(hosts_of(&cluster, "b")[0].clone().as_str());
    assert!(cluster.run_until(Span::from_secs(5), |c| c.serving(0, "m").is_empty()));
    assert!(cluster.run_until(TIMEOUT, |c| c.serving(0, "m").len() == 1));
}

#[test]
fn flapping_host_is_not_picked_as_a_spare() {
    let mut cluster = two_groups(1, 5, &Options::default());
    let spare = (0..5)
        .map(|index| HostName::from(format!("h{index}")))
        .find(|host| {
            ["a", "b"]
                .iter()
                .all(|g| !hosts_of(&cluster, g).contains(host))
        })
        .expect("one host is spare");
    for _ in 0..4 {
        cluster.kill(spare.as_str());
        cluster.run_for(Span::from_secs(3));
        cluster.revive(spare.as_str(), "rack");
        cluster.run_for(Span::from_secs(3));
    }
    let lost = hosts_of(&cluster, "a")[0].clone();
    cluster.kill(lost.as_str());
    cluster.run_for(Span::from_secs(20));
    assert!(!hosts_of(&cluster, "a").contains(&spare));
    assert!(cluster.run_until(TIMEOUT, |c| c.serving(0, "m").len() == 2));
}

#[test]
fn restarted_runner_is_reloaded() {
    let mut cluster = two_groups(1, 4, &Options::default());
    let host = hosts_of(&cluster, "a")[1].clone();
    let now = cluster.now;
    let runner = cluster.runners.get_mut(&host).expect("host is known");
    runner.restart(now);
    runner.up = true;
    let before = cluster.serving(0, "m");
    let reloaded = |c: &mut Cluster| c.serving(0, "m").len() == 2 && c.serving(0, "m") != before;
    assert!(cluster.run_until(TIMEOUT, reloaded));
}

#[test]
fn groups_move_from_a_dead_domain_to_one_with_free_hosts() {
    let mut cluster = two_groups(2, 4, &Options::default());
    cluster.add_hosts("row", "r", 4, OrderChecks::Fenced);
    cluster.put_group(&spec("c", "m", "row"));
    assert!(cluster.run_until(TIMEOUT, |c| c.serving(0, "m").len() == 3));
    for index in 0..4 {
        cluster.kill(&format!("h{index}"));
    }
    assert!(cluster.run_until(Span::from_secs(10), |c| c.serving(0, "m").len() == 1));
    assert!(cluster.run_until(TIMEOUT, |c| c.serving(0, "m").len() == 2));
    cluster.run_for(TIMEOUT);
    assert_eq!(cluster.placement("row").groups.len(), 2);
    for index in 0..4 {
        cluster.revive(&format!("h{index}"), "rack");
    }
    assert!(cluster.run_until(TIMEOUT, |c| c.serving(0, "m").len() == 3));
}

#[test]
fn groups_move_from_a_domain_without_listed_hosts() {
    let mut cluster = Cluster::new(2, &Options::default());
    cluster.add_hosts("row", "r", 2, OrderChecks::Fenced);
    cluster.put_model(&model("m", 2, 0));
    let placed = PlacedGroup {
        epoch: Epoch(1),
        hosts: vec!["h0".into(), "h1".into()],
        model: "m".into(),
        version: "v1".into(),
        stage: Stage::Serving,
        ..PlacedGroup::default()
    };
    let record = Placement {
        domain: "rack".into(),
        groups: BTreeMap::from([("a".into(), placed)]),
        ..Placement::default()
    };
    cluster.put(&Key::Placement("rack".into()), &record);
    cluster.put_group(&spec("a", "m", "rack"));
    assert!(cluster.run_until(TIMEOUT, |c| c.serving(0, "m").len() == 1));
    assert!(cluster.is_serving("row", "a"));
}

/// Moves a host to another domain while a group uses it. Returns true if the
/// host was ever assigned to two groups at once.
fn moved_host_is_in_two_groups(options: &Options) -> bool {
    let mut cluster = two_groups(2, 4, options);
    cluster.check_invariants = false;
    cluster.add_hosts("row", "r", 1, OrderChecks::Fenced);
    cluster.put_model(&model("n", 2, 0));
    cluster.put_group(&spec("c", "n", "row"));
    cluster.run_for(Span::from_secs(5));
    let moved = hosts_of(&cluster, "a")[0].clone();
    // The host list shows the new domain before the old group has released the host.
    let entry = host_entry(moved.as_str(), "row", OrderChecks::Fenced);
    cluster.hosts.insert(moved.clone(), entry);
    cluster.list_hosts();
    cluster.run_until(Span::from_secs(30), |c| {
        let count = |domain| {
            let groups = c.placement(domain).groups;
            groups.values().filter(|g| g.hosts.contains(&moved)).count()
        };
        count("rack") + count("row") > 1
    })
}

#[test]
fn moved_host_is_in_one_group_only() {
    assert!(!moved_host_is_in_two_groups(&Options::default()));
    let without = Options {
        without: vec![Mechanism::OneGroupPerHost],
        ..Options::default()
    };
    assert!(
        moved_host_is_in_two_groups(&without),
        "a host is in two groups without the mechanism"
    );
}
