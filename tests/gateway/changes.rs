//! Changes kept for subscribers, and the choice of their source.

use hickoryledge::{
    core::{
        input::{PlatformEntry, WatchEvent},
        keys::{DaemonName, HallName, Revision},
        time::{Span, Time},
    },
    gateway::{
        changes::{
            history::History,
            packed::Packed,
            source::{self, AvoidedPeers, Source},
        },
        peers::{DaemonEntry, Peers},
    },
};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Returns a write of a key at a revision.
fn put(revision: i64) -> WatchEvent {
    WatchEvent::Put(PlatformEntry {
        key: format!("key-{revision}"),
        value: "{}".to_owned(),
        revision: Revision(revision),
        lease: None,
    })
}

/// Returns an entry that was last written at a revision.
fn entry(key: &str, revision: i64) -> PlatformEntry {
    PlatformEntry {
        key: key.to_owned(),
        value: "{}".to_owned(),
        revision: Revision(revision),
        lease: None,
    }
}

/// Returns daemons of one hall; the first `large` of them have more processor time.
fn hall_of(daemons: usize, large: usize) -> Peers {
    let mut peers = Peers::default();
    for index in 0..daemons {
        let entry = DaemonEntry {
            caller: "10.0.0.1:80".parse().expect("an address"),
            hall: HallName::from("hall"),
            peer: Some(format!("10.0.0.1:{}", 7_000 + index).parse().expect("ok")),
            relay: None,
            processor_percent: if index < large { 50 } else { 12 },
        };
        peers.put(name(index), entry);
    }
    peers
}

fn name(index: usize) -> DaemonName {
    // The names of the large machines come last in their order.
    DaemonName::from(format!("d{:03}", 999 - index))
}

fn choose(own: usize, peers: &Peers, avoided: &AvoidedPeers, now: Time) -> Source {
    source::choose(&name(own), &HallName::from("hall"), peers, avoided, now)
}

/// Returns the number of daemons that follow each source.
fn count_followers(daemons: usize, peers: &Peers) -> BTreeMap<String, usize> {
    let mut followers = BTreeMap::new();
    for own in 0..daemons {
        let source = match choose(own, peers, &AvoidedPeers::default(), Time(0)) {
            Source::Store => "store".to_owned(),
            Source::Peer { name, .. } => name.as_str().to_owned(),
        };
        *followers.entry(source).or_default() += 1;
    }
    followers
}

/// Calls to the store must not grow with the daemons of a hall.
#[test]
fn two_daemons_of_a_large_hall_watch_the_store() {
    for daemons in [4, 39, 340] {
        let followers = count_followers(daemons, &hall_of(daemons, 2));
        assert_eq!(followers["store"], 2, "of {daemons} daemons");
    }
}

/// In a hall of a few daemons a watcher would save few calls and be one more thing to fail.
#[test]
fn all_daemons_of_a_small_hall_watch_the_store() {
    let followers = count_followers(3, &hall_of(3, 0));
    assert_eq!(followers, BTreeMap::from([("store".to_owned(), 3)]));
}

/// Machines with little processor time must not serve the others.
#[test]
fn watchers_are_those_with_most_processor_time() {
    let followers = count_followers(39, &hall_of(39, 2));
    let sources: Vec<&str> = followers.keys().map(String::as_str).collect();
    assert_eq!(sources, [name(1).as_str(), name(0).as_str(), "store"]);
}

/// A daemon that is cut off asks these for their contact first.
#[test]
fn watchers_are_found_in_large_and_small_halls() {
    let mut peers = hall_of(10, 2);
    let (_, entry) = peers.daemons().next().expect("a daemon");
    let small = DaemonEntry {
        hall: HallName::from("small"),
        peer: Some("10.0.0.2:7000".parse().expect("an address")),
        ..entry.clone()
    };
    peers.put(DaemonName::from("s1"), small);
    let found: Vec<String> = source::watcher_addresses(&peers)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(found, ["10.0.0.1:7001", "10.0.0.1:7000", "10.0.0.2:7000"]);
}

#[test]
fn subscribers_are_spread_over_the_watchers() {
    let followers = count_followers(102, &hall_of(102, 2));
    let fewest = followers.values().filter(|count| **count > 2).min();
    assert!(fewest >= Some(&30), "{followers:?}");
}

/// A subscriber whose peer fails follows the other watcher, and the store if both fail.
#[test]
fn failed_peers_are_avoided_for_a_while() {
    let peers = hall_of(10, 2);
    let mut avoided = AvoidedPeers::default();
    let mut followed = Vec::new();
    for _ in 0..2 {
        let Source::Peer { name, .. } = choose(9, &peers, &avoided, Time(0)) else {
            panic!("a watcher is left");
        };
        avoided.insert(name.clone(), Time(0));
        followed.push(name);
    }
    followed.sort();
    assert_eq!(followed, [name(1), name(0)]);
    assert_eq!(choose(9, &peers, &avoided, Time(0)), Source::Store);
    let later = Time(0) + Span::from_secs(5);
    assert_ne!(choose(9, &peers, &avoided, later), Source::Store);
}

