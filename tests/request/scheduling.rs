//! Admission and queueing: limits, priorities, fair shares and deadlines.

use super::harness::{Rig, Sent, model_call};
use hickoryledge::core::{
    input::{CallRequest, LoadReport, RunnerInput},
    keys::{CallId, KeyHash},
    options::Mechanism,
    output::{Ending, Refusal},
    time::Span,
};
use std::collections::BTreeMap;

/// Requests that a runner takes before it has reported: its assumed slots and an eighth more.
const RUNNER_CAPACITY: usize = 36;

fn rig(without: &[Mechanism]) -> Rig {
    let mut rig = Rig::new(without);
    rig.put_groups("m", &[1]);
    rig.put_account("large", 2, serde_json::json!({}));
    rig.put_account("small", 3, serde_json::json!({}));
    rig.put_account("urgent", 4, serde_json::json!({ "priority": 0 }));
    rig.put_account("heavy", 5, serde_json::json!({ "weight": 3 }));
    rig
}

fn call_by(key: u8) -> CallRequest {
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

/// Fills the runner; returns the attempts in flight.
fn fill(rig: &mut Rig) -> Vec<Sent> {
    for _ in 0..RUNNER_CAPACITY {
        rig.call(call_by(2));
    }
    let sent = rig.sent();
    assert_eq!(sent.len(), RUNNER_CAPACITY);
    sent
}

/// Finishes running calls one by one; returns waiting calls in the order in which they start.
fn start_order(rig: &mut Rig, mut running: Vec<Sent>, count: usize) -> Vec<CallId> {
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

/// Queues many calls of a large account, then one of a small account; returns its position.
fn position_behind_flood(without: &[Mechanism]) -> usize {
    let mut rig = rig(without);
    let running = fill(&mut rig);
    for _ in 0..50 {
        rig.call(call_by(2));
    }
    let small = rig.call(call_by(3));
    let started = start_order(&mut rig, running, 51);
    started
        .iter()
        .position(|call| *call == small)
        .expect("call is started")
}

/// Without fair queueing, a call would wait for all queued calls of another account.
#[test]
fn large_account_never_starves_small_one() {
    assert!(position_behind_flood(&[]) <= 2);
    assert!(
        position_behind_flood(&[Mechanism::FairQueue]) >= 50,
        "should starve without the mechanism"
    );
}

/// Of two accounts with queued calls, one of weight three starts three times as many calls
/// as one of weight one.
#[test]
fn accounts_share_by_weight() {
    let mut rig = rig(&[]);
    let running = fill(&mut rig);
    let mut accounts = BTreeMap::new();
    for _ in 0..40 {
        accounts.insert(rig.call(call_by(3)), 3);
        accounts.insert(rig.call(call_by(5)), 5);
    }
    let started = start_order(&mut rig, running, 40);
    let heavy = started.iter().filter(|call| accounts[call] == 5).count();
    assert!((28..=32).contains(&heavy), "{heavy} of 40");
}

/// A call of a smaller priority value starts before calls that have waited for longer.
#[test]
fn higher_priority_starts_first() {
    let mut rig = rig(&[]);
    let running = fill(&mut rig);
    rig.call(call_by(2));
    rig.call(call_by(3));
    let urgent = rig.call(call_by(4));
    assert_eq!(start_order(&mut rig, running, 1), [urgent]);
}

/// A call that would wait beyond its deadline is refused on arrival, so that the caller can
/// go elsewhere.
#[test]
fn refuses_call_that_would_miss_its_deadline() {
    let mut rig = rig(&[]);
    let running = fill(&mut rig);
    for _ in 0..50 {
        rig.call(call_by(2));
    }
    rig.advance(Span::from_secs(1));
    let started = start_order(&mut rig, running, 3);
    assert_eq!(started.len(), 3);
    rig.ended();
    let late = rig.call(CallRequest {
        deadline: Some(Span::from_millis(1)),
        ..call_by(2)
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

/// A queued call was never sent, so it is refused at its deadline.
#[test]
fn queued_call_expires_as_not_run() {
    let mut rig = rig(&[]);
    fill(&mut rig);
    let waiting = rig.call(CallRequest {
        deadline: Some(Span::from_millis(50)),
        ..call_by(3)
    });
    rig.advance(Span::from_millis(60));
    let refused = Ending::Refused {
        reason: Refusal::Expired,
        retry_after: None,
    };
    assert_eq!(rig.ended(), [(waiting, refused)]);
    assert!(rig.sent().is_empty());
}

/// Calls beyond an account's rate or its open calls are refused with a delay after which to retry.
#[test]
fn enforces_limits_of_account() {
    let mut rig = rig(&[]);
    rig.put_account("metered", 9, serde_json::json!({ "rate": 5, "open": 8 }));
    let mut admitted = 0;
    for _ in 0..100 {
        rig.call(call_by(9));
        admitted += rig.sent().len();
        rig.advance(Span::from_millis(10));
    }
    assert!((5..=8).contains(&admitted), "{admitted} within a second");
    let all_over_limit = rig.ended().into_iter().all(|(_, ending)| {
        matches!(
            ending,
            Ending::Refused {
                reason: Refusal::OverLimit,
                retry_after: Some(_)
            }
        )
    });
    assert!(all_over_limit);
}

/// If reports stop while a runner is full, queued requests must not wait forever.
#[test]
fn outdated_report_of_full_runner_blocks_no_request() {
    let mut rig = rig(&[]);
    let report = LoadReport {
        running: 64,
        slots: 32,
        ..LoadReport::default()
    };
    rig.report_load("m-0-0".into(), Some(report));
    rig.call(call_by(2));
    assert!(rig.sent().is_empty(), "the report is new");
    rig.advance(Span::from_secs(5));
    rig.on_cluster_change();
    assert_eq!(rig.sent().len(), 1, "the report is old");
}

/// Each of the daemons that an account is sent to enforces its fraction of the limit.
#[test]
fn divides_limit_among_entry_daemons() {
    let mut rig = rig(&[]);
    rig.put_account("metered", 9, serde_json::json!({ "rate": 9 }));
    for daemon in 2..=6 {
        rig.put_daemon(daemon, 1);
    }
    let mut admitted = 0;
    for _ in 0..100 {
        rig.call(call_by(9));
        admitted += rig.sent().len();
        rig.advance(Span::from_millis(10));
    }
    assert!(
        (5..=6).contains(&admitted),
        "{admitted} of 9 a second on one of 3"
    );
}
