//! Every request ends exactly once, and is refused only if it did not run.

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

/// A repeated end of the same response must neither complete the request again nor deliver anything.
#[test]
fn complete_answer_ends_request_once() {
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

/// Requests with an unknown credential or service are refused, each for its own reason.
#[test]
fn refuses_unknown_accounts_and_services() {
    let mut rig = rig(&[]);
    let mut unknown_account = service_call("desk");
    unknown_account.credential.0[0] = 99;
    rig.call(unknown_account);
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

/// The runner may have closed a connection that was kept open, so the host is suspected only
/// if a new one fails too.
#[test]
fn retries_unsent_call_on_new_connection_then_on_another_host() {
    let mut rig = rig(&[]);
    rig.call(service_call("desk"));
    let first = rig.sent_one();
    assert_eq!(rig.fail(first.attempt, Failure::NotSent), 0);
    let second = rig.sent_one();
    assert!(second.fresh && second.route == first.route);
    assert_eq!(
        rig.fail(second.attempt, Failure::NotSent),
        1,
        "the host should be suspected"
    );
    let third = rig.sent_one();
    assert!(!third.fresh && third.route != first.route);
}

/// Cuts the first attempt and declines all later ones; returns the ending.
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

/// A cut attempt may have run, even if all later attempts are declined.
#[test]
fn never_refuses_request_that_may_have_run() {
    assert_eq!(cut_then_declined(&[]), Ending::Unknown(Doubt::Cut));
    let without = cut_then_declined(&[Mechanism::RefusalTruth]);
    assert!(
        matches!(without, Ending::Refused { .. }),
        "should be refused falsely without the mechanism"
    );
}

/// Answers an attempt with the echo of another; returns true if the request completes.
fn completes_with_wrong_echo(without: &[Mechanism]) -> bool {
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

/// A runner or connection that mixes up responses must not complete a request with another's response.
#[test]
fn never_accepts_answer_to_another_attempt() {
    assert!(!completes_with_wrong_echo(&[]));
    assert!(
        completes_with_wrong_echo(&[Mechanism::AnswerMatching]),
        "should complete without the mechanism"
    );
}

/// A call in flight at its deadline may have run; its attempt is cancelled.
#[test]
fn deadline_ends_running_call_as_unknown() {
    let mut rig = rig(&[]);
    let mut request = service_call("desk");
    request.deadline = Some(Span::from_millis(500));
    let call = rig.call(request);
    let sent = rig.sent_one();
    rig.advance(Span::from_secs(1));
    assert_eq!(rig.ended(), [(call, Ending::Unknown(Doubt::Expired))]);
    assert_eq!(rig.cancelled(), [sent.attempt]);
}

/// Stops the daemon during a call; returns true if it exits before the call ends.
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

/// A stopping daemon must refuse new calls but finish those in flight before it exits.
#[test]
fn graceful_stop_waits_for_running_calls() {
    assert!(!stop_with_work(&[]));
    assert!(
        stop_with_work(&[Mechanism::GracefulStop]),
        "should exit early without the mechanism"
    );
}

/// Sends a call to a daemon whose state is stale; returns true if it is started.
fn starts_when_stale(without: &[Mechanism]) -> bool {
    let mut rig = rig(without);
    rig.call(service_call("desk"));
    let running = rig.sent_one();
    rig.platform_reachable = false;
    rig.advance(Span::from_secs(1));
    rig.call(service_call("desk"));
    let started = !rig.sent().is_empty();
    finish(&mut rig, &running);
    let ended = rig.ended();
    assert_eq!(ended.last().map(|(_, e)| e), Some(&Ending::Complete));
    started
}

/// A daemon without contact to the platform's store may hold outdated records, so it
/// refuses new calls; calls in flight still finish.
#[test]
fn stale_daemon_starts_no_new_work() {
    assert!(!starts_when_stale(&[]));
    assert!(starts_when_stale(&[Mechanism::FreshnessBound]));
}
