//! Environment of the tests: a daemon, a fake store, fake runners, and calls to the daemon.

use super::{
    client::{Response, send_request},
    config::{self, API_KEY},
    http,
    memory::peak_memory,
    runner::{Runner, Script},
    store::Store,
};
use hickoryledge::platform::SETTINGS_VARIABLE;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;
use std::{
    fs::File,
    io::{BufRead, BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::Arc,
    thread::JoinHandle,
    time::{Duration, Instant},
};

/// Timeout of a condition; long, because the machine may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of a daemon under test.
pub struct DaemonSettings {
    /// Name, the same in every run.
    pub name: String,
    /// Hall that the daemon runs in.
    pub hall: &'static str,
    /// Address of the store.
    pub store: SocketAddr,
    /// Grace period of a stop.
    pub grace: Duration,
    /// Time for which callers may keep a directory response.
    pub ttl: Duration,
    /// Processor time of the host, in cores.
    pub cores: f64,
    /// Addresses for callers, readiness probes, directory requests and peers; port 0 selects a
    /// free port.
    pub listen: [SocketAddr; 4],
    /// Address for requests that other daemons pass on; port 0 selects a free port.
    pub relay: SocketAddr,
    /// Time within which an evacuated hall gets no more requests; none if halls aren't evacuated.
    pub evacuation: Option<Duration>,
    /// Token of the operators, if they may send queries.
    pub operator_token: Option<&'static str>,
    /// File to which log lines are appended, if they are kept.
    pub log: Option<PathBuf>,
}

impl DaemonSettings {
    /// Returns settings with free ports and a log that isn't kept.
    pub fn new(name: &str, store: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            hall: "hall",
            store,
            grace: Duration::from_secs(3),
            ttl: Duration::from_secs(2),
            cores: 0.25,
            listen: [SocketAddr::from(([127, 0, 0, 1], 0)); 4],
            relay: SocketAddr::from(([127, 0, 0, 1], 0)),
            evacuation: None,
            operator_token: None,
            log: None,
        }
    }

    /// Returns the settings as the text of a file.
    pub fn text(&self) -> String {
        let [caller, ready, directory, peer] = self.listen;
        let cores = self.cores;
        let (name, hall) = (&self.name, self.hall);
        let (store, relay) = (self.store, self.relay);
        let (grace, ttl) = (self.grace.as_millis(), self.ttl.as_millis());
        let evacuation = self.evacuation.map_or(String::new(), |span| {
            format!("evacuation_ms: {}\n", span.as_millis())
        });
        let token = self
            .operator_token
            .map_or(String::new(), |token| format!("operator_token: {token}\n"));
        format!(
            "name: {name}\nhall: {hall}\nlisten:\n  caller: {caller}\n  ready: {ready}\n  \
             directory: {directory}\n  peer: {peer}\n  relay: {relay}\nstore: {store}\nretry:\n  ratio: 0.2\n  \
             slack: 100\n  window_s: 10\ngrace_ms: {grace}\nentries_ms: {ttl}\ncores: {cores}\n\
             first: true\n{evacuation}{token}"
        )
    }
}

/// Opens a log file to append to it.
fn open_log(path: &Path) -> File {
    let opened = File::options().create(true).append(true).open(path);
    opened.expect("the log file opens")
}

/// Directory of the logs of a test's daemons, which is left behind if the test fails.
struct Logs(PathBuf);

impl Logs {
    /// Creates an empty directory for the test that this thread runs.
    fn new() -> Self {
        let thread = std::thread::current();
        let test = thread.name().unwrap_or("test").replace("::", "-");
        let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join("platform")
            .join(test);
        // There is none unless the test failed before.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("the directory of the logs is created");
        Self(path)
    }

