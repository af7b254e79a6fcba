//! Changes of the store that daemons of a hall relay to each other.

use super::env::{Daemon, TestEnv};
use nix::sys::signal::Signal;
use std::{thread, time::Duration};

/// Time without lists after which none of a compaction is still to come.
const QUIET_TIME: Duration = Duration::from_millis(1_500);

/// Daemons besides the first: enough for a hall with subscribers.
const OTHER_DAEMONS: usize = 7;

/// Prefixes that each daemon follows.
const PREFIXES: usize = 3;

/// Metric that is 1 for the holder of the duty, which watches the store itself.
const HOLDS_DUTY: &str = "hickoryledge_duty_held";

/// Daemons of a hall that watch the store.
const WATCHERS: usize = 2;

/// Starts a hall of daemons and waits until all but the watchers are subscribers.
fn start_hall() -> (TestEnv, Vec<Daemon>) {
    let env = TestEnv::start();
    let others: Vec<Daemon> = (0..OTHER_DAEMONS)
        .map(|index| env.start_daemon(&format!("e{index}")))
        .collect();
    env.eventually("the others subscribe", |env| {
        let followed = count_subscriptions([&env.daemon].into_iter().chain(&others));
        followed == ((OTHER_DAEMONS + 1 - WATCHERS) * PREFIXES) as f64
    });
    (env, others)
}

fn count_subscriptions<'a, I>(daemons: I) -> f64
where
    I: Iterator<Item = &'a Daemon>,
{
    daemons
        .map(|daemon| daemon.metric("hickoryledge_subscriptions"))
        .sum()
}

/// Returns true if a daemon uses a configuration that routes `/moved/`.
fn has_moved_route(env: &TestEnv, daemon: &Daemon) -> bool {
    env.call_at(daemon, "GET", "/moved/x", &[], "").status == 200
}

/// Subscribers learn of a configuration although they don't watch the store.
#[test]
fn subscribers_get_changes_from_watchers() {
    let (env, others) = start_hall();
    env.configure(2);
    env.eventually("all daemons use version 2", |env| {
        others.iter().all(|daemon| !has_moved_route(env, daemon))
    });
    env.configure(3);
    env.eventually("all daemons use version 3", |env| {
        others.iter().all(|daemon| has_moved_route(env, daemon))
    });
}

/// Daemons that rank before the watchers become watchers themselves. They may have followed the
/// earlier ones at first; if they still did once those follow them, nobody would watch the store.
#[test]
fn later_daemons_take_over_from_watchers() {
    let (env, others) = start_hall();
    let first: Vec<Daemon> = ["a0", "a1"]
        .map(|name| env.start_daemon(name))
        .into_iter()
        .collect();
    env.eventually("the daemons that rank first have all subscribers", |env| {
        let all = [&env.daemon].into_iter().chain(&others).chain(&first);
        let subscribers = OTHER_DAEMONS + 1 - usize::from(env.daemon.metric(HOLDS_DUTY) > 0.0);
        count_subscriptions(all) == (subscribers * PREFIXES) as f64
            && count_subscriptions(others.iter()) == 0.0
    });
    env.configure(2);
    env.eventually("all daemons use version 2", |env| {
        let mut all = others.iter().chain(&first);
        all.all(|daemon| !has_moved_route(env, daemon))
    });
}

/// A watcher that hangs keeps its connections open. Its subscribers notice that it no longer proves
/// contact with the store.
#[test]
fn subscribers_leave_paused_watchers() {
    let (env, others) = start_hall();
    let (watchers, subscribers): (Vec<&Daemon>, Vec<&Daemon>) = others
        .iter()
        .partition(|daemon| daemon.metric("hickoryledge_subscriptions") > 0.0);
    for watcher in &watchers {
        watcher.signal(Signal::SIGSTOP);
    }
    env.configure(2);
    env.eventually("the subscribers use version 2", |env| {
        subscribers
            .iter()
            .all(|daemon| !has_moved_route(env, daemon))
    });
    for watcher in &watchers {
        watcher.signal(Signal::SIGCONT);
    }
    env.eventually("the watchers use version 2", |env| {
        watchers.iter().all(|daemon| !has_moved_route(env, daemon))
    });
}

/// The store may forget its history at any time. The watchers then list the entries anew, and their
/// subscribers go on with them and not each with the store.
#[test]
fn subscribers_stay_with_watchers_after_compaction() {
    let (env, others) = start_hall();
    env.store.forget_history();
    env.configure(2);
    env.eventually("all daemons use version 2", |env| {
        others.iter().all(|daemon| !has_moved_route(env, daemon))
    });
    env.eventually("the others subscribe", |env| {
        let followed = count_subscriptions([&env.daemon].into_iter().chain(&others));
        followed == ((OTHER_DAEMONS + 1 - WATCHERS) * PREFIXES) as f64
    });
    let lists = |env: &TestEnv| {
        let calls = env.store.calls();
        calls.iter().filter(|(path, _)| path == "/kv-range").count()
    };
    // Daemons list the last prefixes a moment after they have subscribed again.
    env.eventually("nobody lists any more", |env| {
        let before = lists(env);
        thread::sleep(QUIET_TIME);
        lists(env) == before
    });
    let before = lists(&env);
    env.configure(3);
    env.eventually("all daemons use version 3", |env| {
        others.iter().all(|daemon| has_moved_route(env, daemon))
    });
    assert_eq!(lists(&env), before, "lists without a reason");
}
