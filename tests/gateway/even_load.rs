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

/// A tenth of the heads is lost every three seconds and others open, which look empty to all daemons.
#[test]
fn exchange_tolerates_lost_and_opened_heads() {
    let scene = |load| Scene {
        replace_every: Some(Span::from_secs(3)),
        ..scene(61, load)
    };
    for (load, min) in [(0.9, 0.85), (1.5, 0.45)] {
        let figures = run(Policy::Exchange, scene(load));
        assert!(figures.served() > min, "{load}: {figures:?}");
        assert_eq!(figures.declined, 0, "{load}: an opened head is overfilled");
    }
}

/// Without digests the daemons are blind: a loss, a pause or a restart of aggregators and lost
/// datagrams must not show in what is served.
#[test]
fn exchange_tolerates_failures_of_aggregators() {
    let base = scene(61, 1.3);
    let at = Some(Span::from_secs(3));
    let undisturbed = run(Policy::Exchange, base).served();
    let faults = [
        Scene {
            aggregator_lost: at,
            ..base
        },
        Scene {
            aggregators_paused: at,
            ..base
        },
        Scene {
            aggregator_restarts: at,
            ..base
        },
        Scene { loss: 0.1, ..base },
    ];
    for fault in faults {
        let figures = run(Policy::Exchange, fault);
        let served = figures.served();
        assert!(
            served > undisturbed - 0.1,
            "{undisturbed}: {fault:?} {figures:?}"
        );
    }
}

/// Daemons of a former version report nothing. Those that do must leave room for them.
#[test]
fn exchange_leaves_room_for_daemons_that_report_nothing() {
    let scene = Scene {
        silent: 0.2,
        ..scene(61, 1.3)
    };
    let figures = run(Policy::Exchange, scene);
    assert!(figures.served() > 0.4, "{figures:?}");
}

/// The time between two digests grows with the number of daemons; the heads' load must not begin to
/// swing.
#[test]
fn exchange_is_stable_with_many_daemons() {
    for daemons in [195, 340] {
        for (load, min) in [(0.9, 0.88), (1.5, 0.45)] {
            let figures = run(Policy::Exchange, scene(daemons, load));
            assert!(figures.served() > min, "{daemons}, {load}: {figures:?}");
            assert!(figures.daemon_bytes < 6_000.0, "{figures:?}");
        }
    }
}

/// Callers that were refused come back and are late by then. They must not take the places of those
/// that can still be on time, nor make these be refused more often.
#[test]
fn returning_callers_take_no_places_of_others() {
    let scene = |load| Scene {
        returns: true,
        ..scene(61, load)
    };
    for (load, min) in [(1.1, 0.7), (1.5, 0.5)] {
        let figures = run(Policy::Exchange, scene(load));
        assert!(figures.served() > min, "{load}: {figures:?}");
    }
    // Once a peak is over there is room for them.
    let peaks = Scene {
        swing: 0.55,
        length: Span::from_secs(25),
        ..scene(0.75)
    };
    let figures = run(Policy::Exchange, peaks);
    assert!(figures.refused > 0, "{figures:?}");
    assert!(
        figures.served_after_return * 2 > figures.refused,
        "{figures:?}"
    );
}

/// A head that works 1.6 times slower gets fewer requests.
#[test]
fn slow_head_gets_fewer_requests() {
    let scene = Scene {
        slow: Some(1.6),
        ..scene(61, 0.9)
    };
    let figures = run(Policy::Exchange, scene);
    assert!(figures.served() > 0.88, "{figures:?}");
}

/// One account with 41% of the requests was admitted as often as all others. With its work known, the
/// others come first, and together as many requests begin on time.
#[test]
fn small_accounts_come_before_a_large_one() {
    let alike = Scene {
        largest: 0.41,
        ..scene(61, 1.5)
    };
    let ordered = Scene {
        exchanges_work: true,
        ..alike
    };
    let [alike, ordered] = [alike, ordered].map(|scene| run(Policy::Exchange, scene));
    let small = |figures: &Figures| {
        let on_time = (figures.on_time - figures.large_on_time) as f64;
        on_time / (figures.arrived - figures.large_arrived) as f64
    };
    assert!(small(&ordered) > small(&alike) + 0.1, "{ordered:?}");
    assert!(ordered.large_on_time > 0, "{ordered:?}");
    assert!(ordered.served() > alike.served() - 0.03, "{ordered:?}");
}
