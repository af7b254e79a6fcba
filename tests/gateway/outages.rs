//! Tests of the measurement of outages.

use crate::fleet::{Fleet, LARGE, STEP_INTERVAL};
use hickoryledge::{
    core::time::{Span, Time},
    gateway::outages::{Outages, ServingChange},
};

/// Runs a fleet, and returns the repair time of each group that starts to serve.
fn repairs_until(fleet: &mut Fleet, outages: &mut Outages, until: Time) -> Vec<Option<Span>> {
    let mut out = Vec::new();
    while fleet.now < until {
        fleet.run_for(STEP_INTERVAL);
        let changes = outages.update(&fleet.roster, fleet.now);
        out.extend(changes.into_iter().filter_map(|change| match change {
            ServingChange::Started { repair_time, .. } => Some(repair_time),
            ServingChange::Stopped { .. } => None,
        }));
    }
    out
}

/// The first groups end no outage; a group of replaced members ends one that lasts from the loss
/// until it serves.
#[test]
fn measures_repair_time_from_loss_to_next_group() {
    let (mut fleet, mut outages) = (Fleet::new(1, 11), Outages::default());
    let first = repairs_until(&mut fleet, &mut outages, Time(40_000_000));
    assert_eq!(first, [None, None]);
    assert_eq!(outages.serving_count(), 2);
    let member = fleet.members(LARGE)[3].clone();
    fleet.power_off(&member, false);
    let until = fleet.now + Span::from_secs(5);
    let repaired = repairs_until(&mut fleet, &mut outages, until);
    assert_eq!(repaired.len(), 1);
    let took = repaired[0].expect("its members served before");
    assert!(
        took > Span::from_secs(1) && took < Span::from_secs(3),
        "{took:?}"
    );
}
