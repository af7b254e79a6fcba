//! Configuration of a few daemons in virtual time over a fake platform.

mod fakes;

use fakes::{cluster::TestCluster, kv::Fault, store::Store};
use hickoryledge::core::{
    config::{Key, record::Account},
    input::OperatorRequest,
    keys::Revision,
    options::{Mechanism, Options},
    output::OperatorAnswer,
    time::Span,
};

const SECOND: Span = Span::from_secs(1);

fn start_cluster(halls: &[&str], options: Options) -> TestCluster {
    let mut cluster = TestCluster::new(halls, &options);
    for daemon in 0..halls.len() {
        cluster.start(daemon);
    }
    cluster.run(SECOND);
    cluster
}

fn account(name: &str, weight: u32) -> OperatorRequest {
    OperatorRequest::PutAccount(Account {
        name: name.into(),
        weight,
        ..Account::default()
    })
}

fn weight(cluster: &TestCluster, daemon: usize, name: &str) -> Option<u32> {
    let view = cluster.cores[daemon].config().view();
    view.account(&name.into()).map(|account| account.weight)
}

fn is_in_force(cluster: &TestCluster, name: &str, value: u32) -> bool {
    (0..cluster.cores.len()).all(|daemon| weight(cluster, daemon, name) == Some(value))
}

#[test]
fn accepted_change_is_in_force_on_all_daemons() {
    let mut cluster = start_cluster(&["a", "a", "b"], Options::default());
    let command = cluster.submit(0, 7, account("clerks", 3));
    assert!(cluster.run_until(SECOND, |c| is_in_force(c, "clerks", 3)));
    let stored = cluster.kv.store.get(&Key::Account("clerks".into()).path());
    let revision = stored.expect("the record is stored").revision;
    assert_eq!(
        cluster.answers.get(&command),
        Some(&OperatorAnswer::Accepted { revision })
    );
}

#[test]
fn empty_service_is_listed_once() {
    let mut cluster = TestCluster::new(&["a"], &Options::default());
    cluster.kv.store = Store::empty_at(Revision(0));
    cluster.kv.fault = Fault::LosesAnswers;
    cluster.start(0);
    cluster.run(SECOND.times(2));
    assert_eq!(cluster.kv.calls["list"], 1);
    assert_eq!(cluster.kv.watchers(), [0]);
}

/// A daemon that is cut off during the changes can't resume its watch once they are compacted.
#[test]
fn daemon_catches_up_after_compaction() {
    let mut cluster = start_cluster(&["a", "a"], Options::default());
    cluster.submit(0, 7, account("clerks", 3));
    assert!(cluster.run_until(SECOND, |c| is_in_force(c, "clerks", 3)));
    cluster.cut_off = vec![1];
    cluster.kv.fault = Fault::Refuses;
    cluster.run(SECOND);
    cluster.kv.fault = Fault::None;
    cluster.run(SECOND.times(5));
    cluster.submit(0, 8, account("clerks", 4));
    cluster.submit(0, 9, account("drivers", 1));
    assert!(cluster.run_until(SECOND, |c| weight(c, 0, "drivers") == Some(1)));
    cluster.kv.store.compact();
    cluster.cut_off.clear();
    assert!(cluster.run_until(SECOND.times(6), |c| is_in_force(c, "clerks", 4)));
    assert!(is_in_force(&cluster, "drivers", 1));
}

/// Returns the answer to a write whose platform answer was lost, and the weight then in force.
fn write_with_lost_answer(options: Options) -> (OperatorAnswer, Option<u32>) {
    let mut cluster = start_cluster(&["a"], options);
    cluster.kv.answers_to_lose = 1;
    let command = cluster.submit(0, 7, account("clerks", 3));
    cluster.run(SECOND.times(10));
    let answer = cluster.answers.remove(&command).expect("an answer");
    (answer, weight(&cluster, 0, "clerks"))
}

#[test]
fn write_with_lost_answer_is_read_back() {
    let (answer, stored) = write_with_lost_answer(Options::default());
    assert!(
        matches!(answer, OperatorAnswer::Accepted { .. }),
        "{answer:?}"
    );
    assert_eq!(stored, Some(3));
}

#[test]
fn without_read_back_effective_write_is_reported_as_conflict() {
    let without = vec![Mechanism::ReadBack];
    let (answer, stored) = write_with_lost_answer(Options {
        without,
        ..Options::default()
    });
    assert!(
        matches!(answer, OperatorAnswer::Conflict { .. }),
        "{answer:?}"
    );
    assert_eq!(stored, Some(3));
}

#[test]
fn operation_repeated_on_two_daemons_takes_effect_once() {
    let mut cluster = start_cluster(&["a", "b"], Options::default());
    let before = cluster.kv.store.revision();
    cluster.submit(0, 7, account("clerks", 3));
    cluster.submit(1, 7, account("clerks", 3));
    cluster.run(SECOND);
    cluster.submit(1, 8, account("clerks", 5));
    cluster.run(SECOND);
    let repeated = cluster.submit(0, 7, account("clerks", 3));
    cluster.run(SECOND);
    assert!(
        is_in_force(&cluster, "clerks", 5),
        "a later change was reverted"
    );
    assert!(matches!(
        cluster.answers.get(&repeated),
        Some(OperatorAnswer::Accepted { .. })
    ));
    assert_eq!(cluster.kv.store.revision().0, before.0 + 2);
}

#[test]
fn concurrent_operations_have_one_winner() {
    let mut cluster = start_cluster(&["a", "b"], Options::default());
    let first = cluster.submit(0, 7, account("clerks", 3));
    let second = cluster.submit(1, 8, account("clerks", 5));
    cluster.run(SECOND);
    let revision = cluster.kv.store.revision();
    let mut answers = [first, second].map(|command| cluster.answers[&command].clone());
    answers.sort_by_key(|answer| matches!(answer, OperatorAnswer::Conflict { .. }));
    assert_eq!(answers[0], OperatorAnswer::Accepted { revision });
    assert_eq!(answers[1], OperatorAnswer::Conflict { revision });
}

/// The operations of a deleted account are kept, so a repeated delete is recognized.
#[test]
fn repeated_delete_keeps_recreated_account() {
    let mut cluster = start_cluster(&["a", "b"], Options::default());
    cluster.submit(0, 7, account("clerks", 3));
    cluster.run(SECOND);
    let delete = || OperatorRequest::DeleteAccount("clerks".into());
    cluster.submit(0, 8, delete());
    assert!(cluster.run_until(SECOND, |c| weight(c, 1, "clerks").is_none()));
    cluster.submit(0, 9, account("clerks", 5));
    cluster.run(SECOND);
    let repeated = cluster.submit(1, 8, delete());
    cluster.run(SECOND);
    assert!(matches!(
        cluster.answers.get(&repeated),
        Some(OperatorAnswer::Accepted { .. })
    ));
    assert!(is_in_force(&cluster, "clerks", 5));
}
