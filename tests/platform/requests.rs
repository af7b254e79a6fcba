//! Requests to plain services, and requests that the daemon responds to itself.

use super::{client::send_request, env::TestEnv, runner::Behavior};
use std::{thread, time::Duration};

/// Returns the number of requests to a path that the plain runners received.
fn count_runs(env: &TestEnv, path: &str) -> usize {
    let requests = env
        .plain_runners
        .iter()
        .flat_map(|runner| runner.requests());
    requests
        .filter(|request| request.request_line.contains(path))
        .count()
}

/// Appends a behavior to the scripts of both plain runners.
fn enqueue_on_both(env: &TestEnv, behavior: &Behavior) {
    env.plain_runners
        .iter()
        .for_each(|runner| runner.enqueue(behavior.clone()));
}

#[test]
fn forwards_request_unchanged_except_credentials() {
    let env = TestEnv::start();
    let headers = ["X-Other: kept", "X-Tenant: forged"];
    let response = env.call("POST", "/once/a?b=c", &headers, "the body");
    assert_eq!((response.status, response.body.as_str()), (200, "usual"));
    assert!(response.head.contains("x-response-stamp: of-p"));
    let mut requests = env
        .plain_runners
        .iter()
        .flat_map(|runner| runner.requests());
    let request = requests
        .find(|request| request.request_line.contains("/once/a"))
        .expect("the request was forwarded");
    assert_eq!(request.request_line, "POST /once/a?b=c HTTP/1.1");
    assert_eq!(request.body, b"the body");
    assert_eq!(request.header("x-other"), Some("kept"));
    assert_eq!(request.header("x-tenant"), Some("first"));
    assert_eq!(request.header("x-request-id"), Some("r1"));
    assert_eq!(request.header("authorization"), None);
    assert!(request.header("x-expect-instance").is_some());
    let remaining: u64 = request
        .header("x-deadline-ms")
        .and_then(|ms| ms.parse().ok())
        .expect("a deadline in milliseconds");
    assert!(remaining <= 4_000);
}

#[test]
fn unconfigured_daemon_is_unavailable() {
    let env = TestEnv::unconfigured();
    assert_eq!(env.call("GET", "/read/x", &[], "").status, 503);
    assert_eq!(
        send_request(env.daemon.ready_address, "GET", "/readyz", &[], "").status,
        503
    );
}

#[test]
fn rejects_unknown_keys_and_routes() {
    let env = TestEnv::start();
    assert_eq!(
        send_request(env.daemon.caller_address, "GET", "/read/x", &[], "").status,
        401
    );
    let wrong = ["Authorization: Bearer wrong"];
    assert_eq!(
        send_request(env.daemon.caller_address, "GET", "/read/x", &wrong, "").status,
        401
    );
    assert_eq!(env.call("GET", "/none/x", &[], "").status, 404);
}

// A runner may have run a request without responding, and this route allows one run at most.
#[test]
fn does_not_repeat_request_whose_response_is_lost() {
    let env = TestEnv::start();
    enqueue_on_both(&env, &Behavior::DropResponse);
    let response = env.call("POST", "/once/lost", &[], "");
    assert_eq!(response.status, 502);
    assert_eq!(count_runs(&env, "/once/lost"), 1);
}

// A runner that declines a request has not run it, so the caller may retry.
#[test]
fn declined_request_is_unavailable_with_retry_after() {
    let env = TestEnv::start();
    enqueue_on_both(&env, &Behavior::Decline);
    enqueue_on_both(&env, &Behavior::Decline);
    let response = env.call("POST", "/once/declined", &[], "");
    assert_eq!(response.status, 503);
    assert!(response.head.contains("retry-after: "));
}

#[test]
fn retries_idempotent_request_at_another_runner() {
    let env = TestEnv::start();
    env.plain_runners[0].enqueue(Behavior::DropResponse);
    env.plain_runners[1].enqueue(Behavior::Respond(200, "second"));
    env.plain_runners[1].enqueue(Behavior::Respond(200, "second"));
    let response = env.call("GET", "/read/lost", &[], "");
    assert_eq!((response.status, response.body.as_str()), (200, "second"));
}

// A response with the id of another request may hold another caller's data.
#[test]
fn rejects_response_to_another_request() {
    let env = TestEnv::start();
    enqueue_on_both(&env, &Behavior::WrongRequestId);
    let response = env.call("POST", "/once/mixed", &[], "");
    assert_eq!(response.status, 502);
    assert_eq!(response.body, "");
}

#[test]
fn forwards_response_without_content_length() {
    let env = TestEnv::start();
    enqueue_on_both(&env, &Behavior::Unframed("no length"));
    let response = env.call("POST", "/once/unframed", &[], "");
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, "no length")
    );
}

#[test]
fn forwards_error_response_of_runner() {
    let env = TestEnv::start();
    enqueue_on_both(&env, &Behavior::Respond(500, "failed"));
    let response = env.call("POST", "/once/failed", &[], "");
    assert_eq!((response.status, response.body.as_str()), (500, "failed"));
    assert!(response.head.contains("x-response-stamp: of-p"));
}

