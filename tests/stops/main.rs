//! Stops of real daemons under load, and faults of all kinds (`soak`).
//!
//! Several daemons run as separate processes, with one fake store and fake
//! runners. Callers send requests over connections that they keep open, while
//! an operator signals and restarts the daemons by a seeded schedule. What the
//! callers and the runners saw decides whether a request was lost.
//!
//! `STOPS_SEEDS=50 cargo test --test stops -- --nocapture` runs more seeds of both;
//! `options` lists the other variables.

#[path = "../platform/behavior.rs"]
#[allow(dead_code, reason = "the tests of one daemon use the rest")]
mod behavior;
#[path = "../platform/client.rs"]
#[allow(dead_code, reason = "the tests of one daemon use the rest")]
mod client;
#[path = "../platform/config.rs"]
#[allow(dead_code, reason = "the tests of one daemon use the rest")]
mod config;
#[path = "../platform/crash.rs"]
#[allow(dead_code, reason = "the tests of one daemon use the rest")]
mod crash;
#[path = "../platform/early_end.rs"]
#[allow(dead_code, reason = "the tests of one daemon use the rest")]
mod early_end;
#[path = "../platform/env.rs"]
#[allow(dead_code, reason = "the tests of one daemon use the rest")]
mod env;
#[path = "../platform/http.rs"]
#[allow(dead_code, reason = "the tests of one daemon use the rest")]
mod http;
#[path = "../platform/link.rs"]
#[allow(dead_code, reason = "the tests of one daemon use the rest")]
mod link;
#[path = "../common/memory.rs"]
#[allow(dead_code, reason = "the tests of one daemon use the rest")]
mod memory;
#[path = "../platform/runner.rs"]
#[allow(dead_code, reason = "the tests of one daemon use the rest")]
mod runner;
#[path = "../platform/runs.rs"]
mod runs;
#[path = "../platform/store.rs"]
#[allow(dead_code, reason = "the tests of one daemon use the rest")]
mod store;
#[path = "../platform/successor.rs"]
#[allow(dead_code, reason = "the tests of one daemon use the rest")]
mod successor;
#[path = "../platform/trouble.rs"]
#[allow(dead_code, reason = "the tests of one daemon use the rest")]
mod trouble;

mod caller;
mod connection;
mod directory;
mod faults;
mod fleet;
mod judge;
mod load;
mod operator;
mod options;
mod records;
mod schedule;
mod soak;
mod table;

use fleet::Fleet;
use judge::Findings;
use options::Options;
use schedule::Schedule;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Held by the test that runs: two fleets would take each other's ports.
static ALONE: Mutex<()> = Mutex::new(());

/// Waits until no other test runs.
fn await_turn() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test]
fn stop_cuts_no_request() {
    let _turn = await_turn();
    let options = Options::from_env();
    let mut all = Vec::new();
    for seed in options.seeds.clone() {
        let findings = run(&options, seed);
        table::print(&findings);
        all.push(findings);
    }
    table::print_summary(&all);
    let failed = all.iter().filter(|findings| findings.has_faults());
    let failed: Vec<u64> = failed.map(|findings| findings.seed).collect();
    assert!(
        failed.is_empty(),
        "stops lost requests or processes with seeds {failed:?}"
    );
}

/// Runs one seed; the logs are kept if it fails or if a daemon had to be killed.
fn run(options: &Options, seed: u64) -> Findings {
    let schedule = Schedule::new(options, seed);
    let fleet = Fleet::start(options, seed);
    let callers = load::start(&fleet, seed);
    let longest_wait = operator::run(&fleet, &schedule);
    let calls = callers.finish();
    let findings = judge::judge(&fleet, calls, longest_wait);
    if !findings.has_faults() && !findings.has_kills() {
        fleet.remove_logs();
    }
    findings
}