/// A daemon that has just started would otherwise follow a peer that is about to follow it.
#[test]
fn daemon_without_own_entry_watches_the_store() {
    let peers = hall_of(10, 2);
    let source = choose(11, &peers, &AvoidedPeers::default(), Time(0));
    assert_eq!(source, Source::Store);
}

/// A daemon of an earlier version has no address for subscribers.
#[test]
fn watcher_without_address_is_not_followed() {
    let mut peers = hall_of(10, 2);
    for index in 0..2 {
        let entry = DaemonEntry {
            peer: None,
            relay: None,
            ..peers.daemons().next().expect("a daemon").1.clone()
        };
        peers.put(
            name(index),
            DaemonEntry {
                processor_percent: 50,
                ..entry
            },
        );
    }
    assert_eq!(
        choose(9, &peers, &AvoidedPeers::default(), Time(0)),
        Source::Store
    );
}

#[test]
fn returns_changes_after_a_revision() {
    let mut history = History::default();
    history.reset(Revision(10), &[]);
    history.extend(Revision(14), &[put(12), put(13)]);
    assert_eq!(history.since(Revision(12)), Some(vec![put(13)]));
    assert_eq!(history.since(Revision(20)), Some(vec![]));
    assert_eq!(history.end(), Revision(14));
}

/// Changes before the list were not seen: whoever needs them must ask the store.
#[test]
fn refuses_changes_from_before_the_list() {
    let mut history = History::default();
    history.reset(Revision(10), &[]);
    history.extend(Revision(12), &[put(12)]);
    assert_eq!(history.since(Revision(9)), None);
}

/// The store forgets its history; a daemon that is cut off from it follows a peer, and can't list.
#[test]
fn list_after_a_compaction_keeps_followers() {
    let mut history = History::default();
    history.reset(Revision(10), &[entry("a", 3), entry("b", 4), entry("c", 5)]);
    let listed = [
        entry("a", 3),
        entry("b", 17),
        entry("d", 15),
        entry("e", 21),
    ];
    history.extend_to_list(Revision(20), &listed);
    let deleted = WatchEvent::Deleted {
        revision: Revision(20),
        key: "c".to_owned(),
    };
    let expected = vec![
        WatchEvent::Put(entry("d", 15)),
        WatchEvent::Put(entry("b", 17)),
        deleted,
    ];
    assert_eq!(history.since(Revision(10)), Some(expected));
    assert_eq!(history.end(), Revision(20));
}

#[test]
fn forgets_oldest_changes() {
    let mut history = History::default();
    let events: Vec<WatchEvent> = (1..=10_000).map(put).collect();
    history.extend(Revision(10_000), &events);
    assert_eq!(history.since(Revision(1)), None);
    let kept = history.since(Revision(9_000)).expect("kept");
    assert_eq!(kept.len(), 1_000);
}

/// Applies changes to revisions by key.
fn apply(state: &mut BTreeMap<String, i64>, events: &[WatchEvent]) {
    for event in events {
        match event {
            WatchEvent::Put(entry) => state.insert(entry.key.clone(), entry.revision.0),
            WatchEvent::Deleted { key, .. } => state.remove(key),
        };
    }
}

proptest! {
    /// Whatever was missed, a follower has what the lists have.
    #[test]
    fn follower_of_lists_has_what_they_have(
        lists in prop::collection::vec(prop::collection::btree_map(0..6_u8, 1..9_i64, 0..6), 2..12),
    ) {
        let mut history = History::default();
        let mut state = BTreeMap::new();
        for (index, list) in lists.iter().enumerate() {
            let end = 10 * (index as i64 + 1);
            let entries: Vec<PlatformEntry> = list
                .iter()
                .map(|(key, offset)| entry(&key.to_string(), end - 10 + offset))
                .collect();
            if index == 0 {
                history.reset(Revision(end), &entries);
                let puts: Vec<WatchEvent> = entries.into_iter().map(WatchEvent::Put).collect();
                apply(&mut state, &puts);
                continue;
            }
            history.extend_to_list(Revision(end), &entries);
            apply(&mut state, &history.since(Revision(end - 10)).expect("kept"));
            let listed: BTreeMap<String, i64> = entries
                .iter()
                .map(|entry| (entry.key.clone(), entry.revision.0))
                .collect();
            prop_assert_eq!(&state, &listed);
        }
    }

    /// Whatever the batches, and however often they overlap, a subscriber gets each change once.
    #[test]
    fn subscriber_gets_each_change_once(
        batches in prop::collection::vec((0..6_i64, 0..4_i64), 1..60),
        reads in prop::collection::vec(any::<bool>(), 60),
    ) {
        let mut history = History::default();
        let mut end = 0;
        let mut after = Revision(0);
        let mut received = Vec::new();
        for ((new, repeated), read) in batches.into_iter().zip(reads) {
            let from = (end - repeated).max(0);
            let events: Vec<WatchEvent> = (from + 1..=end + new).map(put).collect();
            end += new;
            history.extend(Revision(end), &events);
            if read {
                received.extend(history.since(after).expect("kept"));
                after = history.end();
            }
        }
        received.extend(history.since(after).expect("kept"));
        prop_assert_eq!(received, (1..=end).map(put).collect::<Vec<_>>());
    }
}

