//! Requests of plain services, and what the daemon answers by itself.

use super::{
    env::{TestEnv, ask},
    runner::Act,
};
use std::{thread, time::Duration};

fn runs(env: &TestEnv, path: &str) -> usize {
    let seen = env.plain.iter().flat_map(|runner| runner.seen());
    seen.filter(|seen| seen.line.contains(path)).count()
}

fn next_on_both(env: &TestEnv, act: &Act) {
    env.plain.iter().for_each(|runner| runner.next(act.clone()));
}

#[test]
fn a_request_is_passed_on_unchanged_but_for_the_key() {
    let env = TestEnv::start();
    let headers = ["X-Other: kept", "X-Tenant: forged"];
    let answer = env.call("POST", "/once/a?b=c", &headers, "the body");
    assert_eq!((answer.status, answer.body.as_str()), (200, "usual"));
    assert!(answer.head.contains("x-response-stamp: of-p"));
    let mut seen = env.plain.iter().flat_map(|runner| runner.seen());
    let seen = seen
        .find(|seen| seen.line.contains("/once/a"))
        .expect("seen");
    assert_eq!(seen.line, "POST /once/a?b=c HTTP/1.1");
    assert_eq!(seen.body, b"the body");
    assert_eq!(seen.header("x-other"), Some("kept"));
    assert_eq!(seen.header("x-tenant"), Some("first"));
    assert_eq!(seen.header("x-request-id"), Some("r1"));
    assert_eq!(seen.header("authorization"), None);
    assert!(seen.header("x-expect-instance").is_some());
    let left: u64 = seen
        .header("x-deadline-ms")
        .and_then(|ms| ms.parse().ok())
        .expect("left");
    assert!(left <= 4_000);
}

#[test]
fn before_a_configuration_nothing_is_denied() {
    let env = TestEnv::unconfigured();
    assert_eq!(env.call("GET", "/read/x", &[], "").status, 503);
    assert_eq!(ask(env.ready, "GET", "/readyz", &[], "").status, 503);
}

#[test]
fn unknown_keys_and_routes_are_refused() {
    let env = TestEnv::start();
    assert_eq!(ask(env.caller, "GET", "/read/x", &[], "").status, 401);
    let wrong = ["Authorization: Bearer wrong"];
    assert_eq!(ask(env.caller, "GET", "/read/x", &wrong, "").status, 401);
    assert_eq!(env.call("GET", "/none/x", &[], "").status, 404);
}

#[test]
fn a_request_whose_answer_is_lost_is_not_run_again() {
    let env = TestEnv::start();
    next_on_both(&env, &Act::LoseAnswer);
    let answer = env.call("POST", "/once/lost", &[], "");
    assert_eq!(answer.status, 502);
    assert_eq!(runs(&env, "/once/lost"), 1);
}

#[test]
fn a_request_that_was_declined_is_said_not_to_have_run() {
    let env = TestEnv::start();
    next_on_both(&env, &Act::Decline);
    next_on_both(&env, &Act::Decline);
    let answer = env.call("POST", "/once/declined", &[], "");
    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after: "));
}

#[test]
fn an_idempotent_request_is_sent_to_another_runner() {
    let env = TestEnv::start();
    env.plain[0].next(Act::LoseAnswer);
    env.plain[1].next(Act::Answer(200, "second"));
    env.plain[1].next(Act::Answer(200, "second"));
    let answer = env.call("GET", "/read/lost", &[], "");
    assert_eq!((answer.status, answer.body.as_str()), (200, "second"));
}

#[test]
fn another_requests_answer_is_never_passed_on() {
    let env = TestEnv::start();
    next_on_both(&env, &Act::WrongEcho);
    let answer = env.call("POST", "/once/mixed", &[], "");
    assert_eq!(answer.status, 502);
    assert_eq!(answer.body, "");
}

#[test]
fn an_answer_without_a_length_is_passed_on() {
    let env = TestEnv::start();
    next_on_both(&env, &Act::Unframed("no length"));
    let answer = env.call("POST", "/once/unframed", &[], "");
    assert_eq!((answer.status, answer.body.as_str()), (200, "no length"));
}

#[test]
fn a_runners_failure_is_passed_on_as_it_is() {
    let env = TestEnv::start();
    next_on_both(&env, &Act::Answer(500, "failed"));
    let answer = env.call("POST", "/once/failed", &[], "");
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert!(answer.head.contains("x-response-stamp: of-p"));
}

