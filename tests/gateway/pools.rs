//! Choosing the members of a new group.

use crate::fleet::{Fleet, LARGE, SMALL, spec};
use hickoryledge::{
    core::{keys::ModelName, time::Span},
    gateway::{
        pool::Pool,
        roster::HostKey,
        spec::{Engine, Replication},
    },
};

/// Four hosts without weights, free in one domain.
fn empty_hosts() -> (Fleet, Vec<HostKey>) {
    let mut fleet = Fleet::new(1, 4);
    fleet.run_for(Span::from_millis(200));
    let keys = fleet.roster.hosts().map(|(key, _)| key).collect();
    (fleet, keys)
}

fn engine() -> Engine {
    spec().services[0].engine.clone().expect("an engine")
}

fn small(engine: &Engine) -> &Replication {
    engine
        .replication(&ModelName::from(SMALL))
        .expect("a model of the engine")
}

#[test]
fn a_host_that_stages_another_model_is_taken_last() {
    let (fleet, hosts) = empty_hosts();
    let mut pool = Pool {
        free: hosts.clone(),
        ..Pool::default()
    };
    pool.loading.insert(hosts[0], ModelName::from(LARGE));
    let engine = engine();
    let members = pool.take(&fleet.roster, &[], small(&engine));
    assert_eq!(members, hosts[1..]);
}

#[test]
fn a_host_that_stages_the_model_is_taken_first_and_loads_nothing_more() {
    let (fleet, hosts) = empty_hosts();
    let mut pool = Pool {
        free: hosts.clone(),
        ..Pool::default()
    };
    let model = ModelName::from(SMALL);
    pool.loading.insert(hosts[3], model.clone());
    let engine = engine();
    assert!(!pool.needs_load(&fleet.roster, hosts[3], &model));
    let members = pool.take(&fleet.roster, &[], small(&engine));
    assert_eq!(members[0], hosts[3]);
}
