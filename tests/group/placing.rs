//! Groups come into service, and leave it as soon as a host does.

use crate::handover::{Handover, model, spec};
use hickoryledge::core::{input::OrderChecks, options::Options, time::Span};

const LIMIT: Span = Span::from_secs(60);

pub fn two_groups(nodes: usize, hosts: usize, options: &Options) -> Handover {
    let mut handover = Handover::new(nodes, options);
    handover.add_hosts("rack", "h", hosts, OrderChecks::Fenced);
    handover.put_model(&model("m", 2, 1));
    handover.put_group(&spec("a", "m", "rack"));
    handover.put_group(&spec("b", "m", "rack"));
    let served = handover.until(LIMIT, |h| {
        (0..nodes).all(|index| h.serving(index, "m").len() == 2)
    });
    assert!(served, "both groups come into service on every daemon");
    handover
}

#[test]
fn groups_come_into_service_with_all_their_hosts() {
    let mut handover = two_groups(3, 5, &Options::default());
    let now = handover.now;
    for (name, placed) in handover.placement("rack").groups {
        assert_eq!(placed.hosts.len(), 2);
        for host in &placed.hosts {
            let runner = handover.runners.get_mut(host).expect("host is known");
            let holding = runner.holding(now);
            assert_eq!(holding.group.as_ref(), Some(&name));
            assert_eq!(holding.epoch, placed.epoch);
            assert!(holding.ready);
        }
    }
    assert_eq!(handover.holders("rack").len(), 1);
}

#[test]
fn a_group_with_a_leaving_host_moves_to_those_that_stay() {
    let mut handover = two_groups(2, 5, &Options::default());
    let before = handover.serving(0, "m");
    let leaving = handover.placement("rack").groups[&"a".into()].hosts[0].clone();
    handover.set_leaving(leaving.as_str(), true);
    let out = |h: &mut Handover| (0..2).all(|index| h.serving(index, "m").len() == 1);
    assert!(handover.until(Span::from_millis(100), out));
    assert!(handover.until(LIMIT, |h| h.serving(0, "m").len() == 2));
    let placed = handover.placement("rack").groups[&"a".into()].clone();
    assert!(!placed.hosts.contains(&leaving));
    assert!(before.iter().all(|(_, epoch)| *epoch < placed.epoch));
}
