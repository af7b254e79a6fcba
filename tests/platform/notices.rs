//! What runners say of themselves in their responses, beside rate limits.

use super::{
    client::send_request,
    env::TestEnv,
    runner::{Behavior, Runner},
};
use std::{thread, time::Duration};

/// Number of requests after which a runner that is in use has got some.
const REQUESTS: usize = 30;

fn read(env: &TestEnv) -> u16 {
    env.call("GET", "/read/x", &[], "").status
}

/// Sends requests until a runner has got one, and so has said what it says of itself.
fn await_request(env: &TestEnv, runner: &Runner) {
    let before = runner.requests().len();
    env.eventually("the runner has got a request", |env| {
        read(env);
        runner.requests().len() > before
    });
}

// The store may be away or behind when a runner leaves.
#[test]
fn sends_nothing_to_plain_runner_that_says_it_leaves() {
    let env = TestEnv::start();
    let leaving = &env.plain_runners[0];
    leaving.say_leaving();
    await_request(&env, leaving);
    let before = leaving.requests().len();
    assert!((0..REQUESTS).all(|_| read(&env) == 200));
    assert_eq!(leaving.requests().len(), before);
}

#[test]
fn group_whose_head_says_it_leaves_is_closed() {
    let env = TestEnv::start();
    let leaving = &env.heads[0];
    leaving.say_leaving();
    env.eventually("the head has left its group", |_| !leaving.is_open());
    let before = leaving.requests().len();
    assert!((0..REQUESTS).all(|_| env.stream(&[]).status == 200));
    assert_eq!(leaving.requests().len(), before);
}

#[test]
fn daemons_tell_each_other_of_leaving_runner() {
    let env = TestEnv::start();
    let other = env.start_daemon("d2");
    let call = |env: &TestEnv| env.call_at(&other, "GET", "/read/x", &[], "").status;
    env.eventually("the other daemon serves", |env| call(env) == 200);
    env.eventually("the first daemon knows the other", |env| {
        let path = "/resolve?Name=a.example&Region=r&Zone=hall";
        let listed = send_request(env.daemon.directory_address, "GET", path, &[], "");
        listed.body.contains(&other.caller_address.to_string())
    });
    let leaving = &env.plain_runners[0];
    leaving.say_leaving();
    await_request(&env, leaving);
    env.eventually("the other daemon has been told", |_| {
        other.metric("hickoryledge_leaving_hosts_told_total") >= 1.0
    });
    let before = leaving.requests().len();
    assert!((0..REQUESTS).all(|_| call(&env) == 200));
    assert_eq!(leaving.requests().len(), before);
}

// Requests went on to a runner that had said that it wants none for some time.
#[test]
fn sends_nothing_to_runner_that_asked_for_a_pause() {
    let env = TestEnv::start();
    let paused = &env.plain_runners[0];
    paused.enqueue(Behavior::DeclineFor("120.5"));
    await_request(&env, paused);
    let before = paused.requests().len();
    // A runner that declined once is avoided for half a second in any case.
    thread::sleep(Duration::from_millis(700));
    assert!((0..REQUESTS).all(|_| read(&env) == 200));
    assert_eq!(paused.requests().len(), before);
}

#[test]
fn pause_of_a_runner_ends() {
    let env = TestEnv::start();
    let paused = &env.plain_runners[0];
    paused.enqueue(Behavior::DeclineFor("0.3"));
    await_request(&env, paused);
    thread::sleep(Duration::from_millis(300));
    await_request(&env, paused);
}

// The caller is told when a place is expected, whatever the runner asked for.
#[test]
fn request_is_refused_if_all_runners_asked_for_a_pause() {
    let env = TestEnv::start();
    for runner in &env.plain_runners {
        runner.enqueue(Behavior::DeclineFor("100"));
    }
    env.eventually("requests are refused", |env| read(env) == 503);
    let runs = || -> usize {
        let runners = env.plain_runners.iter();
        runners.map(|runner| runner.requests().len()).sum()
    };
    let before = runs();
    let response = env.call("GET", "/read/x", &[], "");
    assert_eq!(response.status, 503);
    assert_eq!(runs(), before);
    let delay = response
        .head
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    let seconds: f64 = delay.and_then(|text| text.parse().ok()).expect("a delay");
    assert!((50.0..110.0).contains(&seconds), "{seconds}");
}
