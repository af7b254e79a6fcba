//! How long groups take to come into service, in virtual time.

use {
    crate::handover::{Handover, model, spec},
    hickoryledge::core::{input::OrderChecks, options::Options, time::Span},
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