    /// Returns the log file of a daemon.
    fn file(&self, daemon: &str) -> PathBuf {
        self.0.join(format!("{daemon}.log"))
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        if std::thread::panicking() {
            return eprintln!("the logs of the daemons are in {}", self.0.display());
        }
        // Left behind, the logs only take space.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Daemon as a separate process, which is killed when dropped. No task of it may have panicked.
pub struct Daemon {
    process: Child,
    /// Passes the messages of panics on, and returns their number.
    errors: Option<JoinHandle<usize>>,
    /// True if the daemon is expected to panic.
    pub may_panic: bool,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for readiness probes and metrics.
    pub ready_address: SocketAddr,
    /// Address for directory requests.
    pub directory_address: SocketAddr,
}

impl Daemon {
    /// Starts a daemon with the given settings.
    pub fn start_with(settings: &DaemonSettings) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hickoryledge"));
        command.arg("platform");
        Self::start_command(command, settings)
    }

    /// Starts a daemon by a command that finds the settings file in a variable.
    pub fn start_command(mut command: Command, settings: &DaemonSettings) -> Self {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let path = directory.path().join("settings.yaml");
        std::fs::write(&path, settings.text()).expect("written");
        let mut process = command
            .env(SETTINGS_VARIABLE, &path)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let errors = BufReader::new(process.stderr.take().expect("piped"));
        let errors = std::thread::spawn(move || count_panics(errors));
        let mut lines = BufReader::new(process.stdout.take().expect("piped")).lines();
        let mut first_lines = lines.by_ref().map_while(Result::ok);
        let first_line = first_lines.find(|line| line.contains('{'));
        let first_line = first_line.expect("a log line");
        let (_, text) = first_line.split_at(first_line.find('{').expect("found"));
        let line: Value = serde_json::from_str(text).expect("a log line");
        let mut log = settings.log.as_deref().map(open_log);
        // An unread log would fill the pipe and block the daemon.
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some(file) = &mut log {
                    writeln!(file, "{line}").expect("the log is written");
                }
            }
        });
        let address_of = |name: &str| -> SocketAddr {
            let text = line[name].as_str().expect("an address");
            text.parse().expect("an address")
        };
        Self {
            process,
            errors: Some(errors),
            may_panic: false,
            caller_address: address_of("caller"),
            ready_address: address_of("ready"),
            directory_address: address_of("directory"),
        }
    }

    /// Returns the exit status of the process, once it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.process.try_wait().expect("a child process")
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> ExitStatus {
        self.process.wait().expect("a child process")
    }

    /// Returns the identifier of the process.
    pub fn pid(&self) -> Pid {
        Pid::from_raw(self.process.id() as i32)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill(self.pid(), signal).expect("signalled");
    }

    /// Returns the most memory that the process has had resident so far, in bytes.
    pub fn peak_memory(&self) -> usize {
        peak_memory(self.process.id())
    }

    /// Returns the value of a metric; zero if it was never set.
    pub fn metric(&self, name: &str) -> f64 {
        let response = send_request(self.ready_address, "GET", "/metrics", &[], "");
        let lines = response.body.lines();
        let value = lines.filter_map(|line| line.strip_prefix(name)).next();
        value.map_or(0.0, |text| text.trim().parse().expect("a number"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let errors = self.errors.take().expect("joined only here");
        let panics = errors.join().expect("the messages are read");
        // A panic ends its task alone, which the daemon may lack from then on.
        assert!(
            panics == 0 || self.may_panic || std::thread::panicking(),
            "{panics} panics in the daemon"
        );
    }
}

/// Copies the messages of a daemon to those of the test, and returns how many are of panics.
fn count_panics<R>(lines: R) -> usize
where
    R: BufRead,
{
    let lines = lines.lines().map_while(Result::ok);
    let lines = lines.inspect(|line| eprintln!("{line}"));
    lines.filter(|line| line.contains("panicked at")).count()
}

/// Daemon with its store and its runners.
pub struct TestEnv {
    /// Fake store.
    pub store: Arc<Store>,
    /// Runners of a plain service.
    pub plain_runners: [Arc<Runner>; 2],
    /// Heads of a model whose replicas have one host each.
    pub heads: [Arc<Runner>; 2],
    /// The daemon.
    pub daemon: Daemon,
    store_address: SocketAddr,
    /// Dropped last, when no daemon writes any more.
    logs: Logs,
}

impl TestEnv {
    /// Starts the environment and waits until requests are served.
    pub fn start() -> Self {
        Self::unconfigured().served()
    }

    /// Writes a configuration and waits until requests are served.
    pub fn served(self) -> Self {
        self.configure(1);
        self.eventually("requests are served", |env| {
            env.call("GET", "/read/x", &[], "").status == 200
                && env.stream(&[]).status == 200
                && env.both_heads_serve()
        });
        self
    }

    /// Starts the environment without a configuration.
    pub fn unconfigured() -> Self {
        Self::unconfigured_in(["hall"; 2], None)
    }

    /// Starts the environment without a configuration, with a plain runner and a head in each of two
    /// halls.
    pub fn unconfigured_in(halls: [&str; 2], evacuation: Option<Duration>) -> Self {
        let store = Arc::new(Store::default());
        let address = serve_store(store.clone());
        let plain_runners = ["p1", "p2"]
            .map(|name| Runner::start(name, "plain", None, store.clone(), Script::default()));
        let shared_script = Script::default();
        let heads = ["h1", "h2"].map(|name| {
            Runner::start(
                name,
                "engines",
                Some(name),
                store.clone(),
                shared_script.clone(),
            )
        });
        for runners in [&plain_runners, &heads] {
            let in_halls = runners.iter().zip(halls);
            in_halls.for_each(|(runner, hall)| runner.set_hall(hall));
        }
        let logs = Logs::new();
        let settings = DaemonSettings {
            evacuation,
            log: Some(logs.file("d1")),
            ..DaemonSettings::new("d1", address)
        };
        Self {
            store,
            plain_runners,
            heads,
            daemon: Daemon::start_with(&settings),
            store_address: address,
            logs,
        }
    }

    /// Writes a version of the configuration; odd versions route `/moved/` to the plain service.
    pub fn configure(&self, version: u64) {
        config::write(&self.store, version);
    }

    /// Returns the address of the store.
    pub fn store_address(&self) -> SocketAddr {
        self.store_address
    }

    /// Starts a further daemon on the same store.
    pub fn start_daemon(&self, name: &str) -> Daemon {
        Self::start_logged(name, self.store_address, &self.logs)
    }

    /// Starts a further daemon with settings of its own.
    pub fn start_daemon_with(&self, mut settings: DaemonSettings) -> Daemon {
        settings.log = Some(self.logs.file(&settings.name));
        Daemon::start_with(&settings)
    }

    /// Returns the file to which a daemon's log lines are appended.
    pub fn log_path(&self, daemon: &str) -> PathBuf {
        self.logs.file(daemon)
    }

    /// Returns the log lines of a daemon so far.
    pub fn log_of(&self, daemon: &str) -> String {
        let path = self.logs.file(daemon);
        std::fs::read_to_string(path).expect("the log is read")
    }

    /// Sends a request with the API key to the daemon.
    pub fn call(&self, method: &str, path: &str, headers: &[&str], body: &str) -> Response {
        self.call_at(&self.daemon, method, path, headers, body)
    }

    /// Sends a request with the API key to one of several daemons.
    pub fn call_at(
        &self,
        daemon: &Daemon,
        method: &str,
        path: &str,
        headers: &[&str],
        body: &str,
    ) -> Response {
        let key = format!("Authorization: Bearer {API_KEY}");
        let headers: Vec<&str> = headers.iter().copied().chain([key.as_str()]).collect();
        send_request(daemon.caller_address, method, path, &headers, body)
    }

    /// Requests a stream from the model.
    pub fn stream(&self, headers: &[&str]) -> Response {
        let model = ["X-Model: m", "X-Token-Count: 100,20"];
        let headers: Vec<&str> = headers.iter().copied().chain(model).collect();
        self.call("POST", "/chat/x", &headers, "{}")
    }

    /// Starts a daemon on free ports, with a log in a directory.
    fn start_logged(name: &str, store: SocketAddr, logs: &Logs) -> Daemon {
        let mut settings = DaemonSettings::new(name, store);
        settings.log = Some(logs.file(name));
        Daemon::start_with(&settings)
    }

    /// Waits until a condition holds; `condition` describes it in the failure message.
    pub fn eventually<F>(&self, condition: &str, holds: F)
    where
        F: Fn(&Self) -> bool,
    {
        wait_until(condition, || holds(self));
    }

    /// Returns the number of paced streams that run at the heads.
    pub fn running_streams(&self) -> usize {
        self.heads.iter().map(|head| running(head)).sum()
    }

    /// Returns the number of late responses that plain runners work on.
    pub fn running_requests(&self) -> usize {
        let runners = self.plain_runners.iter();
        runners.map(|runner| running(runner)).sum()
    }

    /// Sends SIGTERM to the daemon.
    pub fn terminate(&self) {
        self.daemon.signal(Signal::SIGTERM);
    }

    /// Sends streams to the heads; returns true once each has received a request.
    fn both_heads_serve(&self) -> bool {
        (0..20).for_each(|_| {
            self.stream(&[]);
        });
        self.heads.iter().all(|head| !head.requests().is_empty())
    }
}

/// Returns the number of runs that a runner has not ended.
fn running(runner: &Runner) -> usize {
    let runs = runner.runs();
    runs.iter().filter(|run| run.end.is_none()).count()
}

/// Waits until a condition holds; `condition` describes it in the failure message.
pub fn wait_until<F>(condition: &str, holds: F)
where
    F: Fn() -> bool,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {condition}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Serves the store on a free port and returns its address.
pub fn serve_store(store: Arc<Store>) -> SocketAddr {
    serve_store_as(store, |body| body)
}

/// Serves the store on a free port, with changed bodies of responses, and returns its address.
pub fn serve_store_as<F>(store: Arc<Store>, change: F) -> SocketAddr
where
    F: Fn(String) -> String + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (store, change) = (store.clone(), change.clone());
            std::thread::spawn(move || serve_calls(&store, stream, change));
        }
    });
    address
}

/// Serves the calls on one connection.
fn serve_calls<F>(store: &Store, stream: TcpStream, change: F)
where
    F: Fn(String) -> String,
{
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let mut stream = stream;
    while let Some(request) = http::read_request(&mut reader) {
        let mut words = request.request_line.split(' ');
        let method = words.next().unwrap_or_default();
        let uri = words.next().unwrap_or_default();
        let (path, query) = uri.split_once('?').unwrap_or((uri, ""));
        let deadline = Instant::now() + store.watch_wait(path, query);
        let (status, body) = loop {
            let is_due = Instant::now() >= deadline;
            if let Some(response) = store.respond(method, path, query, &request.body, is_due) {
                break response;
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        let head = store.response_head();
        if let Some(trouble) = store.trouble() {
            return store.troubles.write(trouble, &mut stream, &head, 1);
        }
        if !http::write_response(&mut stream, status, &head, &change(body.to_string())) {
            return;
        }
    }
}
