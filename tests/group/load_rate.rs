//! Time that groups take to come into service, in virtual time, within the weight store's rate.

use crate::cluster::{Cluster, model, spec};
use hickoryledge::core::{
    config::record::Model,
    input::OrderChecks,
    options::Options,
    output::OrderAction,
    time::{Span, Time},
};

/// The group spans sixteen hosts; each reads one gigabyte, at 10 GB/s in total,
/// and then loads for two seconds.
#[test]
fn large_group_loads_at_the_full_rate() {
    let mut cluster = Cluster::new(1, &Options::default());
    cluster.add_hosts("rack", "h", 16, OrderChecks::Fenced);
    cluster.put_model(&model("m", 16, 0));
    cluster.run_for(Span::from_secs(5));
    let started = cluster.now;
    cluster.put_group(&spec("a", "m", "rack"));
    let serves = |c: &mut Cluster| c.serving(0, "m").len() == 1;
    assert!(cluster.run_until(Span::from_secs(60), serves));
    let elapsed = cluster.now.since(started);
    eprintln!("in service after {} ms", elapsed.as_millis());
    assert!(elapsed < Span::from_secs(7), "{elapsed:?}");
}

/// Loads groups in three domains at once. Returns the gigabytes loaded and the seconds between the
/// first and the last load order.
fn load_three_domains(options: &Options) -> (f64, f64) {
    let mut cluster = Cluster::new(3, options);
    cluster.put_model(&Model {
        weights_gb: 5,
        ..model("m", 4, 0)
    });
    for domain in ["rack", "row", "room"] {
        cluster.add_hosts(domain, domain, 8, OrderChecks::Fenced);
        for group in ["a", "b"] {
            cluster.put_group(&spec(&format!("{domain}-{group}"), "m", domain));
        }
    }
    let serve = |c: &mut Cluster| (0..3).all(|daemon| c.serving(daemon, "m").len() == 6);
    assert!(cluster.run_until(Span::from_secs(200), serve));
    let orders = cluster.runners.values().flat_map(|r| &r.orders);
    let loads: Vec<Time> = orders
        .filter(|(_, _, action)| matches!(action, OrderAction::Load { .. }))
        .map(|(at, _, _)| *at)
        .collect();
    let first = loads.iter().min().expect("there are loads");
    let last = loads.iter().max().expect("there are loads");
    (loads.len() as f64 * 5.0, last.since(*first).as_secs_f64())
}

#[test]
fn concurrent_loads_share_the_rate() {
    let options = Options::default();
    let (gigabytes, secs) = load_three_domains(&options);
    // Each domain may exceed its share by the load of one host.
    let max_gigabytes = options.weight_store * secs + 3.0 * 5.0;
    assert!(gigabytes <= max_gigabytes, "{gigabytes} GB in {secs} s");
    eprintln!("{gigabytes} GB in {secs} s");
    assert!(
        gigabytes >= 0.8 * options.weight_store * secs,
        "at least 80 % of the rate is used"
    );
}
