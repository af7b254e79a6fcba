//! Which runner gets a request.

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

/// Starts a call, and gives the host that got it.
fn host_of(rig: &mut Rig, request: CallRequest) -> String {
    rig.call(request);
    match rig.sent_one().route {
        Route::Group { host, .. } => host.to_string(),
        other => panic!("not a group: {other:?}"),
    }
}

fn prompt(blocks: &[u64]) -> CallRequest {
    CallRequest {
        prefix: blocks.to_vec(),
        prompt_tokens: 6_400,
        ..model_call("m")
    }
}

#[test]
fn a_prompt_goes_where_its_prefix_is_cached() {
    let mut rig = rig(40);
    let first = host_of(&mut rig, prompt(&[1, 2, 3, 4]));
    for last in 10..20 {
        assert_eq!(host_of(&mut rig, prompt(&[1, 2, 3, last])), first);
    }
}

#[test]
fn a_gap_in_the_cache_events_clears_what_was_known() {
    let mut rig = rig(40);
    let first = host_of(&mut rig, prompt(&[1, 2, 3, 4]));
    rig.runner_event(RunnerInput::Cache {
        host: first.as_str().into(),
        first: 9,
        events: vec![CacheEvent::Stored(77)],
    });
    let hosts = (0..10).map(|last| host_of(&mut rig, prompt(&[1, 2, 100 + last])));
    let elsewhere = hosts.filter(|host| *host != first).count();
    assert!(elsewhere > 0, "nothing is known to be cached there");
    assert_eq!(host_of(&mut rig, prompt(&[77, 78])), first);
}

#[test]
fn a_straggler_loses_share_but_not_everything() {
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

#[test]
fn what_is_kept_of_runners_that_are_gone_is_dropped() {
    let mut rig = rig(2);
    rig.with(|parts, ctx| parts.requests.on_start(ctx));
    rig.call(prompt(&[1, 2]));
    let sent = rig.sent_one();
    rig.accept(&sent);
    rig.runner_event(RunnerInput::Finished {
        attempt: sent.attempt,
    });
    assert_eq!(rig.count("prefix_blocks"), 2);
    rig.forget_hosts();
    rig.advance(Span::from_secs(61));
    assert_eq!(rig.count("prefix_blocks"), 0);
}
