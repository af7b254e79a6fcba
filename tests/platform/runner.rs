//! Fake runner with scripted responses.

use super::store::Store;
use serde_json::{Value, json};
use std::{
    collections::VecDeque,
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{Shutdown, TcpListener, TcpStream},
    ops::Range,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Behavior of a runner towards one request.
#[derive(Clone, Debug)]
pub enum Behavior {
    /// Responds with this status and body.
    Respond(u16, &'static str),
    /// Responds, and reports that all its slots are taken and more requests wait.
    RespondFull,
    /// Reports that it did not run the request.
    Decline,
    /// Reports that it did not run the request, and wants none for some time.
    DeclineFor(&'static str),
    /// Runs the request and closes the connection without a response.
    DropResponse,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Responds in full, without a content length.
    Unframed(&'static str),
    /// Sends the events after the caller's last up to `last`, then ends or interrupts the stream.
    Events { last: u64, is_complete: bool },
    /// Sends the events up to `last` with a pause before each, then ends the stream.
    PacedEvents { last: u64, pause: Duration },
    /// Responds after a delay.
    RespondLate(Duration, &'static str),
}

/// Request as it was received.
#[derive(Clone, Debug)]
pub struct RecordedRequest {
    /// Request line.
    pub request_line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<String>,
    /// Body.
    pub body: Vec<u8>,
}

impl RecordedRequest {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.headers
            .iter()
            .find_map(|line| line.strip_prefix(&prefix))
    }
}

/// Behaviors towards the next requests, in order; runners may share a script.
pub type Script = Arc<Mutex<VecDeque<Behavior>>>;

/// Fake runner.
pub struct Runner {
    /// Name of its host.
    pub name: &'static str,
    script: Script,
    /// Headers of all its responses beyond the usual ones.
    notices: Mutex<String>,
    requests: Mutex<Vec<RecordedRequest>>,
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
            notices: Mutex::default(),
            requests: Mutex::default(),
            entry: Mutex::new(entry),
            store,
        });
        runner.register();
        let acceptor = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = acceptor.clone();
                std::thread::spawn(move || runner.serve(stream));
            }
        });
        runner
    }

    /// Appends a behavior to the script.
    pub fn enqueue(&self, behavior: Behavior) {
        self.script
            .lock()
            .expect("not poisoned")
            .push_back(behavior);
    }

    /// Names a rate limit in all further responses, or none if the text is empty.
    pub fn name_rate_limit(&self, per_second: &str) {
        let header = match per_second {
            "" => String::new(),
            _ => format!("Server-Limit: {per_second}\r\n"),
        };
        *self.notices.lock().expect("not poisoned") = header;
    }

    /// Says in all further responses that it leaves; its entry still says that it is ready.
    pub fn say_leaving(&self) {
        *self.notices.lock().expect("not poisoned") = "Server-Leaving: 1\r\n".to_owned();
    }

    /// Returns true if it is the head of an open group.
    pub fn is_open(&self) -> bool {
        self.entry.lock().expect("not poisoned")["group"]["State"] == "open"
    }

    /// Returns the requests that were received, without probes and orders.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.requests.lock().expect("not poisoned").clone()
    }

    /// Starts a new run of the runner, without a group.
    pub fn restart(&self) {
        {
            let mut entry = self.entry.lock().expect("not poisoned");
            entry["born"] = json!(entry["born"].as_u64().expect("a number") + 1);
            entry["group"] = Value::Null;
            entry["Models"] = json!([]);
        }
        self.register();
    }

    /// Writes the runner's entry to the store.
    pub fn register(&self) {
        let entry = self.entry.lock().expect("not poisoned").to_string();
        self.store.put(&format!("servers/{}", self.name), &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        let mut stream = stream;
        while let Some(request) = read_request(&mut reader) {
            if !self.respond(&mut stream, request) {
                // The peer may have closed the connection already.
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Responds to one request; returns false if the connection must be closed.
    fn respond(&self, stream: &mut TcpStream, request: RecordedRequest) -> bool {
        if request.request_line.starts_with("GET /report") {
            let entry = self.entry.lock().expect("not poisoned").to_string();
            let notices = self.notices.lock().expect("not poisoned").clone();
            return write_response(stream, 200, &notices, &entry);
        }
        if request.request_line.starts_with("POST /order") {
            self.apply_order(&serde_json::from_slice(&request.body).expect("an order"));
            return write_response(stream, 202, "", "");
        }
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let after = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        self.requests.lock().expect("not poisoned").push(request);
        let behavior = self.script.lock().expect("not poisoned").pop_front();
        let own_headers = format!(
            "X-Request-Id: {id}\r\nX-Response-Stamp: of-{}\r\n{}",
            self.name,
            self.notices.lock().expect("not poisoned")
        );
        match behavior.unwrap_or(Behavior::Respond(200, "usual")) {
            Behavior::Respond(status, body) => write_response(stream, status, &own_headers, body),
            Behavior::RespondFull => {
                let head = format!("{own_headers}X-Server-Load: 8,8,8\r\n");
                write_response(stream, 200, &head, "usual")
            }
            Behavior::Decline => {
                write_response(stream, 503, &format!("{own_headers}X-Not-Run: 1\r\n"), "")
            }
            Behavior::DeclineFor(seconds) => {
                let head = format!("{own_headers}X-Not-Run: 1\r\nRetry-After: {seconds}\r\n");
                write_response(stream, 503, &head, "")
            }
            Behavior::DropResponse => false,
            Behavior::WrongRequestId => {
                let other = "X-Request-Id: another\r\nX-Response-Stamp: old\r\n";
                write_response(stream, 200, other, "another's")
            }
            Behavior::Unframed(body) => {
                write_text(
                    stream,
                    &format!("HTTP/1.1 200 OK\r\n{own_headers}\r\n{body}"),
                );
                false
            }
            Behavior::Events { last, is_complete } => {
                write_events(
                    stream,
                    &own_headers,
                    after.unwrap_or(0)..last,
                    Duration::ZERO,
                );
                if is_complete {
                    write_text(stream, "0\r\n\r\n");
                }
                false
            }
            Behavior::PacedEvents { last, pause } => {
                write_events(stream, &own_headers, after.unwrap_or(0)..last, pause);
                write_text(stream, "0\r\n\r\n");
                false
            }
            Behavior::RespondLate(delay, body) => {
                std::thread::sleep(delay);
                write_response(stream, 200, &own_headers, body)
            }
        }
    }

    /// Applies an order at once and updates the runner's entry.
    fn apply_order(&self, order: &Value) {
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
                Some("Phase") => entry["Staged"] = json!([order["Model"]]),
                Some("open") => entry["group"]["State"] = json!("open"),
                Some("close") => entry["group"]["State"] = json!("ready"),
                _ => {}
            }
        }
        self.register();
    }
}

/// Reads one request; returns none if the connection ended.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<RecordedRequest> {
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
    let request_line = lines.remove(0);
    let headers: Vec<String> = lines
        .iter()
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| format!("{}: {value}", name.to_lowercase()))
        .collect();
    let mut request = RecordedRequest {
        request_line,
        headers,
        body: Vec::new(),
    };
    let content_length = request
        .header("content-length")
        .and_then(|text| text.parse().ok());
    request.body = vec![0; content_length.unwrap_or(0)];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Writes the head of a stream and the events after the start of the range, with a pause before
/// each.
fn write_events(stream: &mut TcpStream, own_headers: &str, range: Range<u64>, pause: Duration) {
    let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    write_text(
        stream,
        &format!("HTTP/1.1 200 OK\r\n{kind}{own_headers}\r\n"),
    );
    for id in range.map(|before| before + 1) {
        std::thread::sleep(pause);
        let event = format!("id: {id}\ndata: e{id}\n\n");
        write_text(stream, &format!("{:x}\r\n{event}\r\n", event.len()));
    }
}

/// Writes one response; returns false if the connection ended.
pub fn write_response(stream: &mut TcpStream, status: u16, head: &str, body: &str) -> bool {
    let length = body.len();
    write_text(
        stream,
        &format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n{head}\r\n{body}"),
    )
}

fn write_text(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}
