//! Admission control under overload.
//!
//! Replays more requests than a group can serve, and checks that the limit on
//! requests in flight keeps the admitted ones within their objective.

use crate::fleet::{LARGE, spec};
use hickoryledge::{
    core::{keys::ModelName, time::Span},
    gateway::admission::{AdmissionClass, expected_duration, max_in_flight},
};

/// Requests that a group serves in a second, from the figures of its engine.
const SERVED_PER_S: f64 = 12.6;

/// Returns the waits for a slot in a burst of 1.5 times what one group serves, if the group takes
/// at most `max` requests at once.
fn waits(max: u32) -> Vec<f64> {
    let engine = spec().services[0].engine.clone().expect("an engine");
    let residence = engine.mean_request_time().as_secs_f64() * f64::from(engine.slots);
    // All slots are in use when the burst starts.
    let mut slots: Vec<f64> = (0..engine.slots)
        .map(|slot| residence * f64::from(slot) / f64::from(engine.slots))
        .collect();
    let mut ends = slots.clone();
    let mut waits = Vec::new();
    let mut at = 0.0;
    while at < 10.0 {
        ends.retain(|end| *end > at);
        if ends.len() < max as usize {
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
fn admitted_requests_meet_objective_under_overload() {
    let objective_s = 0.4;
    let limited = waits(max_in_flight(26, AdmissionClass::OnTime));
    assert!(limited.iter().all(|wait| *wait < objective_s));
    let unlimited = waits(u32::MAX);
    let late = unlimited
        .iter()
        .filter(|wait| **wait >= objective_s)
        .count();
    assert!(
        late > unlimited.len() / 2,
        "most requests are late without the limit"
    );
}

#[test]
fn late_requests_get_fewer_slots_than_those_on_time() {
    assert!(max_in_flight(26, AdmissionClass::Late) < max_in_flight(26, AdmissionClass::OnTime));
    assert!(max_in_flight(1, AdmissionClass::Late) >= 1);
}

#[test]
fn expected_duration_covers_longest_answer() {
    let engine = spec().services[0].engine.clone().expect("an engine");
    let model = ModelName::from(LARGE);
    let duration = |answer_tokens| expected_duration(Some((&engine, &model)), 1_420, answer_tokens);
    assert!(duration(20) < Span::from_secs(1));
    assert!(
        duration(174) > Span::from_millis(1_559),
        "174 steps with all slots in use"
    );
    assert!(
        duration(460) > Span::from_millis(4_121),
        "460 steps with all slots in use"
    );
    assert_eq!(expected_duration(None, 0, 0), Span::from_secs(1));
}
