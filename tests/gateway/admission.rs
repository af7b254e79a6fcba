//! A replay of the load that admission answers: more requests than places.

use crate::fleet::{LARGE, spec};
use hickoryledge::{
    core::{keys::ModelName, time::Span},
    gateway::admission::{AdmissionClass, most_held, time_needed},
};

/// Requests that a group takes in a second, from its engine's figures.
const SERVED_PER_S: f64 = 12.6;

/// Waits of a burst of 1.5 times what one group serves, under a limit on what it holds.
fn waits(most: u32) -> Vec<f64> {
    let engine = spec().services[0].engine.clone().expect("an engine");
    let residence = engine.request_time().as_secs_f64() * f64::from(engine.slots);
    // The burst meets a group that is busy already.
    let mut slots: Vec<f64> = (0..engine.slots)
        .map(|slot| residence * f64::from(slot) / f64::from(engine.slots))
        .collect();
    let mut ends = slots.clone();
    let mut waits = Vec::new();
    let mut at = 0.0;
    while at < 10.0 {
        ends.retain(|end| *end > at);
        if ends.len() < most as usize {
            let free = slots
                .iter_mut()
                .min_by(|a, b| a.total_cmp(b))
                .expect("slots");
            let start = free.max(at);
            *free = start + residence;
            ends.push(*free);
            waits.push(start - at);
        }
        at += 1.0 / (1.5 * SERVED_PER_S);
    }
    waits
}

#[test]
fn an_overload_makes_no_admitted_request_late() {
    let objective_s = 0.4;
    let limited = waits(most_held(26, AdmissionClass::OnTime));
    assert!(limited.iter().all(|wait| *wait < objective_s));
    let unlimited = waits(u32::MAX);
    let late = unlimited
        .iter()
        .filter(|wait| **wait >= objective_s)
        .count();
    assert!(
        late > unlimited.len() / 2,
        "without the limit most are late"
    );
}

#[test]
fn late_requests_get_fewer_places_than_timely_ones() {
    assert!(most_held(26, AdmissionClass::Late) < most_held(26, AdmissionClass::OnTime));
    assert!(most_held(1, AdmissionClass::Late) >= 1);
}

#[test]
fn a_daemon_that_stops_needs_time_for_the_most_tokens_of_an_answer() {
    let engine = spec().services[0].engine.clone().expect("an engine");
    let model = ModelName::from(LARGE);
    let needed = |answer| time_needed(Some((&engine, &model)), 1_420, answer);
    assert!(needed(20) < Span::from_secs(1));
    assert!(
        needed(174) > Span::from_millis(1_559),
        "174 steps at full slots"
    );
    assert!(
        needed(460) > Span::from_millis(4_121),
        "460 steps at full slots"
    );
    assert_eq!(time_needed(None, 0, 0), Span::from_secs(1));
}
