//! Test environment that runs daemons, runners and a simulated platform in separate
//! processes and injects faults into them.
//!
//! Every wait is for a condition; [`WAIT_TIMEOUT`] only bounds a wait that fails.

#![allow(dead_code, reason = "each test program uses a part of it")]

pub mod memory;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hickoryledge::shell::http::send_once;
use http::Request;
use http_body_util::{BodyExt, Full};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};

/// Time after which a wait for a condition fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// API key of the account that every environment has.
pub const KEY: &str = "papadakis-press-key";

/// Token of the operators.
pub const TOKEN: &str = "operators-token-of-tests";

/// A process of the environment; it is killed when dropped.
pub struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program and collects its output.
    pub fn start(program: &Path, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("failed to start {}: {error}", program.display()));
        let lines = Arc::new(Mutex::new(Vec::new()));
        let sink = lines.clone();
        let stdout = BufReader::new(child.stdout.take().expect("output should be piped"));
        std::thread::spawn(move || {
            for line in stdout.lines().map_while(Result::ok) {
                sink.lock()
                    .expect("lines should not be poisoned")
                    .push(line);
            }
        });
        Self { child, lines }
    }

    /// Returns the lines printed so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines
            .lock()
            .expect("lines should not be poisoned")
            .clone()
    }

    /// Waits for a printed JSON line that has the field, and returns the first.
    pub fn line_with(&self, field: &str) -> Value {
        let found = || {
            let lines = self.lines();
            let mut values = lines
                .iter()
                .filter_map(|line| serde_json::from_str::<Value>(line).ok());
            values.find(|value| value.get(field).is_some())
        };
        wait_for(&format!("a line with {field}"), found)
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the most memory that it has had resident so far, in bytes.
    pub fn peak_memory(&self) -> usize {
        memory::peak_memory(self.child.id())
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("process should exist");
    }

    /// Kills the process and waits for it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit and returns its exit code.
    pub fn wait_exit(&mut self) -> i32 {
        wait_for("exit", || {
            self.child
                .try_wait()
                .expect("process should be a child")
                .map(|s| s.code().unwrap_or(-1))
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `poll` returns a value; `condition` names it in the failure message.
pub fn wait_for<T, F>(condition: &str, mut poll: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let started = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out after {WAIT_TIMEOUT:?} waiting for {condition}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A daemon and its addresses.
pub struct Daemon {
    /// Name.
    pub name: String,
    /// Process.
    pub process: Process,
    /// Path of its settings file.
    pub settings: PathBuf,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

/// A runner of the environment.
#[derive(Clone)]
pub struct Runner {
    /// Name of its host.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Entry in the list of hosts.
    pub entry: Value,
}

/// A response as a caller receives it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallResponse {
    /// Status code; 0 if no response arrived.
    pub status: u16,
    /// Value of the `x-outcome` header.
    pub outcome: String,
    /// Part of the body that arrived.
    pub body: String,
    /// Set if the body arrived completely.
    pub body_complete: bool,
}

impl CallResponse {
    /// Returns the text of the stream's events, and true if it ended with `[DONE]`.
    pub fn stream(&self) -> (String, bool) {
        let mut text = String::new();
        let mut done = false;
        for data in self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
        {
            done = data == "[DONE]";
            if let Ok(value) = serde_json::from_str::<Value>(data) {
                text.push_str(value["text"].as_str().unwrap_or_default());
            }
        }
        (text, done)
    }
}

/// Daemons, runners and the simulated platform, each in a process of its own.
pub struct TestEnv {
    /// Daemons.
    pub daemons: Vec<Daemon>,
    /// Runners.
    pub runners: Vec<Runner>,
    /// Process of the simulated platform.
    pub platform: Process,
    /// Processes of the runners.
    pub runner_processes: Vec<Process>,
    /// Trace of the callers, kept with the logs if the test fails.
    pub trace: Vec<String>,
    /// Logs of processes that were replaced by restarts.
    replaced_logs: Vec<(String, Vec<String>)>,
    kv: String,
    host_list: SocketAddr,
    folder: tempfile::TempDir,
}

/// Keeps the evidence of a failed test.
impl Drop for TestEnv {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.keep_logs();
        }
    }
}

impl TestEnv {
    /// Starts only the simulated platform.
    pub fn new() -> Self {
        let platform = Process::start(&example("platform"), &[]);
        let listening = platform.line_with("listening")["listening"].clone();
        Self {
            daemons: Vec::new(),
            runners: Vec::new(),
            platform,
            runner_processes: Vec::new(),
            trace: Vec::new(),
            replaced_logs: Vec::new(),
            kv: listening["kv"]
                .as_str()
                .expect("address of the key-value store should be printed")
                .to_owned(),
            host_list: address(&listening["hosts"]),
            folder: tempfile::tempdir().expect("temporary folder should be created"),
        }
    }

    /// Starts daemons, four engine hosts in one domain and one plain service, and creates an
    /// account, a model and a group of two hosts that serves.
    pub fn with_group(daemons: usize) -> Self {
        Self::with_options(daemons, "")
    }

    /// Like [`Self::with_group`], with additional lines of settings for every daemon.
    pub fn with_options(daemons: usize, extra: &str) -> Self {
        let mut env = Self::with_hosts();
        for index in 0..daemons {
            env.start_daemon_with(&format!("entry-{index}"), extra);
        }
        env.set_up();
        env
    }

    /// Starts the runners of [`Self::with_group`] and publishes their hosts, without a daemon.
    pub fn with_hosts() -> Self {
        let mut env = Self::new();
        for name in ["e1", "e2", "e3", "e4"] {
            env.start_runners("kalamaria-1", &[name], &[]);
        }
        env.start_runners("kalamaria-1", &["s1"], &["--service", "mailroom-app"]);
        env.publish_hosts();
        env
    }

    /// Creates the account, model, service and group, and waits until the group serves.
    pub fn set_up(&self) {
        self.operate(&["account", "put", "papadakis", "--key", KEY]);
        let model = [
            "model",
            "put",
            "drafting-llm",
            "--version",
            "v1",
            "--size",
            "2",
        ];
        self.operate(&model);
        self.operate(&["service", "put", "mailroom-app"]);
        let group = ["group", "create", "drafting-1", "--model", "drafting-llm"];
        self.operate(&[&group[..], &["--domain", "kalamaria-1"]].concat());
        for index in 0..self.daemons.len() {
            self.wait_serving(index, "drafting-1");
        }
    }

    /// Starts the runners of one domain in one process.
    pub fn start_runners(&mut self, domain: &str, names: &[&str], args: &[&str]) {
        let joined = names.join(",");
        let mut all = vec!["--names", &joined];
        all.extend_from_slice(args);
        let process = Process::start(&example("runner"), &all);
        let listening = process.line_with("listening")["listening"].clone();
        let option = |name: &str| {
            args.iter()
                .position(|arg| *arg == name)
                .map(|at| args[at + 1])
        };
        let kind =
            option("--service").map_or(json!("engine"), |service| json!({"service": service}));
        for name in names {
            let entry = json!({
                "host": name, "hall": "kalamaria", "domain": domain, "address": listening[*name],
                "accelerators": 4, "kind": kind, "leaving": false,
                "checks": option("--checks").unwrap_or("fenced"),
            });
            let address = address(&listening[*name]);
            self.runners.push(Runner {
                name: (*name).to_owned(),
                address,
                entry,
            });
        }
        self.runner_processes.push(process);
    }

    /// Publishes every runner on the list of hosts.
    pub fn publish_hosts(&self) {
        let list: Vec<&Value> = self.runners.iter().map(|runner| &runner.entry).collect();
        let response = self.http(
            self.host_list,
            "PUT",
            "/hosts",
            &[],
            json!(list).to_string(),
        );
        assert_eq!(response.status, 200, "{response:?}");
    }

    /// Starts a daemon; it discovers the others through the platform and the first daemon.
    pub fn start_daemon(&mut self, name: &str) -> usize {
        self.start_daemon_with(name, "")
    }

    /// Starts a daemon with additional lines of settings.
    pub fn start_daemon_with(&mut self, name: &str, extra: &str) -> usize {
        let seeds: Vec<String> = self
            .daemons
            .iter()
            .take(1)
            .map(|d| d.peer.to_string())
            .collect();
        let any = "127.0.0.1:0".to_owned();
        let ports = [any.clone(), any.clone(), any];
        let settings = self.write_settings(name, &ports, &seeds, extra);
        let daemon = launch(name, settings, &[]);
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Starts a daemon that records its inputs to a file.
    pub fn start_recorded(&mut self, name: &str, file: &Path) -> usize {
        let any = || "127.0.0.1:0".to_owned();
        let settings = self.write_settings(name, &[any(), any(), any()], &[], "");
        let file = file.to_str().expect("path should be UTF-8");
        self.daemons
            .push(launch(name, settings, &["--record", file]));
        self.daemons.len() - 1
    }

    /// Kills a daemon and starts it again at the same addresses.
    pub fn restart_daemon(&mut self, index: usize) {
        let old = &self.daemons[index];
        let name = old.name.clone();
        let ports = [old.caller, old.peer, old.operator].map(|address| address.to_string());
        let others = self.daemons.iter().filter(|d| d.name != name);
        let seeds: Vec<String> = others.map(|d| d.peer.to_string()).collect();
        let settings = self.write_settings(&name, &ports, &seeds, "");
        self.daemons[index].process.kill();
        let log = self.daemons[index].process.lines();
        self.replaced_logs.push((name.clone(), log));
        self.daemons[index] = launch(&name, settings, &[]);
    }

    /// Writes the trace and the log of every process to a folder, and prints its path.
    fn keep_logs(&self) {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("failed");
        let thread = std::thread::current();
        let test = thread.name().unwrap_or("test").replace("::", "-");
        let folder = folder.join(format!("{test}-{}", std::process::id()));
        if let Err(error) = std::fs::create_dir_all(&folder) {
            eprintln!("logs not kept: {error}");
            return;
        }
        let mut logs = vec![
            ("trace".to_owned(), self.trace.clone()),
            ("platform".to_owned(), self.platform.lines()),
        ];
        for (index, (name, lines)) in self.replaced_logs.iter().enumerate() {
            logs.push((format!("{name}-replaced-{index}"), lines.clone()));
        }
        for daemon in &self.daemons {
            logs.push((daemon.name.clone(), daemon.process.lines()));
        }
        for (index, process) in self.runner_processes.iter().enumerate() {
            logs.push((format!("runner-{index}"), process.lines()));
        }
        for (name, lines) in logs {
            let path = folder.join(format!("{name}.log"));
            if let Err(error) = std::fs::write(path, lines.join("\n")) {
                eprintln!("log of {name} not kept: {error}");
            }
        }
        eprintln!("logs kept in {}", folder.display());
    }

    fn write_settings(
        &self,
        name: &str,
        ports: &[String; 3],
        seeds: &[String],
        extra: &str,
    ) -> PathBuf {
        let path = self.folder.path().join(format!("{name}.yaml"));
        let [caller, peer, operator] = ports;
        let (kv, hosts) = (&self.kv, self.host_list);
        let seeds = json!(seeds);
        let text = format!(
            "name: {name}\nregion: thessaloniki\nhall: kalamaria\n\
             regions:\n  thessaloniki: [kalamaria, sindos, pylaia]\n\
             listen:\n  caller: {caller}\n  peer: {peer}\n  operator: {operator}\n\
             peers: {seeds}\nplatform: ['{kv}']\nhost_list: {hosts}\n\
             peer_key: key-between-daemons-of-tests\noperator_token: {TOKEN}\n{extra}\n"
        );
        std::fs::write(&path, text).expect("settings should be written");
        path
    }

    /// Runs an operator's command on the first daemon and returns its JSON lines.
    pub fn operate(&self, args: &[&str]) -> Vec<Value> {
        let output = self.try_operate(0, args);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{args:?}: {stderr}");
        let stdout = String::from_utf8_lossy(&output.stdout);
        stdout
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Runs an operator's command on a daemon and returns its output.
    pub fn try_operate(&self, index: usize, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_hickoryledge"))
            .args([
                "--daemon",
                &self.daemons[index].operator.to_string(),
                "--token",
                TOKEN,
                "--json",
            ])
            .args(args)
            .output()
            .expect("command should run")
    }

    /// Returns the lines of a daemon's status report.
    pub fn status(&self, index: usize) -> Vec<Value> {
        let output = self.try_operate(index, &["status"]);
        let stdout = String::from_utf8_lossy(&output.stdout);
        stdout
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Waits until a daemon reports a group as serving.
    pub fn wait_serving(&self, index: usize, group: &str) {
        wait_for(&format!("{group} to serve"), || {
            let status = self.status(index);
            let serving = |line: &Value| line["group"] == *group && line["state"] == "serving";
            status.iter().any(serving).then_some(())
        });
    }

    /// Streams a completion through a daemon.
    pub fn complete(&self, index: usize, prompt: &str, max_tokens: u32) -> CallResponse {
        self.complete_with(index, prompt, max_tokens, &[])
    }

    /// Streams a completion through a daemon, with extra headers.
    pub fn complete_with(
        &self,
        index: usize,
        prompt: &str,
        max_tokens: u32,
        headers: &[(&str, &str)],
    ) -> CallResponse {
        let body = json!({"model": "drafting-llm", "prompt": prompt, "max_tokens": max_tokens, "stream": true});
        self.call(index, "POST", "/v1/completions", headers, body.to_string())
    }

    /// Makes a call through a daemon with the account's API key.
    pub fn call(
        &self,
        index: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> CallResponse {
        let key = format!("Bearer {KEY}");
        let mut all = vec![("authorization", key.as_str())];
        all.extend_from_slice(headers);
        self.http(self.daemons[index].caller, method, path, &all, body)
    }

    /// Sends one request and reads the response.
    pub fn http(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> CallResponse {
        http_call(address, method, path, headers, body)
    }

    /// Injects a fault into a runner.
    pub fn runner_fault(&self, name: &str, fault: Value) {
        let response = self.http(
            self.runner(name).address,
            "POST",
            "/fault",
            &[],
            fault.to_string(),
        );
        assert_eq!(response.status, 200, "{response:?}");
    }

    /// Injects a fault into the simulated platform.
    pub fn platform_fault(&self, fault: Value) {
        let response = self.http(self.host_list, "POST", "/fault", &[], fault.to_string());
        assert_eq!(response.status, 200, "{response:?}");
    }

    /// Marks a host as leaving, or not, in the list of hosts.
    pub fn set_leaving(&self, name: &str, leaving: bool) {
        let body = json!({"leaving": leaving}).to_string();
        let response = self.http(self.host_list, "POST", &format!("/hosts/{name}"), &[], body);
        assert_eq!(response.status, 200, "{response:?}");
    }

    /// Kills the process of a runner.
    pub fn kill_runner(&mut self, name: &str) {
        let index = self.runners.iter().position(|runner| runner.name == name);
        self.runner_processes[index.expect("runner should exist")].kill();
    }

    /// Returns a group's placement as one daemon reports it.
    pub fn group(&self, index: usize, name: &str) -> Option<Value> {
        let status = self.status(index);
        status.into_iter().find(|line| line["group"] == *name)
    }

    /// Returns the hosts of a group, the leading one first.
    pub fn group_hosts(&self, index: usize, name: &str) -> Vec<String> {
        let group = self.group(index, name).unwrap_or_default();
        let hosts = group["hosts"].as_array().cloned().unwrap_or_default();
        hosts
            .iter()
            .filter_map(Value::as_str)
            .map(str::to_owned)
            .collect()
    }

    /// Returns a daemon's response to `GET /v1/entries`.
    pub fn entries(&self, index: usize) -> Value {
        let response = self.call(index, "GET", "/v1/entries", &[], String::new());
        serde_json::from_str(&response.body).unwrap_or_default()
    }

    /// Returns the names of the daemons that a daemon lists for callers.
    pub fn listed_daemons(&self, index: usize) -> Vec<String> {
        let entries = self.entries(index);
        let entries = entries["entries"].as_array().cloned().unwrap_or_default();
        let names = entries.iter().filter_map(|entry| entry["daemon"].as_str());
        names.map(str::to_owned).collect()
    }

    /// Returns the number of requests that runners are running or queuing.
    pub fn active_runs(&self) -> u64 {
        let count = |runner: &Runner| {
            let response = self.http(runner.address, "GET", "/runs", &[], String::new());
            let runs: Value = serde_json::from_str(&response.body).unwrap_or_default();
            runs["running"].as_u64().unwrap_or(0)
        };
        self.runners.iter().map(count).sum()
    }

    /// Returns how many times runners have started a request with this body.
    pub fn started_runs(&self, body: &str) -> u64 {
        let count = |runner: &Runner| {
            let response = self.http(runner.address, "GET", "/runs", &[], String::new());
            let runs: Value = serde_json::from_str(&response.body).unwrap_or_default();
            runs["begun"][body].as_u64().unwrap_or(0)
        };
        self.runners.iter().map(count).sum()
    }

    /// Returns the runner of a host.
    pub fn runner(&self, name: &str) -> &Runner {
        self.runners
            .iter()
            .find(|runner| runner.name == name)
            .expect("runner should exist")
    }
}

/// Sends one request and reads the response; the status is 0 if none arrives.
pub fn http_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> CallResponse {
    let (response, in_time) = call_with_timeout(WAIT_TIMEOUT, address, method, path, headers, body);
    assert!(
        in_time,
        "no complete response from {address} in {WAIT_TIMEOUT:?}"
    );
    response
}

/// Sends one request and reads the response until a timeout, after which the caller
/// disconnects; also returns true if the response ended before the timeout.
pub fn call_with_timeout(
    timeout: Duration,
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> (CallResponse, bool) {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string());
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body)))
        .expect("request should be valid");
    let mut response = CallResponse::default();
    let runtime = compio::runtime::Runtime::new().expect("runtime should start");
    let read = runtime.block_on(async {
        compio::time::timeout(timeout, read(address, request, &mut response)).await
    });
    (response, read.is_ok())
}

async fn read(address: SocketAddr, request: Request<Full<Bytes>>, response: &mut CallResponse) {
    let Ok(incoming) = send_once(address, request).await else {
        return;
    };
    response.status = incoming.status().as_u16();
    let outcome = incoming.headers().get("x-outcome");
    let outcome = outcome.and_then(|value| value.to_str().ok());
    response.outcome = outcome.unwrap_or_default().to_owned();
    let mut body = incoming.into_body();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return;
        };
        let data = frame.data_ref().map(Bytes::as_ref).unwrap_or_default();
        response.body.push_str(&String::from_utf8_lossy(data));
    }
    response.body_complete = true;
}

/// Returns the text that simulated engines generate for a prompt.
pub fn completion_text(prompt: &str, tokens: u32) -> String {
    let digest = xxhash_rust::xxh3::xxh3_64(prompt.as_bytes()) as u16;
    (0..tokens)
        .map(|position| format!("{digest:04x}.{position} "))
        .collect()
}

fn launch(name: &str, settings: PathBuf, extra: &[&str]) -> Daemon {
    let path = settings.to_str().expect("path should be UTF-8");
    let program = Path::new(env!("CARGO_BIN_EXE_hickoryledge"));
    let process = Process::start(program, &[&["run", "--settings", path], extra].concat());
    let line = process.line_with("caller");
    Daemon {
        name: name.to_owned(),
        caller: address(&line["caller"]),
        peer: address(&line["peer"]),
        operator: address(&line["operator"]),
        process,
        settings,
    }
}

fn address(value: &Value) -> SocketAddr {
    value
        .as_str()
        .and_then(|text| text.parse().ok())
        .expect("address should be valid")
}

/// Returns the path of a program built from `examples/`.
pub fn example(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("path of the test should be known");
    let folder = test
        .parent()
        .and_then(Path::parent)
        .expect("test should be in target/*/deps");
    folder.join("examples").join(name)
}
