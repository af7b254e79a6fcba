//! Stand-in of a runner, as PROTOCOL.md describes it: orders, groups, reports and requests.

use crate::{
    http::{self, Message},
    json::Json,
    record::Record,
    store::Store,
};
use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicI64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Part of prompts that crashes each runner that begins to write an answer on it.
pub const BAD_PART: &str = "bad0";

/// Time from the first event to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// Time for which a crashed runner is down.
const DOWN: Duration = Duration::from_millis(3_000);

/// Time for which a draining runner serves on, and for which it then waits for its work.
const DRAIN: Duration = Duration::from_millis(2_300);
const MAX_DRAIN: Duration = Duration::from_secs(8);

/// Time between the end of a runner that is upgraded and its next start.
const SWAP: Duration = Duration::from_millis(300);

fn unix_millis() -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("the clock is set").as_millis() as i64
}

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const LOAD: Duration = Duration::from_millis(1_500);
const WARM: Duration = Duration::from_millis(800);
const AGAIN: Duration = Duration::from_millis(200);
const FORM: Duration = Duration::from_millis(300);

/// Membership of a runner in a group.
#[derive(Clone, Debug)]
pub struct Member {
    pub group: String,
    pub epoch: i64,
    pub rank: usize,
    pub model: String,
    pub members: Vec<String>,
    pub state: &'static str,
    /// Number of this membership's last change, so that a late change of an older one is dropped.
    pub version: u64,
}

#[derive(Default)]
struct State {
    member: Option<Member>,
    staged: Vec<String>,
    /// Model of the last group since the start.
    last_model: Option<String>,
    seen_epoch: i64,
    seq: i64,
    version: u64,
    /// Requests that run now.
    running: usize,
    /// Set to cut the requests that run.
    cut: u64,
}

/// What all runners know of each other's groups: the state of each group's head.
pub type Heads = Arc<Mutex<HashMap<String, &'static str>>>;

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    domain: Option<String>,
    /// Start of the present run, in Unix milliseconds.
    born: AtomicI64,
    state: Mutex<State>,
    /// Open connections, which a crash ends.
    connections: Mutex<Vec<TcpStream>>,
    /// Version of its software.
    version: AtomicI64,
    /// First version that a bad part of a prompt crashes.
    crashes_from: i64,
    is_draining: AtomicBool,
    /// Time for which it is down once it has ended.
    down: Mutex<Duration>,
    /// Times of the crashes.
    pub crashes: Mutex<Vec<Instant>>,
    heads: Heads,
    store: Arc<Store>,
    record: Arc<Record>,
    pub breaks: Mutex<Vec<String>>,
    /// Events of a stream, and the time between two.
    events: usize,
    pause: Duration,
    pub runs: Mutex<Vec<String>>,
    pub is_down: AtomicBool,
    is_listening: AtomicBool,
}

pub struct Spec<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub domain: Option<&'a str>,
    pub events: usize,
    pub pause: Duration,
    /// First version of its software that a bad part of a prompt crashes.
    pub crashes_from: i64,
}

