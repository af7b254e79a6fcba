//! Configuration spreads among daemons, with few of them asking the platform.

mod fakes;

use fakes::{handover::Handover, kv::Fault};
use hickoryledge::core::{
    config::record::Account, input::OperatorRequest, options::Options, output::OperatorAnswer,
    time::Span,
};
use std::collections::BTreeSet;

const SECOND: Span = Span::from_secs(1);

/// How long an accepted change may take to be in force.
const IN_FORCE: Span = Span::from_secs(5);

const TWO_HALLS: [&str; 12] = ["a", "b", "a", "b", "a", "b", "a", "b", "a", "b", "a", "b"];
const ONE_HALL: [&str; 6] = ["a"; 6];

/// Daemons that have found each other.
fn settled(halls: &[&str]) -> Handover {
    let mut site = Handover::new(halls, &Options::default());
    for daemon in 0..halls.len() {
        site.start(daemon);
        site.run(Span::from_millis(50));
    }
    let few = |s: &Handover| watchers(s).len() <= 4;
    site.run(SECOND.times(5));
    assert!(
        site.run_until(SECOND.times(20), few),
        "{:?}",
        watchers(&site)
    );
    site
}

fn watchers(site: &Handover) -> BTreeSet<usize> {
    site.kv.watching().into_iter().collect()
}

fn followers(site: &Handover) -> Vec<usize> {
    let watchers = watchers(site);
    let all = 0..site.cores.len();
    all.filter(|daemon| !watchers.contains(daemon)).collect()
}

fn account(name: &str) -> OperatorRequest {
    OperatorRequest::PutAccount(Account {
        name: name.into(),
        ..Account::default()
    })
}

fn knows(site: &Handover, daemon: usize, name: &str) -> bool {
    let view = site.cores[daemon].config().view();
    view.account(&name.into()).is_some()
}

/// Makes a change at a daemon, and waits until the ones named know it.
fn change_reaches(site: &mut Handover, at: usize, name: &str, daemons: &[usize]) -> bool {
    let command = site.ask(at, site.now.0, account(name));
    let accepted = site.run_until(SECOND.times(8), |s| s.answers.contains_key(&command));
    assert!(accepted);
    let answer = &site.answers[&command];
    assert!(
        matches!(answer, OperatorAnswer::Accepted { .. }),
        "{answer:?}"
    );
    let name = name.to_owned();
    site.run_until(IN_FORCE, |s| daemons.iter().all(|d| knows(s, *d, &name)))
}

fn sync_calls(site: &Handover) -> u64 {
    ["list", "watch"]
        .iter()
        .filter_map(|kind| site.kv.calls.get(kind))
        .sum()
}

#[test]
fn two_daemons_of_each_hall_watch_and_all_learn() {
    let mut site = settled(&TWO_HALLS);
    assert_eq!(watchers(&site).len(), 4);
    let before = sync_calls(&site);
    let all: Vec<usize> = (0..TWO_HALLS.len()).collect();
    for (number, at) in followers(&site).into_iter().enumerate() {
        assert!(change_reaches(&mut site, at, &format!("c{number}"), &all));
    }
    site.run(SECOND.times(10));
    assert_eq!(sync_calls(&site), before, "followers ask the platform");
}

#[test]
fn no_change_waits_for_a_period() {
    let halls: Vec<&str> = TWO_HALLS.iter().cycle().take(36).copied().collect();
    let mut site = settled(&halls);
    let all: Vec<usize> = (0..halls.len()).collect();
    for number in 0..20 {
        let name = format!("c{number}");
        let asked = site.now;
        assert!(change_reaches(&mut site, number, &name, &all));
        let taken = site.now.since(asked);
        assert!(taken < Span::from_millis(250), "{name} took {taken:?}");
        site.run(Span::from_millis(300));
    }
}

#[test]
fn paused_watchers_are_replaced() {
    let mut site = settled(&ONE_HALL);
    let others = followers(&site);
    site.paused = watchers(&site).into_iter().collect();
    assert!(change_reaches(&mut site, others[0], "clerks", &others));
    site.resume();
    let all: Vec<usize> = (0..ONE_HALL.len()).collect();
    assert!(change_reaches(&mut site, others[0], "drivers", &all));
    assert!(all.iter().all(|d| knows(&site, *d, "clerks")));
}

#[test]
fn one_daemon_that_reaches_the_platform_serves_all() {
    let mut site = settled(&ONE_HALL);
    let last = followers(&site).pop().expect("a follower");
    let all: Vec<usize> = (0..ONE_HALL.len()).collect();
    site.cut = all.iter().copied().filter(|d| *d != last).collect();
    site.kv.end_watches();
    site.run(SECOND.times(10));
    assert_eq!(site.kv.watching(), [last]);
    let before = site.kv.calls["watch"];
    site.run(SECOND.times(30));
    assert_eq!(site.kv.calls["watch"], before, "the watcher comes and goes");
    for name in ["clerks", "drivers"] {
        assert!(change_reaches(&mut site, last, name, &all));
        site.run(SECOND.times(10));
    }
}

#[test]
fn a_daemon_that_starts_in_an_outage_learns_from_peers() {
    let mut site = Handover::new(&["a", "a", "a"], &Options::default());
    site.start(0);
    site.start(1);
    site.run(SECOND.times(5));
    assert!(change_reaches(&mut site, 1, "clerks", &[0, 1]));
    site.kv.fault = Fault::Outage;
    site.run(SECOND.times(30));
    site.start(2);
    let soon = Span::from_millis(100);
    assert!(site.run_until(soon, |s| knows(s, 2, "clerks")));
}

#[test]
fn after_an_outage_calls_are_spread_and_few_watch() {
    let mut site = settled(&TWO_HALLS);
    site.kv.fault = Fault::Refuses;
    site.run(SECOND.times(30));
    let before = sync_calls(&site);
    site.run(SECOND.times(10));
    let tried = sync_calls(&site) - before;
    assert!(tried <= 12 * 10, "{tried} calls in 10 s of outage");
    site.kv.fault = Fault::NoFault;
    let before = sync_calls(&site);
    let all: Vec<usize> = (0..TWO_HALLS.len()).collect();
    assert!(change_reaches(&mut site, 0, "clerks", &all));
    site.run(SECOND.times(20));
    let herd = sync_calls(&site) - before;
    assert!(herd <= 2 * 12, "{herd} calls after the outage");
    assert_eq!(watchers(&site).len(), 4);
}