// Only odd versions have the route, so version 3 must not bring it back after version 4.
#[test]
fn ignores_older_configuration_version() {
    let env = TestEnv::start();
    env.configure(4);
    env.eventually("the route is removed", |env| {
        env.call("GET", "/moved/x", &[], "").status == 404
    });
    env.configure(3);
    env.configure(6);
    thread::sleep(Duration::from_millis(600));
    assert_eq!(env.call("GET", "/moved/x", &[], "").status, 404);
    env.configure(7);
    env.eventually("the route is back", |env| {
        env.call("GET", "/moved/x", &[], "").status == 200
    });
}

#[test]
fn sends_nothing_to_runner_with_invalid_entry() {
    let env = TestEnv::start();
    env.store.put("servers/p1", "\u{1}not an entry");
    env.store
        .put("servers/new", "{\"Service\":\"plain\",\"State\":\"odd\"}");
    env.eventually("the other runner gets all requests", |env| {
        let before = env.plain_runners[0].requests().len();
        (0..10).all(|_| env.call("GET", "/read/x", &[], "").status == 200)
            && env.plain_runners[0].requests().len() == before
    });
}

// The new holder's watch may have missed the effects of the earlier holder's recent orders.
#[test]
fn duty_holder_lists_runners_after_claim() {
    let env = TestEnv::start();
    env.eventually("the runners are read after the claim", |env| {
        let calls = env.store.calls();
        let mut after = calls
            .iter()
            .skip_while(|(_, subject)| !subject.ends_with("/duty"));
        after.any(|(path, subject)| path == "/kv-range" && subject == "servers/")
    });
}

#[test]
fn first_call_of_watch_does_not_wait() {
    let env = TestEnv::start();
    let waits = env.store.waits("servers/");
    assert_eq!(waits[0], 0, "a store that hangs would be noticed late");
    env.eventually("the next watch waits", |env| {
        env.store
            .waits("servers/")
            .get(1)
            .is_some_and(|wait| *wait > 0)
    });
}

#[test]
fn sends_nothing_to_runner_without_entry() {
    let env = TestEnv::start();
    env.store.delete("servers/p1");
    env.eventually("the other runner gets all requests", |env| {
        let before = env.plain_runners[0].requests().len();
        (0..10).all(|_| env.call("GET", "/read/x", &[], "").status == 200)
            && env.plain_runners[0].requests().len() == before
    });
}

#[test]
fn directory_returns_addresses_of_ready_daemons() {
    let env = TestEnv::start();
    let path = "/resolve?Name=a.example&Region=r&Zone=hall";
    let response = send_request(env.daemon.directory_address, "GET", path, &[], "");
    assert_eq!(response.status, 200);
    assert!(
        response
            .body
            .contains(&env.daemon.caller_address.to_string())
    );
    assert_eq!(
        send_request(env.daemon.ready_address, "GET", "/readyz", &[], "").status,
        200
    );
}

#[test]
fn serves_metrics() {
    let env = TestEnv::start();
    let text = send_request(env.daemon.ready_address, "GET", "/metrics", &[], "").body;
    assert!(text.contains("hickoryledge_answers_total{status=\"200\"}"));
    assert!(text.contains("hickoryledge_groups_serving 2"));
    assert!(text.contains("hickoryledge_configuration_version 1"));
}

#[test]
fn stopping_daemon_refuses_stream_it_cannot_finish() {
    let env = TestEnv::start();
    env.terminate();
    env.eventually("the daemon is not ready", |env| {
        send_request(env.daemon.ready_address, "GET", "/readyz", &[], "").status == 503
    });
    let long_stream = ["X-Model: m", "X-Token-Count: 100,2000"];
    let response = env.call("POST", "/chat/long", &long_stream, "{}");
    assert_eq!(response.status, 503);
    assert_eq!(
        count_runs(&env, "/chat/long"),
        0,
        "the stream was sent to a head"
    );
}

#[test]
fn stop_finishes_requests_in_flight_and_deletes_entry() {
    let env = TestEnv::start();
    let slow = Behavior::RespondLate(Duration::from_millis(700), "in the end");
    enqueue_on_both(&env, &slow);
    thread::scope(|scope| {
        let call = scope.spawn(|| env.call("POST", "/once/slow", &[], ""));
        env.eventually("the request runs", |env| count_runs(env, "/once/slow") == 1);
        env.terminate();
        env.eventually("the daemon is not ready", |env| {
            send_request(env.daemon.ready_address, "GET", "/readyz", &[], "").status == 503
        });
        let short_deadline = ["X-Deadline-Ms: 1500"];
        assert_eq!(
            env.call("GET", "/read/late", &short_deadline, "").status,
            200
        );
        let response = call.join().expect("called");
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, "in the end")
        );
    });
    env.eventually("the entry of the daemon is deleted", |env| {
        env.store.keys("hickoryledge/daemons/").is_empty()
    });
}
