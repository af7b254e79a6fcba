//! Groups come into service, and leave it as soon as one of their hosts is leaving.

use crate::cluster::{Cluster, model, spec};
use hickoryledge::core::{input::OrderChecks, options::Options, time::Span};

const TIMEOUT: Span = Span::from_secs(60);

/// Starts daemons and hosts, and waits until the groups `a` and `b` serve on every daemon.
pub fn two_groups(daemons: usize, hosts: usize, options: &Options) -> Cluster {
    let mut cluster = Cluster::new(daemons, options);
    cluster.add_hosts("rack", "h", hosts, OrderChecks::Fenced);
    cluster.put_model(&model("m", 2, 1));
    cluster.put_group(&spec("a", "m", "rack"));
    cluster.put_group(&spec("b", "m", "rack"));
    let served = cluster.run_until(TIMEOUT, |c| {
        (0..daemons).all(|index| c.serving(index, "m").len() == 2)
    });
    assert!(served, "both groups come into service on every daemon");
    cluster
}

#[test]
fn groups_serve_with_all_hosts_ready() {
    let mut cluster = two_groups(3, 5, &Options::default());
    let now = cluster.now;
    for (name, placed) in cluster.placement("rack").groups {
        assert_eq!(placed.hosts.len(), 2);
        for host in &placed.hosts {
            let runner = cluster.runners.get_mut(host).expect("host is known");
            let holding = runner.holding(now);
            assert_eq!(holding.group.as_ref(), Some(&name));
            assert_eq!(holding.epoch, placed.epoch);
            assert!(holding.ready);
        }
    }
    assert_eq!(cluster.holders("rack").len(), 1);
}

#[test]
fn group_moves_off_a_leaving_host() {
    let mut cluster = two_groups(2, 5, &Options::default());
    let before = cluster.serving(0, "m");
    let leaving = cluster.placement("rack").groups[&"a".into()].hosts[0].clone();
    cluster.set_leaving(leaving.as_str(), true);
    let one_serving = |c: &mut Cluster| (0..2).all(|index| c.serving(index, "m").len() == 1);
    assert!(cluster.run_until(Span::from_millis(100), one_serving));
    assert!(cluster.run_until(TIMEOUT, |c| c.serving(0, "m").len() == 2));
    let placed = cluster.placement("rack").groups[&"a".into()].clone();
    assert!(!placed.hosts.contains(&leaving));
    assert!(before.iter().all(|(_, epoch)| *epoch < placed.epoch));
}
