//! Configuration: decisions of a few daemons over a fake platform.

mod fakes;

use fakes::{handover::Handover, kv::Fault, store::Store};
use hickoryledge::core::{
    config::{Key, record::Account},
    input::OperatorRequest,
    keys::Revision,
    options::{Mechanism, Options},
    output::OperatorAnswer,
    time::Span,
};

const SECOND: Span = Span::from_secs(1);

fn started(halls: &[&str], options: Options) -> Handover {
    let mut site = Handover::new(halls, &options);
    for daemon in 0..halls.len() {
        site.start(daemon);
    }
    site.run(SECOND);
    site
}

fn account(name: &str, weight: u32) -> OperatorRequest {
    OperatorRequest::PutAccount(Account {
        name: name.into(),
        weight,
        ..Account::default()
    })
}

fn weight(site: &Handover, daemon: usize, name: &str) -> Option<u32> {
    let view = site.cores[daemon].config().view();
    view.account(&name.into()).map(|account| account.weight)
}

fn in_force(site: &Handover, name: &str, value: u32) -> bool {
    (0..site.cores.len()).all(|daemon| weight(site, daemon, name) == Some(value))
}

#[test]
fn accepted_is_in_force_everywhere() {
    let mut site = started(&["a", "a", "b"], Options::default());
    let command = site.ask(0, 7, account("clerks", 3));
    assert!(site.run_until(SECOND, |s| in_force(s, "clerks", 3)));
    let held = site.kv.store.get(&Key::Account("clerks".into()).path());
    let revision = held.expect("the record is durable").revision;
    assert_eq!(
        site.answers.get(&command),
        Some(&OperatorAnswer::Accepted { revision })
    );
}

#[test]
fn an_empty_service_is_listed_once() {
    let mut site = Handover::new(&["a"], &Options::default());
    site.kv.store = Store::empty_at(Revision(0));
    site.kv.fault = Fault::LosesAnswers;
    site.start(0);
    site.run(SECOND.times(2));
    assert_eq!(site.kv.calls["list"], 1);
    assert_eq!(site.kv.watching(), [0]);
}

#[test]
fn compaction_and_gaps_lose_no_change() {
    let mut site = started(&["a", "a"], Options::default());
    site.ask(0, 7, account("clerks", 3));
    assert!(site.run_until(SECOND, |s| in_force(s, "clerks", 3)));
    site.cut = vec![1];
    site.kv.fault = Fault::Refuses;
    site.run(SECOND);
    site.kv.fault = Fault::NoFault;
    site.run(SECOND.times(5));
    site.ask(0, 8, account("clerks", 4));
    site.ask(0, 9, account("drivers", 1));
    assert!(site.run_until(SECOND, |s| weight(s, 0, "drivers") == Some(1)));
    site.kv.store.compact();
    site.cut.clear();
    assert!(site.run_until(SECOND.times(6), |s| in_force(s, "clerks", 4)));
    assert!(in_force(&site, "drivers", 1));
}

/// An operator's write whose answer is lost; what the operator is told.
fn write_with_lost_answer(options: Options) -> (OperatorAnswer, Option<u32>) {
    let mut site = started(&["a"], options);
    site.kv.answers_to_lose = 1;
    let command = site.ask(0, 7, account("clerks", 3));
    site.run(SECOND.times(10));
    let answer = site.answers.remove(&command).expect("an answer");
    (answer, weight(&site, 0, "clerks"))
}

#[test]
fn lost_answer_is_read_back() {
    let (answer, held) = write_with_lost_answer(Options::default());
    assert!(
        matches!(answer, OperatorAnswer::Accepted { .. }),
        "{answer:?}"
    );
    assert_eq!(held, Some(3));
}

#[test]
fn without_read_back_a_write_in_force_is_called_a_conflict() {
    let without = vec![Mechanism::ReadBack];
    let (answer, held) = write_with_lost_answer(Options {
        without,
        ..Options::default()
    });
    assert!(
        matches!(answer, OperatorAnswer::Conflict { .. }),
        "{answer:?}"
    );
    assert_eq!(held, Some(3));
}

#[test]
fn one_operation_takes_effect_once_on_two_daemons() {
    let mut site = started(&["a", "b"], Options::default());
    let before = site.kv.store.revision();
    site.ask(0, 7, account("clerks", 3));
    site.ask(1, 7, account("clerks", 3));
    site.run(SECOND);
    site.ask(1, 8, account("clerks", 5));
    site.run(SECOND);
    let again = site.ask(0, 7, account("clerks", 3));
    site.run(SECOND);
    assert!(in_force(&site, "clerks", 5), "a later change was reverted");
    assert!(matches!(
        site.answers.get(&again),
        Some(OperatorAnswer::Accepted { .. })
    ));
    assert_eq!(site.kv.store.revision().0, before.0 + 2);
}

#[test]
fn racing_operators_get_one_winner() {
    let mut site = started(&["a", "b"], Options::default());
    let one = site.ask(0, 7, account("clerks", 3));
    let two = site.ask(1, 8, account("clerks", 5));
    site.run(SECOND);
    let revision = site.kv.store.revision();
    let mut answers = [one, two].map(|command| site.answers[&command].clone());
    answers.sort_by_key(|answer| matches!(answer, OperatorAnswer::Conflict { .. }));
    assert_eq!(answers[0], OperatorAnswer::Accepted { revision });
    assert_eq!(answers[1], OperatorAnswer::Conflict { revision });
}

#[test]
fn a_delete_asked_again_spares_what_was_created_since() {
    let mut site = started(&["a", "b"], Options::default());
    site.ask(0, 7, account("clerks", 3));
    site.run(SECOND);
    let delete = || OperatorRequest::DeleteAccount("clerks".into());
    site.ask(0, 8, delete());
    assert!(site.run_until(SECOND, |s| weight(s, 1, "clerks").is_none()));
    site.ask(0, 9, account("clerks", 5));
    site.run(SECOND);
    let again = site.ask(1, 8, delete());
    site.run(SECOND);
    assert!(matches!(
        site.answers.get(&again),
        Some(OperatorAnswer::Accepted { .. })
    ));
    assert!(in_force(&site, "clerks", 5));
}
