//! Load of many daemons on the heads of one model, with the model of a head and the losses of
//! `load_fleet`.

use crate::load_fleet::{Figures, LoadFleet, Policy, Scene};
use hickoryledge::core::time::Span;

fn scene(daemons: usize, load: f64) -> Scene {
    Scene {
        daemons,
        heads: 13,
        load,
        length: Span::from_secs(12),
        ..Scene::default()
    }
}

fn run(policy: Policy, scene: Scene) -> Figures {
    LoadFleet::new(policy, scene, 1).run()
}

/// With 61 daemons and responses only, a head's queue is noticed seconds later: at 1.1 times the
/// capacity hardly any request begins on time.
#[test]
fn exchange_keeps_requests_on_time_under_overload() {
    for (load, min) in [(1.1, 0.7), (1.5, 0.5)] {
        let figures = run(Policy::Exchange, scene(61, load));
        assert!(figures.served() > min, "{load}: {figures:?}");
        assert_eq!(figures.declined, 0, "{load}: heads decline requests");
        let before = run(Policy::Responses, scene(61, load));
        assert!(before.served() < 0.2, "{load}: {before:?}");
    }
}

/// Below capacity, the exchange must cost nothing: next to no refusals, and no more late requests
/// than without it.
#[test]
fn exchange_refuses_next_to_nothing_below_capacity() {
    for (load, max_refused) in [(0.6, 0.0), (0.9, 0.02)] {
        let figures = run(Policy::Exchange, scene(61, load));
        let refused = figures.refused as f64 / figures.arrived as f64;
        assert!(refused <= max_refused, "{load}: {figures:?}");
        assert_eq!(figures.refused_below_half, 0);
        let before = run(Policy::Responses, scene(61, load));
        assert!(
            figures.served() > before.served() - 0.01,
            "{load}: {figures:?} {before:?}"
        );
    }
}

/// With fewer daemons than slots nothing is exchanged, and requests go where they went before.
#[test]
fn few_daemons_exchange_nothing() {
    let figures = run(Policy::Exchange, scene(8, 0.9));
    assert_eq!(figures.aggregator_bytes, 0.0);
    assert_eq!(
        figures.on_time,
        run(Policy::Responses, scene(8, 0.9)).on_time
    );
}
