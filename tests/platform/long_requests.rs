//! Requests with long bodies, many at a time.

use super::{config, env::TestEnv, memory::MEMORY_LIMIT};
use std::{thread, time::Duration};

/// Size of each body.
const BODY_BYTES: usize = 4 << 20;

/// Requests at a time.
const REQUESTS: u32 = 30;

/// Interval between the starts of two requests, which all last longer than it takes to start them.
const INTERVAL: Duration = Duration::from_millis(100);

/// Guards against LOST: bodies of allowed size took all memory, and the process was killed with the
/// requests that it had passed on.
#[test]
fn long_bodies_of_many_requests_do_not_take_all_memory() {
    let env = TestEnv::start();
    config::write_with_body_limit(&env.store, 3, BODY_BYTES);
    let body = "x".repeat(BODY_BYTES);
    env.eventually("long bodies are allowed", |env| {
        env.call("POST", "/once/x", &[], &body).status == 200
    });
    let statuses: Vec<u16> = thread::scope(|scope| {
        let call = |number| {
            thread::sleep(INTERVAL * number);
            env.call("POST", "/once/x?delay_ms=3000", &[], &body).status
        };
        let calls: Vec<_> = (0..REQUESTS)
            .map(|number| scope.spawn(move || call(number)))
            .collect();
        calls
            .into_iter()
            .map(|call| call.join().expect("called"))
            .collect()
    });
    // On a busy machine the deadline of some may pass.
    let is_answered = |status: &u16| [200, 503, 504].contains(status);
    assert!(statuses.iter().all(is_answered), "{statuses:?}");
    assert!(statuses.contains(&503), "all were taken: {statuses:?}");
    let peak = env.daemon.peak_memory();
    assert!(peak < MEMORY_LIMIT, "{} MiB", peak >> 20);
    env.eventually("memory is free again", |env| {
        env.call("POST", "/once/x", &[], &body).status == 200
    });
}
