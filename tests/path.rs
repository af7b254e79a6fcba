//! Tests requests from caller to runner, with all programs in separate processes.

mod common;

use common::{TestEnv, completion_text};

#[test]
fn completion_is_streamed_to_its_end() {
    let env = TestEnv::with_group(2);
    for index in 0..2 {
        let response = env.complete(index, "summarise notice 17", 20);
        assert_eq!(
            response.stream(),
            (completion_text("summarise notice 17", 20), true),
            "{response:?}"
        );
    }
}

#[test]
fn service_call_runs_once() {
    let env = TestEnv::with_group(1);
    let response = env.call(
        0,
        "POST",
        "/services/mailroom-app/invoices",
        &[],
        "invoice 9".to_owned(),
    );
    assert_eq!(response.outcome, "complete", "{response:?}");
    assert_eq!(env.started_runs("invoice 9"), 1);
}

#[test]
fn rejects_unknown_api_key() {
    let env = TestEnv::with_group(1);
    let wrong = [("authorization", "Bearer nobody")];
    let response = env.http(
        env.daemons[0].caller,
        "GET",
        "/v1/entries",
        &wrong,
        String::new(),
    );
    assert_eq!(
        (response.status, response.outcome.as_str()),
        (401, "not-run")
    );
}