impl Runner {
    pub fn start(spec: Spec<'_>, heads: &Heads, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let runner = Arc::new(Self {
            id: spec.id.to_owned(),
            address: listener.local_addr().expect("bound"),
            service: spec.service.to_owned(),
            zone: spec.zone.to_owned(),
            domain: spec.domain.map(str::to_owned),
            born: AtomicI64::new(unix_millis()),
            state: Mutex::default(),
            connections: Mutex::default(),
            version: AtomicI64::new(1),
            crashes_from: spec.crashes_from,
            is_draining: AtomicBool::new(false),
            down: Mutex::default(),
            crashes: Mutex::default(),
            heads: heads.clone(),
            store: store.clone(),
            record: record.clone(),
            breaks: Mutex::default(),
            events: spec.events,
            pause: spec.pause,
            runs: Mutex::default(),
            is_down: AtomicBool::new(false),
            is_listening: AtomicBool::new(true),
        });
        let served = runner.clone();
        std::thread::spawn(move || {
            let mut listener = listener;
            loop {
                served.accept(&listener);
                drop(listener);
                served.is_listening.store(false, Ordering::Relaxed);
                let down = *served.down.lock().unwrap();
                std::thread::sleep(down);
                listener = TcpListener::bind(served.address).expect("the port is still free");
                served.is_listening.store(true, Ordering::Relaxed);
                served.restart();
            }
        });
        let beating = runner.clone();
        std::thread::spawn(move || loop {
            beating.beat();
            std::thread::sleep(HEARTBEAT);
        });
        runner
    }

    /// Takes connections until the runner crashes.
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("a socket option");
        while !self.is_down.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("a socket option");
            let mut connections = self.connections.lock().unwrap();
            connections.push(stream.try_clone().expect("a socket can be cloned"));
            drop(connections);
            let runner = self.clone();
            std::thread::spawn(move || runner.serve(stream));
        }
    }

    fn crash(&self, id: &str) {
        if !self.is_down.load(Ordering::Relaxed) {
            self.crashes.lock().unwrap().push(Instant::now());
            self.record.line(&format!("runner {} crashes under {id}", self.id));
            self.end(DOWN);
        }
    }

    /// Ends all connections and stops listening; the runner is back after a while, as a new run.
    fn end(&self, down: Duration) {
        *self.down.lock().unwrap() = down;
        if self.is_down.swap(true, Ordering::Relaxed) {
            return;
        }
        // The kernel closes the listener of a process that ends before its connections.
        while self.is_listening.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_micros(100));
        }
        let mut state = self.state.lock().unwrap();
        if let Some(member) = state.member.take().filter(|member| member.rank == 0) {
            self.heads.lock().unwrap().insert(member.group, "gone");
        }
        let (staged, cut) = (std::mem::take(&mut state.staged), state.cut);
        *state = State { staged, cut: cut + 1, running: state.running, ..State::default() };
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Drains the runner, and starts it again with the next version of its software.
    pub fn upgrade(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
        self.record.line(&format!("runner {} drains", self.id));
        self.beat();
        std::thread::sleep(DRAIN);
        let until = Instant::now() + MAX_DRAIN;
        while Instant::now() < until && self.state.lock().unwrap().running > 0 {
            std::thread::sleep(Duration::from_millis(50));
        }
        self.version.fetch_add(1, Ordering::Relaxed);
        self.is_draining.store(false, Ordering::Relaxed);
        self.end(SWAP);
    }

    fn restart(&self) {
        self.born.store(unix_millis(), Ordering::Relaxed);
        self.is_down.store(false, Ordering::Relaxed);
        self.record.line(&format!("runner {} is back", self.id));
        self.beat();
    }

    fn assignment(&self, state: &State) -> Vec<(String, Json)> {
        let models = state.member.iter().map(|member| {
            Json::Obj(vec![
                ("Name".into(), Json::str(&member.model)),
                ("Version".into(), Json::Int(1)),
                ("Adapters".into(), Json::Arr(vec![])),
            ])
        });
        let mut fields = vec![
            ("Phase".into(), Json::str("unified")),
            ("Models".into(), Json::Arr(models.collect())),
            ("Seq".into(), Json::Int(state.seq)),
            ("born".into(), Json::Int(self.born.load(Ordering::Relaxed))),
        ];
        if let Some(domain) = &self.domain {
            fields.push(("Domain".into(), Json::str(domain)));
            let staged = state.staged.iter().map(|model| Json::str(model));
            fields.push(("Staged".into(), Json::Arr(staged.collect())));
            let group = state.member.as_ref().map_or(Json::Null, |member| {
                Json::Obj(vec![
                    ("Name".into(), Json::str(&member.group)),
                    ("epoch".into(), Json::Int(member.epoch)),
                    ("rank".into(), Json::Int(member.rank as i64)),
                    ("State".into(), Json::str(member.state)),
                ])
            });
            fields.push(("group".into(), group));
        }
        fields
    }

    /// Returns the runner's entry as it stands.
    pub fn entry(&self) -> Json {
        let state = self.state.lock().unwrap();
        let mut fields = vec![
            ("Service".into(), Json::str(&self.service)),
            ("Address".into(), Json::Str(self.address.to_string())),
            ("Zone".into(), Json::str(&self.zone)),
            ("Version".into(), Json::Str(format!("v{}", self.version.load(Ordering::Relaxed)))),
            ("Slots".into(), Json::Int(8)),
            ("State".into(), Json::str(if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" })),
            ("ColdLeftMs".into(), Json::Int(0)),
        ];
        fields.extend(self.assignment(&state));
        Json::Obj(fields)
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn beat(&self) {
        if self.is_down.load(Ordering::Relaxed) {
            return;
        }
        self.store.put(&self.key(), &self.entry());
    }

    pub fn member(&self) -> Option<Member> {
        self.state.lock().unwrap().member.clone()
    }

    pub fn staged(&self) -> Vec<String> {
        self.state.lock().unwrap().staged.clone()
    }

    fn publish_head(&self, member: &Member) {
        if member.rank == 0 {
            self.heads.lock().unwrap().insert(member.group.clone(), member.state);
        }
    }

    /// Changes the state of a membership after a delay, unless it has changed meanwhile.
    fn change_later(self: &Arc<Self>, version: u64, delay: Duration, to: &'static str) {
        let runner = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            {
                let mut state = runner.state.lock().unwrap();
                let Some(member) = &mut state.member else { return };
                if member.version != version {
                    return;
                }
                member.state = to;
                let member = member.clone();
                if to == "ready" && !state.staged.contains(&member.model) {
                    state.staged = vec![member.model.clone()];
                }
                state.last_model = Some(member.model.clone());
                runner.publish_head(&member);
                runner.record.line(&format!(
                    "runner {} is {to} in {} (epoch {})",
                    runner.id, member.group, member.epoch
                ));
            }
            runner.beat();
        });
    }

    fn order(self: &Arc<Self>, body: &Json) -> u16 {
        let op = body.get("Op").text().to_owned();
        let group = body.get("group").text().to_owned();
        let epoch = body.get("epoch").int();
        let mut state = self.state.lock().unwrap();
        let before = state.member.clone();
        let is_own = before.as_ref().is_some_and(|m| m.group == group && m.epoch == epoch);
        let status = match op.as_str() {
            "join" => {
                let members: Vec<String> =
                    body.get("Members").items().iter().map(|id| id.text().to_owned()).collect();
                let differs = before.as_ref().is_some_and(|m| m.members != members);
                if epoch < state.seen_epoch || (is_own && differs) {
                    412
                } else if is_own {
                    200
                } else {
                    self.check_two(before.as_ref(), &group, epoch);
                    let model = body.get("Model").text().to_owned();
                    let delay = if state.last_model.as_ref() == Some(&model) {
                        AGAIN
                    } else if state.staged.contains(&model) {
                        WARM
                    } else {
                        LOAD
                    };
                    if let Some(left) = before.as_ref().filter(|left| left.rank == 0) {
                        self.heads.lock().unwrap().insert(left.group.clone(), "gone");
                    }
                    state.seen_epoch = epoch;
                    state.seq += 1;
                    state.version += 1;
                    state.cut += 1;
                    let version = state.version;
                    let rank = members.iter().position(|id| *id == self.id).unwrap_or(0);
                    let member = Member { group: group.clone(), epoch, rank, model, members, state: "joining", version };
                    self.publish_head(&member);
                    state.member = Some(member);
                    self.change_later(version, delay, "ready");
                    202
                }
            }
            "open" => match &mut state.member {
                Some(m) if is_own && m.rank == 0 && m.state == "ready" => {
                    let version = m.version;
                    state.seq += 1;
                    self.change_later(version, FORM, "open");
                    202
                }
                Some(m) if is_own && m.state == "open" => 200,
                _ => 409,
            },
            "close" => match &mut state.member {
                Some(m) if is_own && (m.state == "open" || m.state == "closing") => {
                    m.state = "closing";
                    let member = m.clone();
                    self.publish_head(&member);
                    state.seq += 1;
                    if body.get("Mode").text() == "cut" {
                        state.cut += 1;
                    }
                    let runner = self.clone();
                    std::thread::spawn(move || runner.finish_closing(member.version));
                    202
                }
                Some(m) if is_own && m.state == "ready" => 200,
                _ => 409,
            },
            "leave" if is_own => {
                if let Some(left) = before.as_ref().filter(|left| left.rank == 0) {
                    self.heads.lock().unwrap().insert(left.group.clone(), "gone");
                }
                state.member = None;
                state.seq += 1;
                state.version += 1;
                state.cut += 1;
                202
            }
            "leave" => 200,
            "Phase" => {
                let model = body.get("Model").text().to_owned();
                let is_staged = state.staged.contains(&model);
                if !is_staged {
                    state.seq += 1;
                    let runner = self.clone();
                    std::thread::spawn(move || {
                        std::thread::sleep(LOAD);
                        runner.state.lock().unwrap().staged = vec![model];
                        runner.beat();
                    });
                }
                if is_staged { 200 } else { 202 }
            }
            _ => 400,
        };
        self.record.line(&format!(
            "order at {}: {body} -> {status}; it was {}",
            self.id,
            before.map_or("in no group".to_owned(), |m| format!("{} in {} (rank {})", m.state, m.group, m.rank))
        ));
        drop(state);
        self.beat();
        status
    }

    /// Checks rule TWO for a join that is taken.
    fn check_two(&self, before: Option<&Member>, group: &str, epoch: i64) {
        let Some(before) = before else { return };
        let head = match before.rank {
            0 => before.state,
            _ => self.heads.lock().unwrap().get(&before.group).copied().unwrap_or("gone"),
        };
        if before.group != group && (head == "open" || head == "closing") {
            let text = format!(
                "TWO: {} takes the join of {group} (epoch {epoch}) while the head of its group {} is {head}",
                self.id, before.group
            );
            self.record.line(&text);
            self.breaks.lock().unwrap().push(text);
        }
    }

    fn finish_closing(&self, version: u64) {
        loop {
            std::thread::sleep(Duration::from_millis(10));
            let mut state = self.state.lock().unwrap();
            let running = state.running;
            let Some(member) = &mut state.member else { return };
            if member.version != version || member.state != "closing" {
                return;
            }
            if running == 0 {
                member.state = "ready";
                let member = member.clone();
                self.publish_head(&member);
                drop(state);
                return self.beat();
            }
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket can be cloned");
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            if self.is_down.load(Ordering::Relaxed) {
                return;
            }
            let expected = request.header("x-expect-instance");
            let own = format!("X-Instance-Id: {}\r\n", self.id);
            if expected.is_some_and(|id| id != self.id) {
                if http::reply(&mut writer, 421, &own, b"").is_err() {
                    return;
                }
                continue;
            }
            let sent = match request.path() {
                "/healthz" => http::reply(&mut writer, 200, &own, b""),
                "/report" => {
                    let body = {
                        let state = self.state.lock().unwrap();
                        let mut fields = self.assignment(&state);
                        fields.extend([
                            ("Busy".into(), Json::Bool(false)),
                            ("Queued".into(), Json::Int(0)),
                            ("Running".into(), Json::Int(state.running as i64)),
                            ("KvUsed".into(), Json::Int(0)),
                            ("KvTotal".into(), Json::Int(2_470_000)),
                            ("Handles".into(), Json::Int(0)),
                            ("pace".into(), Json::Int(1)),
                        ]);
                        Json::Obj(fields).to_string()
                    };
                    let headers = format!("{own}Content-Type: application/json\r\n");
                    http::reply(&mut writer, 200, &headers, body.as_bytes())
                }
                "/order" => {
                    let body = Json::parse(&request.text()).unwrap_or(Json::Null);
                    let status = self.order(&body);
                    http::reply(&mut writer, status, &own, b"")
                }
                _ if self.domain.is_some() => self.stream(&request, &mut writer),
                _ => self.run_plain(&request, &mut writer),
            };
            if sent.is_err() {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn note_run(&self, request: &Message) -> String {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        self.runs.lock().unwrap().push(id.clone());
        self.record.line(&format!(
            "runner {} runs {id} (tenant {:?})",
            self.id,
            request.header("x-tenant")
        ));
        id
    }

    fn run_plain(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = self.note_run(request);
        std::thread::sleep(self.pause);
        let headers = format!(
            "X-Request-Id: {id}\r\nX-Response-Stamp: {}.{id}\r\nX-Server-Load: 0,0,8\r\n",
            self.id
        );
        http::reply(writer, 200, &headers, format!("answer to {id}").as_bytes())
    }

    fn stream(self: &Arc<Self>, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let echo = format!("X-Request-Id: {id}\r\n");
        let (group, cut) = {
            let mut state = self.state.lock().unwrap();
            let member = state.member.clone();
            let is_head = member.as_ref().is_some_and(|m| m.rank == 0 && m.state == "open");
            if !is_head {
                drop(state);
                return http::reply(writer, 503, &format!("{echo}X-Not-Run: 1\r\n"), b"");
            }
            state.running += 1;
            (member.map(|m| m.group).unwrap_or_default(), state.cut)
        };
        self.note_run(request);
        let after: usize =
            request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let prompt = request.header("x-prompt-prefix").unwrap_or_default();
        let shared = prompt.rsplit_once(',').map_or("", |(shared, _)| shared);
        let is_affected = self.version.load(Ordering::Relaxed) >= self.crashes_from;
        if is_affected && shared.split(',').any(|part| part.split(':').next() == Some(BAD_PART)) {
            let runner = self.clone();
            let id = id.clone();
            std::thread::spawn(move || {
                std::thread::sleep(runner.pause + CRASH_DELAY);
                runner.crash(&id);
            });
        }
        let result = self.write_events(writer, &id, after, cut);
        {
            let mut state = self.state.lock().unwrap();
            state.running = state.running.saturating_sub(1);
        }
        if result.is_err() {
            self.record.line(&format!("runner {} breaks {id} off in {group}", self.id));
        }
        result
    }

    fn write_events(&self, writer: &mut TcpStream, id: &str, after: usize, cut: u64) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Request-Id: {id}\r\nX-Response-Stamp: {}.{id}\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        for number in after + 1..=self.events {
            let due = Instant::now() + self.pause;
            while Instant::now() < due {
                std::thread::sleep(Duration::from_millis(5));
                if self.state.lock().unwrap().cut != cut {
                    return Err(std::io::ErrorKind::ConnectionAborted.into());
                }
            }
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
