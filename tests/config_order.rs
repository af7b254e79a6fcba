//! Configuration never returns to an older state, whatever other daemons send in whatever order.

mod fakes;

use fakes::{cluster::TestCluster, store::Store};
use hickoryledge::core::{
    config::{ConfigMessage, Key},
    input::{Input, OperatorRequest, PeerInput, PlatformEntry},
    keys::{Incarnation, Revision},
    message::Message,
    options::{Mechanism, Options},
    time::Span,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::net::SocketAddr;

/// History of a few keys, with the state at each revision.
struct History {
    store: Store,
    states: Vec<Vec<PlatformEntry>>,
}

impl History {
    /// Performs writes and deletes of a few accounts.
    fn new(writes: &[(u8, bool)]) -> Self {
        let mut store = Store::default();
        let mut states = vec![Vec::new(); store.revision().0 as usize + 1];
        for (account, deleted) in writes {
            let key = Key::Account(format!("a{account}").into()).path();
            let before = store.revision();
            let value = format!(r#"{{"name":"a{account}","weight":{}}}"#, before.0 + 1);
            let _ = match deleted {
                true => store.delete(&key, None),
                false => store.put(&key, &value, None, None),
            };
            if store.revision() > before {
                states.push(store.list(""));
            }
        }
        Self { store, states }
    }

    fn last(&self) -> usize {
        self.states.len() - 1
    }

    fn snapshot(&self, revision: usize) -> ConfigMessage {
        let complete = Revision(revision as i64);
        ConfigMessage::Snapshot {
            complete,
            changed: complete,
            entries: self.states[revision].clone(),
        }
    }

    fn changes(&self, after: usize, complete: usize) -> ConfigMessage {
        let (after, complete) = (Revision(after as i64), Revision(complete as i64));
        let mut events = self.store.since("", Revision(1)).expect("the history");
        events.retain(|event| {
            let (_, revision) = fakes::store::key_and_revision(event);
            revision > after && revision <= complete
        });
        ConfigMessage::Changes {
            after,
            complete,
            events,
        }
    }
}

fn receive(cluster: &mut TestCluster, message: ConfigMessage) {
    let received = PeerInput::Received {
        from: "peer".into(),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        message: Message::Config(message),
    };
    cluster.step(0, Input::Peer(received));
}

fn entries(cluster: &TestCluster) -> Vec<PlatformEntry> {
    let view = cluster.cores[0].config().view();
    view.entries().cloned().collect()
}

fn revision(cluster: &TestCluster) -> usize {
    cluster.cores[0].config().view().revision().0 as usize
}

/// Message from another daemon: a snapshot, or the changes between two revisions.
#[derive(Clone, Debug)]
enum PeerMessage {
    Snapshot(usize),
    Changes(usize, usize),
}

fn peer_message() -> impl Strategy<Value = PeerMessage> {
    prop_oneof![
        (0..40_usize).prop_map(PeerMessage::Snapshot),
        (0..40_usize, 0..40_usize).prop_map(|(a, b)| PeerMessage::Changes(a.min(b), a.max(b))),
    ]
}

fn runner() -> TestRunner {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]))
}

#[test]
fn messages_in_any_order_never_bring_back_older_state() {
    let writes = prop::collection::vec((0..3_u8, prop::bool::weighted(0.3)), 1..40);
    let messages = prop::collection::vec(peer_message(), 1..40);
    let checked = runner().run(&(writes, messages), |(writes, messages)| {
        let history = History::new(&writes);
        let mut cluster = TestCluster::new(&["a"], &Options::default());
        for message in messages {
            let before = revision(&cluster);
            receive(
                &mut cluster,
                match message {
                    PeerMessage::Snapshot(at) => history.snapshot(at.min(history.last())),
                    PeerMessage::Changes(after, at) => {
                        history.changes(after.min(history.last()), at.min(history.last()))
                    }
                },
            );
            let now = revision(&cluster);
            prop_assert!(now >= before);
            prop_assert_eq!(&entries(&cluster), &history.states[now]);
        }
        Ok(())
    });
    checked.unwrap();
}

/// Returns true if an old message from a lagging daemon leaves the latest state in force.
fn keeps_latest_state(options: &Options, message: fn(&History) -> ConfigMessage) -> bool {
    let history = History::new(&[(0, false), (1, false), (0, false), (1, true)]);
    let mut cluster = TestCluster::new(&["a"], options);
    cluster.start(0);
    receive(&mut cluster, history.snapshot(history.last()));
    receive(&mut cluster, message(&history));
    entries(&cluster) == history.states[history.last()]
}

#[test]
fn messages_from_lagging_daemon_change_nothing() {
    let options = Options::default();
    assert!(keeps_latest_state(&options, |h| h.snapshot(3)));
    assert!(keeps_latest_state(&options, |h| h.changes(0, 3)));
}

#[test]
fn without_revision_order_lagging_daemon_reverts_records() {
    let options = Options {
        without: vec![Mechanism::RevisionOrder],
        ..Options::default()
    };
    assert!(!keeps_latest_state(&options, |h| h.snapshot(3)));
    assert!(!keeps_latest_state(&options, |h| h.changes(0, 3)));
}

/// The result of a daemon's own write is applied before the changes that precede it arrive.
#[test]
fn earlier_write_does_not_undo_own_delete() {
    let history = History::new(&[(1, false), (0, false)]);
    let mut cluster = TestCluster::new(&["a"], &Options::default());
    for entry in &history.states[3] {
        cluster.kv.store.put(&entry.key, &entry.value, None, None);
    }
    receive(&mut cluster, history.changes(0, 2));
    cluster.submit(0, 7, OperatorRequest::DeleteAccount("a0".into()));
    cluster.run(Span::from_secs(1));
    receive(&mut cluster, history.changes(2, 3));
    let view = cluster.cores[0].config().view();
    assert_eq!(view.revision(), Revision(3));
    assert_eq!(view.account(&"a0".into()), None);
    assert!(view.account(&"a1".into()).is_some());
}
