//! Tests of the choice of members for a new group.

use crate::fleet::{Fleet, LARGE, SMALL, spec};
use hickoryledge::{
    core::{keys::ModelName, time::Span},
    gateway::{
        pool::Pool,
        roster::HostKey,
        spec::{Engine, Replication},
    },
};

/// Returns a fleet of four free hosts without weights in one domain.
fn fleet_of_empty_hosts() -> (Fleet, Vec<HostKey>) {
    let mut fleet = Fleet::new(1, 4);
    fleet.run_for(Span::from_millis(200));
    let keys = fleet.roster.hosts().map(|(key, _)| key).collect();
    (fleet, keys)
}

fn engine() -> Engine {
    spec().services[0].engine.clone().expect("an engine")
}

fn small_model(engine: &Engine) -> &Replication {
    engine
        .replication(&ModelName::from(SMALL))
        .expect("a model of the engine")
}

/// Such a host would have to finish the other load before it starts its own.
#[test]
fn takes_host_that_stages_another_model_last() {
    let (fleet, hosts) = fleet_of_empty_hosts();
    let mut pool = Pool {
        free: hosts.clone(),
        ..Pool::default()
    };
    pool.loading.insert(hosts[0], ModelName::from(LARGE));
    let engine = engine();
    let members = pool.take_members(&fleet.roster, &[], small_model(&engine));
    assert_eq!(members, hosts[1..]);
}

/// A second load of the same weights would be redundant and count towards the limit of the store.
#[test]
fn takes_host_that_stages_the_model_first_without_another_load() {
    let (fleet, hosts) = fleet_of_empty_hosts();
    let mut pool = Pool {
        free: hosts.clone(),
        ..Pool::default()
    };
    let model = ModelName::from(SMALL);
    pool.loading.insert(hosts[3], model.clone());
    let engine = engine();
    assert!(!pool.needs_load(&fleet.roster, hosts[3], &model));
    let members = pool.take_members(&fleet.roster, &[], small_model(&engine));
    assert_eq!(members[0], hosts[3]);
}
