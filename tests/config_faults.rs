//! Configuration under random combinations of faults.
//!
//! Operators change a few accounts concurrently through several daemons, and
//! repeat operations, while answers are lost, the platform is out of service,
//! daemons are cut off or paused and watches end.

mod fakes;

use fakes::{cluster::TestCluster, kv::Fault, store::key_and_revision};
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

/// Time within which the daemons must agree after the last fault.
const RECOVERY_TIMEOUT: Span = Span::from_secs(12);

/// Interval between checks of the daemons' entries.
const CHECK_INTERVAL: Span = Span::from_millis(20);

#[derive(Clone, Debug)]
enum Step {
    Put(usize, u64),
    Delete(usize, u64),
    LoseAnswers(u32),
    Fault(Fault),
    CutOff(usize),
    Pause(usize),
    Heal,
    EndWatches,
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = 0..HALLS.len();
    let operation = (daemon.clone(), 1..9_u64);
    let fault = prop_oneof![
        Just(Fault::Outage),
        Just(Fault::Refuses),
        Just(Fault::LosesAnswers)
    ];
    prop_oneof![
        6 => operation.clone().prop_map(|(daemon, op)| Step::Put(daemon, op)),
        2 => operation.prop_map(|(daemon, op)| Step::Delete(daemon, op + 100)),
        2 => (1..3_u32).prop_map(Step::LoseAnswers),
        2 => fault.prop_map(Step::Fault),
        1 => daemon.clone().prop_map(Step::CutOff),
        1 => daemon.prop_map(Step::Pause),
        2 => Just(Step::Heal),
        1 => Just(Step::EndWatches),
    ]
}

/// Revision of each entry at the last check, by daemon and key.
type LastRevisions = BTreeMap<(usize, String), Revision>;

/// Runs for `span`, and checks that no entry returns to an older revision.
fn run(
    cluster: &mut TestCluster,
    span: Span,
    revisions: &mut LastRevisions,
) -> Result<(), TestCaseError> {
    let end = cluster.now + span;
    while cluster.now < end {
        cluster.run(CHECK_INTERVAL);
        for daemon in 0..HALLS.len() {
            for entry in cluster.cores[daemon].config().view().entries() {
                let last = revisions.entry((daemon, entry.key.clone())).or_default();
                prop_assert!(
                    entry.revision >= *last,
                    "daemon {daemon} returned to {entry:?}"
                );
                *last = entry.revision;
            }
        }
    }
    Ok(())
}

/// Returns the account that an operation changes.
fn account(operation: u64) -> Account {
    Account {
        name: format!("a{}", operation % 2).into(),
        weight: operation as u32,
        ..Account::default()
    }
}

fn heal(cluster: &mut TestCluster) {
    cluster.kv.fault = Fault::None;
    cluster.kv.answers_to_lose = 0;
    cluster.cut_off.clear();
    cluster.resume();
}

fn apply(cluster: &mut TestCluster, step: Step, submitted: &mut Vec<(CommandId, u64)>) {
    match step {
        Step::Put(daemon, op) => {
            let request = OperatorRequest::PutAccount(account(op));
            submitted.push((cluster.submit(daemon, op, request), op));
        }
        Step::Delete(daemon, op) => {
            let request = OperatorRequest::DeleteAccount(account(op).name);
            submitted.push((cluster.submit(daemon, op, request), op));
        }
        Step::LoseAnswers(count) => cluster.kv.answers_to_lose = count,
        Step::Fault(fault) => cluster.kv.fault = fault,
        Step::CutOff(daemon) => cluster.cut_off.push(daemon),
        Step::Pause(daemon) if !cluster.paused.contains(&daemon) => cluster.paused.push(daemon),
        Step::Pause(_) => {}
        Step::Heal => heal(cluster),
        Step::EndWatches => {
            cluster.kv.end_watches();
        }
    }
}

/// Returns the number of times that each operation took effect.
fn effect_counts(cluster: &TestCluster) -> BTreeMap<u64, usize> {
    let mut effects = BTreeMap::new();
    let changes = cluster
        .kv
        .store
        .since(ROOT, Revision(1))
        .expect("the history");
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

fn check(cluster: &TestCluster, submitted: &[(CommandId, u64)]) -> Result<(), TestCaseError> {
    let effects = effect_counts(cluster);
    for (op, count) in &effects {
        prop_assert_eq!(*count, 1, "operation {} took effect more than once", op);
    }
    let is_accepted = |command| {
        matches!(
            cluster.answers.get(command),
            Some(OperatorAnswer::Accepted { .. })
        )
    };
    for (command, op) in submitted {
        let answer = cluster.answers.get(command);
        prop_assert!(answer.is_some(), "operation {} has no answer", op);
        let is_any_accepted = submitted.iter().any(|(c, o)| o == op && is_accepted(c));
        let took_effect = effects.contains_key(op);
        if is_any_accepted && *op < 100 {
            prop_assert!(
                took_effect,
                "operation {} was accepted but took no effect",
                op
            );
        }
        if took_effect && matches!(answer, Some(OperatorAnswer::Conflict { .. })) {
            prop_assert!(
                is_any_accepted,
                "operation {} took effect but was reported as a conflict",
                op
            );
        }
    }
    let stored = accounts(cluster.kv.store.list(ROOT));
    for daemon in 0..HALLS.len() {
        let view = cluster.cores[daemon].config().view();
        let entries = accounts(view.entries().cloned().collect());
        prop_assert_eq!(
            &entries,
            &stored,
            "daemon {} differs from the platform",
            daemon
        );
    }
    Ok(())
}

#[test]
fn accepted_changes_take_effect_once_on_all_daemons_after_any_faults() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let steps = prop::collection::vec((step(), 0..1_500_u64), 1..24);
    let checked = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut cluster = TestCluster::new(&HALLS, &Options::default());
        (0..HALLS.len()).for_each(|daemon| cluster.start(daemon));
        let (mut revisions, mut submitted) = (LastRevisions::new(), Vec::new());
        run(&mut cluster, Span::from_secs(3), &mut revisions)?;
        for (step, wait) in steps {
            apply(&mut cluster, step, &mut submitted);
            run(&mut cluster, Span::from_millis(wait), &mut revisions)?;
        }
        heal(&mut cluster);
        run(&mut cluster, RECOVERY_TIMEOUT, &mut revisions)?;
        check(&cluster, &submitted)
    });
    checked.unwrap();
}
