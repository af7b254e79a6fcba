//! A head that is partitioned from the store, and silent for a second as its entry is removed.

use standins::{
    config::config,
    daemon::{Case, Daemon, end, wait_until},
    runner::{Cluster, Runner},
    store::{PING, Store},
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time for which the head is silent: "a second or so".
const SILENCE: Duration = Duration::from_millis(1_100);

/// Length of the partition; the site's longest is 10 s.
const CUT: Duration = Duration::from_secs(8);

fn main() {
    let case = Case::from_arguments();
    let store = Store::start();
    store.put("op/config", &config(1, ""));
    let cluster = Arc::new(Cluster::default());
    let runners: Vec<Arc<Runner>> = (1..=5)
        .map(|number| {
            let id = format!("i-{number}");
            Runner::start(&id, "llm", Some("d1"), Duration::from_millis(100), &store, &cluster, &case.record)
        })
        .collect();
    let daemons = ["front-1", "front-2"].map(|name| Daemon::start(name, &case.root, &case.temporary, store.address));
    if !daemons.iter().all(|daemon| daemon.wait_until_ready(Duration::from_secs(10))) {
        case.fail("the daemons don't become ready");
    }
    let find_head = || runners.iter().find(|runner| runner.is_open_head());
    if !wait_until(Duration::from_secs(30), || find_head().is_some()) {
        case.fail("no group opens");
    }
    thread::sleep(Duration::from_secs(8));
    let head = find_head().unwrap_or_else(|| case.fail("the group has closed by itself"));
    case.record.say(&format!("the head is {}", head.id));
    // Just after a ping, so that the time of the entry's removal is known.
    let last_ping = if case.has_trouble { head.set_cut(true) } else { Instant::now() };
    let removal = last_ping + 3 * PING;
    let from = removal - Duration::from_millis(400);
    thread::sleep(from.saturating_duration_since(Instant::now()));
    head.fall_silent(SILENCE);
    let until = last_ping + CUT;
    thread::sleep(until.saturating_duration_since(Instant::now()));
    if case.has_trouble {
        head.set_cut(false);
    }
    thread::sleep(Duration::from_secs(5));
    let breaks = cluster.two.lock().expect("not poisoned").clone();
    for text in &breaks {
        case.record.say(text);
    }
    case.record.say(&format!("breaks of TWO: {}", breaks.len()));
    end(i32::from(!breaks.is_empty()))
}
