//! A daemon before a store and runners of our own, and a caller.

use super::{
    runner::{Runner, Script},
    store::Store,
};
use serde_json::{Value, json};
use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

/// How long something that must come may take on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);

/// The key that all requests carry.
pub const KEY: &str = "secret-key";

/// An answer as a caller got it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status; 0 if there was none.
    pub status: u16,
    /// Its head, in lower case.
    pub head: String,
    /// Its body, unframed.
    pub body: String,
    /// Whether it came to its end.
    pub whole: bool,
}

/// A daemon, its store and its runners.
pub struct TestEnv {
    /// The store.
    pub store: Arc<Store>,
    /// Two runners of a plain service.
    pub plain: [Arc<Runner>; 2],
    /// Two heads of a model with replicas of one host.
    pub heads: [Arc<Runner>; 2],
    daemon: Child,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where readiness is asked.
    pub ready: SocketAddr,
    /// Where addresses are asked.
    pub directory: SocketAddr,
}

impl TestEnv {
    /// Starts everything and waits until requests can be served.
    pub fn start() -> Self {
        let env = Self::unconfigured();
        env.configure(1);
        env.eventually("requests are served", |env| {
            env.call("GET", "/read/x", &[], "").status == 200
                && env.stream(&[]).status == 200
                && env.both_heads_open()
        });
        env
    }

    /// Starts everything but without a configuration.
    pub fn unconfigured() -> Self {
        let store = Arc::new(Store::default());
        let address = serve_store(store.clone());
        let plain = ["p1", "p2"]
            .map(|name| Runner::start(name, "plain", None, store.clone(), Script::default()));
        let shared = Script::default();
        let heads = ["h1", "h2"]
            .map(|name| Runner::start(name, "engines", Some(name), store.clone(), shared.clone()));
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("settings.yaml");
        let settings = format!(
            "name: d1\nhall: hall\nlisten:\n  caller: 127.0.0.1:0\n  ready: 127.0.0.1:0\n  \
             directory: 127.0.0.1:0\nstore: {address}\nretry:\n  ratio: 0.2\n  slack: 100\n  \
             window_s: 10\ngrace_ms: 3000\nentries_ms: 2000\nfirst: true\n"
        );
        std::fs::write(&path, settings).expect("written");
        let mut daemon = Command::new(env!("CARGO_BIN_EXE_hickoryledge"))
            .arg("platform")
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let mut lines = BufReader::new(daemon.stdout.take().expect("piped")).lines();
        let first = lines.next().expect("a line").expect("text");
        let line: Value = serde_json::from_str(&first).expect("a log line");
        // The log must be read, or the daemon's pipe fills up.
        std::thread::spawn(move || lines.for_each(drop));
        let at = |name: &str| -> SocketAddr {
            let text = line[name].as_str().expect("an address");
            text.parse().expect("an address")
        };
        Self {
            store,
            plain,
            heads,
            daemon,
            caller: at("caller"),
            ready: at("ready"),
            directory: at("directory"),
        }
    }

    /// Puts a version in force; odd ones send `/moved/` to the plain service.
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
            "Tenants": [{"Name": "first", "ApiKeys": [KEY]}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536,
                "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 20000},
        });
        self.store.put("op/config", &config.to_string());
    }

    /// Calls the daemon with a key.
    pub fn call(&self, method: &str, path: &str, headers: &[&str], body: &str) -> Answer {
        let key = format!("Authorization: Bearer {KEY}");
        let all: Vec<&str> = headers.iter().copied().chain([key.as_str()]).collect();
        ask(self.caller, method, path, &all, body)
    }

    /// Asks for a stream of the model.
    pub fn stream(&self, headers: &[&str]) -> Answer {
        let model = ["X-Model: m", "X-Token-Count: 100,20"];
        let all: Vec<&str> = headers.iter().copied().chain(model).collect();
        self.call("POST", "/chat/x", &all, "{}")
    }

    /// Waits until something holds.
    pub fn eventually<F>(&self, what: &str, holds: F)
    where
        F: Fn(&Self) -> bool,
    {
        let until = Instant::now() + PATIENCE;
        while !holds(self) {
            assert!(Instant::now() < until, "never: {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Asks the daemon to stop.
    pub fn terminate(&self) {
        let id = nix::unistd::Pid::from_raw(self.daemon.id() as i32);
        nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).expect("signalled");
    }

    fn both_heads_open(&self) -> bool {
        (0..20).for_each(|_| {
            self.stream(&[]);
        });
        self.heads.iter().all(|head| !head.seen().is_empty())
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.daemon.kill();
        let _ = self.daemon.wait();
    }
}

/// Sends one request on a connection of its own.
pub fn ask(address: SocketAddr, method: &str, path: &str, headers: &[&str], body: &str) -> Answer {
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
    // A reset ends the answer as a close does.
    let _ = stream.read_to_end(&mut bytes);
    parse(&String::from_utf8_lossy(&bytes))
}

fn parse(text: &str) -> Answer {
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let head = head.to_lowercase();
    let (body, whole) = match head.contains("transfer-encoding: chunked") {
        true => unchunk(rest),
        false => (rest.to_owned(), true),
    };
    Answer {
        status: status.unwrap_or(0),
        head,
        body,
        whole,
    }
}

fn unchunk(mut text: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a chunk's size");
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

/// Serves the store on a port of its own.
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

fn serve_calls(store: &Store, stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let mut stream = stream;
    while let Some(seen) = super::runner::read(&mut reader) {
        let mut words = seen.line.split(' ');
        let method = words.next().unwrap_or_default();
        let uri = words.next().unwrap_or_default();
        let (path, query) = uri.split_once('?').unwrap_or((uri, ""));
        let until = Instant::now() + store.wait(path, query);
        let (status, body) = loop {
            if let Some(answer) = store.answer(method, path, query, &seen.body) {
                break answer;
            }
            if Instant::now() >= until {
                break (200, store.no_changes());
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        if !super::runner::write(&mut stream, status, "", &body.to_string()) {
            return;
        }
    }
}
