//! The choice of a runner for a request.

use super::harness::{Rig, model_call};
use hickoryledge::core::{
    input::{CacheEvent, CallRequest, LoadReport, RunnerInput},
    output::Route,
    time::Span,
};
use std::collections::BTreeMap;

fn rig(groups: usize) -> Rig {
    let mut rig = Rig::new(&[]);
    rig.put_groups("m", &vec![1; groups]);
    rig
}

/// Sends a call; returns the host that it was routed to.
fn host_of(rig: &mut Rig, request: CallRequest) -> String {
    rig.call(request);
    match rig.sent_one().route {
        Route::Group { host, .. } => host.to_string(),
        other => panic!("expected a group, got {other:?}"),
    }
}

fn prompt(blocks: &[u64]) -> CallRequest {
    CallRequest {
        prefix: blocks.to_vec(),
        prompt_tokens: 6_400,
        ..model_call("m")
    }
}

/// Prompts with a common prefix share a runner, which then needn't process the prefix again.
#[test]
fn routes_prompt_to_host_with_cached_prefix() {
    let mut rig = rig(40);
    let first = host_of(&mut rig, prompt(&[1, 2, 3, 4]));
    for last in 10..20 {
        assert_eq!(host_of(&mut rig, prompt(&[1, 2, 3, last])), first);
    }
}

/// Blocks may have been evicted in the missed events, so the prefix no longer attracts prompts.
#[test]
fn gap_in_cache_events_clears_cached_prefixes() {
    let mut rig = rig(40);
    let first = host_of(&mut rig, prompt(&[1, 2, 3, 4]));
    rig.runner_event(RunnerInput::Cache {
        host: first.as_str().into(),
        first: 9,
        events: vec![CacheEvent::Stored(77)],
    });
    let hosts = (0..10).map(|last| host_of(&mut rig, prompt(&[1, 2, 100 + last])));
    let elsewhere = hosts.filter(|host| *host != first).count();
    assert!(
        elsewhere > 0,
        "the cleared prefix should no longer attract prompts"
    );
    assert_eq!(host_of(&mut rig, prompt(&[77, 78])), first);
}

/// A runner five times as slow gets less than an eighth of the calls, but at least one.
#[test]
fn straggler_gets_fewer_requests_but_some() {
    const CALLS: usize = 60;
    let mut rig = rig(4);
    for (index, gap) in [50, 10, 10, 10].into_iter().enumerate() {
        let report = LoadReport {
            slots: 64,
            token_gap: Span::from_millis(gap),
            ..LoadReport::default()
        };
        rig.report_load(format!("m-{index}-0").as_str().into(), Some(report));
    }
    let mut shares: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..CALLS {
        *shares
            .entry(host_of(&mut rig, model_call("m")))
            .or_default() += 1;
    }
    let straggler = shares.get("m-0-0").copied().unwrap_or_default();
    assert!((1..CALLS / 8).contains(&straggler), "{shares:?}");
}

/// The prefix index must not grow with every host that ever existed.
#[test]
fn drops_prefix_blocks_of_removed_hosts() {
    let mut rig = rig(2);
    rig.with(|parts, ctx| parts.requests.on_start(ctx));
    rig.call(prompt(&[1, 2]));
    let sent = rig.sent_one();
    rig.accept(&sent);
    rig.runner_event(RunnerInput::Finished {
        attempt: sent.attempt,
    });
    assert_eq!(rig.metric("prefix_blocks"), 2);
    rig.forget_hosts();
    rig.advance(Span::from_secs(61));
    assert_eq!(rig.metric("prefix_blocks"), 0);
}
