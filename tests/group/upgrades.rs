//! Rolling upgrades: the floor, pause, abort and resume, and a change of the duty holder.

use crate::{
    cluster::{Cluster, model, spec},
    placement::two_groups,
};
use hickoryledge::core::{
    config::{
        Key,
        record::{Upgrade, UpgradeState},
    },
    input::OrderChecks,
    keys::UpgradeName,
    options::{Mechanism, Options},
    time::Span,
};

const TIMEOUT: Span = Span::from_secs(300);

fn put_upgrade(cluster: &mut Cluster, state: UpgradeState, width: u16) {
    let upgrade = Upgrade {
        name: "night".into(),
        model: "m".into(),
        to: "v2".into(),
        from: "v1".into(),
        state,
        width,
        ..Upgrade::default()
    };
    cluster.put(&Key::Upgrade("night".into()), &upgrade);
}

fn versions(cluster: &Cluster) -> Vec<String> {
    let mut versions = Vec::new();
    for domain in ["rack", "row"] {
        let groups = cluster.placement(domain).groups;
        versions.extend(groups.values().map(|g| g.version.to_string()));
    }
    versions
}

fn is_done(cluster: &Cluster, daemon: usize) -> bool {
    let view = cluster.daemons[daemon].core.config().view();
    let upgrade = view.upgrade(&UpgradeName::from("night"));
    let model = view.model(&"m".into());
    upgrade.is_some_and(|u| u.record.state == UpgradeState::Done)
        && model.is_some_and(|m| m.version.as_str() == "v2")
}

/// Runs an upgrade to its end while work is sent. Returns the fewest groups seen in service.
fn fewest_serving(cluster: &mut Cluster) -> usize {
    let mut fewest = usize::MAX;
    let mut rounds = 0;
    while !is_done(cluster, 0) {
        cluster.run_for(Span::from_millis(100));
        cluster.send_work(0, "m", Span::from_millis(700));
        fewest = fewest.min(cluster.serving(0, "m").len());
        rounds += 1;
        assert!(rounds < 3_000, "the upgrade ends");
    }
    fewest
}

#[test]
fn upgrade_with_spares_keeps_all_groups_in_service() {
    let mut cluster = two_groups(2, 6, &Options::default());
    put_upgrade(&mut cluster, UpgradeState::Running, 1);
    assert_eq!(fewest_serving(&mut cluster), 2);
    assert_eq!(versions(&cluster), ["v2", "v2"]);
    assert_eq!(cluster.interrupted(), 0);
}

fn fewest_without_spares(options: &Options) -> usize {
    let mut cluster = two_groups(2, 4, options);
    put_upgrade(&mut cluster, UpgradeState::Running, 2);
    let fewest = fewest_serving(&mut cluster);
    assert_eq!(versions(&cluster), ["v2", "v2"]);
    assert_eq!(cluster.interrupted(), 0);
    fewest
}

#[test]
fn upgrade_keeps_the_floor_in_service() {
    assert_eq!(fewest_without_spares(&Options::default()), 1);
    let without = Options {
        without: vec![Mechanism::UpgradeFloor],
        ..Options::default()
    };
    assert_eq!(
        fewest_without_spares(&without),
        0,
        "the floor is not kept without the mechanism"
    );
}

fn two_domains(daemons: usize) -> Cluster {
    let mut cluster = two_groups(daemons, 4, &Options::default());
    cluster.put_model(&model("m", 2, 3));
    cluster.add_hosts("row", "r", 4, OrderChecks::Fenced);
    cluster.put_group(&spec("c", "m", "row"));
    cluster.put_group(&spec("d", "m", "row"));
    assert!(cluster.run_until(TIMEOUT, |c| c.serving(0, "m").len() == 4));
    cluster
}

#[test]
fn floor_holds_across_domains() {
    let mut cluster = two_domains(3);
    put_upgrade(&mut cluster, UpgradeState::Running, 4);
    assert_eq!(fewest_serving(&mut cluster), 3);
    assert_eq!(versions(&cluster), ["v2"; 4]);
    assert_eq!(cluster.interrupted(), 0);
}

#[test]
fn another_holder_continues_an_upgrade() {
    let mut cluster = two_domains(3);
    put_upgrade(&mut cluster, UpgradeState::Running, 1);
    let started = |c: &mut Cluster| versions(c).iter().any(|v| v == "v2");
    assert!(cluster.run_until(TIMEOUT, started));
    let holder = cluster.holders("rack")[0];
    cluster.crash(holder);
    let daemon = (holder + 1) % 3;
    assert!(cluster.run_until(TIMEOUT, |c| is_done(c, daemon)));
    assert_eq!(versions(&cluster), ["v2"; 4]);
}

#[test]
fn upgrade_pauses_aborts_and_resumes() {
    let mut cluster = two_domains(1);
    put_upgrade(&mut cluster, UpgradeState::Running, 1);
    let started = |c: &mut Cluster| versions(c).iter().any(|v| v == "v2");
    assert!(cluster.run_until(TIMEOUT, started));
    put_upgrade(&mut cluster, UpgradeState::Paused, 1);
    cluster.run_for(Span::from_secs(60));
    let paused = versions(&cluster);
    cluster.run_for(Span::from_secs(60));
    assert_eq!(versions(&cluster), paused);
    assert!(paused.iter().any(|v| v == "v1"));
    assert_eq!(cluster.serving(0, "m").len(), 4);
    put_upgrade(&mut cluster, UpgradeState::Aborted, 1);
    let rolled_back = |c: &mut Cluster| versions(c) == ["v1"; 4] && c.serving(0, "m").len() == 4;
    assert!(cluster.run_until(TIMEOUT, rolled_back));
    put_upgrade(&mut cluster, UpgradeState::Running, 1);
    assert!(cluster.run_until(TIMEOUT, |c| is_done(c, 0)));
}
