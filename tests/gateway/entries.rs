//! Runners' entries as they arrive from the store.

use hickoryledge::{
    core::{
        input::{PlatformEntry, WatchEvent},
        keys::{HostName, Revision},
        time::Span,
    },
    gateway::{
        contact::ContactReport,
        handlers::{PeerHandler, RunnerHandler},
        roster::MemberState,
        settings::Settings,
        state::GatewayState,
        watch::EntryHandler as _,
    },
    platform::Platform,
};
use slog::{Discard, Logger, o};
use std::{rc::Rc, thread, time::Duration};

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

/// Returns the entry of a daemon with an address for others.
fn daemon_entry(address: &str) -> PlatformEntry {
    PlatformEntry {
        key: "hickoryledge/daemons/d2".to_owned(),
        value: format!(r#"{{"caller":"10.0.0.2:80","hall":"hall","peer":"{address}"}}"#),
        revision: Revision(1),
        lease: None,
    }
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

/// State of a daemon that has just found the store again, and has seen that an entry is gone.
struct BackFromCut(Rc<GatewayState>);

impl BackFromCut {
    const PEER: &str = "10.0.0.2:7000";

    fn new() -> Self {
        let state = state();
        let runners = RunnerHandler::<Platform>::new(state.clone());
        let peers = PeerHandler::new(state.clone(), "hickoryledge/");
        peers.on_list(Revision(1), vec![daemon_entry(Self::PEER)]);
        runners.on_list(Revision(8), vec![entry(8, "open")]);
        let seen_until = state.now();
        runners.on_loss();
        thread::sleep(Duration::from_millis(5));
        state.store_answered(None);
        runners.on_recovery(seen_until);
        runners.on_change(vec![WatchEvent::Deleted {
            revision: Revision(9),
            key: "servers/h1".to_owned(),
        }]);
        Self(state)
    }

    fn hear_of_contact(&self, length: Span) {
        let peer = Self::PEER.parse().expect("an address");
        let report = ContactReport {
            age: Span::ZERO,
            length,
            era: None,
            is_watching: true,
        };
        self.0.peer_reported_contact(peer, report);
    }

    fn is_used(&self) -> bool {
        let roster = self.0.roster.borrow();
        let (_, host) = roster.host_by_name(&HostName::from("h1")).expect("known");
        roster.is_usable(host, self.0.now())
    }
}

// It was used for two seconds more, although the peer had seen it leave.
#[test]
fn runner_that_left_while_a_peer_was_in_contact_is_not_used_after_a_cut() {
    let daemon = BackFromCut::new();
    daemon.hear_of_contact(Span::from_secs(60));
    assert!(!daemon.is_used());
}

#[test]
fn runner_whose_entry_lapsed_in_an_outage_for_all_is_used_after_it() {
    let daemon = BackFromCut::new();
    assert!(daemon.is_used());
    daemon.hear_of_contact(Span::ZERO);
    assert!(daemon.is_used());
}
