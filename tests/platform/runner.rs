//! A stand-in of a runner: it answers as its script says.

use super::store::Store;
use serde_json::{Value, json};
use std::{
    collections::VecDeque,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    time::Duration,
};

/// What a runner does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Answers with this status and body.
    Answer(u16, &'static str),
    /// Answers, and says that all its slots are taken and more requests wait.
    AnswerFull,
    /// Says that it did not run it.
    Decline,
    /// Runs it and closes the connection.
    LoseAnswer,
    /// Answers in the name of another request.
    WrongEcho,
    /// Answers without a length, whole.
    Unframed(&'static str),
    /// Sends events from the one after the caller's last up to this one, then ends or breaks off.
    Events { last: u64, whole: bool },
    /// Answers after a while.
    Slow(Duration, &'static str),
}

/// A request as a runner got it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The first line.
    pub line: String,
    /// The other lines of its head, in lower case.
    pub head: Vec<String>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Seen {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let start = format!("{name}: ");
        self.head.iter().find_map(|line| line.strip_prefix(&start))
    }
}

/// What comes next; runners may share it.
pub type Script = Arc<Mutex<VecDeque<Act>>>;

/// A runner.
pub struct Runner {
    /// Its name.
    pub name: &'static str,
    script: Script,
    seen: Mutex<Vec<Seen>>,
    entry: Mutex<Value>,
    store: Arc<Store>,
}

impl Runner {
    /// Starts a runner and registers it.
    pub fn start(
        name: &'static str,
        service: &str,
        domain: Option<&str>,
        store: Arc<Store>,
        script: Script,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let entry = json!({
            "Service": service, "Address": address, "Zone": "hall", "Version": "v1",
            "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Phase": "unified",
            "Models": [], "Staged": [], "Domain": domain, "born": 7, "Seq": 1,
        });
        let runner = Arc::new(Self {
            name,
            script,
            seen: Mutex::default(),
            entry: Mutex::new(entry),
            store,
        });
        runner.register();
        let serving = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = serving.clone();
                std::thread::spawn(move || runner.serve(stream));
            }
        });
        runner
    }

    /// Says what to do with the next request.
    pub fn next(&self, act: Act) {
        self.script.lock().expect("not poisoned").push_back(act);
    }

    /// The requests that came.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("not poisoned").clone()
    }

    fn register(&self) {
        let entry = self.entry.lock().expect("not poisoned").to_string();
        self.store.put(&format!("servers/{}", self.name), &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        let mut stream = stream;
        while let Some(seen) = read(&mut reader) {
            if !self.answer(&mut stream, seen) {
                // The peer may have gone already.
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Answers one request; false if the connection is to end.
    fn answer(&self, stream: &mut TcpStream, seen: Seen) -> bool {
        if seen.line.starts_with("GET /report") {
            let entry = self.entry.lock().expect("not poisoned").to_string();
            return write(stream, 200, "", &entry);
        }
        if seen.line.starts_with("POST /order") {
            self.obey(&serde_json::from_slice(&seen.body).expect("an order"));
            return write(stream, 202, "", "");
        }
        let id = seen.header("x-request-id").unwrap_or_default().to_owned();
        let after = seen.header("last-event-id").and_then(|id| id.parse().ok());
        self.seen.lock().expect("not poisoned").push(seen);
        let act = self.script.lock().expect("not poisoned").pop_front();
        let proof = format!(
            "X-Request-Id: {id}\r\nX-Response-Stamp: of-{}\r\n",
            self.name
        );
        match act.unwrap_or(Act::Answer(200, "usual")) {
            Act::Answer(status, body) => write(stream, status, &proof, body),
            Act::AnswerFull => {
                let head = format!("{proof}X-Server-Load: 8,8,8\r\n");
                write(stream, 200, &head, "usual")
            }
            Act::Decline => write(stream, 503, &format!("{proof}X-Not-Run: 1\r\n"), ""),
            Act::LoseAnswer => false,
            Act::WrongEcho => {
                let other = "X-Request-Id: another\r\nX-Response-Stamp: old\r\n";
                write(stream, 200, other, "another's")
            }
            Act::Unframed(body) => {
                send(stream, &format!("HTTP/1.1 200 OK\r\n{proof}\r\n{body}"));
                false
            }
            Act::Events { last, whole } => {
                events(stream, &proof, after.unwrap_or(0), last);
                if whole {
                    send(stream, "0\r\n\r\n");
                }
                false
            }
            Act::Slow(time, body) => {
                std::thread::sleep(time);
                write(stream, 200, &proof, body)
            }
        }
    }

    /// Carries out an order at once.
    fn obey(&self, order: &Value) {
        {
            let mut entry = self.entry.lock().expect("not poisoned");
            match order["Op"].as_str() {
                Some("join") => {
                    let members = order["Members"].as_array().expect("members");
                    let rank = members.iter().position(|member| member == self.name);
                    entry["Models"] = json!([{"Name": order["Model"], "Version": 1}]);
                    entry["Staged"] = json!([order["Model"]]);
                    entry["group"] = json!({
                        "Name": order["group"], "epoch": order["epoch"],
                        "rank": rank, "State": "ready",
                    });
                }
                Some("open") => entry["group"]["State"] = json!("open"),
                Some("close") => entry["group"]["State"] = json!("ready"),
                _ => {}
            }
        }
        self.register();
    }
}

/// Reads one request.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Seen> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let line = lines.remove(0);
    let head: Vec<String> = lines
        .iter()
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| format!("{}: {value}", name.to_lowercase()))
        .collect();
    let mut seen = Seen {
        line,
        head,
        body: Vec::new(),
    };
    let length = seen
        .header("content-length")
        .and_then(|text| text.parse().ok());
    seen.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut seen.body).ok()?;
    Some(seen)
}

fn events(stream: &mut TcpStream, proof: &str, after: u64, last: u64) {
    let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    send(stream, &format!("HTTP/1.1 200 OK\r\n{kind}{proof}\r\n"));
    for id in after + 1..=last {
        let event = format!("id: {id}\ndata: e{id}\n\n");
        send(stream, &format!("{:x}\r\n{event}\r\n", event.len()));
    }
}

/// Writes one answer.
pub fn write(stream: &mut TcpStream, status: u16, head: &str, body: &str) -> bool {
    let length = body.len();
    send(
        stream,
        &format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n{head}\r\n{body}"),
    )
}

fn send(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}
