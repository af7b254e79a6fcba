//! Streams that the daemon gives up although their runner is still at work.

use super::{
    client::{Response, send_request},
    env::TestEnv,
    runner::Behavior,
};
use std::{thread, time::Duration};

/// Events of each stream.
const EVENTS: u64 = 6;

fn is_whole(response: &Response) -> bool {
    let last_event = format!("id: {EVENTS}\n");
    response.status == 200 && response.is_complete && response.body.contains(&last_event)
}

fn stream_count(env: &TestEnv) -> usize {
    env.heads.iter().map(|head| head.requests().len()).sum()
}

/// Nobody else takes the stream; its own runner goes on within the callers' two seconds.
#[test]
fn silent_stream_is_not_cut_when_no_other_head_takes_it() {
    let env = TestEnv::start();
    env.heads[0].enqueue(Behavior::PausedEvents {
        first: 2,
        pause: Duration::from_millis(1_500),
        last: EVENTS,
    });
    env.heads[0].enqueue(Behavior::Decline);
    let response = env.stream(&[]);
    assert!(is_whole(&response), "{response:?}");
}

/// Another daemon can't connect to the head: it drains, or the link between the two is down.
#[test]
fn stop_cuts_no_resumed_stream_whose_head_another_daemon_misses() {
    let env = TestEnv::start();
    let earlier = stream_count(&env);
    env.heads[0].enqueue(Behavior::Events {
        last: 1,
        is_complete: false,
    });
    env.heads[0].enqueue(Behavior::PacedEvents {
        last: EVENTS,
        pause: Duration::from_millis(300),
        is_complete: true,
    });
    thread::scope(|scope| {
        let call = scope.spawn(|| env.stream(&[]));
        env.eventually("the stream is resumed", |env| {
            stream_count(env) > earlier + 1
        });
        env.terminate();
        env.eventually("the daemon is not ready", |env| {
            send_request(env.daemon.ready_address, "GET", "/readyz", &[], "").status == 503
        });
        let health = r#"{"lost": [["h1", 7], ["h2", 7]]}"#;
        env.store.put("hickoryledge/lost", health);
        let response = call.join().expect("called");
        assert!(is_whole(&response), "{response:?}");
    });
}
