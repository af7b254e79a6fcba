//! Exchange of request counts between daemons.

use crate::{
    config,
    env::{Daemon, TestEnv},
};

const USED: &str = "hickoryledge_load_digests_total{verdict=\"used\"}";
const ACCOUNTS: &str = "hickoryledge_load_digest_accounts";
const IS_AGGREGATOR: &str = "hickoryledge_load_aggregator";

fn aggregators(daemons: &[Daemon]) -> usize {
    let sums = |daemon: &&Daemon| daemon.metric(IS_AGGREGATOR) == 1.0;
    daemons.iter().filter(sums).count()
}

/// With more daemons than slots each gets totals, also after an aggregator was lost; with as many
/// slots as daemons nothing is exchanged.
#[test]
fn daemons_get_totals_also_after_an_aggregator_is_lost() {
    let env = TestEnv::start();
    let mut others: Vec<Daemon> = ["d2", "d3", "d4", "d5"]
        .map(|name| env.start_daemon(name))
        .into();
    env.eventually("others are ready", |env| {
        let ready = |daemon| env.call_at(daemon, "GET", "/read/x", &[], "").status == 200;
        others.iter().all(ready)
    });
    assert!(others.iter().all(|daemon| daemon.metric(USED) == 0.0));
    config::write_with_slots(&env.store, 2, 2);
    let all_use_more = |before: &[f64], others: &[Daemon]| {
        let used = others.iter().map(|daemon| daemon.metric(USED));
        used.zip(before).all(|(used, before)| used > before + 3.0)
    };
    env.eventually("all get totals", |_| {
        all_use_more(&[0.0; 4], &others) && aggregators(&others) >= 1
    });
    assert_eq!(env.stream(&[]).status, 200);
    let lost = others
        .iter()
        .position(|daemon| daemon.metric(IS_AGGREGATOR) == 1.0)
        .expect("an aggregator");
    others.remove(lost);
    let before: Vec<f64> = others.iter().map(|daemon| daemon.metric(USED)).collect();
    env.eventually("all get further totals", |_| all_use_more(&before, &others));
    // The store of the tests keeps entries whose leases have ended.
    env.store
        .delete(&format!("hickoryledge/daemons/d{}", lost + 2));
    env.eventually("another daemon sums the reports", |env| {
        let own = env.daemon.metric(IS_AGGREGATOR) as usize;
        own + aggregators(&others) == 2
    });
    assert_eq!(
        env.call_at(&others[0], "GET", "/read/x", &[], "").status,
        200
    );
}

/// Shares of accounts are judged by the work at all daemons, so that at one of them must reach the
/// others; requests to plain services don't count.
#[test]
fn daemons_get_the_work_of_accounts() {
    let env = TestEnv::start();
    let others = ["d2", "d3"].map(|name| env.start_daemon(name));
    config::write_with_slots(&env.store, 2, 2);
    env.eventually("all get totals", |env| {
        let is_answered = env.call("GET", "/read/x", &[], "").status == 200;
        is_answered && others.iter().all(|daemon| daemon.metric(USED) > 3.0)
    });
    assert!(others.iter().all(|daemon| daemon.metric(ACCOUNTS) == 0.0));
    env.eventually("all get the work of the account", |env| {
        let is_answered = env.stream(&[]).status == 200;
        is_answered && others.iter().all(|daemon| daemon.metric(ACCOUNTS) == 1.0)
    });
}
