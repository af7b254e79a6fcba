//! Tests of the command line against a daemon's operator service.
//!
//! The test takes the place of the decision logic: it checks the request that a command makes and
//! returns the answer to it.

use futures_channel::{mpsc::UnboundedReceiver, oneshot};
use futures_util::{StreamExt as _, future::join};
use hickoryledge::{
    core::{
        config::record::{GroupSpec, UpgradeState},
        input::{Input, OperatorInput, OperatorRequest, UpgradeAction},
        keys::{Epoch, KeyHash, OperationId, Revision},
        output::OperatorAnswer,
        status::{DaemonStatus, GroupStatus, Status, UpgradeStatus},
    },
    settings,
    shell::{http, inbox::Inbox, operators::Operators},
};
use serde_json::{Value, json};
use std::{net::SocketAddr, path::Path, process::Output, sync::Arc, time::Duration};

/// Timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(20);
const TOKEN: &str = "a token of the operators";

const SETTINGS: &str = "name: entry-1\nregion: north\nhall: east\nregions: {north: [east]}\n\
     listen: {caller: 127.0.0.1:0, peer: 127.0.0.1:0, operator: 127.0.0.1:0}\n\
     platform: [127.0.0.1:1]\nhost_list: 127.0.0.1:1\n\
     peer_key: a key of the daemons\noperator_token: a token of the operators\n";

/// Runs the program and returns its output.
async fn run(arguments: &[&str]) -> Output {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_hickoryledge"));
    command.args(arguments).env_remove("HICKORYLEDGE_TOKEN");
    let (sender, receiver) = oneshot::channel();
    std::thread::spawn(move || {
        let _ = sender.send(command.output().expect("program runs"));
    });
    let output = compio::time::timeout(TIMEOUT, receiver).await;
    output
        .expect("program ends in time")
        .expect("output is read")
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("program exits")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn json_lines(output: &Output) -> Vec<Value> {
    let text = String::from_utf8_lossy(&output.stdout);
    let line = |line| serde_json::from_str(line).expect("line is JSON");
    text.lines().map(line).collect()
}

/// Operator service of a daemon, and the inputs that it produces.
struct Daemon {
    address: SocketAddr,
    inputs: UnboundedReceiver<Input>,
    operators: Operators,
}

impl Daemon {
    async fn start() -> Self {
        let settings = settings::parse(SETTINGS, Path::new(".")).expect("settings are valid");
        let listener = http::bind(settings.listen.operator)
            .await
            .expect("address is bound");
        let address = http::address(&listener).expect("listener has an address");
        let (inbox, inputs) = Inbox::new();
        let operators = Operators::start(listener, inbox, Arc::default(), &settings);
        Self {
            address,
            inputs,
            operators,
        }
    }

    /// Runs a command that needs no answer of the decision logic.
    async fn run(&self, arguments: &[&str]) -> Output {
        let address = self.address.to_string();
        let mut all = vec!["--daemon", &address, "--token", TOKEN, "--json"];
        all.extend(arguments);
        run(&all).await
    }

    /// Runs a command, answers its request, and returns the output and the request.
    async fn exchange(
        &mut self,
        arguments: &[&str],
        answer: OperatorAnswer,
    ) -> (Output, OperationId, OperatorRequest) {
        let address = self.address.to_string();
        let mut all = vec!["--daemon", &address, "--token", TOKEN, "--json"];
        all.extend(arguments);
        let answered = async {
            let input = compio::time::timeout(TIMEOUT, self.inputs.next()).await;
            let Some(Input::Operator(input)) = input.expect("input arrives in time") else {
                panic!("input is not from an operator");
            };
            let OperatorInput {
                command,
                operation,
                request,
            } = input;
            self.operators.perform(command, answer);
            (operation, request)
        };
        let (output, (operation, request)) = join(run(&all), answered).await;
        (output, operation, request)
    }

    /// Asserts that no request reached the decision logic.
    fn assert_no_request(&mut self) {
        assert!(
            self.inputs.try_recv().is_err(),
            "a request reached the decision logic"
        );
    }
}

fn accepted(revision: i64) -> OperatorAnswer {
    let revision = Revision(revision);
    OperatorAnswer::Accepted { revision }
}

#[compio::test]
async fn rejects_invalid_settings() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let file = directory.path().join("settings.yaml");
    let path = file.to_str().expect("path is text");
    std::fs::write(&file, SETTINGS).expect("file is written");
    assert_eq!(exit_code(&run(&["check", "--settings", path]).await), 0);
    let invalid = SETTINGS.replace("hall: east", "hall: moon") + "speed: 9\n";
    std::fs::write(&file, invalid).expect("file is written");
    for command in ["check", "run"] {
        let output = run(&[command, "--settings", path]).await;
        assert_eq!(exit_code(&output), 3);
        let message = stderr(&output);
        assert!(message.contains("line 3, column 7: hall: "), "{message}");
        assert!(message.contains("line 10, column 8: speed: "), "{message}");
    }
}

