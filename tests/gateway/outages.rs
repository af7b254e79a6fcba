//! Measuring how long hosts are without a group.

use crate::fleet::{Fleet, LARGE, STEP};
use hickoryledge::{
    core::time::{Span, Time},
    gateway::outages::{Outages, ServingChange},
};

/// Runs a fleet, and collects what began to serve and how long the repair took.
fn begun(fleet: &mut Fleet, outages: &mut Outages, until: Time) -> Vec<Option<Span>> {
    let mut out = Vec::new();
    while fleet.now < until {
        fleet.run_for(STEP);
        let changes = outages.update(&fleet.roster, fleet.now);
        out.extend(changes.into_iter().filter_map(|change| match change {
            ServingChange::Started { repair_time, .. } => Some(repair_time),
            ServingChange::Stopped { .. } => None,
        }));
    }
    out
}

#[test]
fn a_repair_is_measured_from_the_loss_to_the_next_group() {
    let (mut fleet, mut outages) = (Fleet::new(1, 11), Outages::default());
    let first = begun(&mut fleet, &mut outages, Time(40_000_000));
    assert_eq!(first, [None, None]);
    assert_eq!(outages.serving_count(), 2);
    let member = fleet.members(LARGE)[3].clone();
    fleet.power_off(&member, false);
    let until = fleet.now + Span::from_secs(5);
    let repaired = begun(&mut fleet, &mut outages, until);
    assert_eq!(repaired.len(), 1);
    let took = repaired[0].expect("its members served before");
    assert!(
        took > Span::from_secs(1) && took < Span::from_secs(3),
        "{took:?}"
    );
}
