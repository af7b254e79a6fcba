//! Environment of the tests: a daemon, a fake store, fake runners, and calls to the daemon.

use super::{
    runner::{Runner, Script},
    store::Store,
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

/// Timeout of a condition; long, because the machine may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// API key that requests carry.
pub const API_KEY: &str = "secret-key";

/// Response as a caller received it.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status; 0 if there was none.
    pub status: u16,
    /// Head, in lower case.
    pub head: String,
    /// Body, without its chunked encoding.
    pub body: String,
    /// False if a chunked body ended before its last chunk.
    pub is_complete: bool,
}

/// Daemon as a separate process, which is killed when dropped.
pub struct Daemon {
    process: Child,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for readiness probes and metrics.
    pub ready_address: SocketAddr,
    /// Address for directory requests.
    pub directory_address: SocketAddr,
}

impl Daemon {
    /// Starts a daemon that uses the store at an address.
    pub fn start(name: &str, store: SocketAddr) -> Self {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let path = directory.path().join("settings.yaml");
        let settings = format!(
            "name: {name}\nhall: hall\nlisten:\n  caller: 127.0.0.1:0\n  ready: 127.0.0.1:0\n  \
             directory: 127.0.0.1:0\n  peer: 127.0.0.1:0\nstore: {store}\nretry:\n  ratio: 0.2\n  \
             slack: 100\n  window_s: 10\ngrace_ms: 3000\nentries_ms: 2000\ncores: 0.25\n\
             first: true\n"
        );
        std::fs::write(&path, settings).expect("written");
        let mut process = Command::new(env!("CARGO_BIN_EXE_hickoryledge"))
            .arg("platform")
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let mut lines = BufReader::new(process.stdout.take().expect("piped")).lines();
        let first_line = lines.next().expect("a line").expect("text");
        let line: Value = serde_json::from_str(&first_line).expect("a log line");
        // An unread log would fill the pipe and block the daemon.
        std::thread::spawn(move || lines.for_each(drop));
        let address_of = |name: &str| -> SocketAddr {
            let text = line[name].as_str().expect("an address");
            text.parse().expect("an address")
        };
        Self {
            process,
            caller_address: address_of("caller"),
            ready_address: address_of("ready"),
            directory_address: address_of("directory"),
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.process.id() as i32);
        kill(pid, signal).expect("signalled");
    }

    /// Returns the most memory that the process has had resident so far, in bytes.
    pub fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.expect("a peak").trim().trim_end_matches(" kB");
        kilobytes.parse::<usize>().expect("a number") << 10
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
    }
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
}

impl TestEnv {
    /// Starts the environment and waits until requests are served.
    pub fn start() -> Self {
        let env = Self::unconfigured();
        env.configure(1);
        env.eventually("requests are served", |env| {
            env.call("GET", "/read/x", &[], "").status == 200
                && env.stream(&[]).status == 200
                && env.both_heads_serve()
        });
        env
    }

    /// Starts the environment without a configuration.
    pub fn unconfigured() -> Self {
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
        Self {
            store,
            plain_runners,
            heads,
            daemon: Daemon::start("d1", address),
            store_address: address,
        }
    }

