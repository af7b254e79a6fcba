//! Configuration never goes back, whatever peers send and in whatever order.

mod fakes;

use fakes::{handover::Handover, store::Store};
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

/// Every state that a few keys went through, by revision.
struct History {
    store: Store,
    states: Vec<Vec<PlatformEntry>>,
}

impl History {
    /// Writes and deletes of a few accounts.
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

fn receive(site: &mut Handover, message: ConfigMessage) {
    let received = PeerInput::Received {
        from: "peer".into(),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        message: Message::Config(message),
    };
    site.step(0, Input::Peer(received));
}

fn held(site: &Handover) -> Vec<PlatformEntry> {
    let view = site.cores[0].config().view();
    view.entries().cloned().collect()
}

fn revision(site: &Handover) -> usize {
    site.cores[0].config().view().revision().0 as usize
}

/// One message of a peer: a snapshot, or the changes of a stretch.
#[derive(Clone, Debug)]
enum Told {
    Snapshot(usize),
    Changes(usize, usize),
}

fn told() -> impl Strategy<Value = Told> {
    prop_oneof![
        (0..40_usize).prop_map(Told::Snapshot),
        (0..40_usize, 0..40_usize).prop_map(|(a, b)| Told::Changes(a.min(b), a.max(b))),
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
fn any_messages_leave_a_state_that_was_in_force_and_never_an_older_one() {
    let writes = prop::collection::vec((0..3_u8, prop::bool::weighted(0.3)), 1..40);
    let messages = prop::collection::vec(told(), 1..40);
    let checked = runner().run(&(writes, messages), |(writes, messages)| {
        let history = History::new(&writes);
        let mut site = Handover::new(&["a"], &Options::default());
        for told in messages {
            let before = revision(&site);
            receive(
                &mut site,
                match told {
                    Told::Snapshot(at) => history.snapshot(at.min(history.last())),
                    Told::Changes(after, at) => {
                        history.changes(after.min(history.last()), at.min(history.last()))
                    }
                },
            );
            let now = revision(&site);
            prop_assert!(now >= before);
            prop_assert_eq!(&held(&site), &history.states[now]);
        }
        Ok(())
    });
    checked.unwrap();
}

/// What is held after a peer that lags sends old records.
fn told_by_lagging_peer(options: &Options, message: fn(&History) -> ConfigMessage) -> bool {
    let history = History::new(&[(0, false), (1, false), (0, false), (1, true)]);
    let mut site = Handover::new(&["a"], options);
    site.start(0);
    receive(&mut site, history.snapshot(history.last()));
    receive(&mut site, message(&history));
    held(&site) == history.states[history.last()]
}

#[test]
fn lagging_peers_change_nothing() {
    let options = Options::default();
    assert!(told_by_lagging_peer(&options, |h| h.snapshot(3)));
    assert!(told_by_lagging_peer(&options, |h| h.changes(0, 3)));
}

#[test]
fn without_revision_order_lagging_peers_revert_records() {
    let options = Options {
        without: vec![Mechanism::RevisionOrder],
        ..Options::default()
    };
    assert!(!told_by_lagging_peer(&options, |h| h.snapshot(3)));
    assert!(!told_by_lagging_peer(&options, |h| h.changes(0, 3)));
}

#[test]
fn an_own_delete_is_not_undone_by_the_write_before_it() {
    let history = History::new(&[(1, false), (0, false)]);
    let mut site = Handover::new(&["a"], &Options::default());
    for entry in &history.states[3] {
        site.kv.store.put(&entry.key, &entry.value, None, None);
    }
    receive(&mut site, history.changes(0, 2));
    site.ask(0, 7, OperatorRequest::DeleteAccount("a0".into()));
    site.run(Span::from_secs(1));
    receive(&mut site, history.changes(2, 3));
    let view = site.cores[0].config().view();
    assert_eq!(view.revision(), Revision(3));
    assert_eq!(view.account(&"a0".into()), None);
    assert!(view.account(&"a1".into()).is_some());
}
