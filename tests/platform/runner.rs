//! Fake runner with scripted responses.

pub use super::behavior::{Behavior, Script};

use super::{
    crash::Crashes,
    early_end::EarlyResponse,
    http::{
        RecordedRequest, event_chunk, event_text, read_body, read_head, stream_head, write_events,
        write_response, write_text,
    },
    runs::{Run, RunEnd, Runs, Silence},
    store::Store,
    successor::Successor,
    trouble::{Endless, TroubleCount},
};
use serde_json::{Value, json};
use std::{
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    ops::RangeInclusive,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Time from the first event, or from the arrival of a plain request, to the crash that it causes.
const CRASH_DELAY: Duration = Duration::from_millis(80);

/// Interval at which a runner that is silent checks whether it still is.
const CONTROL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Headers of the refusal of an earlier request.
const EARLIER_REFUSAL: &str = "X-Request-Id: earlier\r\nX-Not-Run: 1\r\nRetry-After: 1\r\n";

/// Fake runner.
pub struct Runner {
    /// Name of its host.
    pub name: &'static str,
    script: Script,
    /// Headers of all its responses beyond the usual ones.
    notices: Mutex<String>,
    requests: Mutex<Vec<RecordedRequest>>,
    /// Runs that take time.
    runs: Runs,
    silence: Silence,
    /// What crashes it.
    pub crashes: Crashes,
    /// Bytes that it sends in place of reports and responses to orders.
    control_trouble: Mutex<Option<Endless>>,
    /// Endless responses that it has sent.
    pub troubles: TroubleCount,
    /// Its response to requests that it hasn't read, if it has one.
    early_response: Mutex<Option<EarlyResponse>>,
    /// Another runner that may be at its address.
    pub successor: Successor,
    /// True if it begins each connection with the refusal of an earlier request.
    greets: AtomicBool,
    /// Delay after which it writes each report once more, if it does.
    report_copies: Mutex<Option<Duration>>,
    /// True while it responds to no probe or order.
    is_control_silent: AtomicBool,
    /// True once it has left the store without announcing it: it writes no entry any more.
    is_unlisted: AtomicBool,
    /// Orders with the times at which they came.
    orders: Mutex<Vec<(Instant, Value)>>,
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
            runs: Runs::default(),
            silence: Silence::default(),
            crashes: Crashes::default(),
            control_trouble: Mutex::default(),
            troubles: TroubleCount::default(),
            early_response: Mutex::default(),
            successor: Successor::default(),
            greets: AtomicBool::default(),
            report_copies: Mutex::default(),
            is_control_silent: AtomicBool::default(),
            is_unlisted: AtomicBool::default(),
            orders: Mutex::default(),
            entry: Mutex::new(entry),
            store,
        });
        runner.register();
        let acceptor = runner.clone();
        std::thread::spawn(move || acceptor.accept(listener));
        runner
    }

    /// Serves connections, through crashes and restarts.
    fn accept(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            for stream in listener.incoming().flatten() {
                if self.crashes.is_down() {
                    break;
                }
                let number = self.crashes.track(&stream);
                let runner = self.clone();
                std::thread::spawn(move || {
                    runner.serve(stream);
                    runner.crashes.forget(number);
                });
            }
            listener = self.crashes.reopen(listener);
            self.restart();
        }
    }

    /// Appends a behavior to the script.
    pub fn enqueue(&self, behavior: Behavior) {
        self.script
            .lock()
            .expect("not poisoned")
            .push_back(behavior);
    }

    /// Drops the behaviors that are left in the script.
    pub fn clear_script(&self) {
        self.script.lock().expect("not poisoned").clear();
    }

    /// Names a rate limit in all further responses, or none if the text is empty.
    pub fn name_rate_limit(&self, per_second: &str) {
        let header = match per_second {
            "" => String::new(),
            _ => format!("Server-Limit: {per_second}\r\n"),
        };
        *self.notices.lock().expect("not poisoned") = header;
    }

    /// Reports in its entry for how long it stays cold.
    pub fn report_cold(&self, left: Duration) {
        let millis = left.as_millis() as u64;
        self.entry.lock().expect("not poisoned")["ColdLeftMs"] = json!(millis);
        self.register();
    }

    /// Says in all further responses that it leaves; its entry still says that it is ready.
    pub fn say_leaving(&self) {
        *self.notices.lock().expect("not poisoned") = "Server-Leaving: 1\r\n".to_owned();
    }

    /// Moves to a hall.
    pub fn set_hall(&self, hall: &str) {
        self.entry.lock().expect("not poisoned")["Zone"] = json!(hall);
        self.register();
    }

    /// Reports from now on that it is slower than usual by this factor, and is.
    pub fn slow_down(&self, pace: f64) {
        self.entry.lock().expect("not poisoned")["pace"] = json!(pace);
    }

    /// Begins all further connections with the refusal of an earlier request.
    pub fn greet_with_refusal(&self) {
        self.greets.store(true, Ordering::SeqCst);
    }

    /// Writes each further report once more after a delay, or no longer.
    pub fn copy_reports(&self, delay: Option<Duration>) {
        *self.report_copies.lock().expect("not poisoned") = delay;
    }

    /// Responds to no probe or order, or does so again.
    pub fn silence_control(&self, is_silent: bool) {
        self.is_control_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Returns the orders that were received, with the times at which they came.
    pub fn orders(&self) -> Vec<(Instant, Value)> {
        self.orders.lock().expect("not poisoned").clone()
    }

    /// Sends nothing on paced streams for some time, while it still takes requests.
    pub fn go_silent(&self, span: Duration) {
        self.silence.start(span);
    }

    /// Returns the runs that take time: paced streams and late responses.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.list()
    }

    /// Sends bytes without end in place of all further reports and responses to orders, or no more.
    pub fn trouble_control(&self, trouble: Option<Endless>) {
        *self.control_trouble.lock().expect("not poisoned") = trouble;
    }

    /// Responds to all further requests before it has read them, or no more.
    pub fn respond_early(&self, response: Option<EarlyResponse>) {
        *self.early_response.lock().expect("not poisoned") = response;
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

    /// Ends the runner's process.
    pub fn crash(&self) {
        self.crashes.crash(self.address());
        if self.crashes.is_instant() {
            self.restart();
        }
    }

    /// Returns the address for requests and orders.
    pub fn address(&self) -> SocketAddr {
        let entry = self.entry.lock().expect("not poisoned");
        let address = entry["Address"].as_str().expect("an address");
        address.parse().expect("an address")
    }

    /// Removes the runner's entry for good, while it works on.
    pub fn unregister(&self) {
        self.is_unlisted.store(true, Ordering::SeqCst);
        self.store.delete(&format!("servers/{}", self.name));
    }

    /// Writes the runner's entry to the store, unless it has left that.
    pub fn register(&self) {
        if self.is_unlisted.load(Ordering::SeqCst) {
            return;
        }
        let entry = self.entry.lock().expect("not poisoned").to_string();
        self.store.put(&format!("servers/{}", self.name), &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        let mut stream = stream;
        if self.greets.load(Ordering::SeqCst) {
            write_response(&mut stream, 503, EARLIER_REFUSAL, "");
        }
        while let Some(mut request) = read_head(&mut reader) {
            let early = *self.early_response.lock().expect("not poisoned");
            if let Some(early) = early.filter(|_| !is_control(&request)) {
                early.write(&mut reader, &mut stream, &self.own_headers(&request));
                self.requests.lock().expect("not poisoned").push(request);
                return;
            }
            if read_body(&mut reader, &mut request).is_none() {
                return;
            }
            if !self.respond(&mut stream, request) {
                // The peer may have closed the connection already.
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Responds to one request; returns false if the connection must be closed.
    fn respond(&self, stream: &mut TcpStream, request: RecordedRequest) -> bool {
        if self.successor.is_there() {
            let entry = self.entry.lock().expect("not poisoned").clone();
            return self.successor.respond(stream, &request, &entry);
        }
        let is_control = is_control(&request);
        let control_trouble = *self.control_trouble.lock().expect("not poisoned");
        if let (true, Some(trouble)) = (is_control, control_trouble) {
            self.troubles.write(trouble, stream, "", 1);
            return false;
        }
        while is_control && self.is_control_silent.load(Ordering::SeqCst) {
            std::thread::sleep(CONTROL_CHECK_INTERVAL);
        }
        if request.request_line.starts_with("GET /report") {
            let entry = self.entry.lock().expect("not poisoned").to_string();
            let notices = self.notices.lock().expect("not poisoned").clone();
            let is_written = write_response(stream, 200, &notices, &entry);
            let copy = *self.report_copies.lock().expect("not poisoned");
            return match copy {
                None => is_written,
                Some(delay) => {
                    std::thread::sleep(delay);
                    is_written && write_response(stream, 200, &notices, &entry)
                }
            };
        }
        if request.request_line.starts_with("POST /order") {
            let order: Value = serde_json::from_slice(&request.body).expect("an order");
            let record = (Instant::now(), order.clone());
            self.orders.lock().expect("not poisoned").push(record);
            self.apply_order(&order);
            return write_response(stream, 202, "", "");
        }
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let after = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        let prompt = request.header("x-prompt-prefix").unwrap_or_default();
        if self.crashes.is_triggered_by(&request) {
            self.requests.lock().expect("not poisoned").push(request);
            std::thread::sleep(CRASH_DELAY);
            self.crash();
            return false;
        }
        if self.crashes.is_triggered_by_prompt(prompt) {
            self.requests
                .lock()
                .expect("not poisoned")
                .push(request.clone());
            return self.crash_midway(stream, &id);
        }
        let has_body = !request.request_line.starts_with("HEAD ");
        let scripted = self.script.lock().expect("not poisoned").pop_front();
        let behavior = scripted.unwrap_or_else(|| Behavior::usual(&request));
        let own_headers = self.own_headers(&request);
        self.requests.lock().expect("not poisoned").push(request);
        match behavior {
            Behavior::CutOff { framing, length } => {
                let (whole, _) = framing.response(&own_headers, has_body);
                write_text(stream, &whole[..length.min(whole.len())]);
                false
            }
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
            Behavior::RepeatRefusal => {
                write_response(stream, 503, EARLIER_REFUSAL, "")
                    && write_response(stream, 200, &own_headers, "usual")
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
            Behavior::UnframedEvents { last, is_whole } => {
                let ids = after.unwrap_or(0) + 1..=last;
                let mut text = ids.map(event_text).collect::<String>();
                if !is_whole {
                    text.push_str("id: ");
                }
                let kind = "Content-Type: text/event-stream\r\n";
                let head = format!("HTTP/1.1 200 OK\r\n{kind}{own_headers}\r\n");
                write_text(stream, &(head + &text));
                false
            }
            Behavior::Events { last, is_complete } => {
                write_events(stream, &own_headers, after.unwrap_or(0), last);
                if is_complete {
                    write_text(stream, "0\r\n\r\n");
                }
                false
            }
            Behavior::PacedEvents {
                last,
                pause,
                is_complete,
            } => {
                let run = self.runs.start(&id);
                let ids = after.unwrap_or(0) + 1..=last;
                let end = match self.write_paced(stream, &own_headers, ids, pause) {
                    false => RunEnd::CallerGone,
                    true if !is_complete => RunEnd::BrokenOff,
                    true if write_text(stream, "0\r\n\r\n") => RunEnd::Complete,
                    true => RunEnd::CallerGone,
                };
                self.runs.end(run, end);
                self.close_if_idle();
                false
            }
            Behavior::PausedEvents { first, pause, last } => {
                write_events(stream, &own_headers, after.unwrap_or(0), first);
                std::thread::sleep(pause);
                let rest = (first + 1..=last).map(event_chunk);
                write_text(stream, &(rest.collect::<String>() + "0\r\n\r\n"));
                false
            }
            Behavior::RespondLate(delay, body) => {
                let run = self.runs.start(&id);
                std::thread::sleep(delay);
                let is_written = write_response(stream, 200, &own_headers, body);
                let end = match is_written {
                    true => RunEnd::Complete,
                    false => RunEnd::CallerGone,
                };
                self.runs.end(run, end);
                self.close_if_idle();
                is_written
            }
            Behavior::RespondTwice(delay, body) => {
                let is_first_written = write_response(stream, 200, &own_headers, body);
                std::thread::sleep(delay);
                is_first_written && write_response(stream, 200, &own_headers, body)
            }
            Behavior::Raw(text) => write_text(stream, &text.replace("{own}", &own_headers)),
            Behavior::Endless(trouble) => {
                let first = after.unwrap_or(0) + 1;
                self.troubles.write(trouble, stream, &own_headers, first);
                false
            }
        }
    }

    /// Returns the headers of its own response to a request.
    fn own_headers(&self, request: &RecordedRequest) -> String {
        format!(
            "X-Request-Id: {}\r\nX-Response-Stamp: of-{}\r\n{}",
            request.header("x-request-id").unwrap_or_default(),
            self.name,
            self.notices.lock().expect("not poisoned")
        )
    }

    /// Begins to write a stream and crashes a moment later; returns false.
    fn crash_midway(&self, stream: &mut TcpStream, id: &str) -> bool {
        let head = format!(
            "X-Request-Id: {id}\r\nX-Response-Stamp: of-{}\r\n",
            self.name
        );
        write_events(stream, &head, 0, 1);
        std::thread::sleep(CRASH_DELAY);
        self.crashes.crash(stream.local_addr().expect("connected"));
        false
    }

    /// Writes the head of a stream with its first event and then one event after each pause;
    /// returns false if the connection ended.
    fn write_paced(
        &self,
        stream: &mut TcpStream,
        own_headers: &str,
        ids: RangeInclusive<u64>,
        pause: Duration,
    ) -> bool {
        let pace = self.entry.lock().expect("not poisoned")["pace"].as_f64();
        let pause = pause.mul_f64(pace.unwrap_or(1.0));
        let mut head = stream_head(own_headers);
        for id in ids {
            std::thread::sleep(pause);
            self.silence.wait();
            let text = std::mem::take(&mut head) + &event_chunk(id);
            if !write_text(stream, &text) {
                return false;
            }
        }
        // A resumed stream may have no event left.
        write_text(stream, &head)
    }

    /// Returns the state after an order to close: the group closes once its runs have ended. One that
    /// has left the store reports to be open until then.
    fn closed_state(&self) -> &'static str {
        let is_running = self.runs.list().iter().any(|run| run.end.is_none());
        match (is_running, self.is_unlisted.load(Ordering::SeqCst)) {
            (true, true) => "open",
            (true, false) => "closing",
            (false, _) => "ready",
        }
    }

    /// Reports a closing group as closed if no run is left.
    fn close_if_idle(&self) {
        let is_closed = {
            let mut entry = self.entry.lock().expect("not poisoned");
            let is_closed = entry["group"]["State"] == "closing" && self.closed_state() == "ready";
            if is_closed {
                entry["group"]["State"] = json!("ready");
            }
            is_closed
        };
        if is_closed {
            self.register();
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
                Some("close") => entry["group"]["State"] = json!(self.closed_state()),
                _ => {}
            }
        }
        self.register();
    }
}

/// Returns true if a request is a probe or an order.
fn is_control(request: &RecordedRequest) -> bool {
    let starts = ["GET /report", "POST /order"];
    let mut starts = starts.iter();
    starts.any(|start| request.request_line.starts_with(start))
}
