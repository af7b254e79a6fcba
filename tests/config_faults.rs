//! Configuration under faults of every kind, together and twice over.
//!
//! Operators race on a few accounts, through several daemons and with
//! operations asked again, while answers are lost, the platform goes away,
//! daemons are cut off or paused and watches end.

mod fakes;

use fakes::{handover::Handover, kv::Fault, store::key_and_revision};
use hickoryledge::core::{
    config::{ROOT, record::Account},
    input::{OperatorRequest, PlatformEntry, WatchEvent},
    keys::{CommandId, Revision},
    options::Options,
    output::OperatorAnswer,
    time::Span,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
};
use std::collections::BTreeMap;

const HALLS: [&str; 4] = ["a", "a", "a", "b"];

/// How long the daemons have to agree once every fault is over.
const HEALING: Span = Span::from_secs(12);

/// How often what daemons hold is looked at.
const LOOK: Span = Span::from_millis(20);

#[derive(Clone, Debug)]
enum Step {
    Put(usize, u64),
    Delete(usize, u64),
    Lose(u32),
    Fault(Fault),
    Cut(usize),
    Pause(usize),
    Heal,
    EndWatches,
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = 0..HALLS.len();
    let ask = (daemon.clone(), 1..9_u64);
    let fault = prop_oneof![
        Just(Fault::Outage),
        Just(Fault::Refuses),
        Just(Fault::LosesAnswers)
    ];
    prop_oneof![
        6 => ask.clone().prop_map(|(daemon, op)| Step::Put(daemon, op)),
        2 => ask.prop_map(|(daemon, op)| Step::Delete(daemon, op + 100)),
        2 => (1..3_u32).prop_map(Step::Lose),
        2 => fault.prop_map(Step::Fault),
        1 => daemon.clone().prop_map(Step::Cut),
        1 => daemon.prop_map(Step::Pause),
        2 => Just(Step::Heal),
        1 => Just(Step::EndWatches),
    ]
}

/// What each daemon held when last looked at, by daemon and key.
type Seen = BTreeMap<(usize, String), Revision>;

/// Runs for a while, and checks that nothing goes back.
fn run(site: &mut Handover, span: Span, seen: &mut Seen) -> Result<(), TestCaseError> {
    let end = site.now + span;
    while site.now < end {
        site.run(LOOK);
        for daemon in 0..HALLS.len() {
            for entry in site.cores[daemon].config().view().entries() {
                let last = seen.entry((daemon, entry.key.clone())).or_default();
                prop_assert!(entry.revision >= *last, "{daemon} went back on {entry:?}");
                *last = entry.revision;
            }
        }
    }
    Ok(())
}

/// The account that an operation is about.
fn account(operation: u64) -> Account {
    Account {
        name: format!("a{}", operation % 2).into(),
        weight: operation as u32,
        ..Account::default()
    }
}

fn heal(site: &mut Handover) {
    site.kv.fault = Fault::NoFault;
    site.kv.answers_to_lose = 0;
    site.cut.clear();
    site.resume();
}

fn take(site: &mut Handover, step: Step, asked: &mut Vec<(CommandId, u64)>) {
    match step {
        Step::Put(daemon, op) => {
            let request = OperatorRequest::PutAccount(account(op));
            asked.push((site.ask(daemon, op, request), op));
        }
        Step::Delete(daemon, op) => {
            let request = OperatorRequest::DeleteAccount(account(op).name);
            asked.push((site.ask(daemon, op, request), op));
        }
        Step::Lose(count) => site.kv.answers_to_lose = count,
        Step::Fault(fault) => site.kv.fault = fault,
        Step::Cut(daemon) => site.cut.push(daemon),
        Step::Pause(daemon) if !site.paused.contains(&daemon) => site.paused.push(daemon),
        Step::Pause(_) => {}
        Step::Heal => heal(site),
        Step::EndWatches => {
            site.kv.end_watches();
        }
    }
}

/// How often each operation took effect on an account.
fn effects(site: &Handover) -> BTreeMap<u64, usize> {
    let mut effects = BTreeMap::new();
    let changes = site.kv.store.since(ROOT, Revision(1)).expect("the history");
    for event in &changes {
        let WatchEvent::Put(entry) = event else {
            continue;
        };
        if key_and_revision(event).0.contains("/account/") {
            let record: Account = serde_json::from_str(&entry.value).expect("an account");
            *effects.entry(record.operation.0).or_default() += 1;
        }
    }
    effects
}

fn accounts(entries: Vec<PlatformEntry>) -> Vec<PlatformEntry> {
    let is_account = |entry: &PlatformEntry| entry.key.contains("/account/");
    entries.into_iter().filter(is_account).collect()
}

fn check(site: &Handover, asked: &[(CommandId, u64)]) -> Result<(), TestCaseError> {
    let effects = effects(site);
    for (op, count) in &effects {
        prop_assert_eq!(*count, 1, "operation {} took effect again", op);
    }
    let is_accepted = |command| {
        matches!(
            site.answers.get(command),
            Some(OperatorAnswer::Accepted { .. })
        )
    };
    for (command, op) in asked {
        let answer = site.answers.get(command);
        prop_assert!(answer.is_some(), "operation {} has no answer", op);
        let any = asked.iter().any(|(c, o)| o == op && is_accepted(c));
        let done = effects.contains_key(op);
        if any && *op < 100 {
            prop_assert!(done, "operation {} was accepted and not done", op);
        }
        if done && matches!(answer, Some(OperatorAnswer::Conflict { .. })) {
            prop_assert!(any, "operation {} was done and called a conflict", op);
        }
    }
    let held = accounts(site.kv.store.list(ROOT));
    for daemon in 0..HALLS.len() {
        let view = site.cores[daemon].config().view();
        let entries = accounts(view.entries().cloned().collect());
        prop_assert_eq!(&entries, &held, "daemon {} differs", daemon);
    }
    Ok(())
}

#[test]
fn accepted_changes_are_done_once_and_in_force_everywhere_after_any_faults() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let steps = prop::collection::vec((step(), 0..1_500_u64), 1..24);
    let checked = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut site = Handover::new(&HALLS, &Options::default());
        (0..HALLS.len()).for_each(|daemon| site.start(daemon));
        let (mut seen, mut asked) = (Seen::new(), Vec::new());
        run(&mut site, Span::from_secs(3), &mut seen)?;
        for (step, wait) in steps {
            take(&mut site, step, &mut asked);
            run(&mut site, Span::from_millis(wait), &mut seen)?;
        }
        heal(&mut site);
        run(&mut site, HEALING, &mut seen)?;
        check(&site, &asked)
    });
    checked.unwrap();
}