#[compio::test]
async fn rejects_invalid_command_lines() {
    let help = run(&["--help"]).await;
    assert_eq!(exit_code(&help), 0);
    assert!(String::from_utf8_lossy(&help.stdout).contains("upgrade"));
    for arguments in [
        &["fly"][..],
        &[],
        &["status"],
        &["--daemon", "127.0.0.1:1", "status"],
        &["--daemon", "here", "status"],
        &["--daemon", "127.0.0.1:1", "entries"],
    ] {
        let output = run(arguments).await;
        assert_eq!(exit_code(&output), 2, "{arguments:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
}

#[compio::test]
async fn creates_and_changes_group() {
    let mut daemon = Daemon::start().await;
    let create = "group create g1 --model m --domain d1 --size 4 --account a --account b \
                  --operation 7";
    let create: Vec<&str> = create.split_whitespace().collect();
    let (output, operation, request) = daemon.exchange(&create, accepted(12)).await;
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert_eq!(
        json_lines(&output),
        [json!({"operation": 7, "revision": 12})]
    );
    assert_eq!(operation, OperationId(7));
    let spec = GroupSpec {
        name: "g1".into(),
        model: "m".into(),
        size: 4,
        domain: "d1".into(),
        accounts: vec!["a".into(), "b".into()],
        ..GroupSpec::default()
    };
    assert_eq!(request, OperatorRequest::CreateGroup(spec.clone()));
    let change = "group change g1 --model m --domain d1 --size 4 --account a --account b \
                  --based-on 12";
    let change: Vec<&str> = change.split_whitespace().collect();
    let (_, operation, request) = daemon.exchange(&change, accepted(13)).await;
    assert_ne!(operation, OperationId::default());
    let based_on = Revision(12);
    assert_eq!(request, OperatorRequest::ChangeGroup { spec, based_on });
}

#[compio::test]
async fn sends_requests_of_changes() {
    let mut daemon = Daemon::start().await;
    let group = "g1".into();
    let upgrade = "u1".into();
    let cases = [
        (
            "group drain g1",
            OperatorRequest::DrainGroup {
                group,
                drained: true,
            },
        ),
        (
            "group undrain g1",
            OperatorRequest::DrainGroup {
                group: "g1".into(),
                drained: false,
            },
        ),
        ("group delete g1", OperatorRequest::DeleteGroup("g1".into())),
        (
            "account delete a",
            OperatorRequest::DeleteAccount("a".into()),
        ),
        ("model delete m", OperatorRequest::DeleteModel("m".into())),
        (
            "upgrade pause u1",
            OperatorRequest::SteerUpgrade {
                upgrade,
                action: UpgradeAction::Pause,
            },
        ),
        (
            "upgrade abort u1",
            OperatorRequest::SteerUpgrade {
                upgrade: "u1".into(),
                action: UpgradeAction::Abort,
            },
        ),
    ];
    for (line, expected) in cases {
        let arguments: Vec<&str> = line.split_whitespace().collect();
        let (output, _, request) = daemon.exchange(&arguments, accepted(1)).await;
        assert_eq!(exit_code(&output), 0, "{line}: {}", stderr(&output));
        assert_eq!(request, expected, "{line}");
    }
}

#[compio::test]
async fn sends_only_hash_of_account_key() {
    let mut daemon = Daemon::start().await;
    let put = "account put a --key secret --weight 3 --priority 2 --rate 10 --model m";
    let put: Vec<&str> = put.split_whitespace().collect();
    let (_, _, request) = daemon.exchange(&put, accepted(1)).await;
    let OperatorRequest::PutAccount(account) = request else {
        panic!("{request:?}");
    };
    assert_eq!(account.key, KeyHash(*blake3::hash(b"secret").as_bytes()));
    assert_eq!((account.weight, account.priority, account.rate), (3, 2, 10));
}

/// Scripts tell conflicts, refusals and uncertain results apart by the exit code. An uncertain one
/// must come with the operation id, since a retry under another id could make the change twice.
#[compio::test]
async fn exits_with_code_of_answer() {
    let mut daemon = Daemon::start().await;
    let revision = Revision(40);
    let cases = [
        (OperatorAnswer::Conflict { revision }, 5, "revision 40"),
        (
            OperatorAnswer::Invalid("2 hosts miss".to_owned()),
            4,
            "2 hosts miss",
        ),
        (
            OperatorAnswer::Unavailable("no answer".to_owned()),
            6,
            "retry with --operation 77",
        ),
    ];
    for (answer, exit, message) in cases {
        let drain = ["group", "drain", "g1", "--operation", "77"];
        let (output, _, _) = daemon.exchange(&drain, answer).await;
        assert_eq!(exit_code(&output), exit);
        assert!(stderr(&output).contains(message), "{}", stderr(&output));
        assert!(output.stdout.is_empty());
    }
    let unreachable = ["--daemon", "127.0.0.1:1", "--token", TOKEN, "status"];
    assert_eq!(exit_code(&run(&unreachable).await), 6);
}

#[compio::test]
async fn rejects_wrong_token_and_invalid_arguments() {
    let mut daemon = Daemon::start().await;
    let address = daemon.address.to_string();
    let arguments = [
        "--daemon",
        &address,
        "--token",
        "another token",
        "group",
        "delete",
        "g1",
    ];
    let output = run(&arguments).await;
    assert_eq!(exit_code(&output), 4);
    assert!(stderr(&output).contains("token"), "{}", stderr(&output));
    for line in [
        "group drain a/b",
        "group drain --operation 0 g1",
        "model put m --version 1 --size 0",
        "account put a --key k --priority 300",
        "upgrade start u --model m --to 2 --width 0",
    ] {
        let arguments: Vec<&str> = line.split_whitespace().collect();
        let output = daemon.run(&arguments).await;
        assert_eq!(exit_code(&output), 4, "{line}: {}", stderr(&output));
    }
    daemon.assert_no_request();
}

#[compio::test]
async fn prints_status_as_json_lines() {
    let mut daemon = Daemon::start().await;
    let group = GroupStatus {
        group: "g1".into(),
        model: "m".into(),
        version: "2".into(),
        domain: "d1".into(),
        epoch: Epoch(4),
        state: "serving".to_owned(),
        hosts: vec!["h1".into(), "h2".into()],
        trouble: String::new(),
    };
    let upgrade = UpgradeStatus {
        upgrade: "u1".into(),
        model: "m".into(),
        from: "1".into(),
        to: "2".into(),
        state: UpgradeState::Running,
        upgraded: 1,
        groups: 1,
    };
    let status = Status {
        daemon: "entry-1".into(),
        revision: Revision(9),
        fresh: true,
        groups: vec![group],
        daemons: vec![DaemonStatus {
            daemon: "entry-2".into(),
            state: "alive".to_owned(),
            revision: Revision(8),
        }],
        upgrades: vec![upgrade],
        ..Status::default()
    };
    let answer = OperatorAnswer::Status(Box::new(status));
    let (output, _, _) = daemon.exchange(&["status"], answer.clone()).await;
    let lines = json_lines(&output);
    assert_eq!(
        lines[0],
        json!({"kind": "self", "daemon": "entry-1", "revision": 9, "fresh": true})
    );
    assert_eq!(
        lines[1],
        json!({"kind": "daemon", "daemon": "entry-2", "state": "alive", "revision": 8})
    );
    assert_eq!(lines[2]["hosts"], json!(["h1", "h2"]));
    assert_eq!(lines[3]["upgraded"], json!(1));
    let (output, _, _) = daemon.exchange(&["group", "list"], answer.clone()).await;
    assert_eq!(json_lines(&output).len(), 1);
    let (output, _, _) = daemon.exchange(&["upgrade", "status"], answer).await;
    assert_eq!(json_lines(&output)[0]["state"], json!("running"));
}
