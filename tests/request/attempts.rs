//! Failed attempts: retries, resumption, cancellation and the retry budget.

use super::harness::{Rig, Sent, host_entry, model_call};
use hickoryledge::core::{
    input::{Echo, Failure, HostEntry, RunnerInput, RunnerKind},
    keys::Epoch,
    options::Mechanism,
    output::{Doubt, Ending, Refusal, Route},
};

fn rig(without: &[Mechanism]) -> Rig {
    let mut rig = Rig::new(without);
    rig.put_groups("m", &[2, 2, 2]);
    rig
}

fn host_of(sent: &Sent) -> String {
    match &sent.route {
        Route::Group { host, .. } | Route::Service { host, .. } => host.to_string(),
        Route::Daemon { daemon, .. } => daemon.to_string(),
    }
}

/// A silent connection may be dead while its runner is not, so the runner is suspected only
/// after a second connection.
#[test]
fn retries_silent_attempt_on_new_connection_then_on_another_group() {
    let mut rig = rig(&[]);
    rig.call(model_call("m"));
    let first = rig.sent_one();
    let (second, suspects) = rig.advance_until_sent();
    assert_eq!(suspects, 0);
    assert!(second.fresh && second.route == first.route);
    assert_eq!(rig.cancelled(), [first.attempt]);
    let (third, suspects) = rig.advance_until_sent();
    assert_eq!(suspects, 1);
    assert_ne!(host_of(&third), host_of(&first));
}

/// The caller must get each token once although the first attempt still delivers late
/// and the second one repeats a token.
#[test]
fn resumes_cut_stream_without_gap_or_repeat() {
    let mut rig = rig(&[]);
    let call = rig.call(model_call("m"));
    let first = rig.sent_one();
    rig.accept(&first);
    rig.chunk(first.attempt, 0, 3);
    rig.fail(first.attempt, Failure::Cut);
    let second = rig.sent_one();
    assert_eq!(second.resume_at, 3);
    rig.chunk(first.attempt, 3, 1);
    rig.accept(&second);
    rig.chunk(second.attempt, 2, 1);
    rig.chunk(second.attempt, 3, 2);
    rig.runner_event(RunnerInput::Finished {
        attempt: second.attempt,
    });
    assert_eq!(rig.delivered(), [(call, 0), (call, 3)]);
    assert_eq!(rig.ended(), [(call, Ending::Complete)]);
}

/// A runner that skips tokens is cancelled and the response is resumed after the last delivered token.
#[test]
fn never_delivers_answer_with_gap() {
    let mut rig = rig(&[]);
    let call = rig.call(model_call("m"));
    let first = rig.sent_one();
    rig.accept(&first);
    rig.chunk(first.attempt, 0, 2);
    rig.chunk(first.attempt, 5, 1);
    assert_eq!(rig.delivered(), [(call, 0)]);
    assert_eq!(rig.cancelled(), [first.attempt]);
    assert_eq!(rig.sent_one().resume_at, 2);
}

/// A stream that stalls after its first tokens is resumed over a new connection.
#[test]
fn resumes_stalled_stream() {
    let mut rig = rig(&[]);
    rig.call(model_call("m"));
    let first = rig.sent_one();
    rig.accept(&first);
    rig.chunk(first.attempt, 0, 2);
    let (second, _) = rig.advance_until_sent();
    assert!(second.fresh);
    assert_eq!(second.resume_at, 2);
}

/// A runner that has moved to another epoch of its group may serve another model or version.
#[test]
fn drops_answer_with_wrong_epoch() {
    let mut rig = rig(&[]);
    rig.call(model_call("m"));
    let attempt = rig.sent_one().attempt;
    let echo = Echo {
        attempt: Some(attempt),
        epoch: Some(Epoch(77)),
    };
    rig.runner_event(RunnerInput::Accepted { attempt, echo });
    rig.chunk(attempt, 0, 1);
    assert!(rig.delivered().is_empty());
    assert_eq!(rig.cancelled(), [attempt]);
}

/// A model without a group is refused with a delay after which to retry.
#[test]
fn refuses_with_retry_delay_if_no_group_serves() {
    let mut rig = rig(&[]);
    rig.put_record("config/model/empty", serde_json::json!({ "name": "empty" }));
    rig.call(model_call("empty"));
    assert!(matches!(
        rig.ended()[0].1,
        Ending::Refused {
            reason: Refusal::NoGroup,
            retry_after: Some(_)
        }
    ));
}

/// A runner must not go on generating for a caller that has disconnected.
#[test]
fn cancels_attempt_when_caller_disconnects() {
    let mut rig = rig(&[]);
    let call = rig.call(model_call("m"));
    let sent = rig.sent_one();
    rig.caller_gone(call);
    assert_eq!(rig.cancelled(), [sent.attempt]);
    assert_eq!(rig.ended(), [(call, Ending::Unknown(Doubt::CallerGone))]);
}

/// Fails every attempt of many requests; returns the number of attempts per 100 requests.
fn amplification(without: &[Mechanism]) -> usize {
    const REQUESTS: usize = 20_000;
    let mut rig = rig(without);
    let mut attempts = 0;
    for _ in 0..REQUESTS {
        rig.call(model_call("m"));
        while let Some(sent) = rig.sent().pop() {
            attempts += 1;
            rig.fail(sent.attempt, Failure::Status(500));
        }
        rig.outputs.clear();
    }
    attempts * 100 / REQUESTS
}

/// If every attempt fails, unlimited retries would multiply the load on the runners.
#[test]
fn retry_budget_limits_amplification() {
    let max_attempts = 100 + 10 + 5;
    assert!(amplification(&[]) <= max_attempts);
    assert!(
        amplification(&[Mechanism::RetryBudget]) > max_attempts,
        "should be amplified without the mechanism"
    );
}

/// Sends a request after a host of the only group was seen leaving but before the groups
/// are updated; returns true if the request is routed.
fn routed_to_incomplete(without: &[Mechanism]) -> bool {
    let mut rig = Rig::new(without);
    rig.put_groups("m", &[2]);
    let leaving = HostEntry {
        leaving: true,
        ..host_entry("m-0", 1, RunnerKind::Engine)
    };
    rig.with(|parts, ctx| {
        parts.hosts.on_listed(ctx, vec![leaving]);
    });
    rig.call(model_call("m"));
    !rig.sent().is_empty()
}

/// A group of several hosts can't serve without one of them, even before its state is updated.
#[test]
fn never_routes_to_incomplete_group() {
    assert!(!routed_to_incomplete(&[]));
    assert!(routed_to_incomplete(&[Mechanism::CompleteGroups]));
}
