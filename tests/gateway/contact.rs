//! Contact of a daemon and of its peers with the store.

use hickoryledge::{
    core::{
        keys::Era,
        time::{Span, Time},
    },
    gateway::contact::{ContactReport, StoreContact},
};
use std::net::SocketAddr;

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Returns the report of a peer that the store answered just now, and for some time before.
fn in_contact(length_ms: u64) -> ContactReport {
    ContactReport {
        age: Span::ZERO,
        length: Span::from_millis(length_ms),
        era: None,
        is_watching: true,
    }
}

/// Answers the renewals of a lease from one time to another.
fn renew(contact: &mut StoreContact, from_ms: u64, until_ms: u64) {
    for millis in (from_ms..=until_ms).step_by(1_000) {
        contact.answered(None, at(millis));
    }
}

#[test]
fn peer_is_followed_only_while_the_store_does_not_answer() {
    let mut contact = StoreContact::default();
    renew(&mut contact, 0, 10_000);
    contact.record(peer(1), in_contact(9_000), at(10_500));
    assert_eq!(contact.choose_peer(at(10_500)), None);
    contact.record(peer(1), in_contact(9_000), at(12_000));
    assert_eq!(contact.choose_peer(at(12_000)), Some(peer(1)));
    assert!(contact.answered(None, at(12_500)));
    assert_eq!(contact.choose_peer(at(12_500)), None);
}

/// In an outage no daemon has contact, and each finds the store by itself.
#[test]
fn peer_without_contact_is_not_followed() {
    let mut contact = StoreContact::default();
    let stale = ContactReport {
        age: Span::from_millis(1_600),
        length: Span::from_secs(60),
        era: None,
        is_watching: true,
    };
    assert!(!contact.record(peer(1), stale, at(5_000)));
    assert_eq!(contact.choose_peer(at(5_000)), None);
    assert!(contact.record(peer(2), in_contact(0), at(5_000)));
    assert_eq!(contact.choose_peer(at(5_000)), Some(peer(2)));
    assert_eq!(contact.choose_peer(at(7_000)), None, "an old report");
}

/// Each change of the peer costs a connection for each prefix.
#[test]
fn followed_peer_is_kept() {
    let mut contact = StoreContact::default();
    contact.record(peer(2), in_contact(1_000), at(100));
    assert_eq!(contact.choose_peer(at(100)), Some(peer(2)));
    contact.record(peer(1), in_contact(9_000), at(200));
    contact.record(peer(3), in_contact(9_000), at(300));
    assert_eq!(contact.choose_peer(at(300)), Some(peer(2)));
    contact.peer_failed(peer(2), at(300));
    assert_eq!(contact.choose_peer(at(300)), Some(peer(3)));
}

/// Peers were in contact while this daemon was cut off: what it missed is no outage.
#[test]
fn own_cut_is_told_from_an_outage_by_peers() {
    let mut contact = StoreContact::default();
    renew(&mut contact, 0, 10_000);
    contact.answered(None, at(20_000));
    contact.changes_regained(at(10_000));
    assert_eq!(contact.outage_end(at(20_000)), Some(at(20_000)));
    contact.record(peer(1), in_contact(9_990), at(20_005));
    assert_eq!(contact.outage_end(at(20_005)), Some(at(10_015)));
    contact.record(peer(2), in_contact(10_010), at(20_005));
    assert_eq!(contact.outage_end(at(20_005)), None);
}

/// After an outage the daemon that finds the store first knows best when it was back.
#[test]
fn outage_ends_when_the_first_daemon_finds_the_store() {
    let mut contact = StoreContact::default();
    renew(&mut contact, 0, 10_000);
    contact.answered(None, at(20_000));
    contact.changes_regained(at(10_000));
    contact.record(peer(1), in_contact(700), at(20_010));
    contact.record(peer(2), in_contact(200), at(20_010));
    assert_eq!(contact.outage_end(at(20_010)), Some(at(19_310)));
}

/// A watch that is cut while the lease is renewed is no outage either.
#[test]
fn broken_watch_of_a_store_in_contact_is_no_outage() {
    let mut contact = StoreContact::default();
    renew(&mut contact, 0, 10_000);
    contact.changes_regained(at(9_500));
    assert_eq!(contact.outage_end(at(10_300)), None);
}

/// The store may have come back from an older copy without a gap: entries are missing at all.
#[test]
fn older_copy_ends_a_contact() {
    let mut contact = StoreContact::default();
    contact.answered(Some(Era(1)), at(9_000));
    contact.answered(Some(Era(2)), at(10_000));
    contact.changes_regained(at(9_500));
    let mut report = in_contact(60_000);
    report.era = Some(Era(1));
    contact.record(peer(1), report, at(10_010));
    assert_eq!(contact.outage_end(at(10_010)), Some(at(10_000)));
}

// A daemon followed the peer that had just started again and again, although another one had all
// changes.
#[test]
fn peer_that_lacks_the_changes_is_not_chosen_again_at_once() {
    let mut contact = StoreContact::default();
    contact.record(peer(1), in_contact(9_000), at(100));
    contact.record(peer(2), in_contact(100), at(200));
    assert_eq!(contact.choose_peer(at(200)), Some(peer(2)));
    contact.peer_failed(peer(2), at(210));
    contact.record(peer(2), in_contact(400), at(500));
    contact.record(peer(1), in_contact(9_300), at(500));
    assert_eq!(contact.choose_peer(at(500)), Some(peer(1)));
    contact.record(peer(1), in_contact(11_000), at(2_300));
    contact.record(peer(2), in_contact(2_200), at(2_300));
    assert_eq!(contact.choose_peer(at(2_300)), Some(peer(1)));
}

// A watcher of a hall that was cut off followed its own subscriber. Each took the other's changes
// for current, and a configuration came into force too late.
#[test]
fn peer_that_follows_another_is_not_followed() {
    let mut contact = StoreContact::default();
    let subscriber = ContactReport {
        is_watching: false,
        ..in_contact(9_000)
    };
    assert!(!contact.record(peer(1), subscriber, at(100)));
    assert_eq!(contact.choose_peer(at(100)), None);
    contact.record(peer(2), in_contact(9_000), at(200));
    assert_eq!(contact.choose_peer(at(200)), Some(peer(2)));
    // It has become a subscriber, perhaps of this daemon.
    contact.record(peer(2), subscriber, at(300));
    assert_eq!(contact.choose_peer(at(300)), None);
}
