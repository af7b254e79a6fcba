//! Relaying and resumption of event streams.

use super::{env::TestEnv, runner::Behavior};
use std::time::Duration;

fn event_ids(body: &str) -> Vec<u64> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().expect("an id")).collect()
}

/// Returns the behavior of a head that sends events up to `last` and ends the stream.
fn complete(last: u64) -> Behavior {
    Behavior::Events {
        last,
        is_complete: true,
    }
}

/// Returns the behavior of a head that is cut off after the event `last`.
fn interrupted(last: u64) -> Behavior {
    Behavior::Events {
        last,
        is_complete: false,
    }
}

/// Starts an environment whose heads share one queue of behaviors.
fn start_env(behaviors: &[Behavior]) -> TestEnv {
    let env = TestEnv::start();
    behaviors
        .iter()
        .for_each(|behavior| env.heads[0].enqueue(behavior.clone()));
    env
}

#[test]
fn relays_whole_stream() {
    let response = start_env(&[complete(5)]).stream(&[]);
    assert_eq!(event_ids(&response.body), [1, 2, 3, 4, 5]);
    assert!(response.is_complete);
}

#[test]
fn resumes_interrupted_stream_at_another_head() {
    let response = start_env(&[interrupted(3), complete(6)]).stream(&[]);
    assert_eq!(event_ids(&response.body), [1, 2, 3, 4, 5, 6]);
    assert!(response.is_complete);
}

#[test]
fn relays_stream_that_ends_with_its_connection() {
    let whole = Behavior::UnframedEvents {
        last: 4,
        is_whole: true,
    };
    let response = start_env(&[whole]).stream(&[]);
    assert_eq!(event_ids(&response.body), [1, 2, 3, 4]);
    assert!(response.is_complete);
}

#[test]
fn resumes_stream_whose_connection_ends_inside_an_event() {
    let cut = Behavior::UnframedEvents {
        last: 2,
        is_whole: false,
    };
    let response = start_env(&[cut.clone(), complete(5)]).stream(&[]);
    assert_eq!(event_ids(&response.body), [1, 2, 3, 4, 5]);
    assert!(response.is_complete);
    let response = start_env(&[cut.clone(), cut]).stream(&[]);
    assert!(!response.is_complete);
}

#[test]
fn unresumable_stream_ends_incomplete() {
    let response = start_env(&[interrupted(3), interrupted(3)]).stream(&[]);
    assert_eq!(event_ids(&response.body), [1, 2, 3]);
    assert!(!response.is_complete);
}

#[test]
fn caller_resumes_after_last_event() {
    let response = start_env(&[complete(5)]).stream(&["Last-Event-Id: 3"]);
    assert_eq!(event_ids(&response.body), [4, 5]);
    assert!(response.is_complete);
}

#[test]
fn sends_declined_stream_to_another_head() {
    let response = start_env(&[Behavior::Decline, complete(2)]).stream(&[]);
    assert_eq!(
        (response.status, event_ids(&response.body)),
        (200, vec![1, 2])
    );
}

#[test]
fn resumes_request_at_full_head() {
    let env = start_env(&[Behavior::RespondFull, Behavior::DropResponse, complete(2)]);
    assert_eq!(env.stream(&[]).status, 200);
    // The other head drops the response; only the full one is left.
    let response = env.stream(&[]);
    assert_eq!(
        (response.status, event_ids(&response.body)),
        (200, vec![1, 2])
    );
}

#[test]
fn leaves_silent_head_for_another() {
    let silent = Behavior::RespondLate(Duration::from_secs(60), "too late");
    let response = start_env(&[silent, complete(2)]).stream(&[]);
    assert_eq!(
        (response.status, event_ids(&response.body)),
        (200, vec![1, 2])
    );
}

// Elsewhere callers found the error's text in their stream, or the stream ended as if it were whole.
#[test]
fn error_of_the_next_head_is_no_part_of_a_broken_stream() {
    let errors = [
        Behavior::Respond(500, "boom"),
        Behavior::Respond(404, "boom"),
        Behavior::Respond(200, "boom"),
        Behavior::Unframed("boom"),
        Behavior::WrongRequestId,
        Behavior::Decline,
        Behavior::DropResponse,
    ];
    let env = start_env(&[]);
    for error in errors {
        let behaviors = [interrupted(3), error.clone(), error.clone(), error.clone()];
        for behavior in behaviors {
            env.heads[0].enqueue(behavior);
        }
        let response = env.stream(&[]);
        env.heads[0].clear_script();
        assert_eq!(response.status, 200, "{error:?}");
        let whole = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n";
        assert_eq!(response.body, whole, "{error:?}");
        assert!(!response.is_complete, "{error:?}");
    }
}
