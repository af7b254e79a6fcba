//! Ranks of accounts, as runners see them.

use super::{
    client::send_request,
    config::{self, API_KEY, OTHER_API_KEY},
    env::TestEnv,
};
use serde_json::json;
use std::cell::Cell;

/// Sends a request with an API key, and returns the urgency that a runner received for it.
fn urgency(env: &TestEnv, key: &str, id: &str) -> Option<String> {
    let headers = [
        format!("Authorization: Bearer {key}"),
        format!("X-Request-Id: {id}"),
    ];
    let headers = headers.each_ref().map(String::as_str);
    let path = format!("/read/{id}");
    send_request(env.daemon.caller_address, "GET", &path, &headers, "");
    let runners = env.plain_runners.iter();
    let mut requests = runners.flat_map(|runner| runner.requests());
    let request = requests.find(|request| request.request_line.contains(&path))?;
    request.header("x-urgency").map(str::to_owned)
}

/// The runners' queues were in the order of arrival among all accounts. One that can't be read as a
/// priority must not put an account before or behind the others.
#[test]
fn runners_learn_rank_of_account() {
    let env = TestEnv::start();
    assert_eq!(urgency(&env, API_KEY, "u-before").as_deref(), Some("5"));
    let mut config = config::value(101);
    config["Tenants"][0]["Priority"] = json!(0);
    config["Tenants"][1]["Priority"] = json!("first");
    env.store.put("op/config", &config.to_string());
    let attempts = Cell::new(0);
    env.eventually("the account's requests are the most urgent ones", |env| {
        attempts.set(attempts.get() + 1);
        let id = format!("u-first-{}", attempts.get());
        urgency(env, API_KEY, &id).as_deref() == Some("3")
    });
    let other = urgency(&env, OTHER_API_KEY, "u-other");
    assert_eq!(other.as_deref(), Some("5"), "the route's priority is 1");
}