#[test]
fn an_older_version_is_never_put_in_force() {
    let env = TestEnv::start();
    env.configure(4);
    env.eventually("the route is dropped", |env| {
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
fn an_entry_that_cannot_be_read_names_no_runner() {
    let env = TestEnv::start();
    env.store.put("servers/p1", "\u{1}not an entry");
    env.store
        .put("servers/new", "{\"Service\":\"plain\",\"State\":\"odd\"}");
    env.eventually("the other runner takes all", |env| {
        let before = env.plain[0].seen().len();
        (0..10).all(|_| env.call("GET", "/read/x", &[], "").status == 200)
            && env.plain[0].seen().len() == before
    });
}

#[test]
fn the_holder_of_the_duty_reads_the_runners_after_its_claim() {
    let env = TestEnv::start();
    env.eventually("the runners are read after the claim", |env| {
        let calls = env.store.calls();
        let mut after = calls
            .iter()
            .skip_while(|(_, what)| !what.ends_with("/duty"));
        after.any(|(path, what)| path == "/kv-range" && what == "servers/")
    });
}

#[test]
fn a_new_watch_is_answered_at_once() {
    let env = TestEnv::start();
    let waits = env.store.waits("servers/");
    assert_eq!(waits[0], 0, "a store that hangs is noticed late");
    env.eventually("the next watch waits", |env| {
        env.store
            .waits("servers/")
            .get(1)
            .is_some_and(|wait| *wait > 0)
    });
}

#[test]
fn a_runner_that_has_left_gets_no_more_requests() {
    let env = TestEnv::start();
    env.store.delete("servers/p1");
    env.eventually("the other runner takes all", |env| {
        let before = env.plain[0].seen().len();
        (0..10).all(|_| env.call("GET", "/read/x", &[], "").status == 200)
            && env.plain[0].seen().len() == before
    });
}

#[test]
fn the_addresses_of_ready_daemons_are_told() {
    let env = TestEnv::start();
    let path = "/resolve?Name=a.example&Region=r&Zone=hall";
    let answer = ask(env.directory, "GET", path, &[], "");
    assert_eq!(answer.status, 200);
    assert!(answer.body.contains(&env.caller.to_string()));
    assert_eq!(ask(env.ready, "GET", "/readyz", &[], "").status, 200);
}

#[test]
fn answers_are_counted_on_the_metrics_address() {
    let env = TestEnv::start();
    let text = ask(env.ready, "GET", "/metrics", &[], "").body;
    assert!(text.contains("hickoryledge_answers_total{status=\"200\"}"));
    assert!(text.contains("hickoryledge_groups_serving 2"));
    assert!(text.contains("hickoryledge_configuration_version 1"));
}

#[test]
fn a_daemon_that_stops_takes_no_stream_that_it_could_not_finish() {
    let env = TestEnv::start();
    env.terminate();
    env.eventually("not ready", |env| {
        ask(env.ready, "GET", "/readyz", &[], "").status == 503
    });
    let long = ["X-Model: m", "X-Token-Count: 100,2000"];
    let answer = env.call("POST", "/chat/long", &long, "{}");
    assert_eq!(answer.status, 503);
    assert_eq!(runs(&env, "/chat/long"), 0, "it was sent to a head");
}

#[test]
fn a_stop_finishes_what_is_under_way_and_takes_the_daemon_out() {
    let env = TestEnv::start();
    let slow = Act::Slow(Duration::from_millis(700), "in the end");
    next_on_both(&env, &slow);
    thread::scope(|scope| {
        let call = scope.spawn(|| env.call("POST", "/once/slow", &[], ""));
        env.eventually("it runs", |env| runs(env, "/once/slow") == 1);
        env.terminate();
        env.eventually("not ready", |env| {
            ask(env.ready, "GET", "/readyz", &[], "").status == 503
        });
        assert_eq!(env.call("GET", "/read/late", &[], "").status, 200);
        let answer = call.join().expect("called");
        assert_eq!((answer.status, answer.body.as_str()), (200, "in the end"));
    });
    env.eventually("its entry is gone", |env| {
        env.store.keys("hickoryledge/daemons/").is_empty()
    });
}
