//! Runners' entries as they arrive from the store.

use hickoryledge::{
    core::{
        input::{PlatformEntry, WatchEvent},
        keys::{HostName, Revision},
    },
    gateway::{
        handlers::{PeerHandler, RunnerHandler},
        roster::MemberState,
        settings::Settings,
        state::GatewayState,
        watch::EntryHandler as _,
    },
    platform::Platform,
};
use slog::{Discard, Logger, o};
use std::rc::Rc;

const SETTINGS: &str = "
name: d1
hall: hall
listen: {caller: '127.0.0.1:1', ready: '127.0.0.1:2', directory: '127.0.0.1:3'}
store: 127.0.0.1:4
retry: {ratio: 0.2, slack: 134, window_s: 10}
grace_ms: 3000
entries_ms: 2000
";

/// Returns the state of a daemon that has read nothing yet.
pub fn state() -> Rc<GatewayState> {
    state_with(&[])
}

/// Returns the state of a daemon that has read nothing yet and follows the entries under prefixes.
pub fn state_with(prefixes: &[&'static str]) -> Rc<GatewayState> {
    let settings = Settings::parse(SETTINGS).expect("valid settings");
    let log = Logger::root(Discard, o!());
    Rc::new(GatewayState::new(settings, log, prefixes))
}

/// Returns the entry of a group's head in a state.
fn entry(revision: i64, member_state: &str) -> PlatformEntry {
    let value = format!(
        r#"{{"Service":"s","Address":"10.0.0.9:80","Zone":"hall","Slots":26,"State":"ready",
        "Domain":"d1","Staged":["m"],"born":1,"Models":[{{"Name":"m"}}],
        "group":{{"Name":"g1","epoch":1,"rank":0,"State":"{member_state}"}}}}"#
    );
    PlatformEntry {
        key: "servers/h1".to_owned(),
        value,
        revision: Revision(revision),
        lease: None,
    }
}

fn member_state(state: &GatewayState) -> Option<MemberState> {
    let roster = state.roster.borrow();
    let (_, host) = roster.host_by_name(&HostName::from("h1"))?;
    Some(host.runner.member.as_ref()?.state)
}

/// A new holder of the duty lists the entries while its watch, or the peer that it followed, is
/// still behind. A head that has opened must not appear to be ready again.
#[test]
fn late_change_does_not_undo_newer_list() {
    let state = state();
    let handler = RunnerHandler::<Platform>::new(state.clone());
    handler.on_list(Revision(9), vec![entry(8, "open")]);
    handler.on_change(vec![WatchEvent::Put(entry(7, "ready"))]);
    assert_eq!(member_state(&state), Some(MemberState::Open));
    handler.on_change(vec![WatchEvent::Put(entry(10, "closing"))]);
    assert_eq!(member_state(&state), Some(MemberState::Closing));
}

/// Without the runners' health of before, groups with dead members would be used again.
#[test]
fn older_copy_does_not_revive_lost_runner() {
    let state = state();
    let runners = RunnerHandler::<Platform>::new(state.clone());
    let peers = PeerHandler::new(state.clone(), "hickoryledge/");
    let health = |lost: &str| PlatformEntry {
        key: "hickoryledge/lost".to_owned(),
        value: format!(r#"{{"lost":[{lost}]}}"#),
        revision: Revision(9),
        lease: None,
    };
    runners.on_list(Revision(8), vec![entry(8, "open")]);
    peers.on_list(Revision(9), vec![health(r#"["h1",1]"#)]);
    let is_lost = || {
        let roster = state.roster.borrow();
        let (_, host) = roster.host_by_name(&HostName::from("h1")).expect("known");
        host.is_unreachable()
    };
    assert!(is_lost());
    peers.on_older_list(Revision(5), vec![health("")]);
    assert!(is_lost());
    peers.on_change(vec![WatchEvent::Put(health(""))]);
    assert!(!is_lost(), "the next holder has published anew");
}