/// Guards against a process that is killed for its memory: each of many long versions of the
/// configuration was kept. What is kept must also fit into one message to a subscriber.
#[test]
fn long_changes_are_kept_up_to_a_size() {
    const VALUE_BYTES: usize = 700 << 10;
    const MESSAGE_BYTES: usize = 8 << 20;
    let mut history = History::default();
    history.reset(Revision(1), &[]);
    let put = |revision| {
        WatchEvent::Put(PlatformEntry {
            key: "op/config".to_owned(),
            value: "x".repeat(VALUE_BYTES),
            revision: Revision(revision),
            lease: None,
        })
    };
    for revision in 2..=60 {
        history.extend(Revision(revision), &[put(revision)]);
        let kept = (1..revision).filter_map(|after| history.since(Revision(after)));
        let longest = kept.map(|events| events.len() * VALUE_BYTES).max();
        assert!(longest.unwrap_or_default() < MESSAGE_BYTES, "{longest:?}");
    }
    assert_eq!(history.since(Revision(1)), None, "the oldest changes");
    let latest = history.since(Revision(57)).expect("the latest are kept");
    assert_eq!(latest, [put(58), put(59), put(60)]);
}

/// Returns the keys of all pages of at most `max_bytes`.
fn listed_keys(history: &History, max_bytes: usize) -> Vec<String> {
    let mut keys: Vec<String> = Vec::new();
    loop {
        let page = history.page(keys.last().map(String::as_str), max_bytes);
        if page.is_empty() {
            return keys;
        }
        keys.extend(page.into_iter().map(|entry| entry.key));
    }
}

/// A daemon that lists from a peer must get each entry that exists, whatever the size of a page.
#[test]
fn pages_hold_each_entry_once() {
    let mut history = History::default();
    history.reset(Revision(3), &["c", "a", "b"].map(|key| entry(key, 2)));
    history.extend(
        Revision(6),
        &[
            WatchEvent::Put(entry("d", 4)),
            WatchEvent::Deleted {
                key: "b".to_owned(),
                revision: Revision(5),
            },
        ],
    );
    for max_bytes in [0, 3, 6, 100] {
        assert_eq!(listed_keys(&history, max_bytes), ["a", "c", "d"]);
    }
    let last = history.page(Some("c"), 100);
    assert_eq!(last, [entry("d", 4)]);
}

/// Hundreds of daemons that start at once must not all list from the store; few may, and the
/// watchers themselves have no other source.
#[test]
fn daemons_of_a_large_fleet_list_from_watchers() {
    let hall = HallName::from("hall");
    let sources = |own: usize, peers: &Peers| source::list_sources(&name(own), &hall, peers);
    let few = hall_of(63, 4);
    assert!((0..63).all(|own| sources(own, &few).is_empty()));
    let many = hall_of(64, 4);
    let is_watcher = |own: &usize| sources(*own, &many).is_empty();
    let watchers: Vec<usize> = (0..64).filter(is_watcher).collect();
    assert_eq!(watchers.len(), 2);
    assert!(watchers.iter().all(|own| *own < 4));
    let mut first: Vec<_> = (4..64).map(|own| sources(own, &many)[0]).collect();
    first.sort();
    first.dedup();
    assert_eq!(first.len(), 2, "all start with the same watcher");
}

/// Entries must arrive as they were, and malformed ones must neither panic nor take much memory.
#[test]
fn packed_entries_are_unpacked_or_refused() {
    let entries: Vec<PlatformEntry> = (0..500).map(|index| entry(&index.to_string(), 7)).collect();
    let packed = Packed::new(&entries).expect("packed");
    assert_eq!(packed.unpack().expect("unpacked"), entries);
    let bytes = postcard::to_stdvec(&packed).expect("encoded");
    let decode = |bytes: &[u8]| postcard::from_bytes::<Packed>(bytes).map(|packed| packed.unpack());
    for length in 0..bytes.len() {
        let is_refused = |unpacked: Result<Vec<_>, _>| unpacked.is_err();
        assert!(decode(&bytes[..length]).map_or(true, is_refused));
    }
    let claims_four_gigabytes = [4, 0xff, 0xff, 0xff, 0xff];
    assert!(decode(&claims_four_gigabytes).expect("decoded").is_err());
}
