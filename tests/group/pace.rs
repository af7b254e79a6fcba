//! How long groups take to come into service, in virtual time.

use crate::handover::{Handover, model, spec};
use hickoryledge::core::{
    config::record::Model,
    input::OrderChecks,
    options::Options,
    output::OrderAction,
    time::{Span, Time},
};

/// A group that spans sixteen hosts, each reading one gigabyte at 10 GB/s and
/// then loading for two seconds.
#[test]
fn a_large_group_loads_as_fast_as_the_weight_store_gives() {
    let mut handover = Handover::new(1, &Options::default());
    handover.add_hosts("rack", "h", 16, OrderChecks::Fenced);
    handover.put_model(&model("m", 16, 0));
    handover.run(Span::from_secs(5));
    let began = handover.now;
    handover.put_group(&spec("a", "m", "rack"));
    let serves = |h: &mut Handover| h.serving(0, "m").len() == 1;
    assert!(handover.until(Span::from_secs(60), serves));
    let took = handover.now.since(began);
    eprintln!("in service after {} ms", took.as_millis());
    assert!(took < Span::from_secs(7), "{took:?}");
}

/// Three domains load at once; gives gigabytes ordered and the seconds taken.
fn load_three_domains(options: &Options) -> (f64, f64) {
    let mut handover = Handover::new(3, options);
    handover.put_model(&Model {
        weights_gb: 5,
        ..model("m", 4, 0)
    });
    for domain in ["rack", "row", "room"] {
        handover.add_hosts(domain, domain, 8, OrderChecks::Fenced);
        for group in ["a", "b"] {
            handover.put_group(&spec(&format!("{domain}-{group}"), "m", domain));
        }
    }
    let serve = |h: &mut Handover| (0..3).all(|node| h.serving(node, "m").len() == 6);
    assert!(handover.until(Span::from_secs(200), serve));
    let orders = handover.runners.values().flat_map(|r| &r.orders);
    let loads: Vec<Time> = orders
        .filter(|(_, _, action)| matches!(action, OrderAction::Load { .. }))
        .map(|(at, _, _)| *at)
        .collect();
    let first = loads.iter().min().expect("there are loads");
    let last = loads.iter().max().expect("there are loads");
    (loads.len() as f64 * 5.0, last.since(*first).as_secs_f64())
}

#[test]
fn domains_that_load_at_once_keep_to_the_rate_together() {
    let options = Options::default();
    let (gigabytes, secs) = load_three_domains(&options);
    // Each domain may be one host ahead.
    let allowed = options.weight_store * secs + 3.0 * 5.0;
    assert!(gigabytes <= allowed, "{gigabytes} GB in {secs} s");
    eprintln!("{gigabytes} GB in {secs} s");
    assert!(
        gigabytes >= 0.8 * options.weight_store * secs,
        "the rate is used"
    );
}