    /// Writes a version of the configuration; odd versions route `/moved/` to the plain service.
    pub fn configure(&self, version: u64) {
        let route = |prefix: &str, kind: &str, service: &str, attempts: u32| {
            json!({
                "Name": prefix, "Host": "a.example", "Prefix": prefix, "Kind": kind,
                "TimeoutMs": 4000, "SloMs": 400, "Priority": 1, "Service": service,
                "Attempts": attempts, "Public": false, "Sticky": kind == "stream",
                "Resumable": kind == "stream", "GapAimMs": 250,
            })
        };
        let mut routes = vec![
            route("/read/", "safe", "plain", 2),
            route("/once/", "unsafe", "plain", 1),
            route("/chat/", "stream", "engines", 2),
        ];
        if version % 2 == 1 {
            routes.push(route("/moved/", "safe", "plain", 2));
        }
        let engine = json!({
            "Slots": 8, "Stride": 6, "step_ms": 6.45, "per_seq_ms": 0.1, "read_per_s": 56100.0,
            "chunk": 2048, "usual": {"prompt": 1115, "answer": 152}, "LoadsPerS": 5.5,
            "loads_at_once": 8, "FormMs": 300.0,
            "Models": [{"Name": "m", "size": 1, "Share": 1.0, "pace": 1.0, "LoadS": 1.0, "WarmS": 0.1}],
        });
        let config = json!({
            "Version": version, "Routes": routes,
            "Services": [
                {"Name": "plain", "HealthPath": "/healthz", "MaxConns": 100},
                {"Name": "engines", "HealthPath": "/healthz", "MaxConns": 100, "Engine": engine},
            ],
            "Tenants": [{"Name": "first", "ApiKeys": [API_KEY]}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536,
                "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 20000},
        });
        self.store.put("op/config", &config.to_string());
    }

    /// Starts a further daemon on the same store.
    pub fn start_daemon(&self, name: &str) -> Daemon {
        Daemon::start(name, self.store_address)
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

    /// Waits until a condition holds; `condition` describes it in the failure message.
    pub fn eventually<F>(&self, condition: &str, holds: F)
    where
        F: Fn(&Self) -> bool,
    {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !holds(self) {
            assert!(
                Instant::now() < deadline,
                "timed out waiting until {condition}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
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

/// Sends one request on a new connection and returns the response.
pub fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[&str],
    body: &str,
) -> Response {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: a.example\r\n");
    let defaults = [
        "X-Request-Id: r1",
        "X-Deadline-Ms: 4000",
        "Connection: close",
    ];
    for header in headers.iter().chain(&defaults) {
        text.push_str(&format!("{header}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    stream.write_all(text.as_bytes()).expect("sent");
    let mut bytes = Vec::new();
    // A connection reset ends the response like a close.
    let _ = stream.read_to_end(&mut bytes);
    parse_response(&String::from_utf8_lossy(&bytes))
}

fn parse_response(text: &str) -> Response {
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let head = head.to_lowercase();
    let (body, is_complete) = match head.contains("transfer-encoding: chunked") {
        true => decode_chunked(rest),
        false => (rest.to_owned(), true),
    };
    Response {
        status: status.unwrap_or(0),
        head,
        body,
        is_complete,
    }
}

/// Decodes a chunked body; returns false with it if the last chunk is missing.
fn decode_chunked(mut text: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a chunk size");
        if size == 0 {
            return (body, true);
        }
        if rest.len() < size + 2 {
            break;
        }
        body.push_str(&rest[..size]);
        text = &rest[size + 2..];
    }
    (body, false)
}

/// Serves the store on a free port and returns its address.
fn serve_store(store: Arc<Store>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let store = store.clone();
            std::thread::spawn(move || serve_calls(&store, stream));
        }
    });
    address
}

/// Serves the calls on one connection.
fn serve_calls(store: &Store, stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let mut stream = stream;
    while let Some(request) = super::runner::read_request(&mut reader) {
        let mut words = request.request_line.split(' ');
        let method = words.next().unwrap_or_default();
        let uri = words.next().unwrap_or_default();
        let (path, query) = uri.split_once('?').unwrap_or((uri, ""));
        let deadline = Instant::now() + store.watch_wait(path, query);
        let (status, body) = loop {
            if let Some(response) = store.respond(method, path, query, &request.body) {
                break response;
            }
            if Instant::now() >= deadline {
                break (200, store.no_changes());
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        let head = store.response_head();
        if let Some(trouble) = store.trouble() {
            return store.troubles.write(trouble, &mut stream, &head, 1);
        }
        if !super::runner::write_response(&mut stream, status, &head, &body.to_string()) {
            return;
        }
    }
}
