//! What becomes of attempts that go wrong.

use super::harness::{Rig, Sent, host, model_call};
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

#[test]
fn silence_before_the_answer_takes_a_fresh_connection_then_another_group() {
    let mut rig = rig(&[]);
    rig.call(model_call("m"));
    let first = rig.sent_one();
    let (second, suspects) = rig.pass_until_sent();
    assert_eq!(suspects, 0);
    assert!(second.fresh && second.route == first.route);
    assert_eq!(rig.cancelled(), [first.attempt]);
    let (third, suspects) = rig.pass_until_sent();
    assert_eq!(suspects, 1);
    assert_ne!(host_of(&third), host_of(&first));
}

#[test]
fn a_cut_stream_goes_on_without_gap_or_repeat() {
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

#[test]
fn a_gap_in_the_answer_is_never_passed_on() {
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

#[test]
fn a_stall_in_the_middle_is_resumed() {
    let mut rig = rig(&[]);
    rig.call(model_call("m"));
    let first = rig.sent_one();
    rig.accept(&first);
    rig.chunk(first.attempt, 0, 2);
    let (second, _) = rig.pass_until_sent();
    assert!(second.fresh);
    assert_eq!(second.resume_at, 2);
}

#[test]
fn an_answer_of_another_epoch_is_dropped() {
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

#[test]
fn no_group_is_a_refusal_with_a_hint() {
    let mut rig = rig(&[]);
    rig.put("config/model/empty", serde_json::json!({ "name": "empty" }));
    rig.call(model_call("empty"));
    assert!(matches!(
        rig.ended()[0].1,
        Ending::Refused {
            reason: Refusal::NoGroup,
            retry_after: Some(_)
        }
    ));
}

#[test]
fn a_caller_gone_cancels_its_attempt() {
    let mut rig = rig(&[]);
    let call = rig.call(model_call("m"));
    let sent = rig.sent_one();
    rig.gone(call);
    assert_eq!(rig.cancelled(), [sent.attempt]);
    assert_eq!(rig.ended(), [(call, Ending::Unknown(Doubt::CallerGone))]);
}

/// Lets every attempt of many requests be cut; gives attempts for each 100 requests.
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

#[test]
fn retries_never_amplify_an_overload() {
    let most = 100 + 10 + 5;
    assert!(amplification(&[]) <= most);
    assert!(amplification(&[Mechanism::RetryBudget]) > most, "amplified");
}

/// Routes after a member of the only group was seen leaving, before the groups were told.
fn routed_to_incomplete(without: &[Mechanism]) -> bool {
    let mut rig = Rig::new(without);
    rig.put_groups("m", &[2]);
    let leaving = HostEntry {
        leaving: true,
        ..host("m-0", 1, RunnerKind::Engine)
    };
    rig.with(|parts, ctx| {
        parts.hosts.on_listed(ctx, vec![leaving]);
    });
    rig.call(model_call("m"));
    !rig.sent().is_empty()
}

#[test]
fn an_incomplete_group_gets_no_request() {
    assert!(!routed_to_incomplete(&[]));
    assert!(routed_to_incomplete(&[Mechanism::CompleteGroups]));
}
