//! Each request ends once, and a refusal is true.

use super::harness::{Rig, Sent, service_call};
use hickoryledge::core::{
    input::{Echo, Failure, RunnerInput},
    keys::AttemptId,
    options::Mechanism,
    output::{Doubt, Ending, Refusal},
    time::Span,
};

fn rig(without: &[Mechanism]) -> Rig {
    let mut rig = Rig::new(without);
    rig.put_service("desk", true, 3);
    rig
}

fn finish(rig: &mut Rig, sent: &Sent) {
    rig.accept(sent);
    rig.chunk(sent.attempt, 0, 0);
    rig.runner_event(RunnerInput::Finished {
        attempt: sent.attempt,
    });
}

#[test]
fn a_whole_answer_completes_once() {
    let mut rig = rig(&[]);
    let call = rig.call(service_call("desk"));
    let sent = rig.sent_one();
    assert_eq!((sent.call, sent.resume_at), (call, 0));
    finish(&mut rig, &sent);
    finish(&mut rig, &sent);
    assert_eq!(rig.ended(), [(call, Ending::Complete)]);
    assert_eq!(rig.delivered().len(), 1);
    assert_eq!(rig.requests.open_count(), 0);
}

#[test]
fn unknown_accounts_and_services_are_refused() {
    let mut rig = rig(&[]);
    let mut stranger = service_call("desk");
    stranger.credential.0[0] = 99;
    rig.call(stranger);
    rig.call(service_call("nowhere"));
    let reasons: Vec<_> = rig.ended().into_iter().map(|(_, ending)| ending).collect();
    let refused = |reason| Ending::Refused {
        reason,
        retry_after: None,
    };
    assert_eq!(
        reasons,
        [refused(Refusal::Unauthorized), refused(Refusal::NotFound)]
    );
}

#[test]
fn an_unsent_call_is_tried_afresh_then_elsewhere() {
    let mut rig = rig(&[]);
    rig.call(service_call("desk"));
    let first = rig.sent_one();
    assert_eq!(rig.fail(first.attempt, Failure::NotSent), 0);
    let second = rig.sent_one();
    assert!(second.fresh && second.route == first.route);
    assert_eq!(rig.fail(second.attempt, Failure::NotSent), 1, "suspected");
    let third = rig.sent_one();
    assert!(!third.fresh && third.route != first.route);
}

/// Cuts the first attempt, and lets every later one be declined.
fn cut_then_declined(without: &[Mechanism]) -> Ending {
    let mut rig = rig(without);
    rig.call(service_call("desk"));
    let first = rig.sent_one();
    rig.fail(first.attempt, Failure::Cut);
    assert_eq!(rig.cancelled(), [first.attempt]);
    loop {
        if let Some((_, ending)) = rig.ended().pop() {
            return ending;
        }
        let next = rig.sent_one();
        rig.fail(next.attempt, Failure::Declined);
    }
}

#[test]
fn what_may_have_run_is_never_refused() {
    assert_eq!(cut_then_declined(&[]), Ending::Unknown(Doubt::Cut));
    let without = cut_then_declined(&[Mechanism::RefusalTruth]);
    assert!(matches!(without, Ending::Refused { .. }), "a false refusal");
}

/// Answers an attempt in the name of another.
fn crossed(without: &[Mechanism]) -> bool {
    let mut rig = rig(without);
    rig.call(service_call("desk"));
    let attempt = rig.sent_one().attempt;
    let echo = Echo {
        attempt: Some(AttemptId(attempt.0 + 1_000)),
        epoch: None,
    };
    rig.runner_event(RunnerInput::Accepted { attempt, echo });
    rig.chunk(attempt, 0, 0);
    rig.runner_event(RunnerInput::Finished { attempt });
    rig.ended().iter().any(|(_, e)| *e == Ending::Complete)
}

#[test]
fn a_crossed_answer_is_never_passed_on() {
    assert!(!crossed(&[]));
    assert!(crossed(&[Mechanism::AnswerMatching]), "a mixed answer");
}

#[test]
fn the_deadline_ends_a_running_call_as_unknown() {
    let mut rig = rig(&[]);
    let mut request = service_call("desk");
    request.deadline = Some(Span::from_millis(500));
    let call = rig.call(request);
    let sent = rig.sent_one();
    rig.advance(Span::from_secs(1));
    assert_eq!(rig.ended(), [(call, Ending::Unknown(Doubt::Expired))]);
    assert_eq!(rig.cancelled(), [sent.attempt]);
}

/// Stops with a call running; true if the exit came before its end.
fn stop_with_work(without: &[Mechanism]) -> bool {
    let mut rig = rig(without);
    rig.call(service_call("desk"));
    let sent = rig.sent_one();
    rig.stop();
    let exited = rig.exited();
    rig.call(service_call("desk"));
    let stopping = Ending::Refused {
        reason: Refusal::Stopping,
        retry_after: None,
    };
    assert_eq!(rig.ended()[0].1, stopping);
    finish(&mut rig, &sent);
    assert_eq!(rig.ended()[0].1, Ending::Complete);
    assert!(exited || rig.exited());
    exited
}

#[test]
fn a_graceful_stop_waits_for_what_runs() {
    assert!(!stop_with_work(&[]));
    assert!(stop_with_work(&[Mechanism::GracefulStop]), "cuts a request");
}

/// Sends a call to a daemon that hears nobody; true if it starts it.
fn starts_when_stale(without: &[Mechanism]) -> bool {
    let mut rig = rig(without);
    rig.call(service_call("desk"));
    let running = rig.sent_one();
    rig.is_heard = false;
    rig.advance(Span::from_secs(1));
    rig.call(service_call("desk"));
    let started = !rig.sent().is_empty();
    finish(&mut rig, &running);
    let ended = rig.ended();
    assert_eq!(ended.last().map(|(_, e)| e), Some(&Ending::Complete));
    started
}

#[test]
fn a_daemon_that_hears_nobody_takes_no_new_work() {
    assert!(!starts_when_stale(&[]));
    assert!(starts_when_stale(&[Mechanism::FreshnessBound]));
}
