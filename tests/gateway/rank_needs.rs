//! Which model gets the next group if ranks ask for different models.

use crate::fleet::{LARGE, SMALL, service, spec};
use hickoryledge::{
    core::{
        keys::{DomainName, ModelName},
        time::Time,
    },
    gateway::{
        contention::Request,
        demand::{Demand, Needs},
        pool::Pool,
        rank::Rank,
        roster::HostKey,
        spec::Engine,
    },
};
use std::collections::{BTreeMap, BTreeSet};

const NOW: Time = Time(1_000_000);
/// Number of daemons that callers choose among.
const DAEMONS: usize = 5;

fn engine() -> Engine {
    spec().services[0].engine.clone().expect("an engine")
}

fn count(demand: &mut Demand, engine: &Engine, model: &str, rank: Rank, requests: u32) {
    let (service, model) = (service(), ModelName::from(model));
    let request = Request {
        service: &service,
        model: &model,
        engine,
        rank,
        account: None,
        prompt_tokens: 1_115,
        answer_tokens: 152,
    };
    for _ in 0..requests {
        demand.count(&request, NOW);
    }
}

/// Returns the demand for about three groups of the larger model, of the first rank, and for about
/// seven of the smaller model, of the second.
fn demand(engine: &Engine, priorities: [u8; 2]) -> Demand {
    let all = BTreeSet::from(priorities);
    let [large, small] = priorities.map(|priority| Rank::new(priority, &all));
    let mut demand = Demand::default();
    demand.set_daemons(DAEMONS);
    count(&mut demand, engine, LARGE, large, 95);
    count(&mut demand, engine, SMALL, small, 400);
    demand
}

/// Returns a domain with these groups and free hosts.
fn pools(large: u32, small: u32, free: usize) -> BTreeMap<DomainName, Pool> {
    let groups = [(LARGE, large), (SMALL, small)];
    let groups = groups.map(|(model, count)| (ModelName::from(model), count));
    let pool = Pool {
        free: vec![HostKey::default(); free],
        groups: BTreeMap::from(groups),
        ..Pool::default()
    };
    BTreeMap::from([(DomainName::from("d0"), pool)])
}

fn first_model(demand: &Demand, pools: &BTreeMap<DomainName, Pool>) -> String {
    let engine = engine();
    let needs = Needs::new(&engine, demand);
    needs.ranked(pools)[0].model.as_str().to_owned()
}

/// The model with more work per group took every free host, though only less urgent callers ask
/// for it.
#[test]
fn model_of_more_urgent_rank_gets_its_groups_first() {
    let short = pools(1, 2, 12);
    let alike = demand(&engine(), [1, 1]);
    assert_eq!(first_model(&alike, &short), SMALL);
    let ranked = demand(&engine(), [0, 2]);
    assert_eq!(first_model(&ranked, &short), LARGE);
    let reversed = demand(&engine(), [2, 0]);
    assert_eq!(first_model(&reversed, &short), SMALL);
}

/// Beyond what the more urgent work needs, hosts go to the less urgent work.
#[test]
fn model_of_more_urgent_rank_gets_no_more_than_it_needs() {
    let ranked = demand(&engine(), [0, 2]);
    assert_eq!(first_model(&ranked, &pools(2, 2, 6)), LARGE);
    assert_eq!(first_model(&ranked, &pools(4, 2, 6)), SMALL);
}

/// With hosts for all work the split is the one without ranks.
#[test]
fn rank_does_not_count_if_capacity_suffices() {
    let ranked = demand(&engine(), [0, 2]);
    assert_eq!(first_model(&ranked, &pools(1, 2, 60)), SMALL);
}

/// A model that only the least urgent rank asks for must not stay without a group.
#[test]
fn each_model_with_demand_keeps_a_group() {
    let engine = engine();
    let all = BTreeSet::from([0, 2]);
    let mut demand = Demand::default();
    demand.set_daemons(DAEMONS);
    count(&mut demand, &engine, LARGE, Rank::new(0, &all), 400);
    count(&mut demand, &engine, SMALL, Rank::new(2, &all), 5);
    assert_eq!(first_model(&demand, &pools(1, 0, 12)), SMALL);
    assert_eq!(first_model(&demand, &pools(1, 1, 12)), LARGE);
}

/// The needs of a demand with one rank are those of its work alone.
#[test]
fn need_is_work_per_group_without_ranks() {
    let engine = engine();
    let mut demand = Demand::default();
    demand.set_daemons(1_000);
    count(&mut demand, &engine, LARGE, Rank::default(), 100);
    count(&mut demand, &engine, SMALL, Rank::default(), 100);
    let needs = Needs::new(&engine, &demand);
    let pools = pools(1, 2, 0);
    for (replication, groups) in engine.models.iter().zip([1.0, 2.0]) {
        let work = engine.replica_time(1_115, 152).as_secs_f64() * replication.pace * 100.0;
        let need = needs.work_per_group(replication, &pools);
        assert!((need - work / (groups + 1.0)).abs() < 1e-6, "{need}");
    }
}
