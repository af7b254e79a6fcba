//! Streams of events.

use super::{env::TestEnv, runner::Act};
use std::time::Duration;

fn ids(body: &str) -> Vec<u64> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().expect("an id")).collect()
}

/// Events up to this one, and then the end.
fn whole(last: u64) -> Act {
    Act::Events { last, whole: true }
}

/// Events up to this one, and then a break.
fn broken(last: u64) -> Act {
    Act::Events { last, whole: false }
}

/// A daemon whose heads do this, whichever is asked.
fn env(acts: &[Act]) -> TestEnv {
    let env = TestEnv::start();
    acts.iter().for_each(|act| env.heads[0].next(act.clone()));
    env
}

#[test]
fn a_stream_is_passed_on_whole() {
    let answer = env(&[whole(5)]).stream(&[]);
    assert_eq!(ids(&answer.body), [1, 2, 3, 4, 5]);
    assert!(answer.whole);
}

#[test]
fn a_broken_stream_goes_on_at_another_head() {
    let answer = env(&[broken(3), whole(6)]).stream(&[]);
    assert_eq!(ids(&answer.body), [1, 2, 3, 4, 5, 6]);
    assert!(answer.whole);
}

#[test]
fn a_stream_that_cannot_go_on_never_looks_complete() {
    let answer = env(&[broken(3), broken(3)]).stream(&[]);
    assert_eq!(ids(&answer.body), [1, 2, 3]);
    assert!(!answer.whole);
}

#[test]
fn a_caller_may_resume_a_stream() {
    let answer = env(&[whole(5)]).stream(&["Last-Event-Id: 3"]);
    assert_eq!(ids(&answer.body), [4, 5]);
    assert!(answer.whole);
}

#[test]
fn a_declined_stream_goes_to_another_head() {
    let answer = env(&[Act::Decline, whole(2)]).stream(&[]);
    assert_eq!((answer.status, ids(&answer.body)), (200, vec![1, 2]));
}

#[test]
fn a_request_that_has_begun_goes_on_at_a_full_head() {
    let env = env(&[Act::AnswerFull, Act::LoseAnswer, whole(2)]);
    assert_eq!(env.stream(&[]).status, 200);
    // The other head loses the answer; only the full one is left.
    let answer = env.stream(&[]);
    assert_eq!((answer.status, ids(&answer.body)), (200, vec![1, 2]));
}

#[test]
fn a_head_that_never_answers_is_left_for_another() {
    let silent = Act::Slow(Duration::from_secs(60), "too late");
    let answer = env(&[silent, whole(2)]).stream(&[]);
    assert_eq!((answer.status, ids(&answer.body)), (200, vec![1, 2]));
}
