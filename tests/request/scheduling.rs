//! Who waits for whom: limits, priorities, fair shares, deadlines.

use super::harness::{Rig, Sent, model_call};
use hickoryledge::core::{
    input::{CallRequest, LoadReport, RunnerInput},
    keys::{CallId, KeyHash},
    options::Mechanism,
    output::{Ending, Refusal},
    time::Span,
};
use std::collections::BTreeMap;

/// Slots of a runner that has not reported, with what may wait at it.
const SLOTS: usize = 36;

fn rig(without: &[Mechanism]) -> Rig {
    let mut rig = Rig::new(without);
    rig.put_groups("m", &[1]);
    rig.put_account("large", 2, serde_json::json!({}));
    rig.put_account("small", 3, serde_json::json!({}));
    rig.put_account("urgent", 4, serde_json::json!({ "priority": 0 }));
    rig.put_account("heavy", 5, serde_json::json!({ "weight": 3 }));
    rig
}

fn by(key: u8) -> CallRequest {
    CallRequest {
        credential: KeyHash([key; 32]),
        deadline: Some(Span::from_secs(600)),
        ..model_call("m")
    }
}

fn finish(rig: &mut Rig, sent: &Sent) {
    rig.accept(sent);
    rig.chunk(sent.attempt, 0, 1);
    rig.runner_event(RunnerInput::Finished {
        attempt: sent.attempt,
    });
}

/// Fills the runner, then lets calls wait; gives back what runs.
fn fill(rig: &mut Rig) -> Vec<Sent> {
    for _ in 0..SLOTS {
        rig.call(by(2));
    }
    let sent = rig.sent();
    assert_eq!(sent.len(), SLOTS);
    sent
}

/// Ends what runs one by one; gives the order in which waiting calls start.
fn order(rig: &mut Rig, mut running: Vec<Sent>, count: usize) -> Vec<CallId> {
    let mut started = Vec::new();
    for _ in 0..count {
        let first = running.remove(0);
        rig.advance(Span::from_millis(10));
        finish(rig, &first);
        let next = rig.sent_one();
        started.push(next.call);
        running.push(next);
    }
    started
}

/// A large account's flood, then one call of a small one; its place in the order.
fn place_behind_flood(without: &[Mechanism]) -> usize {
    let mut rig = rig(without);
    let running = fill(&mut rig);
    for _ in 0..50 {
        rig.call(by(2));
    }
    let small = rig.call(by(3));
    let started = order(&mut rig, running, 51);
    started
        .iter()
        .position(|call| *call == small)
        .expect("it starts")
}

#[test]
fn a_large_account_never_starves_a_small_one() {
    assert!(place_behind_flood(&[]) <= 2);
    assert!(place_behind_flood(&[Mechanism::FairQueue]) >= 50, "starved");
}

#[test]
fn accounts_share_by_weight() {
    let mut rig = rig(&[]);
    let running = fill(&mut rig);
    let mut owner = BTreeMap::new();
    for _ in 0..40 {
        owner.insert(rig.call(by(3)), 3);
        owner.insert(rig.call(by(5)), 5);
    }
    let started = order(&mut rig, running, 40);
    let heavy = started.iter().filter(|call| owner[call] == 5).count();
    assert!((28..=32).contains(&heavy), "{heavy} of 40");
}

#[test]
fn a_better_priority_goes_first() {
    let mut rig = rig(&[]);
    let running = fill(&mut rig);
    rig.call(by(2));
    rig.call(by(3));
    let urgent = rig.call(by(4));
    assert_eq!(order(&mut rig, running, 1), [urgent]);
}

#[test]
fn what_cant_be_answered_in_time_is_refused_at_once() {
    let mut rig = rig(&[]);
    let running = fill(&mut rig);
    for _ in 0..50 {
        rig.call(by(2));
    }
    rig.advance(Span::from_secs(1));
    let started = order(&mut rig, running, 3);
    assert_eq!(started.len(), 3);
    rig.ended();
    let late = rig.call(CallRequest {
        deadline: Some(Span::from_millis(1)),
        ..by(2)
    });
    let ended = rig.ended();
    assert_eq!(ended[0].0, late);
    assert!(matches!(
        ended[0].1,
        Ending::Refused {
            reason: Refusal::Overloaded,
            retry_after: Some(_)
        }
    ));
}

#[test]
fn a_waiting_call_expires_as_not_run() {
    let mut rig = rig(&[]);
    fill(&mut rig);
    let waiting = rig.call(CallRequest {
        deadline: Some(Span::from_millis(50)),
        ..by(3)
    });
    rig.advance(Span::from_millis(60));
    let refused = Ending::Refused {
        reason: Refusal::Expired,
        retry_after: None,
    };
    assert_eq!(rig.ended(), [(waiting, refused)]);
    assert!(rig.sent().is_empty());
}

#[test]
fn limits_of_an_account_hold() {
    let mut rig = rig(&[]);
    rig.put_account("metered", 9, serde_json::json!({ "rate": 5, "open": 8 }));
    let mut taken = 0;
    for _ in 0..100 {
        rig.call(by(9));
        taken += rig.sent().len();
        rig.advance(Span::from_millis(10));
    }
    assert!((5..=8).contains(&taken), "{taken} within a second");
    let over = rig.ended().into_iter().all(|(_, ending)| {
        matches!(
            ending,
            Ending::Refused {
                reason: Refusal::OverLimit,
                retry_after: Some(_)
            }
        )
    });
    assert!(over);
}

#[test]
fn an_old_report_of_a_full_runner_strands_nothing() {
    let mut rig = rig(&[]);
    let report = LoadReport {
        running: 64,
        slots: 32,
        ..LoadReport::default()
    };
    rig.report_load("m-0-0".into(), Some(report));
    rig.call(by(2));
    assert!(rig.sent().is_empty(), "the report is new");
    rig.advance(Span::from_secs(5));
    rig.on_site();
    assert_eq!(rig.sent().len(), 1, "the report is old");
}

#[test]
fn a_limit_is_divided_among_the_daemons_that_an_account_is_sent_to() {
    let mut rig = rig(&[]);
    rig.put_account("metered", 9, serde_json::json!({ "rate": 9 }));
    for daemon in 2..=6 {
        rig.put_daemon(daemon, 1);
    }
    let mut taken = 0;
    for _ in 0..100 {
        rig.call(by(9));
        taken += rig.sent().len();
        rig.advance(Span::from_millis(10));
    }
    assert!(
        (5..=6).contains(&taken),
        "{taken} of 9 a second on one of 3"
    );
}
